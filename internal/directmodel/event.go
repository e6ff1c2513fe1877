package directmodel

import (
	"container/heap"
	"time"
)

// event is a function to call at a time. Events of the same time are called in the order
// in which they were pushed.
type event struct {
	at     time.Time
	number uint64
	do     func()
}

// eventQueue holds the events that are not due yet.
type eventQueue struct {
	heap   eventHeap
	pushed uint64
}

func (q *eventQueue) push(at time.Time, do func()) {
	q.pushed++
	heap.Push(&q.heap, event{at: at, number: q.pushed, do: do})
}

// due removes and returns the events that are due, in order.
func (q *eventQueue) due(now time.Time) []func() {
	var due []func()
	for len(q.heap) > 0 && !q.heap[0].at.After(now) {
		due = append(due, heap.Pop(&q.heap).(event).do)
	}
	return due
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].number < h[j].number
	}
	return h[i].at.Before(h[j].at)
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
