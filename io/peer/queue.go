package peer

import (
	"sync"

	"zinniasill/core/message"
)

// queueSize bounds the envelopes of each class that wait for one peer.
const queueSize = 4096

// bulkTurn is the highest number of bulk envelopes taken at once. It bounds the
// time that a control envelope waits for bulk ones.
const bulkTurn = 64

// queue holds the envelopes that wait for one peer. When a class is full its
// oldest envelopes are kept and the new one is dropped: every protocol sends
// again, and what waits longest is what a peer is blocked on.
type queue struct {
	mu      sync.Mutex
	control []message.Envelope
	// bulk holds its envelopes from head on.
	bulk []message.Envelope
	head int
	// ready holds a value while the queue may be non-empty.
	ready chan struct{}
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push reports whether there was room for the envelope.
func (q *queue) push(class Class, env message.Envelope) bool {
	if !q.add(class, env) {
		return false
	}
	q.wake()
	return true
}

func (q *queue) add(class Class, env message.Envelope) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if class == ClassControl {
		if len(q.control) >= queueSize {
			return false
		}
		q.control = append(q.control, env)
		return true
	}
	if len(q.bulk)-q.head >= queueSize {
		return false
	}
	if len(q.bulk) == cap(q.bulk) && q.head > len(q.bulk)/2 {
		kept := copy(q.bulk, q.bulk[q.head:])
		clear(q.bulk[kept:])
		q.bulk = q.bulk[:kept]
		q.head = 0
	}
	q.bulk = append(q.bulk, env)
	return true
}

func (q *queue) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take appends all control envelopes and up to bulkTurn bulk ones to batch.
func (q *queue) take(batch []message.Envelope) []message.Envelope {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch = append(batch, q.control...)
	clear(q.control)
	q.control = q.control[:0]
	end := min(q.head+bulkTurn, len(q.bulk))
	batch = append(batch, q.bulk[q.head:end]...)
	clear(q.bulk[q.head:end])
	q.head = end
	if q.head == len(q.bulk) {
		q.bulk = q.bulk[:0]
		q.head = 0
	}
	return batch
}

func (q *queue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.control) + len(q.bulk) - q.head
}
