package consensus

import (
	"time"

	"zinniasill"
)

// ProposalID identifies a proposal at the replica that it was made at.
type ProposalID uint64

// Outcome is how a proposal ended.
type Outcome uint8

// Values of Outcome.
const (
	// Accepted means that the entry is committed.
	Accepted Outcome = iota + 1
	// Unknown means that the outcome is not known: the entry may become committed.
	Unknown
	// NotLeader means that the entry was not written and will not be, because no
	// leader was known or the leader is handing over. Proposals that were forwarded
	// never end so: the network may have delivered another copy.
	NotLeader
)

// ProposalResult is the outcome of a proposal.
type ProposalResult struct {
	ID      ProposalID
	Outcome Outcome
	// Index is the index of the entry if it was accepted.
	Index Index
}

// proposal is a proposal without a result.
type proposal struct {
	id     ProposalID
	origin zinniasill.Node
	// session is the one of a forwarded proposal at the leader.
	session uint64
	// index is the entry at the leader, 0 for a proposal that was forwarded.
	index    Index
	deadline time.Time
}

// Propose asks for data to become an entry. The result is returned by a later
// Ready. The id must be new for this Replica. The network may repeat a forwarded
// proposal, and a caller may repeat a lost one, so that data must carry what is
// needed to apply it once.
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

func (r *Replica) acceptsProposals() bool {
	return r.role == Leader && r.leading.target == zinniasill.Node{}
}

func (r *Replica) addData(data []byte) Index {
	index := r.log.last() + 1
	r.add(Entry{Index: index, Term: r.hard.Term, Kind: KindData, Data: data})
	r.leading.sendDue = true
	return index
}

func (r *Replica) finish(id ProposalID, outcome Outcome, index Index) {
	r.out.finished = append(r.out.finished, ProposalResult{ID: id, Outcome: outcome, Index: index})
}

func (r *Replica) onForward(from zinniasill.Node, req Forward) {
	for _, p := range r.proposals {
		if p.origin == from && p.session == req.Session && p.id == req.ID && p.index > 0 {
			return
		}
	}
	// A Forward of an earlier term may be a duplicate of one that was answered as
	// lost, so it is not written. The refusal is Lost, because an earlier copy may
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

// commitProposals finishes the proposals whose entries are committed.
func (r *Replica) commitProposals() {
	r.keepProposals(func(p proposal) bool {
		if p.index == 0 || p.index > r.commit {
			return true
		}
		r.answer(p, Accepted, p.index)
		return false
	})
}

// keepProposals drops the proposals for which keep returns false.
func (r *Replica) keepProposals(keep func(p proposal) bool) {
	var kept []proposal
	for _, p := range r.proposals {
		if keep(p) {
			kept = append(kept, p)
		}
	}
	r.proposals = kept
}

func (r *Replica) answer(p proposal, outcome Outcome, index Index) {
	if p.origin == r.self {
		r.finish(p.id, outcome, index)
		return
	}
	r.send(p.origin, ForwardReply{ID: p.id, Outcome: outcome, Index: index, Session: p.session})
}

// failPending ends all proposals and unconfirmed reads when the leader changed.
func (r *Replica) failPending() {
	r.keepProposals(func(p proposal) bool {
		r.answer(p, Unknown, 0)
		return false
	})
	r.keepReads(func(q read) bool {
		r.answerRead(q, false)
		return false
	})
}

// expire ends forwarded proposals and reads that got no answer in time.
func (r *Replica) expire() {
	r.keepProposals(func(p proposal) bool {
		if p.index > 0 || r.now.Before(p.deadline) {
			return true
		}
		r.finish(p.id, Unknown, 0)
		return false
	})
	r.keepReads(func(q read) bool {
		if q.deadline.IsZero() || r.now.Before(q.deadline) {
			return true
		}
		r.answerRead(q, false)
		return false
	})
}

// takeProposals returns the results whose entries were handed out as committed.
func (r *Replica) takeProposals() []ProposalResult {
	var taken, kept []ProposalResult
	for _, result := range r.out.finished {
		if result.Outcome == Accepted && result.Index > r.applied {
			kept = append(kept, result)
		} else {
			taken = append(taken, result)
		}
	}
	r.out.finished = kept
	return taken
}
