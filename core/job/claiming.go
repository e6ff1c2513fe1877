package job

import (
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// begin looks up the key in every epoch of the retention window and, unless the
// job is to be refused, claims it in the current one. All registers are asked at
// the same time; a claim in an earlier epoch makes a later one void.
func (c *Coordinator) begin(now time.Time, r *record) {
	cat := c.cfg.Lease.Catalog()
	r.lookups = nil
	// A job that came before the entry's first configuration has only the profile's
	// name, and would be told not to submit again whatever its profile allows.
	if profile, ok := cat.Profiles[r.ran]; ok && r.profile.Kind == "" {
		r.profile = profile
	}
	r.current = cat.CurrentEpoch()
	if expired(cat, r.stamp) {
		c.settle(now, r, keyExpired(r.profile))
		return
	}
	// No entry claims in an epoch before the stamp. Epochs before the stamp whose
	// group is lost can therefore be passed over.
	r.parked = r.current == 0 || r.stamp > r.current || r.refusal == "" && !c.cfg.Lease.Valid(now)
	if !r.parked {
		if r.refusal == "" {
			c.plan(now, r)
		}
		for _, epoch := range cat.Epochs {
			last := epoch.Number == r.current
			if last || c.rules.lookUp(epoch.Number) {
				c.lookUp(now, r, epoch, last)
			}
		}
		c.checkLookups(now, r)
	}
	if !r.done() {
		c.timers.push(r, now.Add(claimPoll))
	}
}

// expired reports whether a stamp is older than the retention window. The window
// may have moved while a job waited, so every start of look-ups asks.
func expired(cat *catalog.Catalog, stamp zinniasill.Epoch) bool {
	return stamp != 0 && len(cat.Epochs) > 0 && stamp < cat.Epochs[0].Number
}

func (c *Coordinator) lookUp(now time.Time, r *record, epoch catalog.EpochEntry, last bool) {
	group := c.group(r.key, epoch)
	if len(group) == 0 {
		return
	}
	cfg := claim.Config{Register: message.Register{Key: r.key, Term: 1, Epoch: epoch.Number}}
	switch {
	case r.refusal != "" && !r.final:
		cfg.Read = true
	case r.refusal != "":
		cfg.Value = claim.Tombstone(c.cfg.Self, r.digest, r.refusal)
	case last:
		cfg.Value = r.claim
	default:
		// It closes the epoch for this key whatever the body. Without a digest each of
		// these registers, one for each epoch and member, takes 32 B less.
		cfg.Value = claim.Tombstone(c.cfg.Self, zinniasill.Digest{}, "")
	}
	proposer := c.propose(now, cfg, group)
	r.lookups = append(r.lookups, lookup{epoch: epoch.Number, proposer: proposer})
}

// propose starts a proposal or read.
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
	c.forward(proposer)
	return proposer
}

// forward sends the messages of a proposer.
func (c *Coordinator) forward(proposer *claim.Proposer) {
	for _, env := range proposer.Outbox() {
		c.send(env.To, env.Body)
	}
}

func (c *Coordinator) group(key zinniasill.Key, epoch catalog.EpochEntry) []catalog.EpochMember {
	groups := c.groups[epoch.Number]
	if groups == nil {
		groups = claim.NewGroups(epoch)
		c.groups[epoch.Number] = groups
	}
	return groups.Of(key)
}

// checkLookups goes through the registers from the earliest epoch on. The first
// claim is the job's; the own claim counts only when no earlier epoch has one.
func (c *Coordinator) checkLookups(now time.Time, r *record) {
	for i, l := range r.lookups {
		value, _ := l.proposer.Result()
		stamped := r.stamp > l.epoch
		last := l.epoch == r.current
		switch l.proposer.Status() {
		case claim.StatusPending:
			return
		case claim.StatusEmpty:
		case claim.StatusNoQuorum:
			if !stamped {
				c.settle(now, r, recordLost(r.profile))
				return
			}
		case claim.StatusFull:
			c.settle(now, r, claimsFull())
			return
		case claim.StatusExpired:
			if r.stamp != 0 && !stamped {
				c.settle(now, r, keyExpired(r.profile))
				return
			}
			if last {
				r.parked = true
				return
			}
		case claim.StatusObserved, claim.StatusChosen:
			if l.proposer.Status() == claim.StatusObserved {
				c.decide(now, r, &r.lookups[i], value)
				return
			}
			if !value.Tombstone || value.Refused != "" {
				c.adopt(now, r, l.epoch, 1, value)
				return
			}
			if last {
				// Another entry knows a newer epoch and has closed this one.
				r.parked = true
				return
			}
		}
	}
	c.notFound(now, r)
}

// decide proposes a value that a read has seen and that may not be chosen yet. An
// entry that would refuse the job must not propose a claim of its own.
func (c *Coordinator) decide(now time.Time, r *record, l *lookup, value message.Claim) {
	epoch, ok := c.epoch(l.epoch)
	if !ok {
		c.settle(now, r, keyExpired(r.profile))
		return
	}
	register := message.Register{Key: r.key, Term: 1, Epoch: l.epoch}
	l.proposer = c.propose(now, claim.Config{Register: register, Value: value}, c.group(r.key, epoch))
	c.checkLookups(now, r)
}

// join continues a submission that would have been refused, because its key
// belongs to a job already.
func (c *Coordinator) join(now time.Time, r *record) {
	if r.refusal == "" {
		return
	}
	c.move(r, eventJoin)
	r.refusal = ""
	r.final = false
	c.countTasks(r)
	c.extendDeadline(now, r)
}

// notFound handles registers that all show no claim: the job can be refused.
func (c *Coordinator) notFound(now time.Time, r *record) {
	reason := r.refusal
	if reason == "" {
		// The current epoch has no agents.
		reason = zinniasill.ReasonNoEndpoint
	}
	if reason == zinniasill.ReasonLeaseExpired && now.Sub(c.lastValid) > staleLease {
		c.settle(now, r, unsettled(reason, "the entry is cut off and knows no current epoch"))
		return
	}
	c.settle(now, r, c.notRun(r, reason, ""))
}

// claimReply hands an acceptor's answer to the proposal that it belongs to.
func (c *Coordinator) claimReply(now time.Time, from zinniasill.Node, reply message.ClaimReply) {
	r := c.jobs[reply.Register.Key]
	if r == nil || r.done() {
		return
	}
	if r.proposer != nil && reply.Register.Term == r.term+1 && reply.Register.Epoch == r.epoch {
		r.proposer.Receive(now, from, reply)
		c.forward(r.proposer)
		c.checkProposer(now, r)
		return
	}
	if reply.Register.Term != 1 || r.parked {
		return
	}
	for _, l := range r.lookups {
		if l.epoch == reply.Register.Epoch {
			l.proposer.Receive(now, from, reply)
			c.forward(l.proposer)
			c.checkLookups(now, r)
			return
		}
	}
}

// wakeClaiming drives the proposals of a job that is being claimed or refused.
func (c *Coordinator) wakeClaiming(now time.Time, r *record) time.Time {
	if !now.Before(r.deadline) {
		c.claimOverdue(now, r)
		if r.done() || r.state != stateClaiming {
			return now
		}
	}
	next := now.Add(claimPoll)
	if r.parked {
		c.unpark(now, r)
	} else {
		c.tickProposals(now, r)
	}
	if !r.done() && !now.Before(r.deadline) {
		next = now.Add(resendAfter)
	}
	return next
}

func (c *Coordinator) tickProposals(now time.Time, r *record) {
	if r.proposer != nil {
		r.proposer.Tick(now)
		c.forward(r.proposer)
		c.checkProposer(now, r)
		return
	}
	for _, l := range r.lookups {
		l.proposer.Tick(now)
		c.forward(l.proposer)
	}
	if len(r.lookups) > 0 {
		c.checkLookups(now, r)
	}
}

// unpark continues a job that waited for a valid lease or a newer catalog.
func (c *Coordinator) unpark(now time.Time, r *record) {
	switch {
	case r.refusal == "" && !c.cfg.Lease.Valid(now):
	case r.epoch != 0:
		c.claimTerm(now, r, r.term+1)
	case len(r.lookups) == 0 || c.cfg.Lease.Catalog().CurrentEpoch() > r.current:
		c.begin(now, r)
	}
}

// claimOverdue answers the callers of a job whose key could not be decided in
// time. The proposals go on, since they may already be chosen.
func (c *Coordinator) claimOverdue(now time.Time, r *record) {
	if r.state == stateRefusing {
		c.settle(now, r, unsettled(r.refusal, "no majority of the claim group answers"))
		return
	}
	c.answerWaiters(r, unsettled(zinniasill.ReasonDeadline, "the key of the job could not be claimed in time"))
	if r.proposer == nil && len(r.lookups) == 0 && !r.owned {
		c.drop(now, r)
	}
}

// claimChanged handles deaths and new epochs while a job is being claimed.
func (c *Coordinator) claimChanged(now time.Time, r *record, cat *catalog.Catalog) {
	if r.parked {
		c.unpark(now, r)
		return
	}
	if r.proposer != nil {
		c.memberDeaths(now, r.proposer, r.epoch, r.key, cat)
		c.checkProposer(now, r)
		return
	}
	for _, l := range r.lookups {
		c.memberDeaths(now, l.proposer, l.epoch, r.key, cat)
	}
	if len(r.lookups) > 0 {
		c.checkLookups(now, r)
	}
}

// memberDeaths tells a proposer which members of its group are dead.
func (c *Coordinator) memberDeaths(now time.Time, p *claim.Proposer, number zinniasill.Epoch, key zinniasill.Key, cat *catalog.Catalog) {
	groups := c.groups[number]
	if groups == nil {
		return
	}
	for _, member := range groups.Of(key) {
		if !cat.RecordsReachable(member.Node) {
			p.MemberDead(now, member.Node)
		}
	}
	c.forward(p)
}

// dropEpochs forgets groups and answered jobs whose epoch left the window.
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
