package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"zinniasill/core/consensus"
)

// Headers of the files.
const (
	logHeader      = "zinniasill-log1\n"
	snapshotHeader = "zinniasill-snp1\n"
	identityHeader = "zinniasill-idn1\n"
	headerSize     = 16
)

const (
	// frameSize is the number of bytes of a frame before its payload: length,
	// checksum of the payload, checksum of the frame's head, 4 bytes each.
	frameSize = 12
	// maxPayload bounds a payload in bytes.
	maxPayload = 1 << 30
	// maxElements bounds the entries of a frame.
	maxElements = 1 << 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameMode decodes payloads.
var frameMode = newFrameMode()

func newFrameMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		panic(err) // the options are constant and valid
	}
	return mode
}

// record is the payload of a frame of the log.
type record struct {
	Hard *consensus.HardState `cbor:"1,keyasint,omitempty"`
	// Truncate drops the entries after this index if it is not 0.
	Truncate consensus.Index   `cbor:"2,keyasint,omitempty"`
	Entries  []consensus.Entry `cbor:"3,keyasint,omitempty"`
}

// identity is the payload of the identity file.
type identity struct {
	Instance uint64 `cbor:"1,keyasint"`
}

// position is where a frame belongs. It is part of the checksum, so that bytes of
// a payload or of another file are never taken for a frame.
type position struct {
	segment uint64
	offset  int64
}

// appendFrame appends the frame of a payload at a position.
func appendFrame(to []byte, at position, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	if len(payload) > maxPayload {
		return nil, eris.Errorf("frame of %d bytes exceeds the limit of %d bytes", len(payload), maxPayload)
	}
	var head [frameSize]byte
	binary.LittleEndian.PutUint32(head[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(head[8:], headChecksum(head[:8], at))
	to = append(to, head[:]...)
	return append(to, payload...), nil
}

func headChecksum(head []byte, at position) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[0:], at.segment)
	binary.LittleEndian.PutUint64(place[8:], uint64(at.offset))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, head)
}

// readFrame returns the payload of the frame at a position of data, and false
// when there is no whole and valid frame.
func readFrame(data []byte, at position) ([]byte, bool) {
	rest := data[at.offset:]
	if len(rest) < frameSize {
		return nil, false
	}
	if headChecksum(rest[:8], at) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, false
	}
	length := int64(binary.LittleEndian.Uint32(rest))
	if length > int64(len(rest)-frameSize) {
		return nil, false
	}
	payload := rest[frameSize : frameSize+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, false
	}
	return payload, true
}

// hasFrameAfter reports whether a valid frame starts after a position.
func hasFrameAfter(data []byte, at position) bool {
	for at.offset++; at.offset+frameSize <= int64(len(data)); at.offset++ {
		if _, ok := readFrame(data, at); ok {
			return true
		}
	}
	return false
}

// encodeFile returns a file that holds one frame.
func encodeFile(header string, segment uint64, value any) ([]byte, error) {
	return appendFrame([]byte(header), position{segment, headerSize}, value)
}

// decodeFile decodes a file that holds one frame into value. It returns the
// offset and the problem of the first fault, or an empty problem.
func decodeFile(data []byte, header string, value any) (offset int64, problem string) {
	if len(data) < headerSize || string(data[:headerSize]) != header {
		return 0, "wrong file header"
	}
	payload, ok := readFrame(data, position{offset: headerSize})
	if !ok {
		return headerSize, "wrong checksum or length"
	}
	if end := headerSize + frameSize + len(payload); end != len(data) {
		return int64(end), "bytes after the end"
	}
	if err := frameMode.Unmarshal(payload, value); err != nil {
		return headerSize + frameSize, "undecodable content: " + err.Error()
	}
	return 0, ""
}
