package job

import (
	"time"

	"zinniasill"
	"zinniasill/core/admission"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// minRetryAfter is the least time that a refused caller is told to wait.
const minRetryAfter = 50 * time.Millisecond

// close ends a job without results: it withdraws the tasks that have not started
// and answers as soon as it is known what ran.
func (c *Coordinator) close(now time.Time, r *record, reason zinniasill.Reason, text string) {
	if !c.move(r, eventClose) {
		return
	}
	r.closing = reason
	r.closeMessage = text
	r.closeBy = now.Add(settleWithin)
	c.withdraw(now, r)
	c.checkClosing(now, r)
	if !r.done() {
		c.timers.push(r, now.Add(claimPoll))
	}
}

// withdraw closes the waiting and queued tasks, and asks the agents to close the
// offered ones. A queued task can't start any more, since it gets no grant; its
// withdrawal only frees the queue and can wait.
func (c *Coordinator) withdraw(now time.Time, r *record) {
	type place struct {
		node zinniasill.Node
		term zinniasill.Term
	}
	var order []place
	urgent := map[place]bool{}
	refs := map[place][]message.TaskRef{}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state == taskQueued || t.state == taskOffered {
			at := place{node: t.node, term: t.term}
			if refs[at] == nil {
				order = append(order, at)
			}
			refs[at] = append(refs[at], message.TaskRef{Index: zinniasill.TaskIndex(i), Attempt: t.attempt})
			t.next = now.Add(resendAfter)
			urgent[at] = urgent[at] || t.state == taskOffered
		}
		if t.state == taskWaiting || t.state == taskQueued {
			r.setTask(t, taskClose)
		}
	}
	for _, at := range order {
		withdraw := message.Withdraw{Key: r.key, Term: at.term, Epoch: r.epoch, Tasks: refs[at]}
		if urgent[at] {
			c.send(at.node, withdraw)
		} else {
			c.sendLater(now, at.node, withdraw, withdrawWait)
		}
	}
}

// ran reports whether a task ran or may have, and whether that is certain for all.
func (c *Coordinator) ran(r *record) (started, offered bool, ran zinniasill.Ran) {
	ran = zinniasill.NotRun
	for i := range r.tasks {
		t := &r.tasks[i]
		switch {
		case t.state == taskFinished || t.state == taskFailed:
			started = true
			if ran == zinniasill.NotRun {
				ran = zinniasill.DidRun
			}
			if t.state == taskFailed && t.ran == zinniasill.RanUnknown {
				ran = zinniasill.RanUnknown
			}
		case c.rules.inDoubt(t.state):
			started = started || t.state != taskOffered
			offered = offered || t.state == taskOffered
			ran = zinniasill.RanUnknown
		}
	}
	return started, offered, ran
}

// checkClosing answers a closing job once it is known what ran. That nothing ran
// is answered only with a tombstone in the next term, which proves that no other
// entry has taken the job over.
func (c *Coordinator) checkClosing(now time.Time, r *record) {
	if r.done() || r.state != stateClosing {
		return
	}
	started, offered, ran := c.ran(r)
	overdue := !now.Before(r.closeBy)
	switch {
	case started || overdue && offered:
		c.settle(now, r, c.failed(r, r.closing, ran, r.closeMessage))
	case offered:
		// The answers to the withdrawals tell.
	case overdue:
		c.settle(now, r, c.failed(r, r.closing, zinniasill.RanUnknown, "no majority of the claim group answers"))
	case !c.rules.tombstone():
		c.settleClosed(now, r, "")
	case r.proposer == nil:
		c.proposeTombstone(now, r)
	}
}

// proposeTombstone closes the next term. It also refuses the key for good when
// the caller must not submit it again.
func (c *Coordinator) proposeTombstone(now time.Time, r *record) {
	refused := zinniasill.Reason("")
	if r.profile.Repeat == catalog.RepeatNever || r.closing == zinniasill.ReasonCancelled {
		refused = r.closing
	}
	value := claim.Tombstone(c.cfg.Self, r.digest, refused)
	c.proposeTerm(now, r, claim.Config{Value: value})
}

// proposeExtension proposes an own claim with more candidates.
func (c *Coordinator) proposeExtension(now time.Time, r *record, value message.Claim) {
	c.proposeTerm(now, r, claim.Config{Value: value})
}

// settleClosed answers a job of which nothing ran and nothing will.
func (c *Coordinator) settleClosed(now time.Time, r *record, refused zinniasill.Reason) {
	r.priors = nil
	if refused != "" {
		c.settle(now, r, refusedForGood(refused))
		return
	}
	c.settle(now, r, c.notRun(r, r.closing, r.closeMessage))
}

func (c *Coordinator) wakeClosing(now time.Time, r *record) time.Time {
	if r.proposer != nil {
		c.tickProposals(now, r)
	}
	if r.done() || r.state != stateClosing {
		return now.Add(claimPoll)
	}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state == taskOffered && !now.Before(t.next) {
			t.next = now.Add(resendAfter)
			ref := message.TaskRef{Index: zinniasill.TaskIndex(i), Attempt: t.attempt}
			c.send(t.node, message.Withdraw{Key: r.key, Term: t.term, Epoch: r.epoch, Tasks: []message.TaskRef{ref}})
		}
	}
	c.checkClosing(now, r)
	return now.Add(claimPoll)
}

// complete answers with one output for each task.
func (c *Coordinator) complete(now time.Time, r *record) {
	answer := message.Answer{Complete: true, Outputs: make([][]byte, len(r.tasks))}
	for i := range r.tasks {
		answer.Outputs[i] = r.tasks[i].output
	}
	c.settle(now, r, answer)
}

// settle answers the job's callers and the entries attached to it. The answer of
// a job that this entry owned is kept for resubmissions.
func (c *Coordinator) settle(now time.Time, r *record, answer message.Answer) {
	if r.done() {
		return
	}
	event := eventFail
	if answer.Complete {
		event = eventComplete
	}
	c.releaseViews(r)
	for _, node := range r.followers {
		if r.owned || r.state == stateAttached {
			c.send(node, message.AttachReply{Key: r.key, Known: true, Answer: &answer})
		}
	}
	c.answerWaiters(r, answer)
	// An entry without room for records keeps none of its refusals. The register still
	// holds a final one.
	if !r.owned || r.refusal == zinniasill.ReasonRecordsFull {
		c.drop(now, r)
		return
	}
	c.move(r, event)
	c.quotas.Remove(r.key.Team, r.quota)
	r.answer = &answer
	r.reopens = answer.Retry == zinniasill.RetrySameKey
	c.replayRivals(now, r)
	c.keep(r)
}

// answerWaiters answers every caller that waits for the job.
func (c *Coordinator) answerWaiters(r *record, answer message.Answer) {
	for _, id := range r.waiters {
		c.reply(id, answer)
	}
	r.waiters = nil
}

// drop forgets a job that this entry never owned.
func (c *Coordinator) drop(now time.Time, r *record) {
	c.releaseViews(r)
	c.quotas.Remove(r.key.Team, r.quota)
	c.move(r, eventDrop)
	delete(c.jobs, r.key)
	c.replayRivals(now, r)
}

// replayRivals submits again what waited for the decision on the key's body.
func (c *Coordinator) replayRivals(now time.Time, r *record) {
	rivals := r.rivals
	r.rivals = nil
	for _, w := range rivals {
		c.Submit(now, w.id, w.submission)
	}
}

func (c *Coordinator) backoff(n int) time.Duration {
	return admission.Backoff(c.cfg.Rand, n)
}
