package claim

import (
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// rules are the parts of the protocol that safety rests on. Tests replace them
// to show that the model check finds the fault.
type rules struct {
	// fastQuorum is the number of equal votes that choose a value in round 0.
	fastQuorum func(group int) int
	// choose selects the value of a classic round from a majority of promises.
	choose func(promises []*message.ClaimReply, own message.Claim) message.Claim
}

func defaultRules() rules {
	return rules{fastQuorum: all, choose: choose}
}

func all(group int) int { return group }

func majority(group int) int { return group/2 + 1 }

// choose returns the value of the highest classic ballot; else a value that the
// whole answering majority accepted in round 0, which may have been chosen;
// else the proposer's own value if a member holds it, any other value that was
// seen, or the own one.
func choose(promises []*message.ClaimReply, own message.Claim) message.Claim {
	var classic *message.ClaimReply
	var first *message.ClaimReply
	sameFast := true
	ownSeen := false
	for _, promise := range promises {
		switch {
		case promise == nil:
		case !promise.HasValue:
			sameFast = false
		case promise.Accepted.Round > 0:
			if classic == nil || promise.Accepted.Compare(classic.Accepted) > 0 {
				classic = promise
			}
		case first == nil:
			first = promise
			ownSeen = promise.Value.Equal(own)
		default:
			sameFast = sameFast && promise.Value.Equal(first.Value)
			ownSeen = ownSeen || promise.Value.Equal(own)
		}
	}
	switch {
	case classic != nil:
		return classic.Value
	case first == nil:
		return own
	case sameFast:
		return first.Value
	case ownSeen:
		return own
	default:
		return first.Value
	}
}

// learn records a vote and finishes when its value is chosen.
func (p *Proposer) learn(i int, reply message.ClaimReply) bool {
	if !reply.HasValue {
		return false
	}
	needed := majority(len(p.cfg.Group))
	if reply.Accepted.Round == 0 {
		needed = p.rules.fastQuorum(len(p.cfg.Group))
	}
	count := 0
	known := false
	for _, v := range p.votes {
		if v.ballot == reply.Accepted && v.value.Equal(reply.Value) {
			count++
			known = known || v.member == i
		}
	}
	if !known {
		p.votes = append(p.votes, vote{member: i, ballot: reply.Accepted, value: reply.Value})
		count++
	}
	if count < needed {
		return false
	}
	p.finish(StatusChosen, reply.Value)
	return true
}

// startRound starts a classic round above every round seen.
func (p *Proposer) startRound(now time.Time) {
	p.highest = max(p.highest, p.ballot.Round) + 1
	p.rounds++
	p.ballot = message.Ballot{Round: p.highest, Proposer: p.name}
	clear(p.promises)
	p.enter(now, phasePreparing)
}

// backOff waits a random time, so that proposers in conflict do not interrupt
// each other's rounds again and again.
func (p *Proposer) backOff(now time.Time) {
	limit := backoffUnit << min(p.rounds, maxBackoffDoublings)
	p.phase = phaseWaiting
	p.deadline = now.Add(time.Duration(p.cfg.Rand.Int64N(int64(limit))))
}

func (p *Proposer) enter(now time.Time, next phase) {
	p.phase = next
	clear(p.answered)
	p.send(now)
}

// send sends the request of the phase to every live member that has not answered.
func (p *Proposer) send(now time.Time) {
	p.resendAt = now.Add(resendWait)
	body := p.request()
	for i, member := range p.cfg.Group {
		if p.answered[i] || p.dead[i] {
			continue
		}
		p.outbox = append(p.outbox, message.Envelope{From: p.cfg.Self, To: member.Node, Body: body})
	}
}

func (p *Proposer) request() any {
	switch p.phase {
	case phaseReading:
		return message.ClaimRead{Register: p.cfg.Register}
	case phasePreparing:
		return message.ClaimPrepare{Register: p.cfg.Register, Ballot: p.ballot}
	case phaseAccepting:
		return message.ClaimAccept{Register: p.cfg.Register, Ballot: p.ballot, Value: p.value}
	default:
		return message.ClaimFast{Register: p.cfg.Register, Value: p.cfg.Value}
	}
}

func (p *Proposer) finish(status Status, value message.Claim) {
	p.phase = phaseDone
	p.status = status
	p.result = value
}

func (p *Proposer) member(node zinniasill.Node) int {
	for i, member := range p.cfg.Group {
		if member.Node == node {
			return i
		}
	}
	return -1
}

func (p *Proposer) count(flags []bool) int {
	count := 0
	for _, flag := range flags {
		if flag {
			count++
		}
	}
	return count
}

func (p *Proposer) anyDead() bool { return p.count(p.dead) > 0 }

func (p *Proposer) lost() bool {
	return len(p.cfg.Group)-p.count(p.dead) < majority(len(p.cfg.Group))
}

// crowded reports whether the members with room for the register are no majority.
func (p *Proposer) crowded() bool {
	open := 0
	for i := range p.dead {
		if !p.dead[i] && !p.full[i] {
			open++
		}
	}
	return open < majority(len(p.cfg.Group))
}
