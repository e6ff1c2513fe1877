package job

import (
	"time"

	"zinniasill"
	"zinniasill/core/admission"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// minRetryAfter is the minimum time after which a refused caller may retry.
const minRetryAfter = 50 * time.Millisecond

// close ends a job without results: it withdraws the tasks that have not started and
// answers the job once it is determined what ran.
func (c *Coordinator) close(now time.Time, r *record, reason zinniasill.Reason, text string) {
	if !c.transition(r, eventClose) {
		return
	}
	r.closeReason = reason
	r.closeMessage = text
	r.closeDeadline = now.Add(proofTimeout)
	c.withdraw(now, r)
	c.checkClosing(now, r)
	if !r.done() {
		c.timers.push(r, now.Add(claimPollInterval))
	}
}

// withdraw closes the waiting and queued tasks and requests the agents to close the offered
// ones. A queued task cannot start any more, since it gets no grant; its withdrawal only
// frees its place in the agent's queue and is deferred.
func (c *Coordinator) withdraw(now time.Time, r *record) {
	type target struct {
		node zinniasill.Node
		term zinniasill.Term
	}
	var targets []target
	urgent := map[target]bool{}
	refs := map[target][]message.TaskRef{}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state == taskQueued || t.state == taskOffered {
			to := target{node: t.node, term: t.term}
			if refs[to] == nil {
				targets = append(targets, to)
			}
			refs[to] = append(refs[to], message.TaskRef{Index: zinniasill.TaskIndex(i), Attempt: t.attempt})
			t.due = now.Add(resendTimeout)
			urgent[to] = urgent[to] || t.state == taskOffered
		}
		if t.state == taskWaiting || t.state == taskQueued {
			r.transitionTask(t, taskClose)
		}
	}
	for _, to := range targets {
		withdraw := message.Withdraw{Key: r.key, Term: to.term, Epoch: r.epoch, Tasks: refs[to]}
		if urgent[to] {
			c.send(to.node, withdraw)
		} else {
			c.sendDeferred(now, to.node, withdraw, maxWithdrawDelay)
		}
	}
}

// ran reports whether a task has or may have started, whether the reply to an offer is
// missing, and what is certain to have run.
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

// checkClosing answers a closing job once it is determined what ran. A not-run answer
// requires a tombstone in the next term, which proves that no other entry has taken the
// job over.
func (c *Coordinator) checkClosing(now time.Time, r *record) {
	if r.done() || r.state != stateClosing {
		return
	}
	started, offered, ran := c.ran(r)
	overdue := !now.Before(r.closeDeadline)
	switch {
	case started || overdue && offered:
		c.answerJob(now, r, c.failedAnswer(r, r.closeReason, ran, r.closeMessage))
	case offered:
		// The replies to the withdrawals will report whether the tasks started.
	case overdue:
		c.answerJob(now, r, c.failedAnswer(r, r.closeReason, zinniasill.RanUnknown, "no majority of the claim group answers"))
	case !c.rules.needsTombstone():
		c.answerNotRun(now, r, "")
	case r.proposer == nil:
		c.proposeTombstone(now, r)
	}
}

// proposeTombstone proposes a tombstone for the next term. It also refuses the key for good
// if the job was cancelled or its profile allows no repetition.
func (c *Coordinator) proposeTombstone(now time.Time, r *record) {
	refused := zinniasill.Reason("")
	if r.profile.Repeat == catalog.RepeatNever || r.closeReason == zinniasill.ReasonCancelled {
		refused = r.closeReason
	}
	value := claim.Tombstone(c.cfg.Self, r.digest, refused)
	c.proposeTerm(now, r, claim.Config{Value: value})
}

// proposeExtension proposes this entry's claim with more candidates.
func (c *Coordinator) proposeExtension(now time.Time, r *record, value message.Claim) {
	c.proposeTerm(now, r, claim.Config{Value: value})
}

// answerNotRun answers a job of which nothing has run or will run.
func (c *Coordinator) answerNotRun(now time.Time, r *record, refused zinniasill.Reason) {
	r.priorClaims = nil
	if refused != "" {
		c.answerJob(now, r, finalRefusalAnswer(refused))
		return
	}
	c.answerJob(now, r, c.notRunAnswer(r, r.closeReason, r.closeMessage))
}

// wakeClosing drives the withdrawals and the tombstone of a closing job. It returns the time
// of the next call.
func (c *Coordinator) wakeClosing(now time.Time, r *record) time.Time {
	if r.proposer != nil {
		c.tickProposals(now, r)
	}
	if r.done() || r.state != stateClosing {
		return now.Add(claimPollInterval)
	}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state == taskOffered && !now.Before(t.due) {
			t.due = now.Add(resendTimeout)
			ref := message.TaskRef{Index: zinniasill.TaskIndex(i), Attempt: t.attempt}
			c.send(t.node, message.Withdraw{Key: r.key, Term: t.term, Epoch: r.epoch, Tasks: []message.TaskRef{ref}})
		}
	}
	c.checkClosing(now, r)
	return now.Add(claimPollInterval)
}

// complete answers a job with the outputs of all its tasks.
func (c *Coordinator) complete(now time.Time, r *record) {
	answer := message.Answer{Complete: true, Outputs: make([][]byte, len(r.tasks))}
	for i := range r.tasks {
		answer.Outputs[i] = r.tasks[i].output
	}
	c.answerJob(now, r, answer)
}

// answerJob answers the callers of a job and the entries attached to it. The answer of a
// job that this entry owned is archived for resubmissions.
func (c *Coordinator) answerJob(now time.Time, r *record, answer message.Answer) {
	if r.done() {
		return
	}
	event := eventFail
	if answer.Complete {
		event = eventComplete
	}
	c.releaseOffers(r)
	for _, node := range r.attachedEntries {
		if r.owned || r.state == stateAttached {
			c.send(node, message.AttachReply{Key: r.key, Known: true, Answer: &answer})
		}
	}
	c.answerWaiters(r, answer)
	// Refusals are not archived, since an overload causes many. Final refusals are
	// recorded in the registers.
	if !r.owned || r.refusal != "" {
		c.drop(now, r)
		return
	}
	c.transition(r, event)
	c.quotas.Remove(r.key.Team, r.quotaUsed)
	r.answer = &answer
	r.resubmittable = answer.Retry == zinniasill.RetrySameKey
	c.replayConflicts(now, r)
	c.archiveRecord(r)
}

// answerWaiters answers all callers that wait for a job.
func (c *Coordinator) answerWaiters(r *record, answer message.Answer) {
	for _, id := range r.waiters {
		c.reply(id, answer)
	}
	r.waiters = nil
}

// drop discards the record of a job that was refused or that this entry never owned.
func (c *Coordinator) drop(now time.Time, r *record) {
	c.releaseOffers(r)
	c.quotas.Remove(r.key.Team, r.quotaUsed)
	c.transition(r, eventDrop)
	delete(c.jobs, r.key)
	c.replayConflicts(now, r)
}

// replayConflicts resubmits the submissions that waited for the decision on the key's body.
func (c *Coordinator) replayConflicts(now time.Time, r *record) {
	conflicts := r.conflicts
	r.conflicts = nil
	for _, other := range conflicts {
		c.Submit(now, other.id, other.submission)
	}
}

func (c *Coordinator) backoff(n int) time.Duration {
	return admission.Backoff(c.cfg.Rand, n)
}
