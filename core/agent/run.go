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

// fetch asks the owner for leave to start a queued task; a slot is held for it.
func (a *Agent) fetch(now time.Time, t *task) {
	if !a.step(t, eventFetch) {
		return
	}
	a.reserved++
	a.fetching = append(a.fetching, t)
	t.fetchedAt = now
	a.sendFetch(now, t)
}

func (a *Agent) sendFetch(now time.Time, t *task) {
	t.fetchAgain = now.Add(resendWait)
	a.send(t.job.owner, message.Fetch{Key: t.job.key, Term: t.term, Tasks: []message.TaskRef{t.ref()}})
}

func (a *Agent) endFetch(t *task) {
	at := slices.Index(a.fetching, t)
	a.fetching = slices.Delete(a.fetching, at, at+1)
	a.reserved--
	if t.granted {
		a.takePending(t)
	}
}

// resendFetches repeats unanswered fetches. After fetchLimit a task gives its
// slot to others and waits again, or is closed when its owner is dead.
func (a *Agent) resendFetches(now time.Time) {
	for _, t := range slices.Clone(a.fetching) {
		switch {
		case t.granted:
		case now.Sub(t.fetchedAt) >= fetchLimit && !a.ownerAlive(t.job):
			a.giveBack(t, zinniasill.ReasonSuperseded)
		case now.Sub(t.fetchedAt) >= fetchLimit:
			a.endFetch(t)
			a.step(t, eventWait)
			t.queuedAt = now
			a.queue.push(t)
		case !now.Before(t.fetchAgain):
			a.sendFetch(now, t)
		}
	}
	a.settle(now)
}

func (a *Agent) ownerAlive(j *job) bool {
	return a.cfg.Lease.Catalog().Alive(j.owner)
}

// grant starts fetched tasks. Those that start are reported with a reply that can
// wait, so that the owner does not repeat the grants of long tasks.
func (a *Agent) grant(now time.Time, from zinniasill.Node, g message.Grant) {
	j := a.find(g.Key)
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
		a.reply(from, replyAgain, j, g.Term, others)
	}
}

func (a *Agent) grantTask(now time.Time, j *job, term zinniasill.Term, ref message.TaskRef) bool {
	t := j.tasks[ref.Index]
	if t == nil || t.term != term || t.attempt != ref.Attempt || t.granted {
		return false
	}
	// The grant came after the fetch had given its slot away.
	if t.state == stateQueued && a.refusal(now) == "" {
		if a.free() <= 0 {
			a.giveBack(t, zinniasill.ReasonBusy)
			return true
		}
		a.queue.remove(t)
		a.step(t, eventFetch)
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

// start records that a task has started. It is the only place that does.
func (a *Agent) start(now time.Time, t *task) bool {
	if t.state == stateFetching {
		at := slices.Index(a.fetching, t)
		a.fetching = slices.Delete(a.fetching, at, at+1)
	}
	a.reserved--
	if !a.step(t, eventStart) {
		return false
	}
	t.granted = false
	t.startedAt = now
	a.running[t] = struct{}{}
	a.runningWork += t.expected + now.Sub(a.origin)
	a.count(CounterStarted, "")
	return true
}

// Finished reports the outcome of a task that Runs returned. Outcomes of tasks
// that the agent does not know as running are counted and dropped.
func (a *Agent) Finished(now time.Time, run zinniasill.Task, outcome zinniasill.Outcome) {
	a.setNow(now)
	t := a.runOf(run)
	if t == nil {
		a.count(CounterOrphanedOutcome, "")
		return
	}
	a.finish(t, outcome)
	a.settle(now)
}

func (a *Agent) runOf(run zinniasill.Task) *task {
	j := a.find(run.Key)
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
	if !a.step(t, event) {
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
	a.keepOutput(t)
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

// keepOutput holds the kept outputs within the budget; the oldest go first.
func (a *Agent) keepOutput(t *task) {
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

// dropExpired drops what belongs to epochs that have left the retention window.
// A job with a task that waits or runs is kept until that has ended.
func (a *Agent) dropExpired() {
	epochs := a.cfg.Lease.Catalog().Epochs
	if len(epochs) == 0 || epochs[0].Number <= a.oldest && !a.expiring {
		return
	}
	a.oldest = max(a.oldest, epochs[0].Number)
	a.acceptor.SetOldestEpoch(a.oldest)
	a.ended.DropBefore(a.oldest)
	a.expiring = false
	needed := a.oldest
	for _, j := range a.jobs {
		switch {
		case j.epoch >= a.oldest:
		case j.over():
			j.unacked = nil
			a.forget(j)
		default:
			a.expiring = true
			needed = min(needed, j.epoch)
		}
	}
	a.outputs.DropBefore(needed)
}
