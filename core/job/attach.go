package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// attachToOwner attaches to the owner of a job. If the owner is dead, or is this entry in
// an earlier term, the job is taken over at once.
func (c *Coordinator) attachToOwner(now time.Time, r *record, owner zinniasill.Node) {
	r.owner = owner
	c.transition(r, eventAttach)
	if owner == c.cfg.Self || !c.cfg.Lease.Catalog().Alive(owner) {
		c.takeOver(now, r)
		return
	}
	c.cfg.Counters.Inc(CounterAttached, "")
	r.lastReceived = now
	c.sendAttach(now, r)
}

// sendAttach sends an attach request to the owner and schedules its resend.
func (c *Coordinator) sendAttach(now time.Time, r *record) {
	r.resendAt = now.Add(resendTimeout)
	c.send(r.owner, message.Attach{Key: r.key})
	c.timers.push(r, r.resendAt)
}

// takeOver takes a job over from its owner by claiming the next term.
func (c *Coordinator) takeOver(now time.Time, r *record) {
	r.owner = zinniasill.Node{}
	c.claimTerm(now, r, r.term+1)
}

// wakeAttached handles everything that is due in an attached job: the deadline of its
// callers, an unresponsive owner and resends. It returns the time of the next call.
func (c *Coordinator) wakeAttached(now time.Time, r *record) time.Time {
	if len(r.waiters) > 0 && !now.Before(r.deadline) {
		answer := undecidedAnswer(zinniasill.ReasonDeadline, "the owner of the job has no answer yet")
		c.answerWaiters(r, answer)
	}
	if len(r.waiters) == 0 && !now.Before(r.deadline) && !r.owned {
		c.drop(now, r)
		return now
	}
	if now.Sub(r.lastReceived) >= ownerTimeout {
		c.takeOver(now, r)
		return now.Add(claimPollInterval)
	}
	if !now.Before(r.resendAt) {
		c.sendAttach(now, r)
	}
	next := earliest(r.resendAt, r.lastReceived.Add(ownerTimeout))
	if len(r.waiters) > 0 || !r.owned {
		next = earliest(next, r.deadline)
	}
	return next
}

func earliest(times ...time.Time) time.Time {
	return slices.MinFunc(times, time.Time.Compare)
}

// handleAttach replies to an entry that found a claim of this one, or that asks for the
// state of a job.
func (c *Coordinator) handleAttach(from zinniasill.Node, body message.Attach) {
	r := c.find(body.Key)
	if r == nil || r.state == stateRefusing {
		c.send(from, message.AttachReply{Key: body.Key})
		return
	}
	if r.answer == nil && !slices.Contains(r.attachedEntries, from) {
		r.attachedEntries = append(r.attachedEntries, from)
	}
	c.send(from, message.AttachReply{Key: body.Key, Known: true, Answer: r.answer})
}

// handleAttachReply handles the reply of the owner. The job is taken over if the owner has no
// record of it.
func (c *Coordinator) handleAttachReply(now time.Time, from zinniasill.Node, body message.AttachReply) {
	r := c.find(body.Key)
	if r == nil || r.state != stateAttached || r.owner != from {
		return
	}
	r.lastReceived = now
	switch {
	case !body.Known:
		c.takeOver(now, r)
	case body.Answer != nil:
		c.answerJob(now, r, *body.Answer)
	}
}
