package dispatch

import (
	"log/slog"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/overload"
)

// OverloadPolicy is what happens to a job that is not expected to meet its objective.
type OverloadPolicy string

// Values of OverloadPolicy.
const (
	// RefuseLate refuses the job. It is the default: under a burst of several seconds, jobs
	// that are deferred take capacity from those that could be on time.
	RefuseLate OverloadPolicy = "refuse-late"
	// DeferLate accepts the job if capacity that on-time work does not need is expected to
	// serve it while its answer is still useful.
	DeferLate OverloadPolicy = "defer-late"
)

const (
	// deferredWaitPercent is the maximum expected wait of a job that is accepted as deferred,
	// in percent of the time until its last useful start.
	deferredWaitPercent = 50
	// displacedWaitPercent is the expected wait from which a waiting job no longer counts as
	// on time, in percent of its slack. The expectation may be wrong by about a quarter.
	displacedWaitPercent = 125
	// overtakenWaitPercent is the maximum expected wait of an on-time job with the more urgent
	// work that arrives meanwhile, in percent of its slack.
	overtakenWaitPercent = 100
	// spareHalfLife is the half-life of the mean of the spare capacity. Deferred jobs wait
	// for a few hundred milliseconds, so that what was spare longer ago tells little.
	spareHalfLife = 400 * time.Millisecond
	// classifyInterval is the minimum time between two classifications of the waiting jobs,
	// unless capacity is lost.
	classifyInterval = waitingTickInterval
	// needWeight is the weight of one job in the mean need of a task.
	needWeight = 16
)

// overloadState is what the dispatcher knows about the capacity that on-time work leaves.
type overloadState struct {
	// spare is the CPU that on-time work does not need, in thousandths of a core.
	spare overload.Average
	// share is the part of it, in thousandths, that this entry counts on: others use the same
	// agents.
	share overload.Average
	// need is the mean CPU that a task needs. What is free in smaller parts is of no use.
	need int64
	// slacks are those of the last on-time job of each priority, 0 if there was none.
	slacks [message.Priorities]time.Duration
	// entriesPerAgent is the mean number of entries that use an agent.
	entriesPerAgent int64
	// inUse is the CPU of tasks of each priority that this entry has assigned, in thousandths
	// of a core.
	inUse        [message.Priorities]overload.Average
	classifiedAt time.Time
	// round numbers the lists of waiting jobs, see waitingJobs.
	round uint64
	// waiting counts the waiting jobs of each class at the last classification.
	waiting [overload.TooLate + 1]int
}

// usefulFor returns the time from the arrival of a job for which its answer is useful. A
// caller's time limit below the objective does not count: estimates are rough.
func (d *Dispatcher) usefulFor(j *job) time.Duration {
	useful := overdueFactor * j.targetTime
	if d.cfg.Overload == RefuseLate || j.AnswerWithin <= 0 {
		return useful
	}
	return max(min(useful, j.AnswerWithin), j.targetTime)
}

// lastStart returns the time from now after which a start ends too late to be useful.
func (d *Dispatcher) lastStart(now time.Time, j *job) time.Duration {
	return d.usefulFor(j) - j.runTime - now.Sub(j.arrivedAt)
}

// yields reports whether a waiting task leaves free capacity to on-time work.
func (d *Dispatcher) yields(now time.Time, t *task) bool {
	switch {
	case t.job.begun:
		return false
	case d.cfg.Overload == RefuseLate:
		return t.late(now)
	default:
		return t.job.class != overload.OnTime
	}
}

// admitLate returns the reason for refusing a job that is not expected to meet its
// objective, empty if it is accepted as deferred.
func (d *Dispatcher) admitLate(now time.Time, j *job, candidates []*candidate) zinniasill.Reason {
	if d.cfg.Overload == RefuseLate {
		return zinniasill.ReasonOverload
	}
	last := d.lastStart(now, j)
	capacity := d.capacity(candidates)
	onTime, deferred := int64(0), j.allWork
	for _, t := range d.unplaced {
		if t.job.begun {
			continue // It is in capacity.Ahead.
		}
		switch {
		case t.job.class == overload.OnTime:
			onTime += t.work()
		case t.job.Priority < j.Priority, t.job.Priority == j.Priority && d.lastStart(now, t.job) <= last:
			deferred += t.work()
		}
	}
	wait := capacity.DeferredWait(onTime, deferred)
	limit := last * deferredWaitPercent / 100
	if wait > limit || d.long(j) && j.readyCPU() > d.deferrableCPU() {
		return zinniasill.ReasonOverload
	}
	j.class = overload.Deferred
	d.recordClass(now, "job-deferred", j, "accepted-deferred", wait, limit, capacity, candidates)
	return ""
}

// capacity returns what is expected to become free for jobs that have not begun.
func (d *Dispatcher) capacity(candidates []*candidate) overload.Capacity {
	capacity, released := int64(0), int64(0)
	for _, c := range candidates {
		capacity += c.agent.load.Capacity.MilliCPU
		released += c.agent.load.ReleaseRate
	}
	ahead, waiting, waitingCPU := int64(0), int64(0), int64(0)
	for _, t := range d.unplaced {
		work := t.work()
		if t.job.begun {
			ahead += work
		}
		waiting += work
		waitingCPU += t.job.Steps[t.step].Need.MilliCPU
	}
	rate := capacity
	if released > 0 && waiting > 0 {
		// While tasks run that are longer than the waiting ones, less becomes free.
		run := float64(waiting) / float64(waitingCPU) * float64(time.Millisecond) / float64(time.Second)
		rate = min(rate, int64(float64(released)*run))
	}
	elsewhere := make([]int64, message.Priorities)
	if released > 0 {
		// Other entries report CPU. The running tasks tell how long it is in use.
		inUse := float64(capacity) / float64(released) * float64(time.Second/time.Millisecond)
		for priority, milliCPU := range newestLoad(candidates).Waiting {
			elsewhere[min(priority, message.Priorities-1)] += int64(float64(milliCPU) * inUse)
		}
	}
	onTimeRate, share := int64(0), permille/max(d.overload.entriesPerAgent, 1)
	if d.overload.spare.Known() {
		share = d.overload.share.Mean()
		onTimeRate = max(rate-d.overload.spare.Mean(), 0)
	}
	return overload.Capacity{
		Rate: rate, Ahead: ahead, Elsewhere: elsewhere,
		OnTime: onTimeRate, Share: share,
	}
}

// newestLoad returns the load in the newest report, an empty one without candidates.
func newestLoad(candidates []*candidate) message.EndpointLoad {
	if len(candidates) == 0 {
		return message.EndpointLoad{}
	}
	return newestAgent(candidates).load
}

func newestAgent(candidates []*candidate) *agent {
	newest := candidates[0].agent
	for _, c := range candidates {
		if c.agent.lastReport.After(newest.lastReport) {
			newest = c.agent
		}
	}
	return newest
}

func sum(amounts []int64) int64 {
	total := int64(0)
	for _, amount := range amounts {
		total += amount
	}
	return total
}

// classifyWaiting updates the classes of the waiting jobs that have not begun, and refuses
// those that have become too late.
func (d *Dispatcher) classifyWaiting(now time.Time, candidates []*candidate) {
	if d.cfg.Overload == RefuseLate || now.Sub(d.overload.classifiedAt) < classifyInterval {
		return
	}
	d.overload.classifiedAt = now
	jobs := d.waitingJobs()
	if len(jobs) == 0 || len(candidates) == 0 || d.expectedAgents(now, candidates) > 0 {
		return
	}
	capacity := d.capacity(candidates)
	described := make([]overload.Job, 0, len(jobs))
	for _, j := range jobs {
		described = append(described, d.describe(now, j))
	}
	classes := overload.Classify(capacity, described)
	d.overload.waiting = [overload.TooLate + 1]int{}
	for _, class := range classes {
		d.overload.waiting[class]++
	}
	for i, j := range jobs {
		class := classes[i]
		if j.ended {
			continue
		}
		if ready := j.ready(); len(ready) > 0 && d.unservable(ready[0]) {
			d.abort(now, j, zinniasill.ReasonNoEndpoint)
			continue
		}
		wait := capacity.DeferredWait(0, described[i].Work)
		if class == overload.TooLate && j.mayHaveRun {
			// A refusal would not be true.
			class = overload.Deferred
		}
		if class == j.class {
			continue
		}
		d.recordClass(now, "job-displaced", j, class.String(), wait, described[i].LastStart, capacity, candidates)
		j.class = class
		if class == overload.TooLate {
			d.abort(now, j, zinniasill.ReasonOverload)
		}
	}
}

// waitingJobs returns the jobs with waiting tasks that have not begun, in the order of the
// tasks.
func (d *Dispatcher) waitingJobs() []*job {
	var jobs []*job
	d.overload.round++
	for _, t := range d.unplaced {
		if t.job.begun || t.job.ended || t.job.round == d.overload.round {
			continue
		}
		t.job.round = d.overload.round
		jobs = append(jobs, t.job)
	}
	return jobs
}

// describe describes a job that has not begun. A deferred one becomes an on-time job again
// only within the limit of admission.
func (d *Dispatcher) describe(now time.Time, j *job) overload.Job {
	latest := j.slack() * displacedWaitPercent / 100
	if j.class != overload.OnTime {
		latest = j.maxWait()
	}
	return overload.Job{
		Priority: j.Priority, LatestStart: latest - now.Sub(j.arrivedAt), LastStart: d.lastStart(now, j),
		Work: j.allWork, Protected: j.protected(),
	}
}

// overtaken reports whether more urgent work that arrives while a job waits is expected to
// make the job late. That work takes the same part of the capacity as it does now.
func (d *Dispatcher) overtaken(j *job, wait time.Duration) bool {
	if d.cfg.Overload == RefuseLate || wait == 0 {
		return false
	}
	urgent, all := int64(0), int64(0)
	for priority := range d.overload.inUse {
		milliCPU := d.overload.inUse[priority].Mean()
		all += milliCPU
		if priority < j.priorityLevel() {
			urgent += milliCPU
		}
	}
	limit := float64(j.slack()) * overtakenWaitPercent / 100
	return float64(wait)*float64(all) > limit*float64(all-urgent)
}

func (d *Dispatcher) recordClass(
	now time.Time, decision string, j *job, outcome string, wait, limit time.Duration,
	capacity overload.Capacity, candidates []*candidate,
) {
	if d.cfg.Counters != nil {
		d.cfg.Counters.Inc("overload_classes_total", zinniasill.Reason(outcome))
	}
	d.record(decision, slog.String("job", j.ID), slog.String("queue", j.Queue), slog.String("from", j.class.String()),
		slog.String("outcome", outcome), slog.Duration("wait", wait), slog.Duration("limit", limit),
		slog.Duration("after", now.Sub(j.arrivedAt)), slog.Int("on-time", d.overload.waiting[overload.OnTime]),
		slog.Int("deferred", d.overload.waiting[overload.Deferred]), slog.Int("unplaced", len(d.unplaced)),
		slog.Int64("rate", capacity.Rate), slog.Int64("deferred-rate", capacity.DeferredRate()),
		slog.Int("agents", len(candidates)), slog.Duration("report-age", reportAge(now, candidates)))
}

// reportAge returns the age of the newest report, 0 without candidates.
func reportAge(now time.Time, candidates []*candidate) time.Duration {
	if len(candidates) == 0 {
		return 0
	}
	return now.Sub(newestAgent(candidates).lastReport)
}
