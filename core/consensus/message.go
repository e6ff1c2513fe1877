package consensus

import "zinniasill"

// PreVote asks whether a vote in Term would be granted. It changes no durable state at
// the receiver, so that a partitioned replica does not increase the term.
type PreVote struct {
	Term      Term  `cbor:"1,keyasint"`
	LastIndex Index `cbor:"2,keyasint"`
	LastTerm  Term  `cbor:"3,keyasint"`
}

// PreVoteReply answers a PreVote. Term is the requested term if granted, else the
// sender's current term.
type PreVoteReply struct {
	Term    Term `cbor:"1,keyasint"`
	Granted bool `cbor:"2,keyasint,omitempty"`
}

// Vote asks for the receiver's vote in Term.
type Vote struct {
	Term      Term  `cbor:"1,keyasint"`
	LastIndex Index `cbor:"2,keyasint"`
	LastTerm  Term  `cbor:"3,keyasint"`
	// Transfer is set when the leader requested the election with TimeoutNow. Receivers
	// then grant votes although the leader is alive.
	Transfer bool `cbor:"4,keyasint,omitempty"`
}

// VoteReply answers a Vote.
type VoteReply struct {
	Term    Term `cbor:"1,keyasint"`
	Granted bool `cbor:"2,keyasint,omitempty"`
}

// Append replicates the entries after (PrevIndex, PrevTerm). Without entries it is a
// heartbeat.
type Append struct {
	Term      Term    `cbor:"1,keyasint"`
	PrevIndex Index   `cbor:"2,keyasint"`
	PrevTerm  Term    `cbor:"3,keyasint"`
	Entries   []Entry `cbor:"4,keyasint,omitempty"`
	Commit    Index   `cbor:"5,keyasint"`
	// Round is the leader's last heartbeat round for read indexes.
	Round uint64 `cbor:"6,keyasint"`
}

// AppendReply answers an Append or InstallSnapshot.
type AppendReply struct {
	Term  Term   `cbor:"1,keyasint"`
	OK    bool   `cbor:"2,keyasint,omitempty"`
	Round uint64 `cbor:"3,keyasint"`
	// Match is, if OK, the last index up to which the log matches the leader's. Else
	// the leader should retry with this index as PrevIndex.
	Match Index `cbor:"4,keyasint"`
}

// InstallSnapshot replaces the log of a replica that needs entries which the leader has
// already compacted.
type InstallSnapshot struct {
	Term     Term     `cbor:"1,keyasint"`
	Snapshot Snapshot `cbor:"2,keyasint"`
	Round    uint64   `cbor:"3,keyasint"`
}

// TimeoutNow requests that the receiver start an election immediately.
type TimeoutNow struct {
	Term Term `cbor:"1,keyasint"`
}

// Forward carries a proposal from a follower to the leader. Session is a random number
// that the follower draws at startup. The reply repeats it, so that the follower can
// discard replies to an earlier process with the same instance.
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

// ReadRequest requests a read index from the leader. One request covers all reads of a
// batch at the sender.
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

// Hello announces a replica and its state during the formation of a cluster. It is
// answered with a Hello that has Reply set.
type Hello struct {
	Member Member `cbor:"1,keyasint"`
	// Cluster is empty for a replica without state.
	Cluster zinniasill.ClusterID `cbor:"2,keyasint,omitempty"`
	// Forming is set when the sender is configured to form a new cluster.
	Forming bool `cbor:"3,keyasint,omitempty"`
	// Agreed is the id of the cluster that the sender agreed to form.
	Agreed zinniasill.ClusterID `cbor:"4,keyasint,omitempty"`
	Reply  bool                 `cbor:"5,keyasint,omitempty"`
}

// JoinRequest asks the leader to add Member to the membership.
type JoinRequest struct {
	Member Member `cbor:"1,keyasint"`
	// Forwarded is set by a member of an open cluster that forwards the request.
	Forwarded bool `cbor:"2,keyasint,omitempty"`
	// FirstStart is set by a replica without a log that started together with the whole
	// cluster. It increases the size of the cluster; any other replica with a new name takes
	// the place of one that is gone.
	FirstStart bool `cbor:"3,keyasint,omitempty"`
}

// JoinReply answers a JoinRequest. Refusal is empty if the replica is a member.
type JoinReply struct {
	Cluster zinniasill.ClusterID `cbor:"1,keyasint"`
	Refusal JoinRefusal          `cbor:"2,keyasint,omitempty"`
}

// JoinRefusal is the reason why a replica may not join.
type JoinRefusal string

// Values of JoinRefusal.
const (
	// RefusalUnknownName means that no member has the name. An operator must admit it
	// first.
	RefusalUnknownName JoinRefusal = "no member has this name"
	// RefusalInstanceAlive means that another instance of the name is still active, as
	// when two processes are configured with the same name.
	RefusalInstanceAlive JoinRefusal = "another instance of this name is alive"
)
