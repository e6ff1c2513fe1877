package message

import (
	"time"

	"zinniasill"
)

// The messages in this file carry the locks of direct jobs between entries, see package
// joblock.

// LockRequest tells a home all locks that an entry wants there.
type LockRequest struct {
	// Entry is the incarnation of the sending entry.
	Entry zinniasill.Incarnation `cbor:"1,keyasint"`
	// Sequence numbers the messages of this incarnation to this home.
	Sequence uint64       `cbor:"2,keyasint"`
	Wanted   []WantedLock `cbor:"3,keyasint,omitempty"`
	// Last is the number of the last lock that the entry has requested anywhere.
	Last uint64 `cbor:"4,keyasint,omitempty"`
	// NoReply is set if the entry needs no answer.
	NoReply bool `cbor:"5,keyasint,omitempty"`
	// Cancelled are jobs that callers have cancelled at the entry, until the home confirms.
	Cancelled []string `cbor:"6,keyasint,omitempty"`
}

// WantedLock is one lock that an entry wants or holds.
type WantedLock struct {
	Job string `cbor:"1,keyasint"`
	// Number is unique among the requests of this incarnation of the entry.
	Number uint64 `cbor:"2,keyasint"`
}

// LockReply tells an entry which locks it holds at a home.
type LockReply struct {
	// Entry is the incarnation of the entry that the reply is for.
	Entry zinniasill.Incarnation `cbor:"1,keyasint"`
	// Sequence and Last are those of the newest LockRequest.
	Sequence uint64 `cbor:"2,keyasint"`
	Last     uint64 `cbor:"3,keyasint,omitempty"`
	// Granted are the numbers of the locks that the entry holds.
	Granted []uint64 `cbor:"4,keyasint,omitempty"`
	// Home is the incarnation of the sending home.
	Home zinniasill.Incarnation `cbor:"5,keyasint"`
	// Cancelled are the numbers of the requests of the entry whose jobs are cancelled.
	Cancelled []uint64 `cbor:"6,keyasint,omitempty"`
	// Known are the jobs that the newest LockRequest tells to be cancelled and whose locks are
	// wanted by an entry.
	Known []string `cbor:"7,keyasint,omitempty"`
	// Recovering is set while the home, which has just started, does not know yet which locks
	// are held. It then grants none, and a lock that is not granted need not be held by another.
	Recovering bool `cbor:"8,keyasint,omitempty"`
}

// LockInquiry asks an entry which locks another entry, which the sender no longer hears, still
// wants or holds.
type LockInquiry struct {
	// Home is the incarnation of the sending home, Number that of the inquiry.
	Home   zinniasill.Incarnation `cbor:"1,keyasint"`
	Number uint64                 `cbor:"2,keyasint"`
	// Owner is the incarnation of the entry that is no longer heard.
	Owner zinniasill.Incarnation `cbor:"3,keyasint"`
	Jobs  []string               `cbor:"4,keyasint"`
}

// LockInquiryReply answers a LockInquiry.
type LockInquiryReply struct {
	// Home, Number and Owner are those of the LockInquiry.
	Home   zinniasill.Incarnation `cbor:"1,keyasint"`
	Number uint64                 `cbor:"2,keyasint"`
	Owner  zinniasill.Incarnation `cbor:"3,keyasint"`
	// Wanted are the jobs of the inquiry whose locks the owner wants or holds, as far as the
	// sender knows from the owner itself.
	Wanted []string `cbor:"4,keyasint,omitempty"`
}

// LockRecovery asks an entry which locks are held and which jobs are cancelled. A home that has
// just started sends it.
type LockRecovery struct {
	// Home is the incarnation of the sending home.
	Home zinniasill.Incarnation `cbor:"1,keyasint"`
}

// LockRecoveryReply answers a LockRecovery.
type LockRecoveryReply struct {
	// Home is that of the LockRecovery.
	Home zinniasill.Incarnation `cbor:"1,keyasint"`
	// Held are the locks that the sender holds.
	Held LockClaims `cbor:"2,keyasint"`
	// Others are the locks that others want or hold, as far as the sender knows as a home.
	Others []LockClaims `cbor:"3,keyasint,omitempty"`
	// Cancelled are the jobs that the sender remembers as cancelled.
	Cancelled []string `cbor:"4,keyasint,omitempty"`
}

// LockClaims are locks that one entry holds, or wants or holds.
type LockClaims struct {
	// Entry is the node and Owner the incarnation that claims them.
	Entry zinniasill.NodeID      `cbor:"1,keyasint"`
	Owner zinniasill.Incarnation `cbor:"2,keyasint"`
	Locks []WantedLock           `cbor:"3,keyasint,omitempty"`
	// Silence is the time for which the sender has not heard the owner.
	Silence time.Duration `cbor:"4,keyasint,omitempty"`
}
