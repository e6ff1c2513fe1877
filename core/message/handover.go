package message

// HandoverPart is one part of the records that an agent which stops as planned
// gives to its host. The encoded records are split, because they can exceed the
// size of a frame.
type HandoverPart struct {
	// Part counts from 0 to Parts-1.
	Part  uint32 `cbor:"1,keyasint"`
	Parts uint32 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
}

// HandoverAck confirms one part.
type HandoverAck struct {
	Part uint32 `cbor:"1,keyasint"`
	// Complete is true once the host has loaded all parts and answers for them.
	Complete bool `cbor:"2,keyasint,omitempty"`
	// Refused is true when the host has not loaded the records and never will.
	Refused bool `cbor:"3,keyasint,omitempty"`
}
