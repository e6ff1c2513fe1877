package job

import (
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// startLookups looks up the key in every epoch of the retention window and, unless the
// job is to be refused, claims it in the current epoch. All registers are queried at the
// same time; a claim in an earlier epoch makes a later one void.
func (c *Coordinator) startLookups(now time.Time, r *record) {
	cat := c.cfg.Lease.Catalog()
	r.lookups = nil
	// A job that arrived before the entry's first catalog has only the name of its
	// profile. Without the profile, its retry advice would be never to resubmit.
	if profile, ok := cat.Profiles[r.profileName]; ok && r.profile.Kind == "" {
		r.profile = profile
	}
	r.currentEpoch = cat.CurrentEpoch()
	if expired(cat, r.stamp) {
		c.answerJob(now, r, keyExpiredAnswer(r.profile))
		return
	}
	// No entry claims in an epoch before the stamp, so checkLookups skips such epochs if
	// their group has lost its majority.
	r.parked = r.currentEpoch == 0 || r.stamp > r.currentEpoch || r.refusal == "" && !c.cfg.Lease.Valid(now)
	if !r.parked {
		if r.refusal == "" {
			c.planClaim(now, r)
		}
		for _, epoch := range cat.Epochs {
			last := epoch.Number == r.currentEpoch
			if last || c.rules.lookUp(epoch.Number) {
				c.lookUp(now, r, epoch, last)
			}
		}
		c.checkLookups(now, r)
	}
	if !r.done() {
		c.timers.push(r, now.Add(claimPollInterval))
	}
}

// expired reports whether a stamp is older than the retention window. It is checked at
// every start of look-ups, since the window may have moved while the job was parked.
func expired(cat *catalog.Catalog, stamp zinniasill.Epoch) bool {
	return stamp != 0 && len(cat.Epochs) > 0 && stamp < cat.Epochs[0].Number
}

// lookUp starts the proposal or read for one epoch. last marks the current epoch.
func (c *Coordinator) lookUp(now time.Time, r *record, epoch catalog.EpochEntry, last bool) {
	claimGroup := c.claimGroup(r.key, epoch)
	if len(claimGroup) == 0 {
		return
	}
	cfg := claim.Config{Register: message.Register{Key: r.key, Term: 1, Epoch: epoch.Number}}
	switch {
	case r.refusal != "" && !r.finalRefusal:
		cfg.Read = true
	case r.refusal != "":
		cfg.Value = claim.Tombstone(c.cfg.Self, r.digest, r.refusal)
	case last:
		cfg.Value = r.claim
	default:
		// The tombstone closes the epoch for this key whatever the body. Without a
		// digest, each of these registers (one per epoch and member) takes 32 B less.
		cfg.Value = claim.Tombstone(c.cfg.Self, zinniasill.Digest{}, "")
	}
	proposer := c.propose(now, cfg, claimGroup)
	r.lookups = append(r.lookups, lookup{epoch: epoch.Number, proposer: proposer})
}

// propose starts a proposal or read at a claim group.
func (c *Coordinator) propose(now time.Time, cfg claim.Config, group []catalog.EpochMember) *claim.Proposer {
	cat := c.cfg.Lease.Catalog()
	cfg.Self = c.cfg.Self
	cfg.Group = group
	cfg.Rand = c.cfg.Rand
	for _, member := range group {
		if !cat.RecordsReachable(member.Node) {
			cfg.Dead = append(cfg.Dead, member.Node)
		}
	}
	proposer := claim.NewProposer(cfg)
	proposer.Start(now)
	c.sendProposerOutbox(proposer)
	return proposer
}

// sendProposerOutbox sends the pending messages of a proposer.
func (c *Coordinator) sendProposerOutbox(proposer *claim.Proposer) {
	for _, env := range proposer.Outbox() {
		c.send(env.To, env.Body)
	}
}

func (c *Coordinator) claimGroup(key zinniasill.Key, epoch catalog.EpochEntry) []catalog.EpochMember {
	groups := c.groups[epoch.Number]
	if groups == nil {
		groups = claim.NewGroups(epoch)
		c.groups[epoch.Number] = groups
	}
	return groups.Of(key)
}

// checkLookups evaluates the registers from the earliest epoch on. The first claim found
// is the valid one: this entry's claim is valid only if no earlier epoch has a claim.
func (c *Coordinator) checkLookups(now time.Time, r *record) {
	for i, l := range r.lookups {
		value, _ := l.proposer.Result()
		stamped := r.stamp > l.epoch
		last := l.epoch == r.currentEpoch
		switch l.proposer.Status() {
		case claim.StatusPending:
			return
		case claim.StatusEmpty:
		case claim.StatusNoQuorum:
			if !stamped {
				c.answerJob(now, r, recordLostAnswer(r.profile))
				return
			}
		case claim.StatusFull:
			c.answerJob(now, r, claimsFullAnswer())
			return
		case claim.StatusExpired:
			if r.stamp != 0 && !stamped {
				c.answerJob(now, r, keyExpiredAnswer(r.profile))
				return
			}
			if last {
				r.parked = true
				return
			}
		case claim.StatusObserved, claim.StatusChosen:
			if l.proposer.Status() == claim.StatusObserved {
				c.proposeObserved(now, r, &r.lookups[i], value)
				return
			}
			if !value.Tombstone || value.Refused != "" {
				c.applyChosenClaim(now, r, l.epoch, 1, value)
				return
			}
			if last {
				// Another entry has a catalog with a newer epoch and has closed this one.
				r.parked = true
				return
			}
		}
	}
	c.handleUnclaimed(now, r)
}

// proposeObserved proposes a value that a read returned and that may not be chosen yet.
// An entry that would refuse the job must not propose a claim of its own.
func (c *Coordinator) proposeObserved(now time.Time, r *record, l *lookup, value message.Claim) {
	epoch, ok := c.epoch(l.epoch)
	if !ok {
		c.answerJob(now, r, keyExpiredAnswer(r.profile))
		return
	}
	register := message.Register{Key: r.key, Term: 1, Epoch: l.epoch}
	l.proposer = c.propose(now, claim.Config{Register: register, Value: value}, c.claimGroup(r.key, epoch))
	c.checkLookups(now, r)
}

// joinClaimed continues a submission that would have been refused, because its key
// already belongs to a claimed job.
func (c *Coordinator) joinClaimed(now time.Time, r *record) {
	if r.refusal == "" {
		return
	}
	c.transition(r, eventJoin)
	r.refusal = ""
	r.finalRefusal = false
	c.chargeQuota(r)
	c.extendDeadline(now, r)
}

// handleUnclaimed refuses a job whose registers all hold no claim.
func (c *Coordinator) handleUnclaimed(now time.Time, r *record) {
	reason := r.refusal
	if reason == "" {
		// Without a reason to refuse, the look-ups end without a claim only if the
		// current epoch has no agents.
		reason = zinniasill.ReasonNoEndpoint
	}
	if reason == zinniasill.ReasonLeaseExpired && now.Sub(c.lastValid) > staleLeaseAge {
		c.answerJob(now, r, undecidedAnswer(reason, "the entry is cut off and knows no current epoch"))
		return
	}
	c.answerJob(now, r, c.notRunAnswer(r, reason, ""))
}

// handleClaimReply passes the reply of an acceptor to the proposal that it belongs to.
func (c *Coordinator) handleClaimReply(now time.Time, from zinniasill.Node, reply message.ClaimReply) {
	r := c.jobs[reply.Register.Key]
	if r == nil || r.done() {
		return
	}
	if r.proposer != nil && reply.Register.Term == r.term+1 && reply.Register.Epoch == r.epoch {
		r.proposer.Receive(now, from, reply)
		c.sendProposerOutbox(r.proposer)
		c.checkProposer(now, r)
		return
	}
	if reply.Register.Term != 1 || r.parked {
		return
	}
	for _, l := range r.lookups {
		if l.epoch == reply.Register.Epoch {
			l.proposer.Receive(now, from, reply)
			c.sendProposerOutbox(l.proposer)
			c.checkLookups(now, r)
			return
		}
	}
}

// wakeClaiming drives the proposals of a job that is being claimed or refused. It returns
// the time of the next call.
func (c *Coordinator) wakeClaiming(now time.Time, r *record) time.Time {
	if !now.Before(r.deadline) {
		c.handleClaimTimeout(now, r)
		if r.done() || r.state != stateClaiming {
			return now
		}
	}
	next := now.Add(claimPollInterval)
	if r.parked {
		c.unpark(now, r)
	} else {
		c.tickProposals(now, r)
	}
	if !r.done() && !now.Before(r.deadline) {
		next = now.Add(resendTimeout)
	}
	return next
}

func (c *Coordinator) tickProposals(now time.Time, r *record) {
	if r.proposer != nil {
		r.proposer.Tick(now)
		c.sendProposerOutbox(r.proposer)
		c.checkProposer(now, r)
		return
	}
	for _, l := range r.lookups {
		l.proposer.Tick(now)
		c.sendProposerOutbox(l.proposer)
	}
	if len(r.lookups) > 0 {
		c.checkLookups(now, r)
	}
}

// unpark continues a parked job if the lease is valid or the catalog is newer.
func (c *Coordinator) unpark(now time.Time, r *record) {
	switch {
	case r.refusal == "" && !c.cfg.Lease.Valid(now):
	case r.epoch != 0:
		c.claimTerm(now, r, r.term+1)
	case len(r.lookups) == 0 || c.cfg.Lease.Catalog().CurrentEpoch() > r.currentEpoch:
		c.startLookups(now, r)
	}
}

// handleClaimTimeout answers the callers of a job whose key was not decided in time. Its
// proposals continue, since their values may already be chosen.
func (c *Coordinator) handleClaimTimeout(now time.Time, r *record) {
	if r.state == stateRefusing {
		c.answerJob(now, r, undecidedAnswer(r.refusal, "no majority of the claim group answers"))
		return
	}
	c.answerWaiters(r, undecidedAnswer(zinniasill.ReasonDeadline, "the key of the job could not be claimed in time"))
	if r.proposer == nil && len(r.lookups) == 0 && !r.owned {
		c.drop(now, r)
	}
}

// catalogChangedClaiming applies declared deaths and new epochs to a job that is being
// claimed or refused.
func (c *Coordinator) catalogChangedClaiming(now time.Time, r *record, cat *catalog.Catalog) {
	if r.parked {
		c.unpark(now, r)
		return
	}
	if r.proposer != nil {
		c.reportDeadMembers(now, r.proposer, r.epoch, r.key, cat)
		c.checkProposer(now, r)
		return
	}
	for _, l := range r.lookups {
		c.reportDeadMembers(now, l.proposer, l.epoch, r.key, cat)
	}
	if len(r.lookups) > 0 {
		c.checkLookups(now, r)
	}
}

// reportDeadMembers reports the members of a claim group whose records are lost to the
// group's proposer.
func (c *Coordinator) reportDeadMembers(now time.Time, p *claim.Proposer, number zinniasill.Epoch, key zinniasill.Key, cat *catalog.Catalog) {
	groups := c.groups[number]
	if groups == nil {
		return
	}
	for _, member := range groups.Of(key) {
		if !cat.RecordsReachable(member.Node) {
			p.MemberDead(now, member.Node)
		}
	}
	c.sendProposerOutbox(p)
}

// dropEpochs drops the claim groups and answered jobs of epochs that have left the
// retention window.
func (c *Coordinator) dropEpochs(cat *catalog.Catalog) {
	if len(cat.Epochs) == 0 {
		return
	}
	oldest := cat.Epochs[0].Number
	expired := false
	for number := range c.groups {
		if number < oldest {
			delete(c.groups, number)
			expired = true
		}
	}
	if !expired {
		return
	}
	c.dropBefore(oldest)
}
