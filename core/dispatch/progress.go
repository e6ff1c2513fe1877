package dispatch

import (
	"maps"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// maxReturns bounds how often one task is placed again.
const maxReturns = 8

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
		if t.job.ID == update.Task.Job && uint32(t.step) == update.Task.Step &&
			t.index == update.Task.Index && t.attempt == update.Attempt {
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
	t.avoid = t.agent
	t.agent.release(t)
	t.returns++
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

// placeAgain places the tasks that wait for an agent. A task that has found none
// until its job is far too late is given up.
func (d *Dispatcher) placeAgain(now time.Time) {
	if len(d.unplaced) == 0 {
		return
	}
	waiting := d.unplaced
	d.unplaced = nil
	for _, t := range waiting {
		if t.job.ended || t.agent != nil || t.done {
			continue
		}
		places := d.plan(now, []*task{t})
		switch {
		case places.reason == "":
			d.assign(now, places.places)
		case places.wait == 0 && now.Sub(t.job.arrived) < lateFactor*t.job.goal:
			d.unplaced = append(d.unplaced, t)
		default:
			d.giveUp(now, t.job, places.reason)
		}
	}
}

// GiveUpAll answers all jobs in progress, before the process ends.
func (d *Dispatcher) GiveUpAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		d.giveUp(now, d.jobs[id], zinniasill.ReasonShuttingDown)
	}
}
