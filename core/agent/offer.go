package agent

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// jobForMessage returns the job that a message from its owner refers to, and creates
// the record if there is none. It returns nil if the message must not be answered:
// either the sender is not the owner in this term, or the record of a start may have
// been dropped with its epoch, so that any reply could be wrong. If no new job is
// accepted, the returned job is not stored; none of its tasks has started here or ever
// will.
func (a *Agent) jobForMessage(from zinniasill.Node, key zinniasill.Key, term zinniasill.Term, epoch zinniasill.Epoch) *job {
	j := a.findJob(key)
	if j == nil {
		if epoch < a.oldestEpoch {
			a.count(CounterExpiredEpoch, "")
			return nil
		}
		j = &job{key: key, epoch: epoch, term: term, owner: from, tasks: map[zinniasill.TaskIndex]*task{}}
		if !a.acceptsNewJob(epoch) {
			j.unrecorded = true
			return j
		}
		a.jobs[key] = j
		a.markDirty(j)
	}
	if term > j.term {
		a.changeOwner(j, from, term)
	}
	if term == j.term && from != j.owner {
		a.count(CounterWrongOwner, "")
		return nil
	}
	return j
}

// changeOwner sets the owner of a job for a higher term. Attempts of lower terms that
// have not started are closed. Outcomes are sent to the new owner.
func (a *Agent) changeOwner(j *job, owner zinniasill.Node, term zinniasill.Term) {
	j.owner = owner
	j.term = term
	for _, t := range sortedTasks(j) {
		if t.isWaiting() {
			a.closeTask(t, zinniasill.ReasonSuperseded)
		}
		if t.state == stateClosed {
			a.clearUnacked(t)
		}
	}
}

func (a *Agent) offer(now time.Time, from zinniasill.Node, o message.Offer) {
	j := a.jobForMessage(from, o.Key, o.Term, o.Epoch)
	if j == nil {
		return
	}
	kind := replyOffer
	refs := make([]message.TaskRef, len(o.Tasks))
	for i, item := range o.Tasks {
		refs[i] = item.Ref
		if o.Term != j.term || !a.offerTask(now, j, &o, item) {
			kind = replyRepeated
		}
	}
	a.reply(from, kind, j, o.Term, refs)
}

// offerTask accepts or closes a new attempt of a task. It reports false and changes
// nothing if the task has started, or if this attempt or a later one is already
// recorded.
func (a *Agent) offerTask(now time.Time, j *job, o *message.Offer, item message.TaskOffer) bool {
	t := a.recordAttempt(j, o.Term, item.Ref)
	if t == nil {
		return false
	}
	t.profile = o.Profile
	t.payload = item.Payload
	t.expected = o.ExpectedRunTime
	reason := a.refusal(now)
	if reason == "" && j.unrecorded {
		reason = zinniasill.ReasonRecordsFull
	}
	if reason == "" && o.Kind != "" && !slices.Contains(a.kinds, o.Kind) {
		reason = zinniasill.ReasonNoEndpoint
	}
	switch {
	case reason != "":
		a.closeTask(t, reason)
	case a.freeSlots() > 0 && a.queue.count == 0:
		a.reserved++
		a.pending = append(a.pending, t)
	case a.queue.count >= a.cfg.QueueLimit:
		a.closeTask(t, zinniasill.ReasonBusy)
	default:
		a.apply(t, eventQueue)
		t.queuedAt = now
		t.overtakeWindow = overtakeWindow(o.ExpectedRunTime, len(o.Tasks), o.Slack)
		a.queue.push(t)
	}
	return true
}

// recordAttempt returns the task in state offered for a new attempt, and closes an
// earlier attempt. It returns nil if the attempt is not new or the task has started.
func (a *Agent) recordAttempt(j *job, term zinniasill.Term, ref message.TaskRef) *task {
	t := j.tasks[ref.Index]
	switch {
	case t == nil:
		t = &task{job: j, index: ref.Index, state: taskChart.Initial()}
		j.tasks[ref.Index] = t
		if !j.unrecorded {
			a.liveTasks++
		}
	case t.started() || !t.olderThan(term, ref.Attempt):
		return nil
	default:
		if t.isWaiting() {
			a.closeTask(t, zinniasill.ReasonSuperseded)
		}
		a.clearUnacked(t)
		a.apply(t, eventOffer)
	}
	t.term = term
	t.attempt = ref.Attempt
	t.reason = ""
	return t
}

func (a *Agent) withdraw(from zinniasill.Node, w message.Withdraw) {
	j := a.jobForMessage(from, w.Key, w.Term, w.Epoch)
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

// withdrawTask closes an attempt that has not started. If no offer of the attempt was
// received, the attempt is recorded as closed, since the offer may still arrive.
func (a *Agent) withdrawTask(j *job, term zinniasill.Term, ref message.TaskRef) {
	if t := a.recordAttempt(j, term, ref); t != nil {
		a.closeTask(t, zinniasill.ReasonWithdrawn)
		return
	}
	t := j.tasks[ref.Index]
	if t.isWaiting() && t.term == term && t.attempt == ref.Attempt {
		a.closeTask(t, zinniasill.ReasonWithdrawn)
	}
}

func (a *Agent) fence(from zinniasill.Node, f message.Fence) {
	if a.findJob(f.Key) == nil && f.Epoch < a.oldestEpoch {
		a.send(from, message.FenceReply{Key: f.Key, Term: f.Term, Load: a.load(), Expired: true})
		return
	}
	j := a.jobForMessage(from, f.Key, f.Term, f.Epoch)
	if j == nil {
		return
	}
	a.reply(from, replyFence, j, f.Term, nil)
}

// closeTask closes a waiting attempt and releases its slot or its place in the queue.
func (a *Agent) closeTask(t *task, reason zinniasill.Reason) {
	switch t.state {
	case stateQueued:
		a.queue.remove(t)
	case stateFetching:
		a.releaseFetch(t)
	case stateOffered:
		if a.removePending(t) {
			a.reserved--
		}
	default:
	}
	if !a.apply(t, eventClose) {
		return
	}
	t.granted = false
	t.payload = nil
	t.reason = reason
	a.count(CounterClosed, reason)
}

// removePending removes a task from the pending ones and reports whether it was there.
func (a *Agent) removePending(t *task) bool {
	at := slices.Index(a.pending, t)
	if at < 0 {
		return false
	}
	a.pending = slices.Delete(a.pending, at, at+1)
	return true
}

// returnTask closes an attempt that the agent cannot start and reports that to the
// owner.
func (a *Agent) returnTask(t *task, reason zinniasill.Reason) {
	offered := t.state == stateOffered
	a.closeTask(t, reason)
	// The reply to the offer has not been sent yet and will report the closed attempt.
	if !offered {
		a.report(t)
	}
}

// returnWaitingTasks returns every waiting task to its owner.
func (a *Agent) returnWaitingTasks(reason zinniasill.Reason) {
	for _, t := range slices.Clone(a.pending) {
		a.returnTask(t, reason)
	}
	for _, t := range slices.Clone(a.fetching) {
		a.returnTask(t, reason)
	}
	for a.queue.count > 0 {
		a.returnTask(a.queue.rotation[0].tasks[0], reason)
	}
}

// apply applies an event to a task. It counts an event that is not allowed in the
// task's state and returns false.
func (a *Agent) apply(t *task, event chartEvent) bool {
	if err := t.apply(event); err != nil {
		a.count(CounterIllegalEvent, "")
		return false
	}
	return true
}
