package peer

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"zinniasill/core/message"
)

// tagBase is added to a type's number to form its CBOR tag inside of another type.
// The range from here on is unassigned in the registry of CBOR tags.
const tagBase = 60000

// Class says which queue of a link a message type waits in.
type Class uint8

// Values of Class.
const (
	// ClassControl is for short messages that keep leases, claims and the log alive.
	ClassControl Class = iota
	// ClassBulk is for messages that carry payloads or outputs. They leave after the
	// control messages that wait, and cannot take the space of these.
	ClassBulk
)

// MessageType assigns a number to one message type. A number is never reused for
// another type.
type MessageType struct {
	Number uint64
	// Sample is any value of the type, not a pointer.
	Sample any
	Class  Class
	// HasNestedBodies is true for a type with fields that hold values of any registered type.
	// Such values are tagged with their number.
	HasNestedBodies bool
}

// CoreTypes returns the table of the types in package message. Numbers from 64
// on are free for other packages.
func CoreTypes() []MessageType {
	return []MessageType{
		{Number: 1, Sample: message.Renew{}},
		{Number: 2, Sample: message.RenewReply{}},
		{Number: 3, Sample: message.ClaimFast{}},
		{Number: 4, Sample: message.ClaimPrepare{}},
		{Number: 5, Sample: message.ClaimAccept{}},
		{Number: 6, Sample: message.ClaimRead{}},
		{Number: 7, Sample: message.ClaimReply{}},
		{Number: 8, Sample: message.Offer{}, Class: ClassBulk},
		{Number: 9, Sample: message.OfferReply{}, Class: ClassBulk},
		{Number: 10, Sample: message.Fetch{}},
		{Number: 11, Sample: message.Grant{}},
		{Number: 12, Sample: message.Withdraw{}},
		{Number: 13, Sample: message.WithdrawReply{}, Class: ClassBulk},
		{Number: 14, Sample: message.Fence{}},
		{Number: 15, Sample: message.FenceReply{}, Class: ClassBulk},
		{Number: 16, Sample: message.Result{}, Class: ClassBulk},
		{Number: 17, Sample: message.ResultAck{}},
		{Number: 18, Sample: message.Attach{}},
		{Number: 30, Sample: message.ClaimBatch{}, HasNestedBodies: true},
		{Number: 31, Sample: message.ClaimReplies{}},
		{Number: 32, Sample: message.Cancel{}},
		{Number: 33, Sample: message.CancelReply{}},
		{Number: 34, Sample: message.Bundle{}, HasNestedBodies: true},
		{Number: 35, Sample: message.LoadReport{}},
		{Number: 36, Sample: message.Assign{}},
		{Number: 37, Sample: message.Progress{}},
		{Number: 19, Sample: message.AttachReply{}, Class: ClassBulk},
		{Number: 20, Sample: message.HandoverPart{}, Class: ClassBulk},
		{Number: 21, Sample: message.HandoverAck{}},
	}
}

// Codec encodes and decodes message bodies. It is safe for concurrent use.
type Codec struct {
	// plain knows no tags: with tags the encoder looks up the type of every value, and
	// the decoder that of every tag.
	plain, tagged mode
	byType        map[reflect.Type]*bodyType
	byNumber      map[uint64]*bodyType
}

// mode is one way to encode and decode.
type mode struct {
	cbor.UserBufferEncMode
	cbor.DecMode
}

// bodyType is one type of bodies.
type bodyType struct {
	number uint64
	goType reflect.Type
	class  Class
	mode   *mode
}

// NewCodec returns a codec for CoreTypes and the given types. It returns an error
// when two types share a number or a type is listed twice.
func NewCodec(types ...MessageType) (*Codec, error) {
	tags := cbor.NewTagSet()
	opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagOptional}
	c := &Codec{byType: map[reflect.Type]*bodyType{}, byNumber: map[uint64]*bodyType{}}
	for _, entry := range append(CoreTypes(), types...) {
		goType := reflect.TypeOf(entry.Sample)
		if err := tags.Add(opts, goType, tagBase+entry.Number); err != nil {
			return nil, eris.Wrapf(err, "register message type %v as number %d", goType, entry.Number)
		}
		body := &bodyType{number: entry.Number, goType: goType, class: entry.Class, mode: &c.plain}
		if entry.HasNestedBodies {
			body.mode = &c.tagged
		}
		c.byType[goType] = body
		c.byNumber[entry.Number] = body
	}
	var err error
	if c.plain, err = newMode(cbor.NewTagSet()); err != nil {
		return nil, err
	}
	c.tagged, err = newMode(tags)
	return c, err
}

func newMode(tags cbor.TagSet) (mode, error) {
	encode, err := cbor.EncOptions{}.UserBufferEncModeWithTags(tags)
	if err != nil {
		return mode{}, eris.Wrap(err, "set up the CBOR encoder")
	}
	// Texts such as an endpoint's error may hold invalid UTF-8. Refusing them here
	// would close the link for all other messages too.
	decode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		IndefLength:       cbor.IndefLengthForbidden,
		UTF8:              cbor.UTF8DecodeInvalid,
	}.DecModeWithTags(tags)
	return mode{UserBufferEncMode: encode, DecMode: decode}, eris.Wrap(err, "set up the CBOR decoder")
}

// class returns the class of a body, and false when its type is not registered. A
// bundle, which is small, has the class of its most urgent part.
func (c *Codec) class(body any) (Class, bool) {
	if bundle, ok := body.(message.Bundle); ok {
		class := ClassBulk
		for _, part := range bundle.Bodies {
			if known, ok := c.byType[reflect.TypeOf(part)]; ok {
				class = min(class, known.class)
			}
		}
		return class, true
	}
	known, ok := c.byType[reflect.TypeOf(body)]
	if !ok {
		return ClassControl, false
	}
	return known.class, true
}
