package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"zinniasill/core/consensus"
)

// Magic strings at the start of the files, all of headerSize bytes.
const (
	logHeader      = "zinniasill-log1\n"
	snapshotHeader = "zinniasill-snp1\n"
	identityHeader = "zinniasill-idn1\n"
	headerSize     = 16
)

const (
	// frameHeaderSize is the size in bytes of the header of a frame: the length of the
	// payload, the checksum of the payload and the checksum of the header, each a
	// little-endian uint32.
	frameHeaderSize = 12
	// maxPayloadSize is the maximum size of the payload of a frame in bytes.
	maxPayloadSize = 1 << 30
	// maxFrameEntries is the maximum number of log entries in a frame.
	maxFrameEntries = 1 << 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// payloadDecoder decodes the CBOR payloads of frames.
var payloadDecoder = newPayloadDecoder()

func newPayloadDecoder() cbor.DecMode {
	// The checksums show that the content is what was written. What can be written must be
	// readable, and the encoder does not check that text is valid UTF-8.
	mode, err := cbor.DecOptions{MaxArrayElements: maxFrameEntries, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant and valid
	}
	return mode
}

// record is the payload of one frame of a log segment. Its fields are applied in the
// order in which they are declared.
type record struct {
	Hard *consensus.HardState `cbor:"1,keyasint,omitempty"`
	// Truncate removes the entries after this index if it is not 0.
	Truncate consensus.Index   `cbor:"2,keyasint,omitempty"`
	Entries  []consensus.Entry `cbor:"3,keyasint,omitempty"`
}

// identity is the payload of the identity file.
type identity struct {
	Instance uint64 `cbor:"1,keyasint"`
}

// position is the segment and the byte offset at which a frame is stored. The header
// checksum includes it, so that bytes inside of a payload, or a frame copied from
// another place, never pass as a valid frame.
type position struct {
	segment uint64
	offset  int64
}

// appendFrame appends a frame with the encoded value to buf. The frame is valid only
// at the given position.
func appendFrame(buf []byte, at position, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	if len(payload) > maxPayloadSize {
		return nil, eris.Errorf("frame payload of %d bytes exceeds the limit of %d bytes", len(payload), maxPayloadSize)
	}
	var header [frameHeaderSize]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], headerChecksum(header[:8], at))
	buf = append(buf, header[:]...)
	return append(buf, payload...), nil
}

// headerChecksum returns the checksum of a position followed by the length and the
// payload checksum of a frame.
func headerChecksum(header []byte, at position) uint32 {
	var encoded [16]byte
	binary.LittleEndian.PutUint64(encoded[0:], at.segment)
	binary.LittleEndian.PutUint64(encoded[8:], uint64(at.offset))
	return crc32.Update(crc32.Checksum(encoded[:], castagnoli), castagnoli, header)
}

// readFrame returns the payload of the frame at the given position of data. It
// returns false if the frame is incomplete or a checksum does not match.
func readFrame(data []byte, at position) ([]byte, bool) {
	rest := data[at.offset:]
	if len(rest) < frameHeaderSize {
		return nil, false
	}
	if headerChecksum(rest[:8], at) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, false
	}
	length := int64(binary.LittleEndian.Uint32(rest))
	if length > int64(len(rest)-frameHeaderSize) {
		return nil, false
	}
	payload := rest[frameHeaderSize : frameHeaderSize+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, false
	}
	return payload, true
}

// hasFrameAfter reports whether a valid frame starts anywhere after a position.
func hasFrameAfter(data []byte, at position) bool {
	for at.offset++; at.offset+frameHeaderSize <= int64(len(data)); at.offset++ {
		if _, ok := readFrame(data, at); ok {
			return true
		}
	}
	return false
}

// encodeFile returns the content of a file: a header and one frame.
func encodeFile(header string, segment uint64, value any) ([]byte, error) {
	return appendFrame([]byte(header), position{segment, headerSize}, value)
}

// decodeFile decodes the only frame of a file into value. On failure it returns the
// byte offset and a description of the first error, otherwise an empty problem.
func decodeFile(data []byte, header string, value any) (offset int64, problem string) {
	if len(data) < headerSize || string(data[:headerSize]) != header {
		return 0, "wrong file header"
	}
	payload, ok := readFrame(data, position{offset: headerSize})
	if !ok {
		return headerSize, "wrong checksum or length"
	}
	if end := headerSize + frameHeaderSize + len(payload); end != len(data) {
		return int64(end), "trailing bytes after the frame"
	}
	if err := payloadDecoder.Unmarshal(payload, value); err != nil {
		return headerSize + frameHeaderSize, "cannot decode payload: " + err.Error()
	}
	return 0, ""
}
