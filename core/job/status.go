package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// handleTaskStatuses handles an agent's report on tasks of a job.
func (c *Coordinator) handleTaskStatuses(now time.Time, from zinniasill.Node, key zinniasill.Key, term zinniasill.Term, reports []message.TaskStatus) {
	r := c.find(key)
	if r != nil && r.answer != nil {
		c.observeLateRunTimes(r, reports)
	}
	if r == nil || r.done() || !r.owns() {
		return
	}
	superseded := false
	for _, status := range reports {
		if int(status.Ref.Index) >= len(r.tasks) {
			c.cfg.Counters.Inc(CounterUnexpected, "")
			continue
		}
		superseded = c.handleTaskStatus(now, r, from, term, status) || superseded
	}
	if superseded {
		c.handleLaterTerm(now, r)
		return
	}
	c.advance(now, r)
}

// observeLateRunTimes records the run times of tasks that end after their job was answered.
// Without them, only short tasks would be observed while jobs miss their deadlines; the
// estimated wait would fall, and more jobs would be admitted than can be answered.
func (c *Coordinator) observeLateRunTimes(r *record, reports []message.TaskStatus) {
	for _, status := range reports {
		if status.Took > 0 && status.Outcome != nil && status.Outcome.OK {
			c.runTimes.Observe(r.profileName, status.Took)
		}
	}
}

// handleTaskStatus applies the report on one task. It returns true when the report shows
// that a later term exists.
func (c *Coordinator) handleTaskStatus(now time.Time, r *record, from zinniasill.Node, term zinniasill.Term, status message.TaskStatus) bool {
	t := &r.tasks[status.Ref.Index]
	if status.State == message.TaskFinished {
		c.handleOutcome(now, r, t, from, status)
		return false
	}
	if t.node != from || t.attempt != status.Ref.Attempt || t.term != term {
		// The report is about an attempt that was already closed.
		return false
	}
	switch status.State {
	case message.TaskQueued:
		if t.state == taskOffered {
			c.releaseOffer(t)
			r.transitionTask(t, taskQueue)
		}
	case message.TaskRunning:
		c.releaseOffer(t)
		if r.transitionTask(t, taskStart) {
			t.startedAt = now
		}
	case message.TaskClosed:
		return c.handleClosed(now, r, t, status.Reason)
	default:
	}
	return false
}

// handleClosed handles the report that an attempt has not started and never will. It returns
// true when the reason is a later term of another entry.
func (c *Coordinator) handleClosed(now time.Time, r *record, t *task, reason zinniasill.Reason) bool {
	if t.state != taskOffered && t.state != taskQueued && t.state != taskGranted {
		return false
	}
	if r.state == stateClosing {
		c.releaseOffer(t)
		r.transitionTask(t, taskClose)
		return false
	}
	if reason == zinniasill.ReasonSuperseded && t.term == r.term {
		return true
	}
	// A task that is returned because its agent is leaving, or because this owner claimed
	// a later term itself, is rescheduled without spending from the retry budget: another
	// agent has no more work with it than the first.
	rescheduled := reason == zinniasill.ReasonDomainOut || reason == zinniasill.ReasonLeaving ||
		reason == zinniasill.ReasonSuperseded
	c.requeue(now, r, t, reason, !rescheduled)
	return false
}

// requeue returns a task to waiting, so that it is offered to another agent.
func (c *Coordinator) requeue(now time.Time, r *record, t *task, reason zinniasill.Reason, retry bool) {
	c.releaseOffer(t)
	c.views.RescheduleProbe(now, t.node)
	c.cfg.Counters.Inc(CounterRetried, reason)
	r.transitionTask(t, taskReturn)
	// A second return by the same agent backs off whatever the reason, since the local
	// catalog may not show yet that the agent is leaving.
	repeated := slices.Contains(t.returnedBy, t.node)
	t.returnedBy = append(t.returnedBy, t.node)
	t.due = now
	t.chargesBudget = retry
	if retry || repeated {
		t.due = now.Add(c.backoff(len(t.returnedBy)))
	}
}

// handleOutcome handles the outcome of a task. Since a task starts at most once, an outcome
// is valid whichever attempt it belongs to.
func (c *Coordinator) handleOutcome(now time.Time, r *record, t *task, from zinniasill.Node, status message.TaskStatus) {
	outcome := status.Outcome
	if outcome == nil {
		c.cfg.Counters.Inc(CounterUnexpected, "")
		return
	}
	if outcome.Ran == zinniasill.NotRun && !outcome.OK {
		// The report may be a late duplicate; the task may be with another agent by now.
		if t.node == from {
			c.handleClosed(now, r, t, zinniasill.ReasonNoEndpoint)
		}
		return
	}
	c.releaseOffer(t)
	event := taskFinish
	if !outcome.OK {
		event = taskFail
	}
	if !r.transitionTask(t, event) {
		return
	}
	// An agent retains the record of a task longer than its output.
	r.outputEvicted = r.outputEvicted || outcome.OK && status.Reason == zinniasill.ReasonAnswerEvicted
	t.node = from
	t.output = outcome.Output
	t.err = outcome.Error
	t.ran = outcome.Ran
	switch {
	case outcome.OK && status.Took > 0:
		c.runTimes.Observe(r.profile.Name, status.Took)
	case outcome.OK && !t.startedAt.IsZero():
		c.runTimes.Observe(r.profile.Name, now.Sub(t.startedAt))
	}
	c.views.RecordOutcome(now, from, r.profile, outcome.OK)
}

// handleResult handles finished and returned tasks and acknowledges them.
func (c *Coordinator) handleResult(now time.Time, from zinniasill.Node, body message.Result) {
	refs := make([]message.TaskRef, len(body.Tasks))
	for i, status := range body.Tasks {
		refs[i] = status.Ref
	}
	c.sendDeferred(now, from, message.ResultAck{Key: body.Key, Term: body.Term, Tasks: refs}, maxAckDelay)
	c.handleTaskStatuses(now, from, body.Key, body.Term, body.Tasks)
}

// handleFetch grants queued tasks to an agent and withdraws attempts that are no longer
// valid.
func (c *Coordinator) handleFetch(now time.Time, from zinniasill.Node, body message.Fetch) {
	r := c.find(body.Key)
	var granted, refused []message.TaskRef
	for _, ref := range body.Tasks {
		if c.grantTask(now, r, from, body.Term, ref) {
			granted = append(granted, ref)
		} else {
			refused = append(refused, ref)
		}
	}
	if len(granted) > 0 {
		c.send(from, message.Grant{Key: body.Key, Term: body.Term, Tasks: granted})
	}
	if len(refused) > 0 {
		withdraw := message.Withdraw{Key: body.Key, Term: body.Term, Tasks: refused}
		if r != nil {
			withdraw.Epoch = r.epoch
		}
		c.send(from, withdraw)
	}
}

// grantTask marks a task as granted and reports whether the agent may start the attempt.
func (c *Coordinator) grantTask(now time.Time, r *record, from zinniasill.Node, term zinniasill.Term, ref message.TaskRef) bool {
	if r == nil || r.done() || r.state != statePlacing && r.state != stateRunning || int(ref.Index) >= len(r.tasks) {
		return false
	}
	t := &r.tasks[ref.Index]
	if t.node != from || t.term != term || t.attempt != ref.Attempt {
		return false
	}
	switch t.state {
	case taskGranted:
		return true
	case taskOffered, taskQueued:
		c.releaseOffer(t)
		r.transitionTask(t, taskGrant)
		t.due = now.Add(resendTimeout)
		t.startedAt = now
		c.timers.push(r, t.due)
		return true
	default:
		return false
	}
}

// advance completes, closes or continues a job according to the states of its tasks.
func (c *Coordinator) advance(now time.Time, r *record) {
	if r.done() {
		return
	}
	switch r.state {
	case stateClosing:
		c.checkClosing(now, r)
		return
	case statePlacing, stateRunning:
	default:
		return
	}
	switch {
	case r.counts[taskFailed] > 0:
		c.close(now, r, zinniasill.ReasonTaskFailed, r.firstError())
	case r.outputEvicted:
		c.close(now, r, zinniasill.ReasonAnswerEvicted, "a task ran and its output is no longer kept")
	case r.counts[taskUnknown] > 0:
		c.close(now, r, zinniasill.ReasonOutcomeUnknown, "an agent was lost and may have started a task")
	case r.counts[taskFinished] == len(r.tasks):
		c.complete(now, r)
	default:
		c.offerDueTasks(now, r)
	}
}

func (r *record) firstError() string {
	for i := range r.tasks {
		if r.tasks[i].state == taskFailed {
			return r.tasks[i].err
		}
	}
	return ""
}

// handleLostAgents handles the loss of agents: queued tasks are requeued at once, and tasks
// that may have started become unknown.
func (c *Coordinator) handleLostAgents(now time.Time, r *record, lost func(node zinniasill.Node) bool) {
	for i := range r.tasks {
		t := &r.tasks[i]
		switch {
		case t.state == taskWaiting || t.state == taskFinished || t.state == taskFailed || !lost(t.node):
		case t.state == taskQueued && r.state == stateClosing:
			r.transitionTask(t, taskClose)
		case c.rules.inDoubt(t.state):
			c.releaseOffer(t)
			r.transitionTask(t, taskLose)
		case t.state == taskOffered || t.state == taskQueued || t.state == taskGranted:
			c.requeue(now, r, t, zinniasill.ReasonNoEndpoint, false)
		}
	}
	c.advance(now, r)
}
