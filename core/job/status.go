package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// statuses handles an agent's report on tasks of a job.
func (c *Coordinator) statuses(now time.Time, from zinniasill.Node, key zinniasill.Key, term zinniasill.Term, reports []message.TaskStatus) {
	r := c.find(key)
	if r != nil && r.answer != nil {
		c.learnLate(r, reports)
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
		superseded = c.status(now, r, from, term, status) || superseded
	}
	if superseded {
		c.overtaken(now, r)
		return
	}
	c.progress(now, r)
}

// learnLate learns the run times of tasks that end after their job's deadline.
// Without them only short tasks would count while jobs miss their deadlines; the
// estimated wait would fall, and more jobs would be taken than can be answered.
func (c *Coordinator) learnLate(r *record, reports []message.TaskStatus) {
	for _, status := range reports {
		if status.Took > 0 && status.Outcome != nil && status.Outcome.OK {
			c.times.Observe(r.ran, status.Took)
		}
	}
}

// status applies one report. It returns true when the agent knows a later term.
func (c *Coordinator) status(now time.Time, r *record, from zinniasill.Node, term zinniasill.Term, status message.TaskStatus) bool {
	t := &r.tasks[status.Ref.Index]
	if status.State == message.TaskFinished {
		c.finished(now, r, t, from, status)
		return false
	}
	if t.node != from || t.attempt != status.Ref.Attempt || t.term != term {
		// The report is on an attempt that was closed before.
		return false
	}
	switch status.State {
	case message.TaskQueued:
		if t.state == taskOffered {
			c.releaseTask(t)
			r.setTask(t, taskQueue)
		}
	case message.TaskRunning:
		c.releaseTask(t)
		if r.setTask(t, taskStart) {
			t.began = now
		}
	case message.TaskClosed:
		return c.closed(now, r, t, status.Reason)
	default:
	}
	return false
}

// closed handles an attempt that has not started and never will.
func (c *Coordinator) closed(now time.Time, r *record, t *task, reason zinniasill.Reason) bool {
	if t.state != taskOffered && t.state != taskQueued && t.state != taskGranted {
		return false
	}
	if r.state == stateClosing {
		c.releaseTask(t)
		r.setTask(t, taskClose)
		return false
	}
	if reason == zinniasill.ReasonSuperseded && t.term == r.term {
		return true
	}
	// A task that is returned because its agent leaves, or because this owner
	// claimed a later term itself, is moved and not retried: its new place costs no
	// more work than the old one.
	moved := reason == zinniasill.ReasonDomainOut || reason == zinniasill.ReasonLeaving ||
		reason == zinniasill.ReasonSuperseded
	c.returned(now, r, t, reason, !moved)
	return false
}

// returned makes a task wait for another agent.
func (c *Coordinator) returned(now time.Time, r *record, t *task, reason zinniasill.Reason, retry bool) {
	c.releaseTask(t)
	c.views.RescheduleProbe(now, t.node)
	c.cfg.Counters.Inc(CounterRetried, reason)
	r.setTask(t, taskReturn)
	// A second return by the same agent backs off whatever the reason, since the
	// catalog here may not show yet that the agent leaves.
	again := slices.Contains(t.refused, t.node)
	t.refused = append(t.refused, t.node)
	t.next = now
	t.charged = retry
	if retry || again {
		t.next = now.Add(c.backoff(len(t.refused)))
	}
}

// finished handles the outcome of a task. A task starts at most once, so an
// outcome is valid whichever attempt it belongs to.
func (c *Coordinator) finished(now time.Time, r *record, t *task, from zinniasill.Node, status message.TaskStatus) {
	outcome := status.Outcome
	if outcome == nil {
		c.cfg.Counters.Inc(CounterUnexpected, "")
		return
	}
	if outcome.Ran == zinniasill.NotRun && !outcome.OK {
		// The report may be a late copy, while another agent has the task by now.
		if t.node == from {
			c.closed(now, r, t, zinniasill.ReasonNoEndpoint)
		}
		return
	}
	c.releaseTask(t)
	event := taskFinish
	if !outcome.OK {
		event = taskFail
	}
	if !r.setTask(t, event) {
		return
	}
	// An agent keeps the record of a task longer than its output.
	r.evicted = r.evicted || outcome.OK && status.Reason == zinniasill.ReasonAnswerEvicted
	t.node = from
	t.output = outcome.Output
	t.err = outcome.Error
	t.ran = outcome.Ran
	switch {
	case outcome.OK && status.Took > 0:
		c.times.Observe(r.profile.Name, status.Took)
	case outcome.OK && !t.began.IsZero():
		c.times.Observe(r.profile.Name, now.Sub(t.began))
	}
	c.views.RecordOutcome(now, from, r.profile, outcome.OK)
}

// result handles finished and returned tasks and confirms them.
func (c *Coordinator) result(now time.Time, from zinniasill.Node, body message.Result) {
	refs := make([]message.TaskRef, len(body.Tasks))
	for i, status := range body.Tasks {
		refs[i] = status.Ref
	}
	c.sendLater(now, from, message.ResultAck{Key: body.Key, Term: body.Term, Tasks: refs}, ackWait)
	c.statuses(now, from, body.Key, body.Term, body.Tasks)
}

// fetch grants queued tasks, and closes attempts that are no longer wanted.
func (c *Coordinator) fetch(now time.Time, from zinniasill.Node, body message.Fetch) {
	r := c.find(body.Key)
	var granted, refused []message.TaskRef
	for _, ref := range body.Tasks {
		if c.grants(now, r, from, body.Term, ref) {
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

func (c *Coordinator) grants(now time.Time, r *record, from zinniasill.Node, term zinniasill.Term, ref message.TaskRef) bool {
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
		c.releaseTask(t)
		r.setTask(t, taskGrant)
		t.next = now.Add(resendAfter)
		t.began = now
		c.timers.push(r, t.next)
		return true
	default:
		return false
	}
}

// progress decides what follows from the states of the tasks.
func (c *Coordinator) progress(now time.Time, r *record) {
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
	case r.evicted:
		c.close(now, r, zinniasill.ReasonAnswerEvicted, "a task ran and its output is no longer kept")
	case r.counts[taskUnknown] > 0:
		c.close(now, r, zinniasill.ReasonOutcomeUnknown, "an agent was lost and may have started a task")
	case r.counts[taskFinished] == len(r.tasks):
		c.complete(now, r)
	default:
		c.place(now, r)
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

// agentsGone handles the death of agents: queued tasks move at once, tasks that
// may have started are unknown.
func (c *Coordinator) agentsGone(now time.Time, r *record, gone func(node zinniasill.Node) bool) {
	for i := range r.tasks {
		t := &r.tasks[i]
		switch {
		case t.state == taskWaiting || t.state == taskFinished || t.state == taskFailed || !gone(t.node):
		case t.state == taskQueued && r.state == stateClosing:
			r.setTask(t, taskClose)
		case c.rules.inDoubt(t.state):
			c.releaseTask(t)
			r.setTask(t, taskLose)
		case t.state == taskOffered || t.state == taskQueued || t.state == taskGranted:
			c.returned(now, r, t, zinniasill.ReasonNoEndpoint, false)
		}
	}
	c.progress(now, r)
}
