package consensus

import "zinniasill"

// Role is the Raft role of a replica in its term.
type Role uint8

// Values of Role.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "unknown"
	}
}

// Phase is the stage of a replica in becoming a voter of a cluster.
type Phase string

// Values of Phase.
const (
	// PhaseForming means that the replica is waiting for all listed members to form a
	// new cluster.
	PhaseForming Phase = "forming"
	// PhaseJoining means that the replica is not a voter and requests to become one.
	PhaseJoining Phase = "joining"
	// PhaseVoter means that the replica is a voter.
	PhaseVoter Phase = "voter"
)

// Status describes a replica.
type Status struct {
	Cluster zinniasill.ClusterID
	Phase   Phase
	// Obstacle is the reason why forming or joining makes no progress, empty if unknown.
	Obstacle   string
	Role       Role
	Term       Term
	Leader     zinniasill.Node
	Membership Membership
	Commit     Index
	Applied    Index
	Last       Index
	// Fault is set if a message conflicted with a committed entry. The replica must be
	// stopped.
	Fault error
}

// Status returns the current status.
func (r *Replica) Status() Status {
	return Status{
		Cluster:    r.hard.Cluster,
		Phase:      r.phase(),
		Obstacle:   r.forming.obstacle,
		Role:       r.role,
		Term:       r.hard.Term,
		Leader:     r.leader,
		Membership: r.membership(),
		Commit:     r.commit,
		Applied:    r.applied,
		Last:       r.log.last(),
		Fault:      r.fault,
	}
}

func (r *Replica) phase() Phase {
	switch {
	case r.hard.Cluster != "" && r.membership().IsVoter(r.self):
		return PhaseVoter
	case r.isForming():
		return PhaseForming
	default:
		return PhaseJoining
	}
}
