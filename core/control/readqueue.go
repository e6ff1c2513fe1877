package control

import (
	"slices"
	"time"

	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

const (
	// renewTimeout is the time after which a renewal without a reply is dropped. By
	// then the node has sent its renewal to another replica.
	renewTimeout = time.Second
	// readBatchInterval is the minimum time between two reads. Requests that arrive
	// within it are batched, so that many renewals share one round of the replicas.
	readBatchInterval = 100 * time.Millisecond
	// readTimeout is the time after which a read without a result is abandoned and
	// its requests are queued for another read.
	readTimeout = time.Second
)

// pendingRequest is a renewal or a read that waits for a read index. Exactly one of
// renewal and readDone is set.
type pendingRequest struct {
	deadline time.Time
	renewal  *message.Renew
	readDone func(*catalog.Catalog, error)
}

// readBatch is a set of requests that share one read index.
type readBatch struct {
	readID      uint64
	requestedAt time.Time
	requests    []pendingRequest
}

// readQueue holds requests until their read index is confirmed and applied. Requests
// that arrive while a read is in flight are never added to it, because its round may
// have begun before they arrived.
type readQueue struct {
	lastReadID uint64
	queued     []pendingRequest
	inFlight   []readBatch
	// failed holds the requests of reads that failed since the last tick.
	failed []pendingRequest
	// confirmed holds the requests whose read index is confirmed.
	confirmed []confirmedRequest
}

// confirmedRequest is a request with the index that must be applied before the reply.
type confirmedRequest struct {
	pendingRequest
	index uint64
	// repliedEarly is set once replyEarly has passed the request to its callback.
	repliedEarly bool
}

func (q *readQueue) enqueue(r pendingRequest) {
	q.queued = append(q.queued, r)
}

// startRead starts a read for the queued requests and returns its id. It returns nil
// when no request is queued or the last read in flight is younger than
// readBatchInterval.
func (q *readQueue) startRead(now time.Time) []uint64 {
	if len(q.queued) == 0 {
		return nil
	}
	if n := len(q.inFlight); n > 0 && now.Sub(q.inFlight[n-1].requestedAt) < readBatchInterval {
		return nil
	}
	q.lastReadID++
	q.inFlight = append(q.inFlight, readBatch{readID: q.lastReadID, requestedAt: now, requests: q.queued})
	q.queued = nil
	return []uint64{q.lastReadID}
}

// fail removes a read. Its requests are queued again at the next tick.
func (q *readQueue) fail(readID uint64) {
	q.inFlight = slices.DeleteFunc(q.inFlight, func(b readBatch) bool {
		if b.readID != readID {
			return false
		}
		q.failed = append(q.failed, b.requests...)
		return true
	})
}

// confirm records the read index of a read. An unknown read id is ignored.
func (q *readQueue) confirm(readID, index uint64) {
	for i, b := range q.inFlight {
		if b.readID != readID {
			continue
		}
		q.inFlight = append(q.inFlight[:i:i], q.inFlight[i+1:]...)
		for _, r := range b.requests {
			q.confirmed = append(q.confirmed, confirmedRequest{pendingRequest: r, index: index})
		}
		return
	}
}

// replyEarly calls reply once for each confirmed request whose read index is applied,
// whether or not the request is ready.
func (q *readQueue) replyEarly(applied uint64, reply func(pendingRequest)) {
	for i := range q.confirmed {
		r := &q.confirmed[i]
		if !r.repliedEarly && r.index <= applied {
			r.repliedEarly = true
			reply(r.pendingRequest)
		}
	}
}

// takeReady removes and returns the confirmed requests whose read index is applied
// and that are ready.
func (q *readQueue) takeReady(applied uint64, ready func(pendingRequest) bool) []pendingRequest {
	var taken []pendingRequest
	requests := q.confirmed
	q.confirmed = nil
	for _, r := range requests {
		if r.index <= applied && ready(r.pendingRequest) {
			taken = append(taken, r.pendingRequest)
		} else {
			q.confirmed = append(q.confirmed, r)
		}
	}
	return taken
}

// tick queues the requests of failed and timed-out reads again and drops requests
// past their deadline.
func (q *readQueue) tick(now time.Time) {
	q.queued = append(q.queued, q.failed...)
	q.failed = nil
	remaining := q.inFlight[:0]
	for _, b := range q.inFlight {
		if now.Sub(b.requestedAt) < readTimeout {
			remaining = append(remaining, b)
			continue
		}
		q.queued = append(q.queued, b.requests...)
	}
	q.inFlight = remaining
	queued := q.queued
	q.queued = nil
	for _, r := range queued {
		if r.checkDeadline(now) {
			q.queued = append(q.queued, r)
		}
	}
	candidates := q.confirmed
	q.confirmed = nil
	for _, r := range candidates {
		if r.checkDeadline(now) {
			q.confirmed = append(q.confirmed, r)
		}
	}
}

// checkDeadline reports whether the deadline is still ahead. Otherwise it ends a read
// with ErrTimeout.
func (r pendingRequest) checkDeadline(now time.Time) bool {
	if now.Before(r.deadline) {
		return true
	}
	if r.readDone != nil {
		r.readDone(nil, ErrTimeout)
	}
	return false
}
