package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/chart"
	"zinniasill/core/message"
)

type chartEvent = chart.Event

// fetch reserves a slot for a queued task and asks the owner for permission to start
// it.
func (a *Agent) fetch(now time.Time, t *task) {
	if !a.apply(t, eventFetch) {
		return
	}
	a.reserved++
	a.fetching = append(a.fetching, t)
	t.fetchedAt = now
	a.sendFetch(now, t)
}

func (a *Agent) sendFetch(now time.Time, t *task) {
	t.nextFetchAt = now.Add(resendInterval)
	a.send(t.job.owner, message.Fetch{Key: t.job.key, Term: t.term, Tasks: []message.TaskRef{t.ref()}})
}

// releaseFetch removes a task from the fetching ones and releases its slot.
func (a *Agent) releaseFetch(t *task) {
	at := slices.Index(a.fetching, t)
	a.fetching = slices.Delete(a.fetching, at, at+1)
	a.reserved--
	if t.granted {
		a.removePending(t)
	}
}

// resendFetches resends unanswered fetches. After fetchTimeout the slot is released,
// and the task is queued again, or closed if its owner is dead.
func (a *Agent) resendFetches(now time.Time) {
	for _, t := range slices.Clone(a.fetching) {
		switch {
		case t.granted:
		case now.Sub(t.fetchedAt) >= fetchTimeout && !a.ownerAlive(t.job):
			a.returnTask(t, zinniasill.ReasonSuperseded)
		case now.Sub(t.fetchedAt) >= fetchTimeout:
			a.releaseFetch(t)
			a.apply(t, eventWait)
			t.queuedAt = now
			a.queue.push(t)
		case !now.Before(t.nextFetchAt):
			a.sendFetch(now, t)
		}
	}
	a.schedule(now)
}

// ownerAlive reports whether the catalog lists the owner of a job.
func (a *Agent) ownerAlive(j *job) bool {
	return a.cfg.Lease.Catalog().Alive(j.owner)
}

// grant makes fetched tasks pending. The reply for these tasks can be deferred. It
// keeps the owner from resending the grants of long tasks.
func (a *Agent) grant(now time.Time, from zinniasill.Node, g message.Grant) {
	j := a.findJob(g.Key)
	if j == nil {
		a.count(CounterExpiredEpoch, "")
		return
	}
	if g.Term > j.term || g.Term == j.term && from != j.owner {
		a.count(CounterWrongOwner, "")
		return
	}
	var started, others []message.TaskRef
	for _, ref := range g.Tasks {
		if a.grantTask(now, j, g.Term, ref) {
			started = append(started, ref)
		} else {
			others = append(others, ref)
		}
	}
	if len(started) > 0 {
		a.reply(from, replyGrant, j, g.Term, started)
	}
	if len(others) > 0 {
		a.reply(from, replyRepeated, j, g.Term, others)
	}
}

// grantTask makes a task pending, or returns it to the owner if no slot is free. It
// changes nothing and reports false if the attempt is not the latest one or is not
// waiting for a grant.
func (a *Agent) grantTask(now time.Time, j *job, term zinniasill.Term, ref message.TaskRef) bool {
	t := j.tasks[ref.Index]
	if t == nil || t.term != term || t.attempt != ref.Attempt || t.granted {
		return false
	}
	// The grant arrived after the fetch had timed out and released its slot.
	if t.state == stateQueued && a.refusal(now) == "" {
		if a.freeSlots() <= 0 {
			a.returnTask(t, zinniasill.ReasonBusy)
			return true
		}
		a.queue.remove(t)
		a.apply(t, eventFetch)
		a.reserved++
		a.fetching = append(a.fetching, t)
		t.fetchedAt = now
	}
	if t.state != stateFetching {
		return false
	}
	t.granted = true
	a.pending = append(a.pending, t)
	return true
}

// start records a task as started. No other function does so.
func (a *Agent) start(now time.Time, t *task) bool {
	if t.state == stateFetching {
		at := slices.Index(a.fetching, t)
		a.fetching = slices.Delete(a.fetching, at, at+1)
	}
	a.reserved--
	if !a.apply(t, eventStart) {
		return false
	}
	t.granted = false
	t.startedAt = now
	a.running[t] = struct{}{}
	a.runningWork += t.expected + now.Sub(a.origin)
	a.count(CounterStarted, "")
	return true
}

// Finished records the outcome of a task that StartPending returned. An outcome of a
// task that is not recorded as running is counted and dropped.
func (a *Agent) Finished(now time.Time, run zinniasill.Task, outcome zinniasill.Outcome) {
	a.setNow(now)
	t := a.runningTask(run)
	if t == nil {
		a.count(CounterOrphanedOutcome, "")
		return
	}
	a.finish(t, outcome)
	a.schedule(now)
}

// runningTask returns the record of a running attempt, or nil if there is none.
func (a *Agent) runningTask(run zinniasill.Task) *task {
	j := a.findJob(run.Key)
	if j == nil {
		return nil
	}
	t := j.tasks[run.Index]
	if t == nil || t.state != stateRunning || t.attempt != run.Attempt {
		return nil
	}
	return t
}

func (a *Agent) finish(t *task, outcome zinniasill.Outcome) {
	event := eventFinish
	if !outcome.OK {
		event = eventFail
	}
	if !a.apply(t, event) {
		return
	}
	if outcome.OK {
		a.succeeded++
	} else {
		a.failed++
	}
	delete(a.running, t)
	a.runningWork -= t.expected + t.startedAt.Sub(a.origin)
	t.outcome = outcome
	t.took = a.now.Sub(t.startedAt)
	a.storeOutput(t)
	a.report(t)
	a.count(CounterFinished, "")
}

// failRunning ends every running task with an unknown outcome.
func (a *Agent) failRunning(now time.Time) {
	running := slices.SortedFunc(maps.Keys(a.running), compareTasks)
	for _, t := range running {
		a.finish(t, zinniasill.Outcome{
			Error: "the endpoint is gone after " + now.Sub(t.startedAt).String(),
			Ran:   zinniasill.RanUnknown,
		})
	}
}

func compareTasks(x, y *task) int {
	return cmp.Or(
		cmp.Compare(x.job.key.Team, y.job.key.Team),
		cmp.Compare(x.job.key.Client, y.job.key.Client),
		cmp.Compare(x.index, y.index),
	)
}

func sortedTasks(j *job) []*task {
	return slices.SortedFunc(maps.Values(j.tasks), compareTasks)
}

// storeOutput moves the output of a task to the retained outputs. The oldest outputs
// are evicted if the budget is exceeded.
func (a *Agent) storeOutput(t *task) {
	output := t.outcome.Output
	t.outcome.Output = nil
	if len(output) == 0 {
		return
	}
	id, evicted := a.outputs.Add(t.job.epoch, output, len(output))
	t.output = id
	for range evicted {
		a.count(CounterEvicted, "")
	}
}

// dropExpired drops the records of epochs that have left the retention window. A job
// with a task that is waiting or running is retained until the task has ended.
func (a *Agent) dropExpired() {
	epochs := a.cfg.Lease.Catalog().Epochs
	if len(epochs) == 0 || epochs[0].Number <= a.oldestEpoch && !a.retainsExpired {
		return
	}
	a.oldestEpoch = max(a.oldestEpoch, epochs[0].Number)
	a.acceptor.SetOldestEpoch(a.oldestEpoch)
	a.archived.DropBefore(a.oldestEpoch)
	a.retainsExpired = false
	needed := a.oldestEpoch
	for _, j := range a.jobs {
		switch {
		case j.epoch >= a.oldestEpoch:
		case j.allTasksDone():
			j.unacked = nil
			a.removeJob(j)
		default:
			a.retainsExpired = true
			needed = min(needed, j.epoch)
		}
	}
	a.outputs.DropBefore(needed)
}
