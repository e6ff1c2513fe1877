package consensus

import (
	"time"

	"zinniasill"
)

// ReadID identifies a read at the replica that it was made at.
type ReadID uint64

// ReadResult is the outcome of a read. If OK, the entries that were handed out
// as committed include everything that was committed before the read was made.
type ReadResult struct {
	ID    ReadID
	OK    bool
	Index Index
}

// read is a read without a result.
type read struct {
	id     ReadID
	origin zinniasill.Node
	// batch numbers the request that this read was sent to the leader with, 0 if it
	// was not sent. For a read of another replica, batch and session are its own.
	batch   uint64
	session uint64
	// round is the quorum round that must be completed, 0 before one was begun.
	round uint64
	index Index
	// deadline is set for a read that goes to another replica, the leader.
	deadline time.Time
}

// ReadIndex asks for a point in the log that includes everything committed so
// far. The result is returned by a later Ready. The id must be new for this
// Replica.
func (r *Replica) ReadIndex(now time.Time, id ReadID) {
	r.advance(now)
	switch {
	case r.role == Leader:
		r.reads = append(r.reads, read{id: id, origin: r.self})
	case r.leader == zinniasill.Node{}:
		r.out.reads = append(r.out.reads, ReadResult{ID: id})
	default:
		r.reads = append(r.reads, read{id: id, origin: r.self, deadline: now.Add(r.cfg.ProposalTimeout)})
	}
}

// sendReads sends one request for all reads since the last one.
func (r *Replica) sendReads() {
	unsent := false
	for i := range r.reads {
		q := &r.reads[i]
		if q.batch == 0 {
			q.batch = r.batch + 1
			unsent = true
		}
	}
	if unsent {
		r.batch++
		r.send(r.leader, ReadRequest{Batch: r.batch, Session: r.session})
	}
}

func (r *Replica) onReadRequest(from zinniasill.Node, req ReadRequest) {
	if r.role != Leader {
		r.send(from, ReadReply{Batch: req.Batch, Session: req.Session})
		return
	}
	r.reads = append(r.reads, read{origin: from, batch: req.Batch, session: req.Session})
}

func (r *Replica) onReadReply(reply ReadReply) {
	if reply.Session != r.session {
		return
	}
	r.keepReads(func(q read) bool {
		if q.origin != r.self || q.batch == 0 || q.batch != reply.Batch {
			return true
		}
		r.out.reads = append(r.out.reads, ReadResult{ID: q.id, OK: reply.OK, Index: reply.Index})
		return false
	})
}

// startReadRound begins one quorum round for all reads that wait for one. The
// leader must have committed an entry of its term, else its commit index may be
// behind that of an earlier leader.
func (r *Replica) startReadRound() {
	if r.commit < r.leading.first {
		return
	}
	started := false
	for i := range r.reads {
		q := &r.reads[i]
		if q.round > 0 {
			continue
		}
		q.round = r.leading.round + 1
		q.index = r.commit
		started = true
	}
	if started {
		r.leading.round++
		r.leading.sendDue = true
		r.confirmReads()
	}
}

// confirmReads confirms the reads whose round a quorum has answered.
func (r *Replica) confirmReads() {
	if r.role != Leader || len(r.reads) == 0 {
		return
	}
	voters := r.membership().Voters
	r.keepReads(func(q read) bool {
		if q.round == 0 {
			return true
		}
		answered := 0
		for _, voter := range voters {
			f, ok := r.leading.followers[voter.Node()]
			if voter.Node() == r.self || ok && f.round >= q.round {
				answered++
			}
		}
		if answered < r.quorum(len(voters)) {
			return true
		}
		r.answerRead(q, true)
		return false
	})
}

// keepReads drops the reads for which keep returns false.
func (r *Replica) keepReads(keep func(q read) bool) {
	var kept []read
	for _, q := range r.reads {
		if keep(q) {
			kept = append(kept, q)
		}
	}
	r.reads = kept
}

func (r *Replica) answerRead(q read, ok bool) {
	if q.origin != r.self {
		r.send(q.origin, ReadReply{Batch: q.batch, OK: ok, Index: q.index, Session: q.session})
		return
	}
	r.out.reads = append(r.out.reads, ReadResult{ID: q.id, OK: ok, Index: q.index})
}

// takeReads returns the results whose index was handed out as committed.
func (r *Replica) takeReads() []ReadResult {
	var taken, kept []ReadResult
	for _, result := range r.out.reads {
		if result.OK && result.Index > r.applied {
			kept = append(kept, result)
		} else {
			taken = append(taken, result)
		}
	}
	r.out.reads = kept
	return taken
}
