package claim

import (
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// rules are the parts of the protocol that its safety depends on. Tests replace them
// with faulty ones to verify that the model check detects the fault.
type rules struct {
	// fastQuorum is the number of equal votes by which a value is chosen in round 0.
	fastQuorum func(group int) int
	// selectValue selects the value of a classic round from the promises of a majority.
	selectValue func(promises []*message.ClaimReply, own message.Claim) message.Claim
}

func defaultRules() rules {
	return rules{fastQuorum: unanimous, selectValue: selectValue}
}

// unanimous returns a quorum of all members.
func unanimous(group int) int { return group }

// majority returns the smallest majority.
func majority(group int) int { return group/2 + 1 }

// selectValue returns the value of the highest classic ballot, if there is one.
// Otherwise it returns a value that the whole majority has accepted in round 0, since
// it may be chosen. Otherwise it returns the proposer's own value if a member has
// accepted it or none has accepted any, and else the first value in the promises.
func selectValue(promises []*message.ClaimReply, own message.Claim) message.Claim {
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

// learn records a vote. If its value is thereby chosen, learn finishes the proposal and
// returns true.
func (p *Proposer) learn(i int, reply message.ClaimReply) bool {
	if !reply.HasValue {
		return false
	}
	needed := majority(len(p.cfg.Group))
	if reply.Accepted.Round == 0 {
		needed = p.rules.fastQuorum(len(p.cfg.Group))
	}
	count := 0
	counted := false
	for _, v := range p.votes {
		if v.ballot == reply.Accepted && v.value.Equal(reply.Value) {
			count++
			counted = counted || v.member == i
		}
	}
	if !counted {
		p.votes = append(p.votes, vote{member: i, ballot: reply.Accepted, value: reply.Value})
		count++
	}
	if count < needed {
		return false
	}
	p.finish(StatusChosen, reply.Value)
	return true
}

// maxRound is the highest round in which an acceptor votes. A register that has promised the
// highest number of all could never be decided.
const maxRound = 1 << 40

// startRound starts a classic round with a number above all rounds seen.
func (p *Proposer) startRound(now time.Time) {
	p.highestRound = max(p.highestRound, p.ballot.Round) + 1
	p.rounds++
	p.ballot = message.Ballot{Round: p.highestRound, Proposer: p.proposerID}
	clear(p.promises)
	p.enterPhase(now, phasePreparing)
}

// backOff delays the next round for a random time, so that conflicting proposers do not
// keep interrupting each other's rounds.
func (p *Proposer) backOff(now time.Time) {
	limit := initialBackoff << min(p.rounds, maxBackoffDoublings)
	p.phase = phaseBackoff
	p.deadline = now.Add(time.Duration(p.cfg.Rand.Int64N(int64(limit))))
}

// enterPhase starts a phase and sends its requests.
func (p *Proposer) enterPhase(now time.Time, next phase) {
	p.phase = next
	clear(p.replied)
	p.send(now)
}

// send sends the request of the phase to every live member that has not replied. A read
// is first sent to a majority only, which saves a third of the messages of a refusal,
// and after fastRoundTimeout to the others if the replies do not suffice.
func (p *Proposer) send(now time.Time) {
	p.resendAt = now.Add(resendInterval)
	limit := len(p.cfg.Group)
	if p.phase == phaseReading && !p.majorityAsked {
		p.majorityAsked = true
		p.resendAt = now.Add(fastRoundTimeout)
		limit = majority(limit)
	}
	body := p.request()
	for i, member := range p.cfg.Group {
		if p.replied[i] || p.dead[i] || limit == 0 {
			continue
		}
		limit--
		p.outbox = append(p.outbox, message.Envelope{From: p.cfg.Self, To: member.Node, Body: body})
	}
}

// request returns the request of the current phase.
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

// member returns the index of a node in the group, or -1 if it is not a member.
func (p *Proposer) member(node zinniasill.Node) int {
	for i, member := range p.cfg.Group {
		if member.Node == node {
			return i
		}
	}
	return -1
}

func (p *Proposer) countTrue(flags []bool) int {
	count := 0
	for _, flag := range flags {
		if flag {
			count++
		}
	}
	return count
}

func (p *Proposer) anyDead() bool { return p.countTrue(p.dead) > 0 }

// noQuorum reports whether the members that are not dead are no majority.
func (p *Proposer) noQuorum() bool {
	return len(p.cfg.Group)-p.countTrue(p.dead) < majority(len(p.cfg.Group))
}

// noCapacity reports whether the members with capacity for the register are no
// majority.
func (p *Proposer) noCapacity() bool {
	open := 0
	for i := range p.dead {
		if !p.dead[i] && !p.full[i] {
			open++
		}
	}
	return open < majority(len(p.cfg.Group))
}
