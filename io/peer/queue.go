package peer

import (
	"sync"

	"zinniasill/core/message"
)

// queueSize is the maximum number of queued envelopes of each class for one peer.
const queueSize = 4096

// maxBulkBatch is the maximum number of bulk envelopes taken from the queue at once. It
// bounds the time that a control envelope waits behind bulk ones.
const maxBulkBatch = 64

// queue holds the envelopes to be sent to one peer. If a class is full, the new envelope
// is dropped rather than the oldest: all protocols retry, and the oldest envelopes are
// those that the peer is waiting for.
type queue struct {
	mu      sync.Mutex
	control []message.Envelope
	// bulk[head:] holds the queued bulk envelopes.
	bulk []message.Envelope
	head int
	// ready, of capacity 1, holds a value while the queue may be non-empty.
	ready chan struct{}
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push appends an envelope and signals ready. It returns false if the class is full.
func (q *queue) push(class Class, env message.Envelope) bool {
	if !q.tryAppend(class, env) {
		return false
	}
	q.signal()
	return true
}

// tryAppend appends an envelope. It returns false if the class is full.
func (q *queue) tryAppend(class Class, env message.Envelope) bool {
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
		moved := copy(q.bulk, q.bulk[q.head:])
		clear(q.bulk[moved:])
		q.bulk = q.bulk[:moved]
		q.head = 0
	}
	q.bulk = append(q.bulk, env)
	return true
}

// signal puts a value into ready unless it holds one.
func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take removes all control envelopes and up to maxBulkBatch bulk ones from the queue
// and appends them to batch.
func (q *queue) take(batch []message.Envelope) []message.Envelope {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch = append(batch, q.control...)
	clear(q.control)
	q.control = q.control[:0]
	end := min(q.head+maxBulkBatch, len(q.bulk))
	batch = append(batch, q.bulk[q.head:end]...)
	clear(q.bulk[q.head:end])
	q.head = end
	if q.head == len(q.bulk) {
		q.bulk = q.bulk[:0]
		q.head = 0
	}
	return batch
}

// size returns the number of queued envelopes of both classes.
func (q *queue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.control) + len(q.bulk) - q.head
}
