package agent

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// admit returns the job that a message of its owner is about, and creates its
// record if needed. It returns nil when the message must not be answered: it is
// not from the owner of its term, or the record of a start may have been dropped
// with its epoch, so that no answer would be true. A job without room is not kept:
// nothing of it has started here or ever will.
func (a *Agent) admit(from zinniasill.Node, key zinniasill.Key, term zinniasill.Term, epoch zinniasill.Epoch) *job {
	j := a.find(key)
	if j == nil {
		if epoch < a.oldest {
			a.count(CounterExpiredEpoch, "")
			return nil
		}
		j = &job{key: key, epoch: epoch, term: term, owner: from, tasks: map[zinniasill.TaskIndex]*task{}}
		if !a.hasRoom(epoch) {
			j.full = true
			return j
		}
		a.jobs[key] = j
		a.touch(j)
	}
	if term > j.term {
		a.adopt(j, from, term)
	}
	if term == j.term && from != j.owner {
		a.count(CounterWrongOwner, "")
		return nil
	}
	return j
}

// adopt makes an entry the owner of a job in a higher term. Attempts of lower
// terms that have not started are closed; outcomes go to the new owner.
func (a *Agent) adopt(j *job, owner zinniasill.Node, term zinniasill.Term) {
	j.owner = owner
	j.term = term
	for _, t := range sortedTasks(j) {
		if t.waits() {
			a.closeTask(t, zinniasill.ReasonSuperseded)
		}
		if t.state == stateClosed {
			a.confirm(t)
		}
	}
}

func (a *Agent) offer(now time.Time, from zinniasill.Node, o message.Offer) {
	j := a.admit(from, o.Key, o.Term, o.Epoch)
	if j == nil {
		return
	}
	kind := replyOffer
	refs := make([]message.TaskRef, len(o.Tasks))
	for i, item := range o.Tasks {
		refs[i] = item.Ref
		if o.Term != j.term || !a.offerTask(now, j, &o, item) {
			kind = replyAgain
		}
	}
	a.reply(from, kind, j, o.Term, refs)
}

// offerTask takes one attempt of a task, unless the task has started, or the
// attempt or a later one is known already. It reports whether the attempt is new.
func (a *Agent) offerTask(now time.Time, j *job, o *message.Offer, item message.TaskOffer) bool {
	t := a.record(j, o.Term, item.Ref)
	if t == nil {
		return false
	}
	t.profile = o.Profile
	t.payload = item.Payload
	t.expected = o.ExpectedRunTime
	reason := a.refusal(now)
	if reason == "" && j.full {
		reason = zinniasill.ReasonRecordsFull
	}
	if reason == "" && o.Kind != "" && !slices.Contains(a.kinds, o.Kind) {
		reason = zinniasill.ReasonNoEndpoint
	}
	switch {
	case reason != "":
		a.closeTask(t, reason)
	case a.free() > 0 && a.queue.count == 0:
		a.reserved++
		a.pending = append(a.pending, t)
	case a.queue.count >= a.cfg.QueueLimit:
		a.closeTask(t, zinniasill.ReasonBusy)
	default:
		a.step(t, eventQueue)
		t.queuedAt = now
		t.yield = yield(o.ExpectedRunTime, len(o.Tasks), o.Slack)
		a.queue.push(t)
	}
	return true
}

// record returns the task in state offered for a new attempt, or nil when the
// attempt is not new or the task has started. An earlier attempt is closed.
func (a *Agent) record(j *job, term zinniasill.Term, ref message.TaskRef) *task {
	t := j.tasks[ref.Index]
	switch {
	case t == nil:
		t = &task{job: j, index: ref.Index, state: taskChart.Initial()}
		j.tasks[ref.Index] = t
		if !j.full {
			a.live++
		}
	case t.started() || !t.olderThan(term, ref.Attempt):
		return nil
	default:
		if t.waits() {
			a.closeTask(t, zinniasill.ReasonSuperseded)
		}
		a.confirm(t)
		a.step(t, eventOffer)
	}
	t.term = term
	t.attempt = ref.Attempt
	t.reason = ""
	return t
}

func (a *Agent) withdraw(from zinniasill.Node, w message.Withdraw) {
	j := a.admit(from, w.Key, w.Term, w.Epoch)
	if j == nil {
		return
	}
	for _, ref := range w.Tasks {
		if w.Term == j.term {
			a.withdrawTask(j, w.Term, ref)
		}
	}
	a.reply(from, replyWithdraw, j, w.Term, slices.Clone(w.Tasks))
}

// withdrawTask closes an attempt that has not started. An attempt that was never
// seen is recorded as closed, since its offer may still arrive.
func (a *Agent) withdrawTask(j *job, term zinniasill.Term, ref message.TaskRef) {
	if t := a.record(j, term, ref); t != nil {
		a.closeTask(t, zinniasill.ReasonWithdrawn)
		return
	}
	t := j.tasks[ref.Index]
	if t.waits() && t.term == term && t.attempt == ref.Attempt {
		a.closeTask(t, zinniasill.ReasonWithdrawn)
	}
}

func (a *Agent) fence(from zinniasill.Node, f message.Fence) {
	if a.find(f.Key) == nil && f.Epoch < a.oldest {
		a.send(from, message.FenceReply{Key: f.Key, Term: f.Term, Load: a.load(), Expired: true})
		return
	}
	j := a.admit(from, f.Key, f.Term, f.Epoch)
	if j == nil {
		return
	}
	a.reply(from, replyFence, j, f.Term, nil)
}

// closeTask closes an attempt that waits, and frees what it holds.
func (a *Agent) closeTask(t *task, reason zinniasill.Reason) {
	switch t.state {
	case stateQueued:
		a.queue.remove(t)
	case stateFetching:
		a.endFetch(t)
	case stateOffered:
		if a.takePending(t) {
			a.reserved--
		}
	default:
	}
	if !a.step(t, eventClose) {
		return
	}
	t.granted = false
	t.payload = nil
	t.reason = reason
	a.count(CounterClosed, reason)
}

// takePending removes a task that Runs was to start, and reports whether it was one.
func (a *Agent) takePending(t *task) bool {
	at := slices.Index(a.pending, t)
	if at < 0 {
		return false
	}
	a.pending = slices.Delete(a.pending, at, at+1)
	return true
}

// giveBack closes an attempt on the agent's own account and tells the owner.
func (a *Agent) giveBack(t *task, reason zinniasill.Reason) {
	offered := t.state == stateOffered
	a.closeTask(t, reason)
	// The answer to the offer has not left yet and will say so.
	if !offered {
		a.report(t)
	}
}

// returnWaiting gives back every task that waits.
func (a *Agent) returnWaiting(reason zinniasill.Reason) {
	for _, t := range slices.Clone(a.pending) {
		a.giveBack(t, reason)
	}
	for _, t := range slices.Clone(a.fetching) {
		a.giveBack(t, reason)
	}
	for a.queue.count > 0 {
		a.giveBack(a.queue.order[0].tasks[0], reason)
	}
}

func (a *Agent) step(t *task, event chartEvent) bool {
	if err := t.step(event); err != nil {
		a.count(CounterIllegalEvent, "")
		return false
	}
	return true
}
