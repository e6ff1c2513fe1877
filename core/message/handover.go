package message

// HandoverPart is one part of the records that an agent hands over to its host when it
// shuts down as planned. The encoded records are split because they can exceed the
// maximum frame size.
type HandoverPart struct {
	// Part counts from 0 to Parts-1.
	Part  uint32 `cbor:"1,keyasint"`
	Parts uint32 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
}

// HandoverAck acknowledges one part.
type HandoverAck struct {
	Part uint32 `cbor:"1,keyasint"`
	// Complete is true once the host has loaded all parts and has taken responsibility
	// for them.
	Complete bool `cbor:"2,keyasint,omitempty"`
	// Refused is true if the host has not loaded the records and never will.
	Refused bool `cbor:"3,keyasint,omitempty"`
}
