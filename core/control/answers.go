package control

import (
	"slices"
	"time"

	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

const (
	// renewTimeout is the time for which a renewal waits for its answer. The node
	// has asked another replica by then.
	renewTimeout = time.Second
	// readGap is the time for which later requests wait for a read in progress, so
	// that many renewals share one round of the replicas.
	readGap = 100 * time.Millisecond
	// readTimeout is the time after which a read without an answer is given up.
	readTimeout = time.Second
)

// waiter is a request that waits for a read index: a renewal or a read.
type waiter struct {
	deadline time.Time
	renew    *message.Renew
	read     func(*catalog.Catalog, error)
}

// batch is a set of requests that share one read index.
type batch struct {
	id      uint64
	asked   time.Time
	waiters []waiter
}

// answers holds requests until their read index is confirmed and applied. Requests that arrive while a read
// is in progress are never added to it: its round may have begun before them.
type answers struct {
	lastID   uint64
	waiting  []waiter
	inFlight []batch
	// failed are the requests whose read has failed since the last tick.
	failed []waiter
	// confirmedAt holds confirmed requests with the index that must be applied.
	confirmedAt []confirmedWaiter
}

type confirmedWaiter struct {
	waiter
	index uint64
	// told is set once the waiter got an early answer.
	told bool
}

func (a *answers) add(w waiter) {
	a.waiting = append(a.waiting, w)
}

// reads starts a read for the waiting requests and returns its id.
func (a *answers) reads(now time.Time) []uint64 {
	if len(a.waiting) == 0 {
		return nil
	}
	if n := len(a.inFlight); n > 0 && now.Sub(a.inFlight[n-1].asked) < readGap {
		return nil
	}
	a.lastID++
	a.inFlight = append(a.inFlight, batch{id: a.lastID, asked: now, waiters: a.waiting})
	a.waiting = nil
	return []uint64{a.lastID}
}

// fail takes the requests of a read back until the next tick.
func (a *answers) fail(id uint64) {
	a.inFlight = slices.DeleteFunc(a.inFlight, func(b batch) bool {
		if b.id != id {
			return false
		}
		a.failed = append(a.failed, b.waiters...)
		return true
	})
}

func (a *answers) confirmed(id, index uint64) {
	for i, b := range a.inFlight {
		if b.id != id {
			continue
		}
		a.inFlight = append(a.inFlight[:i:i], a.inFlight[i+1:]...)
		for _, w := range b.waiters {
			a.confirmedAt = append(a.confirmedAt, confirmedWaiter{waiter: w, index: index})
		}
		return
	}
}

// early calls tell once for each confirmed request that the applied state suffices for.
func (a *answers) early(applied uint64, tell func(waiter)) {
	for i := range a.confirmedAt {
		w := &a.confirmedAt[i]
		if !w.told && w.index <= applied {
			w.told = true
			tell(w.waiter)
		}
	}
}

// take removes and returns the confirmed requests that the applied state suffices
// for and that are ready.
func (a *answers) take(applied uint64, ready func(waiter) bool) []waiter {
	var taken []waiter
	waiters := a.confirmedAt
	a.confirmedAt = nil
	for _, w := range waiters {
		if w.index <= applied && ready(w.waiter) {
			taken = append(taken, w.waiter)
		} else {
			a.confirmedAt = append(a.confirmedAt, w)
		}
	}
	return taken
}

// tick drops requests after their deadline. Reads that were given up are asked
// for again.
func (a *answers) tick(now time.Time) {
	a.waiting = append(a.waiting, a.failed...)
	a.failed = nil
	kept := a.inFlight[:0]
	for _, b := range a.inFlight {
		if now.Sub(b.asked) < readTimeout {
			kept = append(kept, b)
			continue
		}
		a.waiting = append(a.waiting, b.waiters...)
	}
	a.inFlight = kept
	waiting := a.waiting
	a.waiting = nil
	for _, w := range waiting {
		if w.live(now) {
			a.waiting = append(a.waiting, w)
		}
	}
	confirmed := a.confirmedAt
	a.confirmedAt = nil
	for _, w := range confirmed {
		if w.live(now) {
			a.confirmedAt = append(a.confirmedAt, w)
		}
	}
}

// live reports whether a request may wait longer, and ends it otherwise.
func (w waiter) live(now time.Time) bool {
	if now.Before(w.deadline) {
		return true
	}
	if w.read != nil {
		w.read(nil, ErrTimeout)
	}
	return false
}
