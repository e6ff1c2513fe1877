package job

import (
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// adopt handles the value that was chosen for a term of the job.
func (c *Coordinator) adopt(now time.Time, r *record, epoch zinniasill.Epoch, term zinniasill.Term, value message.Claim) {
	r.lookups = nil
	r.proposer = nil
	r.epoch = epoch
	r.term = term
	if value.Digest != r.digest {
		c.settle(now, r, keyReused())
		return
	}
	r.confirmed = true
	c.replayRivals(now, r)
	switch {
	case value.Refused != "":
		r.owned = true
		c.settle(now, r, refusedForGood(value.Refused))
	case value.Tombstone && r.refusal != "":
		r.priors = nil
		c.readTerm(now, r, term+1)
	case value.Tombstone:
		r.priors = nil
		c.claimTerm(now, r, term+1)
	case value.Owner == c.cfg.Self && value.Sequence > r.claims && term > r.ended:
		c.own(now, r, value)
	default:
		c.join(now, r)
		r.priors = append(r.priors, value)
		c.follow(now, r, value.Owner)
	}
}

// own starts the work of a chosen own claim.
func (c *Coordinator) own(now time.Time, r *record, value message.Claim) {
	r.claim = value
	r.owned = true
	r.closing = ""
	if len(r.priors) > 0 {
		c.cfg.Counters.Inc(CounterTakeover, "")
		c.fence(now, r)
		return
	}
	c.startPlacing(now, r)
}

// claimTerm claims a term after the first. While the lease is invalid it only reads
// the register, which is enough to attach to an entry that took the job over.
func (c *Coordinator) claimTerm(now time.Time, r *record, term zinniasill.Term) {
	c.move(r, eventClaim)
	r.term = term - 1
	r.proposer = nil
	r.extending = false
	r.parked = false
	c.timers.push(r, now.Add(claimPoll))
	if !c.cfg.Lease.Valid(now) {
		c.proposeTerm(now, r, claim.Config{Read: true})
		return
	}
	c.plan(now, r)
	c.proposeTerm(now, r, claim.Config{Value: r.claim})
}

// readTerm asks whether another entry has claimed a term.
func (c *Coordinator) readTerm(now time.Time, r *record, term zinniasill.Term) {
	r.term = term - 1
	c.timers.push(r, now.Add(claimPoll))
	c.proposeTerm(now, r, claim.Config{Read: true})
}

// proposeTerm starts a proposal for the term after the last decided one.
func (c *Coordinator) proposeTerm(now time.Time, r *record, cfg claim.Config) {
	epoch, ok := c.epoch(r.epoch)
	if !ok {
		c.noRegister(now, r, claim.StatusExpired)
		return
	}
	cfg.Register = message.Register{Key: r.key, Term: r.term + 1, Epoch: r.epoch}
	r.proposer = c.propose(now, cfg, c.group(r.key, epoch))
	c.checkProposer(now, r)
}

func (c *Coordinator) epoch(number zinniasill.Epoch) (catalog.EpochEntry, bool) {
	for _, epoch := range c.cfg.Lease.Catalog().Epochs {
		if epoch.Number == number {
			return epoch, true
		}
	}
	return catalog.EpochEntry{}, false
}

// checkProposer handles the result of a proposal for a later term.
func (c *Coordinator) checkProposer(now time.Time, r *record) {
	if r.proposer == nil {
		return
	}
	value, _ := r.proposer.Result()
	switch r.proposer.Status() {
	case claim.StatusPending:
	case claim.StatusNoQuorum, claim.StatusExpired, claim.StatusFull:
		c.noRegister(now, r, r.proposer.Status())
	case claim.StatusEmpty:
		r.proposer = nil
		if r.refusal == "" {
			r.parked = true
			return
		}
		c.settle(now, r, c.notRun(r, r.refusal, ""))
	case claim.StatusObserved:
		c.proposeTerm(now, r, claim.Config{Value: value})
	case claim.StatusChosen:
		c.chosen(now, r, value)
	}
}

// noRegister handles a job whose later terms can't be decided any more. An owner
// then goes on with its tasks and candidates, but can't prove that nothing ran.
func (c *Coordinator) noRegister(now time.Time, r *record, status claim.Status) {
	r.proposer = nil
	switch {
	case r.state == statePlacing || r.state == stateRunning:
		r.extending = false
		r.registerGone = true
	case r.state == stateClosing:
		c.settle(now, r, c.failed(r, r.closing, zinniasill.RanUnknown, r.closeMessage))
	case status == claim.StatusFull:
		c.settle(now, r, claimsFull())
	case status == claim.StatusNoQuorum:
		c.settle(now, r, recordLost(r.profile))
	default:
		c.settle(now, r, keyExpired(r.profile))
	}
}

// chosen handles the value that was chosen for a later term. While the job is
// owned, it is an own value or that of an entry that took the job over.
func (c *Coordinator) chosen(now time.Time, r *record, value message.Claim) {
	term := r.term + 1
	own := value.Owner == c.cfg.Self
	r.proposer = nil
	switch {
	case r.state == stateClaiming || r.state == stateRefusing:
		c.adopt(now, r, r.epoch, term, value)
	case own && value.Tombstone:
		r.term = term
		c.settleClosed(now, r, value.Refused)
	case own:
		r.term = term
		r.claim = value
		r.extending = false
		c.moveQueued(now, r)
		c.progress(now, r)
	default:
		c.supersede(r)
		c.adopt(now, r, r.epoch, term, value)
	}
}

// moveQueued returns the tasks that are queued for an earlier own term. An agent
// closes them without a report when it sees the later term.
func (c *Coordinator) moveQueued(now time.Time, r *record) {
	for i := range r.tasks {
		if t := &r.tasks[i]; t.state == taskQueued && r.state != stateClosing {
			c.returned(now, r, t, zinniasill.ReasonSuperseded, false)
		}
	}
}

// supersede ends the own term because another entry has taken the job over.
func (c *Coordinator) supersede(r *record) {
	c.cfg.Counters.Inc(CounterSuperseded, "")
	r.ended = r.term
	r.priors = append(r.priors, r.claim)
	r.extending = false
	c.releaseViews(r)
	r.resetTasks()
	r.closing = ""
	c.move(r, eventClaim)
}
