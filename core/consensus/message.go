package consensus

import "zinniasill"

// PreVote asks whether a vote in Term would be granted. It changes no state at
// the receiver, so that a replica that was cut off does not raise terms.
type PreVote struct {
	Term      Term  `cbor:"1,keyasint"`
	LastIndex Index `cbor:"2,keyasint"`
	LastTerm  Term  `cbor:"3,keyasint"`
}

// PreVoteReply answers a PreVote. Term is the requested term if granted, else
// the receiver's.
type PreVoteReply struct {
	Term    Term `cbor:"1,keyasint"`
	Granted bool `cbor:"2,keyasint,omitempty"`
}

// Vote asks for the receiver's vote in Term.
type Vote struct {
	Term      Term  `cbor:"1,keyasint"`
	LastIndex Index `cbor:"2,keyasint"`
	LastTerm  Term  `cbor:"3,keyasint"`
	// Transfer is set when the leader asked the sender to stand for election, so
	// that receivers do not protect that leader.
	Transfer bool `cbor:"4,keyasint,omitempty"`
}

// VoteReply answers a Vote.
type VoteReply struct {
	Term    Term `cbor:"1,keyasint"`
	Granted bool `cbor:"2,keyasint,omitempty"`
}

// Append carries entries after (PrevIndex, PrevTerm). Without entries it is a
// heartbeat.
type Append struct {
	Term      Term    `cbor:"1,keyasint"`
	PrevIndex Index   `cbor:"2,keyasint"`
	PrevTerm  Term    `cbor:"3,keyasint"`
	Entries   []Entry `cbor:"4,keyasint,omitempty"`
	Commit    Index   `cbor:"5,keyasint"`
	// Round numbers the leader's quorum rounds for reads.
	Round uint64 `cbor:"6,keyasint"`
}

// AppendReply answers an Append or InstallSnapshot.
type AppendReply struct {
	Term  Term   `cbor:"1,keyasint"`
	OK    bool   `cbor:"2,keyasint,omitempty"`
	Round uint64 `cbor:"3,keyasint"`
	// Match is the last index known to equal the leader's log if OK, else the
	// index from which the leader should try again.
	Match Index `cbor:"4,keyasint"`
}

// InstallSnapshot replaces the log of a replica that lags behind the leader's
// first entry.
type InstallSnapshot struct {
	Term     Term     `cbor:"1,keyasint"`
	Snapshot Snapshot `cbor:"2,keyasint"`
	Round    uint64   `cbor:"3,keyasint"`
}

// TimeoutNow asks the receiver to stand for election at once.
type TimeoutNow struct {
	Term Term `cbor:"1,keyasint"`
}

// Forward carries a proposal from a follower to the leader. The reply repeats
// Session, which the follower draws at its start, so that a reply to an earlier
// process with the same instance is not taken for a reply to this one.
type Forward struct {
	Term    Term       `cbor:"1,keyasint"`
	ID      ProposalID `cbor:"2,keyasint"`
	Data    []byte     `cbor:"3,keyasint"`
	Session uint64     `cbor:"4,keyasint"`
}

// ForwardReply returns the outcome of a Forward.
type ForwardReply struct {
	ID      ProposalID `cbor:"1,keyasint"`
	Outcome Outcome    `cbor:"2,keyasint"`
	Index   Index      `cbor:"3,keyasint"`
	Session uint64     `cbor:"4,keyasint"`
}

// ReadRequest asks the leader for a read index. One request stands for all reads of
// a batch at the sender.
type ReadRequest struct {
	Batch   uint64 `cbor:"1,keyasint"`
	Session uint64 `cbor:"2,keyasint"`
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	Batch   uint64 `cbor:"1,keyasint"`
	OK      bool   `cbor:"2,keyasint,omitempty"`
	Index   Index  `cbor:"3,keyasint"`
	Session uint64 `cbor:"4,keyasint"`
}

// Hello introduces a replica during the formation of a cluster. It is answered
// with a Hello whose Reply is set.
type Hello struct {
	Member Member `cbor:"1,keyasint"`
	// Cluster is empty for a replica without state.
	Cluster zinniasill.ClusterID `cbor:"2,keyasint,omitempty"`
	// Forming is set when the sender was told to form a new cluster.
	Forming bool `cbor:"3,keyasint,omitempty"`
	// Agreed is the id of the cluster that the sender agreed to form.
	Agreed zinniasill.ClusterID `cbor:"4,keyasint,omitempty"`
	Reply  bool                 `cbor:"5,keyasint,omitempty"`
}

// JoinRequest asks the leader to make the sender a member.
type JoinRequest struct {
	Member Member `cbor:"1,keyasint"`
	// Forwarded is set by a member of an open group that passes the request on.
	Forwarded bool `cbor:"2,keyasint,omitempty"`
}

// JoinReply answers a JoinRequest. Refusal is empty when the request is being
// carried out.
type JoinReply struct {
	Cluster zinniasill.ClusterID `cbor:"1,keyasint"`
	Refusal JoinRefusal          `cbor:"2,keyasint,omitempty"`
}

// JoinRefusal says why a replica may not join.
type JoinRefusal string

// Values of JoinRefusal.
const (
	// RefusalUnknownName means that no member has the name; an operator must add
	// it first.
	RefusalUnknownName JoinRefusal = "no member has this name"
	// RefusalInstanceAlive means that another instance of the name still answers, which
	// happens when two processes are configured with one name.
	RefusalInstanceAlive JoinRefusal = "another instance of this name is alive"
)
