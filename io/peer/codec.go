package peer

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"zinniasill/core/message"
)

// tagBase plus the number of a type is the CBOR tag of a nested value of that type. The
// IANA registry of CBOR tags has no assignments in this range.
const tagBase = 60000

// Class is the priority class of a message type. Each link has one queue per class.
type Class uint8

// Values of Class.
const (
	// ClassControl is for the short messages that leases, claims and the replicated log
	// depend on.
	ClassControl Class = iota
	// ClassBulk is for messages that carry payloads or outputs. They are sent after the
	// queued control messages and do not use the queue space of these.
	ClassBulk
)

// MessageType registers one Go type as a message type with a number on the wire. A
// number is never reused for another type.
type MessageType struct {
	Number uint64
	// Sample is any value of the type, not a pointer.
	Sample any
	Class  Class
	// HasNestedBodies is set for a type with fields that hold values of any registered
	// type. Such values are encoded with a CBOR tag that identifies their type.
	HasNestedBodies bool
}

// CoreTypes returns the message types of package message. Numbers from 64 on are
// reserved for other packages.
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
		{Number: 38, Sample: message.LockRequest{}},
		{Number: 39, Sample: message.LockReply{}},
		{Number: 40, Sample: message.LockInquiry{}},
		{Number: 41, Sample: message.LockInquiryReply{}},
		{Number: 42, Sample: message.LockRecovery{}},
		{Number: 43, Sample: message.LockRecoveryReply{}},
		{Number: 19, Sample: message.AttachReply{}, Class: ClassBulk},
		{Number: 20, Sample: message.HandoverPart{}, Class: ClassBulk},
		{Number: 21, Sample: message.HandoverAck{}},
	}
}

// Codec encodes and decodes message bodies. It is safe for concurrent use.
type Codec struct {
	// untagged is used for types without nested bodies. It is faster: with tags, the
	// encoder looks up the type of every value, and the decoder that of every tag.
	untagged, tagged mode
	byType           map[reflect.Type]*bodyType
	byNumber         map[uint64]*bodyType
}

// mode is a pair of CBOR encoder and decoder with the same set of tags.
type mode struct {
	cbor.UserBufferEncMode
	cbor.DecMode
}

// bodyType is a registered message type.
type bodyType struct {
	number uint64
	goType reflect.Type
	class  Class
	mode   *mode
}

// NewCodec returns a codec for CoreTypes and the given types. It returns an error if
// two types have the same number or a type is listed twice.
func NewCodec(types ...MessageType) (*Codec, error) {
	tags := cbor.NewTagSet()
	opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagOptional}
	c := &Codec{byType: map[reflect.Type]*bodyType{}, byNumber: map[uint64]*bodyType{}}
	for _, messageType := range append(CoreTypes(), types...) {
		goType := reflect.TypeOf(messageType.Sample)
		if err := tags.Add(opts, goType, tagBase+messageType.Number); err != nil {
			return nil, eris.Wrapf(err, "register message type %v as number %d", goType, messageType.Number)
		}
		body := &bodyType{number: messageType.Number, goType: goType, class: messageType.Class, mode: &c.untagged}
		if messageType.HasNestedBodies {
			body.mode = &c.tagged
		}
		c.byType[goType] = body
		c.byNumber[messageType.Number] = body
	}
	var err error
	if c.untagged, err = newMode(cbor.NewTagSet()); err != nil {
		return nil, err
	}
	c.tagged, err = newMode(tags)
	return c, err
}

// newMode returns a strict encoder and decoder with the given tags.
func newMode(tags cbor.TagSet) (mode, error) {
	encode, err := cbor.EncOptions{}.UserBufferEncModeWithTags(tags)
	if err != nil {
		return mode{}, eris.Wrap(err, "set up the CBOR encoder")
	}
	// Strings such as an endpoint's error may contain invalid UTF-8. Rejecting them
	// here would close the link, and thereby affect all other messages.
	decode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		IndefLength:       cbor.IndefLengthForbidden,
		UTF8:              cbor.UTF8DecodeInvalid,
	}.DecModeWithTags(tags)
	return mode{UserBufferEncMode: encode, DecMode: decode}, eris.Wrap(err, "set up the CBOR decoder")
}

// class returns the class of a body, and false if its type is not registered. A bundle,
// which is small, has the highest priority class of its parts.
func (c *Codec) class(body any) (Class, bool) {
	if bundle, ok := body.(message.Bundle); ok {
		class := ClassBulk
		for _, part := range bundle.Bodies {
			if registered, ok := c.byType[reflect.TypeOf(part)]; ok {
				class = min(class, registered.class)
			}
		}
		return class, true
	}
	registered, ok := c.byType[reflect.TypeOf(body)]
	if !ok {
		return ClassControl, false
	}
	return registered.class, true
}
