package dispatch

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// maxReturns is how often one task is requeued after a return before its job is aborted.
const maxReturns = 8

// maxLostRuns is how many attempts of one task may be lost after a possible start before its
// job is aborted. It limits the hosts that one task can crash without a trace of it.
const maxLostRuns = 4

// pausePerOperation is the pause after a placement pass for each operation in it.
// Without the pause, an entry under overload, with many reporting agents and many
// waiting tasks, would run a pass for each report and need more CPU time than it has. An
// operation takes about 50 ns, a twentieth of the pause.
const pausePerOperation = time.Microsecond

// sortOperations is the number of operations that sorting one waiting task counts as.
const sortOperations = 8

// update handles an agent's update for one task.
func (d *Dispatcher) update(now time.Time, a *agent, update message.TaskUpdate) {
	c := crash{agent: a.id, incarnation: a.incarnation, number: update.Crash, age: update.Age}
	t := a.findTask(update)
	if t == nil {
		if update.State == message.RunCrashed {
			d.crashes.add(now, update.Task, c)
			return
		}
		d.confirmEnd(now, a, update.Assignment)
		return
	}
	j := t.job
	if update.Ran || update.State == message.RunDone || update.State == message.RunFailed {
		j.mayHaveRun = true
	}
	switch update.State {
	case message.RunCrashed:
		// It has no assignment.
	case message.RunDone:
		a.release(t)
		d.taskDone(now, t)
	case message.RunFailed:
		a.release(t)
		t.failures++
		d.record("task-failed", slog.String("job", j.ID), slog.Int("index", int(t.index)),
			slog.String("agent", string(a.id)), slog.String("reason", string(update.Reason)),
			slog.Int("failures", t.failures), slog.Int("attempts", j.Attempts))
		if t.failures >= j.Attempts {
			d.finish(now, j, Failed, update.Reason)
			return
		}
		t.avoid = a
		d.requeue(t)
	case message.RunReturned:
		if update.Reason == zinniasill.ReasonOverload && !update.Ran {
			d.handleDecline(t)
			return
		}
		if update.Crash > 0 {
			d.crashes.add(now, t.id(), c)
		}
		if update.Ran {
			t.lostRuns++
		}
		if update.MayStart {
			d.finish(now, j, Unknown, zinniasill.ReasonOutcomeUnknown)
			return
		}
		d.handleReturn(now, t, update.Reason)
	}
}

func (a *agent) findTask(update message.TaskUpdate) *task {
	for t := range a.tasks {
		if t.assignment == update.Assignment {
			return t
		}
	}
	return nil
}

func (d *Dispatcher) taskDone(now time.Time, t *task) {
	t.done = true
	j := t.job
	j.remaining[t.step]--
	if j.complete() {
		d.finish(now, j, Completed, "")
		return
	}
	if j.remaining[t.step] == 0 {
		for _, next := range j.ready() {
			d.requeue(next)
		}
	}
}

// handleReturn handles a task that its agent does not run and will not run.
func (d *Dispatcher) handleReturn(now time.Time, t *task, reason zinniasill.Reason) {
	d.record("task-returned", slog.String("job", t.job.ID), slog.Int("index", int(t.index)),
		slog.String("agent", string(t.agent.id)), slog.String("reason", string(reason)),
		slog.Bool("may-have-run", t.job.mayHaveRun), slog.Int("returns", t.returns+1),
		slog.Int("endpoints-lost", d.crashes.count(t.id())))
	t.avoid = t.agent
	t.agent.release(t)
	t.returns++
	t.lastReturnReason = reason
	switch {
	case d.crashes.blamed(t.id()):
		d.finish(now, t.job, Failed, zinniasill.ReasonEndpointLost)
	case t.returns > maxReturns || t.lostRuns >= maxLostRuns:
		d.abort(now, t.job, reason)
	default:
		d.requeue(t)
	}
}

// handleDecline handles a task that its agent has no free capacity for. It is placed again
// by the report that came with the update, and does not count as returned: under overload
// the entries compete for each endpoint that becomes free.
func (d *Dispatcher) handleDecline(t *task) {
	d.record("task-declined", slog.String("job", t.job.ID), slog.Int("index", int(t.index)),
		slog.String("agent", string(t.agent.id)))
	t.agent.release(t)
	t.lastReturnReason = zinniasill.ReasonOverload
	d.withdrawBegin(t.job)
	d.requeue(t)
}

// requeue adds a task to those that wait for the next placement pass.
func (d *Dispatcher) requeue(t *task) {
	for _, other := range d.unplaced {
		if other == t {
			return
		}
	}
	d.unplaced = append(d.unplaced, t)
}

// abort answers a job that cannot be completed. The job is refused only if no task has
// started and no agent has a task that could still start. While a job waits for its lock,
// another entry may work on it.
func (d *Dispatcher) abort(now time.Time, j *job, reason zinniasill.Reason) {
	if j.ended {
		return
	}
	if j.mayHaveRun || j.hasAssigned() || !j.taken {
		d.finish(now, j, Unknown, reason)
		return
	}
	d.finish(now, j, Refused, reason)
}

// placeWaiting places waiting tasks, the most urgent first, while there is free
// capacity. Under high load, a task that waits here goes to the first agent with free
// capacity, while a task that is queued at an agent has to wait for that agent.
func (d *Dispatcher) placeWaiting(now time.Time) {
	d.placementDue = false
	if len(d.unplaced) == 0 {
		return
	}
	d.abortOverdue(now)
	candidates := d.candidates(now)
	d.classifyWaiting(now, candidates)
	slices.SortStableFunc(d.unplaced, func(a, b *task) int { return d.compareUrgency(now, a, b) })
	operations := len(d.sortedAgents) + len(d.unplaced)*sortOperations
	var placements []placement
	var unservable []*task
	kept := d.unplaced[:0]
	full := false
	for _, t := range d.unplaced {
		if d.cfg.Overload != RefuseLate && d.yields(now, t) {
			kept = append(kept, t)
			continue
		}
		var best *candidate
		if !full {
			best = choose(t, candidates)
			operations += len(candidates)
			if best == nil && d.unservable(t) {
				unservable = append(unservable, t)
			}
		}
		if best == nil || best.wait(t) > maxQueuedWait {
			// Tasks behind one that does not fit wait too, so that small tasks do not
			// starve large ones.
			full = full || best != nil && !d.reserve(t, best, candidates)
			kept = append(kept, t)
			continue
		}
		best.add(t)
		placements = append(placements, placement{task: t, agent: best.agent})
	}
	d.unplaced = kept
	deferred, tried := d.placeDeferred(now, candidates)
	placements = append(placements, deferred...)
	operations += tried
	d.nextPlacement = now.Add(time.Duration(operations) * pausePerOperation)
	d.assign(now, placements)
	d.observeSpare(now, candidates)
	for _, t := range unservable {
		d.abort(now, t.job, zinniasill.ReasonNoEndpoint)
	}
}

// unservable reports whether no agent in use has an endpoint that could run the task even
// if it were idle. An agent that has not reported yet may have one.
func (d *Dispatcher) unservable(t *task) bool {
	return !slices.ContainsFunc(d.sortedAgents, func(a *agent) bool {
		return a.inUse && (a.incarnation == 0 || t.suits(a.load))
	})
}

// abortOverdue removes tasks that no longer wait from unplaced, and aborts the jobs
// whose answers would be too late to be useful.
func (d *Dispatcher) abortOverdue(now time.Time) {
	overdue := map[*job]bool{}
	d.unplaced = slices.DeleteFunc(d.unplaced, func(t *task) bool {
		return t.job.ended || t.agent != nil || t.done
	})
	for _, t := range d.unplaced {
		if now.Sub(t.job.arrivedAt)+t.job.Steps[t.step].Estimate > d.usefulFor(t.job) {
			overdue[t.job] = true
		}
	}
	for _, t := range slices.Clone(d.unplaced) {
		if overdue[t.job] {
			d.abort(now, t.job, t.abortReason())
		}
	}
}

// compareUrgency orders waiting tasks. Tasks of jobs that have begun come first, because
// under overload, the work done for a job that is not completed is wasted. They are
// followed by tasks that can still meet their objective. Within these classes, the order
// is by priority and then by latest start.
func (d *Dispatcher) compareUrgency(now time.Time, a, b *task) int {
	return cmp.Or(
		cmp.Compare(d.urgencyClass(now, a), d.urgencyClass(now, b)),
		cmp.Compare(a.job.Priority, b.job.Priority),
		a.latestStart().Compare(b.latestStart()),
	)
}

// urgencyClass returns the class of a waiting task. The lowest is the most urgent.
func (d *Dispatcher) urgencyClass(now time.Time, t *task) int {
	switch {
	case t.job.begun:
		return 0
	case !d.yields(now, t):
		return 1
	default:
		return 2
	}
}

// abortReason returns the reason for aborting the job if the task is still waiting.
func (t *task) abortReason() zinniasill.Reason {
	if t.lastReturnReason != "" {
		return t.lastReturnReason
	}
	return zinniasill.ReasonOverload
}

// latestStart returns the time by which the task must start for its job to meet the
// objective.
func (t *task) latestStart() time.Time {
	return t.job.arrivedAt.Add(t.job.slack())
}

func (t *task) late(now time.Time) bool {
	return now.After(t.latestStart())
}

// AbortAll aborts all jobs in progress before the process exits.
func (d *Dispatcher) AbortAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		d.abort(now, d.jobs[id], zinniasill.ReasonShuttingDown)
	}
}
