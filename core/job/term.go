package job

import (
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// applyChosenClaim continues a job that is being claimed or refused with the value that
// was chosen for a term.
func (c *Coordinator) applyChosenClaim(now time.Time, r *record, epoch zinniasill.Epoch, term zinniasill.Term, value message.Claim) {
	r.lookups = nil
	r.proposer = nil
	r.epoch = epoch
	r.term = term
	if value.Digest != r.digest {
		c.answerJob(now, r, keyReusedAnswer())
		return
	}
	r.confirmed = true
	c.replayConflicts(now, r)
	switch {
	case value.Refused != "":
		r.owned = true
		c.answerJob(now, r, finalRefusalAnswer(value.Refused))
	case value.Tombstone && r.refusal != "":
		r.priorClaims = nil
		c.readTerm(now, r, term+1)
	case value.Tombstone:
		r.priorClaims = nil
		c.claimTerm(now, r, term+1)
	case value.Owner == c.cfg.Self && value.Sequence > r.claimSequence && term > r.endedTerm:
		c.startOwning(now, r, value)
	default:
		c.joinClaimed(now, r)
		r.priorClaims = append(r.priorClaims, value)
		c.attachToOwner(now, r, value.Owner)
	}
}

// startOwning starts the work of a job after this entry's claim was chosen.
func (c *Coordinator) startOwning(now time.Time, r *record, value message.Claim) {
	r.claim = value
	r.owned = true
	r.closeReason = ""
	if len(r.priorClaims) > 0 {
		c.cfg.Counters.Inc(CounterTakeover, "")
		c.fence(now, r)
		return
	}
	c.startPlacing(now, r)
}

// claimTerm claims a term after the first. While the lease is invalid, it only reads the
// register, which is enough to attach to another entry that has taken the job over.
func (c *Coordinator) claimTerm(now time.Time, r *record, term zinniasill.Term) {
	c.transition(r, eventClaim)
	r.term = term - 1
	r.proposer = nil
	r.extending = false
	r.parked = false
	c.timers.push(r, now.Add(claimPollInterval))
	if !c.cfg.Lease.Valid(now) {
		c.proposeTerm(now, r, claim.Config{Read: true})
		return
	}
	c.planClaim(now, r)
	c.proposeTerm(now, r, claim.Config{Value: r.claim})
}

// readTerm reads the register of a term to find out whether another entry has claimed
// it.
func (c *Coordinator) readTerm(now time.Time, r *record, term zinniasill.Term) {
	r.term = term - 1
	c.timers.push(r, now.Add(claimPollInterval))
	c.proposeTerm(now, r, claim.Config{Read: true})
}

// proposeTerm starts a proposal for, or read of, the term after the last decided one.
func (c *Coordinator) proposeTerm(now time.Time, r *record, cfg claim.Config) {
	epoch, ok := c.epoch(r.epoch)
	if !ok {
		c.handleRegisterUnavailable(now, r, claim.StatusExpired)
		return
	}
	cfg.Register = message.Register{Key: r.key, Term: r.term + 1, Epoch: r.epoch}
	r.proposer = c.propose(now, cfg, c.claimGroup(r.key, epoch))
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

// checkProposer handles the result of a proposal for a term after the first.
func (c *Coordinator) checkProposer(now time.Time, r *record) {
	if r.proposer == nil {
		return
	}
	value, _ := r.proposer.Result()
	switch r.proposer.Status() {
	case claim.StatusPending:
	case claim.StatusNoQuorum, claim.StatusExpired, claim.StatusFull:
		c.handleRegisterUnavailable(now, r, r.proposer.Status())
	case claim.StatusEmpty:
		r.proposer = nil
		if r.refusal == "" {
			r.parked = true
			return
		}
		c.answerJob(now, r, c.notRunAnswer(r, r.refusal, ""))
	case claim.StatusObserved:
		c.proposeTerm(now, r, claim.Config{Value: value})
	case claim.StatusChosen:
		c.handleChosen(now, r, value)
	}
}

// handleRegisterUnavailable handles a job whose next term cannot be decided any more. An
// owner continues with its present candidates, but can no longer prove that nothing ran.
func (c *Coordinator) handleRegisterUnavailable(now time.Time, r *record, status claim.Status) {
	r.proposer = nil
	switch {
	case r.state == statePlacing || r.state == stateRunning:
		r.extending = false
		r.registerUnavailable = true
	case r.state == stateClosing:
		c.answerJob(now, r, c.failedAnswer(r, r.closeReason, zinniasill.RanUnknown, r.closeMessage))
	case status == claim.StatusFull:
		c.answerJob(now, r, claimsFullAnswer())
	case status == claim.StatusNoQuorum:
		c.answerJob(now, r, recordLostAnswer(r.profile))
	default:
		c.answerJob(now, r, keyExpiredAnswer(r.profile))
	}
}

// handleChosen handles the value that was chosen for the next term. If this entry owns
// the job, the value is its own or that of an entry that has taken the job over.
func (c *Coordinator) handleChosen(now time.Time, r *record, value message.Claim) {
	term := r.term + 1
	own := value.Owner == c.cfg.Self
	r.proposer = nil
	switch {
	case r.state == stateClaiming || r.state == stateRefusing:
		c.applyChosenClaim(now, r, r.epoch, term, value)
	case own && value.Tombstone:
		r.term = term
		c.answerNotRun(now, r, value.Refused)
	case own:
		r.term = term
		r.claim = value
		r.extending = false
		c.requeueQueued(now, r)
		c.advance(now, r)
	default:
		c.supersede(r)
		c.applyChosenClaim(now, r, r.epoch, term, value)
	}
}

// requeueQueued requeues the tasks that are queued at agents under this entry's previous
// term. Agents close them without a report once they receive the later term.
func (c *Coordinator) requeueQueued(now time.Time, r *record) {
	for i := range r.tasks {
		if t := &r.tasks[i]; t.state == taskQueued && r.state != stateClosing {
			c.requeue(now, r, t, zinniasill.ReasonSuperseded, false)
		}
	}
}

// supersede ends this entry's term because another entry has taken the job over.
func (c *Coordinator) supersede(r *record) {
	c.cfg.Counters.Inc(CounterSuperseded, "")
	r.endedTerm = r.term
	r.priorClaims = append(r.priorClaims, r.claim)
	r.extending = false
	c.releaseOffers(r)
	r.resetTasks()
	r.closeReason = ""
	c.transition(r, eventClaim)
}
