package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// earlierCandidates returns every agent that an earlier owner may have offered tasks to.
func earlierCandidates(r *record) []zinniasill.Node {
	var nodes []zinniasill.Node
	for _, prior := range r.priorClaims {
		for _, node := range prior.Candidates {
			if !slices.Contains(nodes, node) {
				nodes = append(nodes, node)
			}
		}
	}
	return nodes
}

// fence closes the earlier terms at all their candidates. No task is offered before each
// candidate has replied or is lost.
func (c *Coordinator) fence(now time.Time, r *record) {
	c.transition(r, eventFence)
	r.resetTasks()
	r.fences = nil
	for _, node := range c.rules.fenceTargets(r) {
		r.fences = append(r.fences, fenceState{node: node})
	}
	r.fenceStart = now
	c.sendFences(now, r)
	c.checkFences(now, r)
}

// sendFences sends a fence to each candidate that has not replied and schedules the resend.
func (c *Coordinator) sendFences(now time.Time, r *record) {
	r.resendAt = now.Add(resendTimeout)
	for _, f := range r.fences {
		if !f.done {
			c.send(f.node, message.Fence{Key: r.key, Term: r.term, Epoch: r.epoch})
		}
	}
	c.timers.push(r, r.resendAt)
}

// handleFenceReply handles the reply of a candidate to a fence or a poll of running tasks.
func (c *Coordinator) handleFenceReply(now time.Time, from zinniasill.Node, body message.FenceReply) {
	r := c.jobs[body.Key]
	if r == nil || r.done() || !r.owns() || body.Term != r.term {
		return
	}
	if body.Fenced > r.term {
		c.handleLaterTerm(now, r)
		return
	}
	for _, status := range body.Tasks {
		c.adoptTask(now, r, from, body.Term, status)
	}
	if r.state != stateFencing {
		c.advance(now, r)
		return
	}
	for i := range r.fences {
		f := &r.fences[i]
		if f.node == from && !f.done {
			f.done = true
			f.lost = body.Expired
		}
	}
	c.checkFences(now, r)
}

// adoptTask records a task that an agent has started for an earlier term.
func (c *Coordinator) adoptTask(now time.Time, r *record, from zinniasill.Node, term zinniasill.Term, status message.TaskStatus) {
	if int(status.Ref.Index) >= len(r.tasks) {
		return
	}
	t := &r.tasks[status.Ref.Index]
	switch status.State {
	case message.TaskRunning:
		if r.transitionTask(t, taskStart) {
			t.node = from
			t.term = term
			t.attempt = status.Ref.Attempt
			t.startedAt = now
		}
	case message.TaskFinished:
		c.handleOutcome(now, r, t, from, status)
	default:
	}
}

// checkFences starts to place tasks once every candidate has replied or is lost. If one
// is lost, the outcome of all tasks that no agent reported is unknown.
func (c *Coordinator) checkFences(now time.Time, r *record) {
	cat := c.cfg.Lease.Catalog()
	lost := false
	for i := range r.fences {
		f := &r.fences[i]
		if !f.done && !cat.RecordsReachable(f.node) && now.Sub(r.fenceStart) >= lostTimeout {
			f.done = true
			f.lost = true
		}
		if !f.done {
			return
		}
		lost = lost || f.lost
	}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state == taskWaiting && lost {
			r.transitionTask(t, taskLose)
		}
	}
	r.fences = nil
	c.startPlacing(now, r)
}

// wakeFencing resends unanswered fences, and closes the job at its deadline. It returns the
// time of the next call.
func (c *Coordinator) wakeFencing(now time.Time, r *record) time.Time {
	if !now.Before(r.deadline) {
		for i := range r.tasks {
			if r.tasks[i].state == taskWaiting {
				r.transitionTask(&r.tasks[i], taskLose)
			}
		}
		c.close(now, r, zinniasill.ReasonDeadline, "the agents of the earlier owner did not answer in time")
		return now
	}
	c.checkFences(now, r)
	if r.done() {
		return now
	}
	if r.state == stateFencing && !now.Before(r.resendAt) {
		c.sendFences(now, r)
	}
	return earliest(r.deadline, r.resendAt)
}

// handleLaterTerm handles the report of an agent that a later term exists. Claiming the
// next term finds its owner, since a fence is sent only for a chosen claim.
func (c *Coordinator) handleLaterTerm(now time.Time, r *record) {
	if r.proposer != nil {
		// The proposal in progress will find the later owner.
		return
	}
	c.supersede(r)
	c.claimTerm(now, r, r.term+1)
}

// owns reports whether this entry holds the latest claim that it has recorded for the job.
func (r *record) owns() bool {
	switch r.state {
	case stateFencing, statePlacing, stateRunning, stateClosing:
		return true
	default:
		return false
	}
}
