package servemodel

import (
	"container/heap"
	"time"
)

// ideal returns the response time of each job when one queue that knows
// everything serves all slots in the order of arrival, at no cost.
func ideal(jobs []arrival, slots int) []time.Duration {
	free := make(durationHeap, slots)
	responses := make([]time.Duration, len(jobs))
	for i, job := range jobs {
		var last time.Duration
		for _, run := range job.tasks {
			start := max(free[0], job.at)
			free[0] = start + run
			last = max(last, free[0])
			heap.Fix(&free, 0)
		}
		responses[i] = last - job.at
	}
	return responses
}

// durationHeap holds the times at which slots become free.
type durationHeap []time.Duration

// Len implements heap.Interface.
func (h durationHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h durationHeap) Less(i, j int) bool { return h[i] < h[j] }

// Swap implements heap.Interface.
func (h durationHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *durationHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop implements heap.Interface.
func (h *durationHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
