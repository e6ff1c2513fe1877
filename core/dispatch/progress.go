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

// maxReturns bounds how often one task is placed again.
const maxReturns = 8

// planPause is the pause after a plan, for each step of it. It answers an overload, in
// which many agents report while many tasks wait: a plan for each report would take more
// processor than an entry has. A step takes about 50 ns, a twentieth of the pause.
const planPause = time.Microsecond

// sortSteps is what sorting a waiting task counts as, in steps of a plan.
const sortSteps = 8

// update handles what an agent reports of one task.
func (d *Dispatcher) update(now time.Time, a *agent, update message.TaskUpdate) {
	t := a.find(update)
	if t == nil {
		return
	}
	j := t.job
	if update.Ran || update.State == message.RunDone || update.State == message.RunFailed {
		j.ran = true
	}
	switch update.State {
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
		d.again(t)
	case message.RunReturned:
		d.returned(now, t, update.Reason)
	}
}

func (a *agent) find(update message.TaskUpdate) *task {
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
	j.left[t.step]--
	if j.complete() {
		d.finish(now, j, Completed, "")
		return
	}
	if j.left[t.step] == 0 {
		for _, next := range j.ready() {
			d.again(next)
		}
	}
}

// returned handles a task that its agent does not run and will not run.
func (d *Dispatcher) returned(now time.Time, t *task, reason zinniasill.Reason) {
	d.record("task-returned", slog.String("job", t.job.ID), slog.Int("index", int(t.index)),
		slog.String("agent", string(t.agent.id)), slog.String("reason", string(reason)),
		slog.Bool("may-have-run", t.job.ran), slog.Int("returns", t.returns+1))
	t.avoid = t.agent
	t.agent.release(t)
	t.returns++
	t.returned = reason
	if t.returns > maxReturns {
		d.giveUp(now, t.job, reason)
		return
	}
	d.again(t)
}

// again has a task placed with the next step.
func (d *Dispatcher) again(t *task) {
	for _, other := range d.unplaced {
		if other == t {
			return
		}
	}
	d.unplaced = append(d.unplaced, t)
}

// giveUp answers a job that cannot be carried out. Only if no task has started, and
// none is at an agent that could start it, is the job refused.
func (d *Dispatcher) giveUp(now time.Time, j *job, reason zinniasill.Reason) {
	if j.ended {
		return
	}
	if j.ran || j.assigned() {
		d.finish(now, j, Unknown, reason)
		return
	}
	d.finish(now, j, Refused, reason)
}

// placeAgain places the tasks that wait, most urgent first, as far as there is room. It
// answers load near the capacity: a task that waits here goes to the first agent with
// room, while one that is queued at an agent waits for that agent.
func (d *Dispatcher) placeAgain(now time.Time) {
	d.changed = false
	if len(d.unplaced) == 0 {
		return
	}
	d.dropHopeless(now)
	slices.SortStableFunc(d.unplaced, func(a, b *task) int { return compareUrgency(now, a, b) })
	loads := d.loads(now)
	steps := len(d.order) + len(d.unplaced)*sortSteps
	var places []place
	kept := d.unplaced[:0]
	full := false
	for _, t := range d.unplaced {
		var best *load
		if !full {
			best = choose(t, loads)
			steps += len(loads)
		}
		if best == nil || best.wait(t) > aheadLimit {
			// Tasks behind one that does not fit wait too, so that large tasks are not
			// starved by small ones.
			full = full || best != nil
			kept = append(kept, t)
			continue
		}
		best.add(t)
		places = append(places, place{task: t, agent: best.agent})
	}
	d.unplaced = kept
	d.planAfter = now.Add(time.Duration(steps) * planPause)
	d.assign(now, places)
}

// dropHopeless gives up the jobs of waiting tasks whose answer would be of no use any
// more, and forgets tasks of ended jobs.
func (d *Dispatcher) dropHopeless(now time.Time) {
	hopeless := map[*job]bool{}
	d.unplaced = slices.DeleteFunc(d.unplaced, func(t *task) bool {
		return t.job.ended || t.agent != nil || t.done
	})
	for _, t := range d.unplaced {
		if now.Sub(t.job.arrived)+t.job.Steps[t.step].Estimate > lateFactor*t.job.goal {
			hopeless[t.job] = true
		}
	}
	for _, t := range slices.Clone(d.unplaced) {
		if hopeless[t.job] {
			d.giveUp(now, t.job, t.waitReason())
		}
	}
}

// compareUrgency orders waiting tasks. Those of jobs that have begun come first: under
// overload, jobs that are begun and not finished waste what has run of them. Then come
// those that can still meet their objective, by priority and by the time at which they
// must start.
func compareUrgency(now time.Time, a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.rank(now), b.rank(now)),
		cmp.Compare(a.job.Priority, b.job.Priority),
		a.due().Compare(b.due()),
	)
}

// rank returns the class of a waiting task, the lowest first.
func (t *task) rank(now time.Time) int {
	switch {
	case t.job.begun:
		return 0
	case !t.late(now):
		return 1
	default:
		return 2
	}
}

// waitReason says why the task waits.
func (t *task) waitReason() zinniasill.Reason {
	if t.returned != "" {
		return t.returned
	}
	return zinniasill.ReasonOverload
}

// due returns when the task must start for its job to meet the objective.
func (t *task) due() time.Time {
	return t.job.arrived.Add(t.job.slack())
}

func (t *task) late(now time.Time) bool {
	return now.After(t.due())
}

// AbortAll answers all jobs in progress, before the process ends.
func (d *Dispatcher) AbortAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		d.giveUp(now, d.jobs[id], zinniasill.ReasonShuttingDown)
	}
}
