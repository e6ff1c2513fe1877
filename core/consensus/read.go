package consensus

import (
	"time"

	"zinniasill"
)

// ReadID identifies a read at the replica where it was made.
type ReadID uint64

// ReadResult is the outcome of a read. If OK, the entries that Ready has returned as
// committed include everything that was committed before the read was made.
type ReadResult struct {
	ID    ReadID
	OK    bool
	Index Index
}

// read is a pending read.
type read struct {
	id     ReadID
	origin zinniasill.Node
	// batch is the number of the ReadRequest that includes this read, 0 if it was not
	// sent. For a request of another replica, batch and session are copied from it.
	batch   uint64
	session uint64
	// round is the heartbeat round that a quorum must answer, 0 if none has started.
	round uint64
	// index is the commit index at the start of the round.
	index Index
	// deadline is set for a read that is forwarded to the leader.
	deadline time.Time
}

// ReadIndex requests an index that is not lower than any index committed so far. The
// result is returned by a later Ready. The id must not have been used before at this
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

// sendReads sends one ReadRequest for all reads since the last one.
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
	r.filterReads(func(q read) bool {
		if q.origin != r.self || q.batch == 0 || q.batch != reply.Batch {
			return true
		}
		r.out.reads = append(r.out.reads, ReadResult{ID: q.id, OK: reply.OK, Index: reply.Index})
		return false
	})
}

// startReadRound starts one heartbeat round for all reads that are not in a round. The
// leader must have committed an entry of its term, because before that its commit index
// may be lower than that of an earlier leader.
func (r *Replica) startReadRound() {
	if r.commit < r.leading.firstIndex {
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
		r.leading.sendAll = true
		r.confirmReads()
	}
}

// confirmReads completes the reads whose round was answered by a quorum.
func (r *Replica) confirmReads() {
	if r.role != Leader || len(r.reads) == 0 {
		return
	}
	voters := r.membership().Voters
	r.filterReads(func(q read) bool {
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
		r.completeRead(q, true)
		return false
	})
}

// filterReads removes the reads for which keep returns false.
func (r *Replica) filterReads(keep func(q read) bool) {
	var remaining []read
	for _, q := range r.reads {
		if keep(q) {
			remaining = append(remaining, q)
		}
	}
	r.reads = remaining
}

// completeRead returns the result of a read to its origin.
func (r *Replica) completeRead(q read, ok bool) {
	if q.origin != r.self {
		r.send(q.origin, ReadReply{Batch: q.batch, OK: ok, Index: q.index, Session: q.session})
		return
	}
	r.out.reads = append(r.out.reads, ReadResult{ID: q.id, OK: ok, Index: q.index})
}

// takeReads removes and returns the results of reads, except successful ones whose index
// was not yet returned as committed.
func (r *Replica) takeReads() []ReadResult {
	var taken, remaining []ReadResult
	for _, result := range r.out.reads {
		if result.OK && result.Index > r.applied {
			remaining = append(remaining, result)
		} else {
			taken = append(taken, result)
		}
	}
	r.out.reads = remaining
	return taken
}
