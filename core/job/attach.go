package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// follow attaches to the owner of a job. An owner that is dead, or that is an
// earlier term of this entry, is replaced at once.
func (c *Coordinator) follow(now time.Time, r *record, owner zinniasill.Node) {
	r.owner = owner
	c.move(r, eventAttach)
	if owner == c.cfg.Self || !c.cfg.Lease.Catalog().Alive(owner) {
		c.takeOver(now, r)
		return
	}
	c.cfg.Counters.Inc(CounterAttached, "")
	r.heard = now
	c.askOwner(now, r)
}

func (c *Coordinator) askOwner(now time.Time, r *record) {
	r.resendAt = now.Add(resendAfter)
	c.send(r.owner, message.Attach{Key: r.key})
	c.timers.push(r, r.resendAt)
}

// takeOver claims the next term.
func (c *Coordinator) takeOver(now time.Time, r *record) {
	r.owner = zinniasill.Node{}
	c.claimTerm(now, r, r.term+1)
}

func (c *Coordinator) wakeAttached(now time.Time, r *record) time.Time {
	if len(r.waiters) > 0 && !now.Before(r.deadline) {
		answer := unsettled(zinniasill.ReasonDeadline, "the owner of the job has no answer yet")
		c.answerWaiters(r, answer)
	}
	if len(r.waiters) == 0 && !now.Before(r.deadline) && !r.owned {
		c.drop(now, r)
		return now
	}
	if now.Sub(r.heard) >= ownerSilence {
		c.takeOver(now, r)
		return now.Add(claimPoll)
	}
	if !now.Before(r.resendAt) {
		c.askOwner(now, r)
	}
	next := earliest(r.resendAt, r.heard.Add(ownerSilence))
	if len(r.waiters) > 0 || !r.owned {
		next = earliest(next, r.deadline)
	}
	return next
}

func earliest(times ...time.Time) time.Time {
	return slices.MinFunc(times, time.Time.Compare)
}

// attach answers another entry that found a claim of this one.
func (c *Coordinator) attach(from zinniasill.Node, body message.Attach) {
	r := c.find(body.Key)
	if r == nil || r.state == stateRefusing {
		c.send(from, message.AttachReply{Key: body.Key})
		return
	}
	if r.answer == nil && !slices.Contains(r.followers, from) {
		r.followers = append(r.followers, from)
	}
	c.send(from, message.AttachReply{Key: body.Key, Known: true, Answer: r.answer})
}

func (c *Coordinator) attachReply(now time.Time, from zinniasill.Node, body message.AttachReply) {
	r := c.find(body.Key)
	if r == nil || r.state != stateAttached || r.owner != from {
		return
	}
	r.heard = now
	switch {
	case !body.Known:
		c.takeOver(now, r)
	case body.Answer != nil:
		c.settle(now, r, *body.Answer)
	}
}
