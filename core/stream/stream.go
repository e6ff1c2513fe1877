// Package stream orders the items that two processes exchange over a link that
// may lose, repeat and reorder messages.
//
// Each side holds a Sender for what it sends and a Receiver for what it gets.
// Items are numbered from 1; a message carries the number of its first item, the
// items, and the number up to which the other side's items were received:
//
//	sender.Push(order)
//	first, items := sender.Batch(now)
//	...
//	for _, order := range stream.Accept(&receiver, first, items) {
//		handle(order)
//	}
//	sender.Ack(receiver.Last())
package stream

import "time"

// ResendTimeout is the time without an acknowledgement after which items are sent
// again. It is above the round trip between failure domains and the processing
// delay of a busy agent.
const ResendTimeout = 150 * time.Millisecond

// Sender keeps the items that the other side has not acknowledged. The zero value
// is ready to use.
type Sender[T any] struct {
	acked   uint64
	pending []T
	// unsent is the number of items at the end of pending that were never sent.
	unsent int
	sentAt time.Time
}

// Push appends an item.
func (s *Sender[T]) Push(item T) {
	s.pending = append(s.pending, item)
	s.unsent++
}

// Pending returns the number of items without an acknowledgement.
func (s *Sender[T]) Pending() int {
	return len(s.pending)
}

// Last returns the number of the last item that was pushed.
func (s *Sender[T]) Last() uint64 {
	return s.acked + uint64(len(s.pending))
}

// Due reports whether Batch would return items.
func (s *Sender[T]) Due(now time.Time) bool {
	return s.unsent > 0 || len(s.pending) > 0 && now.Sub(s.sentAt) >= ResendTimeout
}

// Batch returns the items to send now and the number of the first: those that were
// never sent, or all when the last ones were not acknowledged in time. The items
// must not be modified.
func (s *Sender[T]) Batch(now time.Time) (first uint64, items []T) {
	if !s.Due(now) {
		return s.acked + uint64(len(s.pending)) + 1, nil
	}
	from := len(s.pending) - s.unsent
	if from > 0 && now.Sub(s.sentAt) >= ResendTimeout {
		from = 0
	}
	if from == 0 || s.unsent == len(s.pending) {
		s.sentAt = now
	}
	s.unsent = 0
	return s.acked + uint64(from) + 1, s.pending[from:len(s.pending):len(s.pending)]
}

// Ack forgets the items up to a number. Numbers that were not sent are ignored.
func (s *Sender[T]) Ack(now time.Time, last uint64) {
	if last <= s.acked || last > s.acked+uint64(len(s.pending)) {
		return
	}
	count := int(last - s.acked)
	s.pending = append([]T(nil), s.pending[count:]...)
	s.acked = last
	s.sentAt = now
	s.unsent = min(s.unsent, len(s.pending))
}

// Receiver accepts each item once and in order. The zero value is ready to use.
type Receiver struct {
	last uint64
}

// Last returns the number of the last accepted item.
func (r *Receiver) Last() uint64 {
	return r.last
}

// Accept returns the items that were not accepted before, in order. It returns none
// when items before first are missing.
func Accept[T any](r *Receiver, first uint64, items []T) []T {
	if first > r.last+1 || first == 0 {
		return nil
	}
	known := r.last + 1 - first
	if known >= uint64(len(items)) {
		return nil
	}
	fresh := items[known:]
	r.last += uint64(len(fresh))
	return fresh
}
