package consensus

import "zinniasill"

// Index is the position of an entry in the log, from 1.
type Index uint64

// Term numbers the election terms, from 1. A term has at most one leader.
type Term uint64

// Kind is the kind of an entry.
type Kind uint8

// Values of Kind.
const (
	// KindData carries a proposal.
	KindData Kind = iota
	// KindEmpty is written by each new leader, so that it can commit the entries of
	// earlier terms.
	KindEmpty
	// KindMembership replaces the membership.
	KindMembership
)

// Entry is one entry of the log. Entries are never modified.
type Entry struct {
	Index Index  `cbor:"1,keyasint"`
	Term  Term   `cbor:"2,keyasint"`
	Kind  Kind   `cbor:"3,keyasint,omitempty"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
	// Membership is set for KindMembership.
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// HardState is the durable state of a replica besides its log.
type HardState struct {
	Cluster zinniasill.ClusterID `cbor:"1,keyasint"`
	Term    Term                 `cbor:"2,keyasint"`
	// Vote is the candidate that received this replica's vote in Term.
	Vote zinniasill.Node `cbor:"3,keyasint"`
	// Agreed is the id of the cluster that this replica agreed to form.
	Agreed zinniasill.ClusterID `cbor:"4,keyasint,omitempty"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      Index      `cbor:"1,keyasint"`
	Term       Term       `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// Recovered is the state that was read from a data folder at startup. The zero value
// stands for an empty folder.
type Recovered struct {
	Hard     HardState
	Snapshot *Snapshot
	// Entries follow the snapshot, or start at index 1, without a gap.
	Entries []Entry
}
