// Package overload decides what can still be expected of jobs that wait for capacity: which
// of them meet their objectives, which are served late but still usefully, and which are
// best refused at once.
//
//	spare.Observe(now, free)
//	capacity := overload.Capacity{Rate: rate, Ahead: begun, OnTime: rate - spare.Mean()}
//	for i, class := range overload.Classify(capacity, jobs) { ... }
//
// It contains the decision only. Package dispatch measures the capacity and acts.
package overload

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// Class is what a waiting job can still expect.
type Class int

// Values of Class.
const (
	// OnTime means that the job is expected to meet its objective.
	OnTime Class = iota
	// Deferred means that it is expected to end late, while its answer is still useful.
	Deferred
	// TooLate means that it is expected to end when its answer is no longer useful.
	TooLate
)

// String returns the name of the class in decision lines.
func (c Class) String() string {
	switch c {
	case OnTime:
		return "on-time"
	case Deferred:
		return "deferred"
	default:
		return "too-late"
	}
}

// Job describes a job that has not begun.
type Job struct {
	// Priority 0 is the highest.
	Priority int
	// LatestStart is the time from now after which a start misses the objective.
	LatestStart time.Duration
	// LastStart is the time from now after which a start ends when the answer is no longer
	// useful.
	LastStart time.Duration
	// Work is the CPU time that the job requires, in thousandths of a core times
	// milliseconds.
	Work int64
	// Protected jobs are not displaced because of their size, but only when no job that is
	// not protected is left to displace. Half of the jobs, chosen regardless of their size,
	// are to be protected: then large jobs are served at least half as often as others.
	Protected bool
}

// Capacity is what is expected to become free. Rates are in thousandths of a core.
type Capacity struct {
	// Rate is the rate at which all endpoints together complete work.
	Rate int64
	// Ahead is the work that precedes all jobs, in the unit of Job.Work.
	Ahead int64
	// Elsewhere is the work that waits elsewhere for the same capacity, by priority. It
	// precedes jobs of its own and of lower priorities.
	Elsewhere []int64
	// OnTime is the rate of arriving on-time work. Deferred jobs get what it leaves of Rate.
	OnTime int64
	// Share is the part of that, in thousandths, which the jobs given get. The rest is for
	// deferred jobs elsewhere.
	Share int64
}

// DeferredRate returns the rate at which work of deferred jobs is completed.
func (c Capacity) DeferredRate() int64 {
	return max(c.Rate-c.OnTime, 0)
}

// aheadOf returns the work that precedes all jobs of a priority.
func (c Capacity) aheadOf(priority int) float64 {
	work := float64(c.Ahead)
	for _, elsewhere := range c.Elsewhere[:min(max(priority+1, 0), len(c.Elsewhere))] {
		work += float64(elsewhere)
	}
	return work
}

// OnTimeWait returns how long a job is expected to wait behind the work of on-time jobs that
// precedes it here.
func (c Capacity) OnTimeWait(priority int, before int64) time.Duration {
	return Wait(c.aheadOf(priority)+float64(before), c.Rate)
}

// DeferredWait returns how long a job is expected to wait as a deferred one, behind the work
// of on-time and deferred jobs that precedes it here.
func (c Capacity) DeferredWait(onTime, deferred int64) time.Duration {
	return Wait(c.aheadOf(len(c.Elsewhere))+float64(onTime)+c.shared(float64(deferred)), c.DeferredRate())
}

// shared returns the work that is done altogether while work of deferred jobs given is done.
func (c Capacity) shared(work float64) float64 {
	return work * 1000 / float64(min(max(c.Share, 1), 1000))
}

// maxWait is the longest time that Wait returns. Sums of such times do not overflow.
const maxWait = 24 * time.Hour

// Wait returns the time in which work is completed at a rate, maxWait at most.
func Wait(work float64, rate int64) time.Duration {
	switch {
	case work <= 0:
		return 0
	case rate <= 0:
		return maxWait
	}
	return time.Duration(min(work/float64(rate), float64(maxWait/time.Millisecond)) * float64(time.Millisecond))
}

// Classify returns the class of each job. Jobs are scheduled in order of priority and latest
// start. Whenever one would start too late, the job that costs callers least is removed from
// the schedule (the rule of Moore and Hodgson, see displaced). Removed jobs are scheduled
// again behind the others, by the same rule with LastStart and at the deferred rate; those
// that do not fit there are too late.
func Classify(capacity Capacity, jobs []Job) []Class {
	classes := make([]Class, len(jobs))
	all := make([]int, len(jobs))
	for i := range jobs {
		all[i] = i
	}
	s := schedule{jobs: jobs, rate: capacity.Rate, ahead: capacity.aheadOf, limit: Job.latestStart, factor: 1}
	late := s.fill(all)
	if len(late) == 0 {
		return classes
	}
	before := capacity.aheadOf(len(capacity.Elsewhere)) + s.work
	s = schedule{
		jobs: jobs, rate: capacity.DeferredRate(), ahead: func(int) float64 { return before }, limit: Job.lastStart,
		factor: capacity.shared(1),
	}
	for _, i := range late {
		classes[i] = Deferred
	}
	for _, i := range s.fill(late) {
		classes[i] = TooLate
	}
	return classes
}

func (j Job) latestStart() time.Duration { return j.LatestStart }

func (j Job) lastStart() time.Duration { return j.LastStart }

// schedule is the work that is done in turn at a rate.
type schedule struct {
	jobs []Job
	rate int64
	// work is that of the scheduled jobs, ahead what precedes jobs of a priority besides.
	work  float64
	ahead func(priority int) float64
	limit func(Job) time.Duration
	// factor multiplies the work of each job.
	factor float64
}

// fill schedules jobs, given by index, behind the work so far, and returns those that were
// removed again. It changes the order of the slice.
func (s *schedule) fill(indices []int) []int {
	slices.SortFunc(indices, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(s.jobs[a].Priority, s.jobs[b].Priority),
			cmp.Compare(s.limit(s.jobs[a]), s.limit(s.jobs[b])),
			cmp.Compare(a, b),
		)
	})
	var removed []int
	// scheduled are the jobs of the current priority. Those before them precede all of it and
	// are never displaced by it. Their work that is not protected is in displaceableWork.
	scheduled := displaceable{jobs: s.jobs}
	displaceableWork := 0.0
	for at, i := range indices {
		j := s.jobs[i]
		if at > 0 && s.jobs[indices[at-1]].Priority != j.Priority {
			scheduled.order, displaceableWork = scheduled.order[:0], 0
		}
		ahead, work, limit := s.ahead(j.Priority), float64(j.Work)*s.factor, s.limit(j)
		if limit < 0 || j.Protected && Wait(ahead+s.work+work-displaceableWork, s.rate) > limit {
			// No displacement makes room for it.
			removed = append(removed, i)
			continue
		}
		heap.Push(&scheduled, place{job: i, at: at})
		s.work += work
		if !j.Protected {
			displaceableWork += work
		}
		for len(scheduled.order) > 0 && Wait(ahead+s.work, s.rate) > limit {
			out := heap.Pop(&scheduled).(place).job
			s.work -= float64(s.jobs[out].Work) * s.factor
			displaceableWork -= float64(s.jobs[out].Work) * s.factor
			removed = append(removed, out)
		}
	}
	return removed
}

// place is a scheduled job and its place in the order of the schedule.
type place struct {
	job, at int
}

// displaceable implements heap.Interface. The first job is the next to be displaced: the
// largest of those that are not protected, and then the last of the protected ones.
type displaceable struct {
	jobs  []Job
	order []place
}

// Len returns the number of jobs.
func (d *displaceable) Len() int { return len(d.order) }

// Less reports whether job i is displaced before job j.
func (d *displaceable) Less(i, j int) bool {
	a, b := d.jobs[d.order[i].job], d.jobs[d.order[j].job]
	if a.Protected != b.Protected {
		return b.Protected
	}
	if !a.Protected && a.Work != b.Work {
		return a.Work > b.Work
	}
	return d.order[i].at > d.order[j].at
}

// Swap exchanges two jobs.
func (d *displaceable) Swap(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] }

// Push adds a job.
func (d *displaceable) Push(x any) { d.order = append(d.order, x.(place)) }

// Pop removes the last job.
func (d *displaceable) Pop() any {
	last := d.order[len(d.order)-1]
	d.order = d.order[:len(d.order)-1]
	return last
}

// Average is a moving average of an amount over time. The zero value is ready for use.
type Average struct {
	mean float64
	at   time.Time
}

// Observe records that the amount was value until now.
func (a *Average) Observe(now time.Time, value int64, halfLife time.Duration) {
	if a.at.IsZero() {
		a.mean, a.at = float64(value), now
		return
	}
	share := 1 - math.Exp2(-float64(now.Sub(a.at))/float64(halfLife))
	a.mean += (float64(value) - a.mean) * share
	a.at = now
}

// Known reports whether a value was observed.
func (a *Average) Known() bool { return !a.at.IsZero() }

// Mean returns the mean.
func (a *Average) Mean() int64 { return int64(a.mean) }
