package servemodel

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func(now time.Time)
}

// timeline runs events in the order of their times. Events of one moment run in
// the order in which they were added, so that a run depends only on its seed.
type timeline struct {
	now    time.Time
	events eventHeap
	last   uint64
}

// epochStart is the time at which each run begins.
var epochStart = time.Unix(0, 0)

func newTimeline() *timeline {
	return &timeline{now: epochStart}
}

func (l *timeline) after(delay time.Duration, run func(now time.Time)) {
	l.last++
	heap.Push(&l.events, event{at: l.now.Add(delay), sequence: l.last, run: run})
}

// every runs an event periodically, for the first time after offset.
func (l *timeline) every(offset, period time.Duration, run func(now time.Time)) {
	var again func(now time.Time)
	again = func(now time.Time) {
		run(now)
		l.after(period, again)
	}
	l.after(offset, again)
}

// until runs all events up to a moment.
func (l *timeline) until(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run(next.at)
	}
	l.now = end
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
