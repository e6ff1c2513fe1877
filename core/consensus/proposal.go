package consensus

import (
	"time"

	"zinniasill"
)

// ProposalID identifies a proposal at the replica where it was made.
type ProposalID uint64

// Outcome is the outcome of a proposal.
type Outcome uint8

// Values of Outcome.
const (
	// Accepted means that the entry is committed.
	Accepted Outcome = iota + 1
	// Unknown means that it is not known whether the entry is or will be committed.
	Unknown
	// NotLeader means that the entry was not written and will not be, because no leader
	// was known or a transfer of leadership is in progress. Forwarded proposals never
	// have this outcome, because the network may have delivered another copy.
	NotLeader
)

// ProposalResult is the outcome of a proposal.
type ProposalResult struct {
	ID      ProposalID
	Outcome Outcome
	// Index is the index of the entry if the proposal was accepted.
	Index Index
}

// proposal is a pending proposal.
type proposal struct {
	id     ProposalID
	origin zinniasill.Node
	// session is Forward.Session of a proposal that was forwarded to this replica.
	session uint64
	// index is the index of the entry at the leader, 0 for a proposal that this replica
	// forwarded to the leader.
	index    Index
	deadline time.Time
}

// Propose proposes an entry with data. The result is returned by a later Ready. The id
// must not have been used before at this Replica. The same data may be committed twice,
// because the network may duplicate a forwarded proposal and a caller may retry one with
// the outcome Unknown. Data must therefore contain what is needed to apply it only once.
func (r *Replica) Propose(now time.Time, id ProposalID, data []byte) {
	r.advance(now)
	switch {
	case r.acceptsProposals():
		r.proposals = append(r.proposals, proposal{id: id, origin: r.self, index: r.addData(data)})
	case r.role == Leader || r.leader == zinniasill.Node{}:
		r.finish(id, NotLeader, 0)
	default:
		r.proposals = append(r.proposals, proposal{
			id: id, origin: r.self, deadline: now.Add(r.cfg.ProposalTimeout),
		})
		r.send(r.leader, Forward{Term: r.hard.Term, ID: id, Data: data, Session: r.session})
	}
}

// acceptsProposals reports whether this replica leads and no transfer is in progress.
func (r *Replica) acceptsProposals() bool {
	return r.role == Leader && r.leading.transferTarget == zinniasill.Node{}
}

// addData appends an entry with data and returns its index.
func (r *Replica) addData(data []byte) Index {
	index := r.log.last() + 1
	r.add(Entry{Index: index, Term: r.hard.Term, Kind: KindData, Data: data})
	r.leading.sendAll = true
	return index
}

// finish records the result of a proposal of this replica.
func (r *Replica) finish(id ProposalID, outcome Outcome, index Index) {
	r.out.finished = append(r.out.finished, ProposalResult{ID: id, Outcome: outcome, Index: index})
}

func (r *Replica) onForward(from zinniasill.Node, req Forward) {
	for _, p := range r.proposals {
		if p.origin == from && p.session == req.Session && p.id == req.ID && p.index > 0 {
			return
		}
	}
	// A Forward of an earlier term is not written, because it may be a duplicate of one
	// that was answered with Unknown. The answer is Unknown, because an earlier copy may
	// have been written.
	if !r.acceptsProposals() || req.Term != r.hard.Term {
		r.send(from, ForwardReply{ID: req.ID, Outcome: Unknown, Session: req.Session})
		return
	}
	r.proposals = append(r.proposals, proposal{
		id: req.ID, origin: from, session: req.Session, index: r.addData(req.Data),
	})
}

func (r *Replica) onForwardReply(reply ForwardReply) {
	if reply.Session != r.session {
		return
	}
	for i, p := range r.proposals {
		if p.origin == r.self && p.id == reply.ID && p.index == 0 {
			r.proposals = append(r.proposals[:i:i], r.proposals[i+1:]...)
			r.finish(reply.ID, reply.Outcome, reply.Index)
			return
		}
	}
}

// commitProposals completes the proposals whose entries are committed.
func (r *Replica) commitProposals() {
	r.filterProposals(func(p proposal) bool {
		if p.index == 0 || p.index > r.commit {
			return true
		}
		r.completeProposal(p, Accepted, p.index)
		return false
	})
}

// filterProposals removes the proposals for which keep returns false.
func (r *Replica) filterProposals(keep func(p proposal) bool) {
	var remaining []proposal
	for _, p := range r.proposals {
		if keep(p) {
			remaining = append(remaining, p)
		}
	}
	r.proposals = remaining
}

// completeProposal returns the result of a proposal to its origin.
func (r *Replica) completeProposal(p proposal, outcome Outcome, index Index) {
	if p.origin == r.self {
		r.finish(p.id, outcome, index)
		return
	}
	r.send(p.origin, ForwardReply{ID: p.id, Outcome: outcome, Index: index, Session: p.session})
}

// failPending completes all pending proposals with Unknown, and fails all pending reads,
// when the leader has changed.
func (r *Replica) failPending() {
	r.filterProposals(func(p proposal) bool {
		r.completeProposal(p, Unknown, 0)
		return false
	})
	r.filterReads(func(q read) bool {
		r.completeRead(q, false)
		return false
	})
}

// expirePending completes forwarded proposals with Unknown, and fails forwarded reads, if
// they had no answer within the proposal timeout.
func (r *Replica) expirePending() {
	r.filterProposals(func(p proposal) bool {
		if p.index > 0 || r.now.Before(p.deadline) {
			return true
		}
		r.finish(p.id, Unknown, 0)
		return false
	})
	r.filterReads(func(q read) bool {
		if q.deadline.IsZero() || r.now.Before(q.deadline) {
			return true
		}
		r.completeRead(q, false)
		return false
	})
}

// takeProposals removes and returns the results of proposals, except accepted ones whose
// entries were not yet returned as committed.
func (r *Replica) takeProposals() []ProposalResult {
	var taken, remaining []ProposalResult
	for _, result := range r.out.finished {
		if result.Outcome == Accepted && result.Index > r.applied {
			remaining = append(remaining, result)
		} else {
			taken = append(taken, result)
		}
	}
	r.out.finished = remaining
	return taken
}
