package consensus

import "zinniasill"

// Index is the position of an entry in the log, from 1.
type Index uint64

// Term numbers the periods of leadership, from 1.
type Term uint64

// Kind is the kind of an entry.
type Kind uint8

// Values of Kind.
const (
	// KindData carries a proposal.
	KindData Kind = iota
	// KindEmpty is written by each new leader, so that entries of earlier terms
	// become committed.
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

// HardState is what a replica must not forget besides its log.
type HardState struct {
	Cluster zinniasill.ClusterID `cbor:"1,keyasint"`
	Term    Term                 `cbor:"2,keyasint"`
	// Vote is the candidate that got this replica's vote in Term.
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

// Recovered is what a data folder held at the start. The zero value is an empty
// folder.
type Recovered struct {
	Hard     HardState
	Snapshot *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}
