package message

import (
	"cmp"

	"zinniasill"
)

// Register identifies a write-once register that holds the owner of a job in one term.
// It is replicated by the claim group of one epoch.
type Register struct {
	Key   zinniasill.Key   `cbor:"1,keyasint"`
	Term  zinniasill.Term  `cbor:"2,keyasint"`
	Epoch zinniasill.Epoch `cbor:"3,keyasint"`
}

// Ballot orders the rounds of a register. Round 0 is the fast round, which is
// open to every proposer.
type Ballot struct {
	Round    uint64            `cbor:"1,keyasint"`
	Proposer zinniasill.NodeID `cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 as b is lower than, equal to or higher than other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer))
}

// Claim is the value of a register.
type Claim struct {
	Owner  zinniasill.Node   `cbor:"1,keyasint"`
	Digest zinniasill.Digest `cbor:"2,keyasint"`
	// Candidates are the agents to which the owner may offer tasks.
	Candidates []zinniasill.Node `cbor:"3,keyasint,omitempty"`
	// Tombstone closes the register without assigning the job an owner. Owner is then
	// the entry that closed it.
	Tombstone bool `cbor:"4,keyasint,omitempty"`
	// Refused is set on a tombstone that refuses the key permanently.
	Refused zinniasill.Reason `cbor:"5,keyasint,omitempty"`
	// Sequence numbers the claims of one incarnation of an entry, so that an owner that
	// has discarded a job recognises its earlier claim to it. It is 0 in a tombstone.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
}

// Equal reports whether two claims are the same value. Claims are identified by owner,
// sequence number and kind.
func (c Claim) Equal(other Claim) bool {
	return c.Owner == other.Owner && c.Sequence == other.Sequence &&
		c.Tombstone == other.Tombstone && c.Refused == other.Refused
}

// ClaimFast asks an acceptor to accept a value in the fast round.
type ClaimFast struct {
	Register Register `cbor:"1,keyasint"`
	Value    Claim    `cbor:"2,keyasint"`
}

// ClaimPrepare asks an acceptor to promise a ballot.
type ClaimPrepare struct {
	Register Register `cbor:"1,keyasint"`
	Ballot   Ballot   `cbor:"2,keyasint"`
}

// ClaimAccept asks an acceptor to accept a value in a classic round.
type ClaimAccept struct {
	Register Register `cbor:"1,keyasint"`
	Ballot   Ballot   `cbor:"2,keyasint"`
	Value    Claim    `cbor:"3,keyasint"`
}

// ClaimRead asks an acceptor for its state without changing it.
type ClaimRead struct {
	Register Register `cbor:"1,keyasint"`
}

// ClaimReply is an acceptor's answer and carries its complete state for the register.
type ClaimReply struct {
	Register Register `cbor:"1,keyasint"`
	// Ballot is the ballot of the request.
	Ballot Ballot `cbor:"2,keyasint,omitzero"`
	// Prepare is true in an answer to a ClaimPrepare.
	Prepare bool `cbor:"3,keyasint,omitempty"`
	// OK is true if the acceptor has promised the ballot or accepted the value.
	OK       bool   `cbor:"4,keyasint,omitempty"`
	Promised Ballot `cbor:"5,keyasint,omitzero"`
	// Accepted and Value are valid if HasValue is true.
	HasValue bool   `cbor:"6,keyasint,omitempty"`
	Accepted Ballot `cbor:"7,keyasint,omitzero"`
	Value    Claim  `cbor:"8,keyasint,omitzero"`
	// Expired is true if the register's epoch has left the retention window.
	Expired bool `cbor:"9,keyasint,omitempty"`
	// Full is true if the acceptor has no space for another register. It has then
	// neither promised nor accepted anything.
	Full bool `cbor:"10,keyasint,omitempty"`
}

// ClaimBatch carries several claim messages to one agent. A job queries the registers of
// all epochs in the retention window, and their claim groups have mostly the same
// members.
type ClaimBatch struct {
	// Requests are ClaimFast, ClaimPrepare, ClaimAccept and ClaimRead values.
	Requests []any `cbor:"1,keyasint"`
}

// ClaimReplies answers a ClaimBatch.
type ClaimReplies struct {
	Replies []ClaimReply `cbor:"1,keyasint"`
}
