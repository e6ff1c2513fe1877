package archive

import (
	"encoding/binary"

	"zinniasill"
)

// EncodeKey returns the encoding of a job's key. Different keys have different
// encodings.
func EncodeKey(key zinniasill.Key) []byte {
	return append(AppendString(nil, string(key.Team)), key.Client...)
}

// DecodeKey returns the key of a job that EncodeKey has encoded.
func DecodeKey(data []byte) zinniasill.Key {
	r := Reader{Data: data}
	team := zinniasill.Team(r.String())
	return zinniasill.Key{Team: team, Client: string(r.Data)}
}

// AppendString appends a string with its length to data.
func AppendString(data []byte, text string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(text))), text...)
}

// AppendBool appends a bool to data.
func AppendBool(data []byte, value bool) []byte {
	if value {
		return append(data, 1)
	}
	return append(data, 0)
}

// Reader decodes what was encoded with AppendString, AppendBool and
// binary.AppendUvarint. It reads encodings of the same process only and panics on
// malformed ones.
type Reader struct {
	// Data is the data that has not been read yet.
	Data []byte
}

// Uint reads an unsigned varint.
func (r *Reader) Uint() uint64 {
	value, size := binary.Uvarint(r.Data)
	r.Data = r.Data[size:]
	return value
}

// Next reads the next size bytes. They are not copied.
func (r *Reader) Next(size int) []byte {
	value := r.Data[:size]
	r.Data = r.Data[size:]
	return value
}

// String reads a string.
func (r *Reader) String() string { return string(r.Next(int(r.Uint()))) }

// Bool reads a bool.
func (r *Reader) Bool() bool { return r.Next(1)[0] == 1 }
