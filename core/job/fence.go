package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// earlierCandidates returns every agent that an earlier owner may have offered
// tasks to.
func earlierCandidates(r *record) []zinniasill.Node {
	var nodes []zinniasill.Node
	for _, prior := range r.priors {
		for _, node := range prior.Candidates {
			if !slices.Contains(nodes, node) {
				nodes = append(nodes, node)
			}
		}
	}
	return nodes
}

// fence closes the earlier terms at all their candidates. No task is offered
// before each of them has answered or is gone.
func (c *Coordinator) fence(now time.Time, r *record) {
	c.move(r, eventFence)
	r.resetTasks()
	r.fences = nil
	for _, node := range c.rules.toFence(r) {
		r.fences = append(r.fences, fenced{node: node})
	}
	r.fenceFrom = now
	c.sendFences(now, r)
	c.checkFences(now, r)
}

func (c *Coordinator) sendFences(now time.Time, r *record) {
	r.resendAt = now.Add(resendAfter)
	for _, f := range r.fences {
		if !f.done {
			c.send(f.node, message.Fence{Key: r.key, Term: r.term, Epoch: r.epoch})
		}
	}
	c.timers.push(r, r.resendAt)
}

func (c *Coordinator) fenceReply(now time.Time, from zinniasill.Node, body message.FenceReply) {
	r := c.jobs[body.Key]
	if r == nil || r.done() || !r.owns() || body.Term != r.term {
		return
	}
	if body.Fenced > r.term {
		c.overtaken(now, r)
		return
	}
	for _, status := range body.Tasks {
		c.adoptTask(now, r, from, body.Term, status)
	}
	if r.state != stateFencing {
		c.progress(now, r)
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

// adoptTask takes over a task that was started for an earlier term.
func (c *Coordinator) adoptTask(now time.Time, r *record, from zinniasill.Node, term zinniasill.Term, status message.TaskStatus) {
	if int(status.Ref.Index) >= len(r.tasks) {
		return
	}
	t := &r.tasks[status.Ref.Index]
	switch status.State {
	case message.TaskRunning:
		if r.setTask(t, taskStart) {
			t.node = from
			t.term = term
			t.attempt = status.Ref.Attempt
			t.began = now
		}
	case message.TaskFinished:
		c.finished(now, r, t, from, status)
	default:
	}
}

// checkFences goes on when every candidate has answered or is gone.
func (c *Coordinator) checkFences(now time.Time, r *record) {
	cat := c.cfg.Lease.Catalog()
	lost := false
	for i := range r.fences {
		f := &r.fences[i]
		if !f.done && !cat.RecordsReachable(f.node) && now.Sub(r.fenceFrom) >= lostAfter {
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
			r.setTask(t, taskLose)
		}
	}
	r.fences = nil
	c.startPlacing(now, r)
}

func (c *Coordinator) wakeFencing(now time.Time, r *record) time.Time {
	if !now.Before(r.deadline) {
		for i := range r.tasks {
			if r.tasks[i].state == taskWaiting {
				r.setTask(&r.tasks[i], taskLose)
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

// overtaken handles the report of an agent that a later term exists. Claiming the
// next term finds its owner, since a fence is sent only for a chosen claim.
func (c *Coordinator) overtaken(now time.Time, r *record) {
	if r.proposer != nil {
		// The proposal in progress finds the later owner.
		return
	}
	c.supersede(r)
	c.claimTerm(now, r, r.term+1)
}

// owns reports whether this entry holds the job's latest known claim.
func (r *record) owns() bool {
	switch r.state {
	case stateFencing, statePlacing, stateRunning, stateClosing:
		return true
	default:
		return false
	}
}
