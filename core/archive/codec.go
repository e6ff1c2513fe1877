package archive

import (
	"encoding/binary"

	"zinniasill"
)

// EncodeKey returns the encoding of a job's key. Different keys have different encodings.
func EncodeKey(key zinniasill.Key) []byte {
	return append(AppendString(nil, string(key.Team)), key.Client...)
}

// DecodeKey returns the job's key of an encoding.
func DecodeKey(data []byte) zinniasill.Key {
	r := Reader{Data: data}
	team := zinniasill.Team(r.String())
	return zinniasill.Key{Team: team, Client: string(r.Data)}
}

// AppendString appends a text with its length.
func AppendString(data []byte, text string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(text))), text...)
}

// AppendBool appends a truth value.
func AppendBool(data []byte, value bool) []byte {
	if value {
		return append(data, 1)
	}
	return append(data, 0)
}

// Reader reads back what was appended. It reads only this process's own encodings
// and panics on others.
type Reader struct {
	Data []byte
}

// Uint reads an unsigned integer.
func (r *Reader) Uint() uint64 {
	value, size := binary.Uvarint(r.Data)
	r.Data = r.Data[size:]
	return value
}

// Next reads a number of bytes.
func (r *Reader) Next(size int) []byte {
	value := r.Data[:size]
	r.Data = r.Data[size:]
	return value
}

// String reads a text.
func (r *Reader) String() string { return string(r.Next(int(r.Uint()))) }

// Bool reads a truth value.
func (r *Reader) Bool() bool { return r.Next(1)[0] == 1 }
