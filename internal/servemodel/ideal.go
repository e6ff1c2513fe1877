package servemodel

import (
	"cmp"
	"container/heap"
	"time"
)

// idealInOrder returns the response time of each job when one queue that knows
// everything serves all slots in the order of arrival, at no cost.
func idealInOrder(jobs []arrival, slots int) []time.Duration {
	return single(jobs, slots, func(a, b *waitingJob) int { return cmp.Compare(a.index, b.index) })
}

// idealSmallFirst returns the response times when the single queue serves the job
// with the fewest tasks that have not started first. A large job then delays few
// others, so that the median is lower than in the order of arrival.
func idealSmallFirst(jobs []arrival, slots int) []time.Duration {
	return single(jobs, slots, func(a, b *waitingJob) int {
		return cmp.Or(cmp.Compare(len(a.rest), len(b.rest)), cmp.Compare(a.index, b.index))
	})
}

// waitingJob is a job with tasks that have not started.
type waitingJob struct {
	index int
	rest  []time.Duration
}

// single serves jobs, in the order of their arrival times, from one queue.
func single(jobs []arrival, slots int, order func(a, b *waitingJob) int) []time.Duration {
	free := make(durationHeap, slots)
	queue := &jobHeap{order: order}
	responses := make([]time.Duration, len(jobs))
	for next := 0; next < len(jobs) || queue.Len() > 0; {
		if queue.Len() == 0 || next < len(jobs) && jobs[next].at <= free[0] {
			heap.Push(queue, &waitingJob{index: next, rest: jobs[next].tasks})
			next++
			continue
		}
		job := queue.jobs[0]
		at := jobs[job.index].at
		free[0] = max(free[0], at) + job.rest[0]
		responses[job.index] = max(responses[job.index], free[0]-at)
		heap.Fix(&free, 0)
		job.rest = job.rest[1:]
		if len(job.rest) == 0 {
			heap.Pop(queue)
		} else {
			heap.Fix(queue, 0)
		}
	}
	return responses
}

type jobHeap struct {
	jobs  []*waitingJob
	order func(a, b *waitingJob) int
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *jobHeap) Less(i, j int) bool { return h.order(h.jobs[i], h.jobs[j]) < 0 }

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, j int) { h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { h.jobs = append(h.jobs, x.(*waitingJob)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := h.jobs[len(h.jobs)-1]
	h.jobs = h.jobs[:len(h.jobs)-1]
	return last
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
