package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

const (
	// fastWait is how long the fast round may take before a classic one starts.
	// It is several round trips of 1.5 ms.
	fastWait = 5 * time.Millisecond
	// resendWait is the time after which unanswered requests are sent again.
	resendWait = 50 * time.Millisecond
	// backoffUnit and maxBackoffDoublings bound the random delay before a classic
	// round that follows a conflict: 5 ms at first, 80 ms at most.
	backoffUnit         = 5 * time.Millisecond
	maxBackoffDoublings = 4
)

// Status is the progress of a Proposer.
type Status uint8

// Values of Status.
const (
	// StatusPending means that there is no result yet.
	StatusPending Status = iota
	// StatusChosen means that a value is chosen for good; it may be another
	// proposer's.
	StatusChosen
	// StatusObserved means that a read found a value, which may or may not be chosen.
	StatusObserved
	// StatusEmpty means that a majority had no value when it answered the read.
	StatusEmpty
	// StatusExpired means that the register's epoch has left the retention window.
	StatusExpired
	// StatusNoQuorum means that too many members are dead for a majority.
	StatusNoQuorum
	// StatusFull means that too many members are dead or have no room for the register.
	StatusFull
)

// Config configures a Proposer.
type Config struct {
	Register message.Register
	// Self is the entry that proposes.
	Self zinniasill.Node
	// Group is the claim group of the register's key and epoch.
	Group []catalog.EpochMember
	// Value is proposed. An owner must not propose two claims for one register
	// that are Equal and have different candidates. It is not used by a read.
	Value message.Claim
	// Read makes the proposer only read the register.
	Read bool
	// Dead lists members that are known to be dead already.
	Dead []zinniasill.Node
	// Rand is the source of the back-off and of the ballots' identity.
	Rand *rand.Rand
}

type phase uint8

const (
	phaseFast phase = iota
	phaseReading
	phaseWaiting
	phasePreparing
	phaseAccepting
	phaseDone
)

// vote is the fact that a member has accepted a value in a ballot. Facts stay
// true, so they may be counted in whatever order they arrive.
type vote struct {
	member int
	ballot message.Ballot
	value  message.Claim
}

// Proposer makes one proposal for one register, or one read. Use NewProposer.
type Proposer struct {
	cfg      Config
	rules    rules
	name     zinniasill.NodeID
	phase    phase
	status   Status
	result   message.Claim
	ballot   message.Ballot
	highest  uint64
	rounds   int
	value    message.Claim
	votes    []vote
	promises []*message.ClaimReply
	answered []bool
	asked    bool // a read has asked a majority
	dead     []bool
	full     []bool
	deadline time.Time
	resendAt time.Time
	outbox   []message.Envelope
}

// NewProposer returns a proposer that has not started.
func NewProposer(cfg Config) *Proposer {
	p := &Proposer{
		cfg:      cfg,
		rules:    defaultRules(),
		promises: make([]*message.ClaimReply, len(cfg.Group)),
		answered: make([]bool, len(cfg.Group)),
		dead:     make([]bool, len(cfg.Group)),
		full:     make([]bool, len(cfg.Group)),
	}
	// Two proposals with the same ballot could choose two values. A node id alone
	// would repeat after a restart and for a second proposal of one entry.
	p.name = zinniasill.NodeID(fmt.Sprintf("%s/%x", cfg.Self, cfg.Rand.Uint64()))
	for _, node := range cfg.Dead {
		if i := p.member(node); i >= 0 {
			p.dead[i] = true
		}
	}
	return p
}

// Tombstone returns the claim that closes a register without an owner. A reason
// refuses the key for good.
func Tombstone(by zinniasill.Node, digest zinniasill.Digest, refused zinniasill.Reason) message.Claim {
	return message.Claim{Owner: by, Digest: digest, Tombstone: true, Refused: refused}
}

// Status returns the progress.
func (p *Proposer) Status() Status { return p.status }

// Result returns the chosen value, or the value that a read has seen. The second
// result is false while there is none; Status tells why.
func (p *Proposer) Result() (message.Claim, bool) {
	return p.result, p.status == StatusChosen || p.status == StatusObserved
}

// Outbox returns and clears the messages to send. The link sets their version
// and cluster.
func (p *Proposer) Outbox() []message.Envelope {
	out := p.outbox
	p.outbox = nil
	return out
}

// Start sends the first messages.
func (p *Proposer) Start(now time.Time) {
	if p.lost() {
		p.finish(StatusNoQuorum, message.Claim{})
		return
	}
	switch {
	case p.cfg.Read:
		p.enter(now, phaseReading)
	case p.anyDead():
		p.startRound(now)
	default:
		p.deadline = now.Add(fastWait)
		p.enter(now, phaseFast)
	}
}

// MemberDead tells the proposer that an incarnation was declared dead.
func (p *Proposer) MemberDead(now time.Time, node zinniasill.Node) {
	i := p.member(node)
	if i < 0 || p.dead[i] {
		return
	}
	p.dead[i] = true
	p.memberGone(now)
}

// memberGone goes on without a member that is dead or full.
func (p *Proposer) memberGone(now time.Time) {
	switch {
	case p.phase == phaseDone:
	case p.lost():
		p.finish(StatusNoQuorum, message.Claim{})
	case p.crowded():
		p.finish(StatusFull, message.Claim{})
	case p.phase == phaseFast:
		p.startRound(now)
	}
}

// Tick handles the passing of time.
func (p *Proposer) Tick(now time.Time) {
	switch p.phase {
	case phaseDone:
		return
	case phaseWaiting:
		if !now.Before(p.deadline) {
			p.startRound(now)
		}
		return
	case phaseFast:
		if !now.Before(p.deadline) {
			p.startRound(now)
			return
		}
	default:
	}
	if !now.Before(p.resendAt) {
		p.send(now)
	}
}

// Receive handles an acceptor's answer. Answers of other nodes, to other
// registers and to earlier ballots are harmless.
func (p *Proposer) Receive(now time.Time, from zinniasill.Node, reply message.ClaimReply) {
	i := p.member(from)
	if i < 0 || reply.Register != p.cfg.Register || p.phase == phaseDone {
		return
	}
	if reply.Expired {
		p.finish(StatusExpired, message.Claim{})
		return
	}
	if reply.Full {
		p.full[i] = true
		p.memberGone(now)
		return
	}
	p.highest = max(p.highest, reply.Promised.Round)
	if p.cfg.Read {
		p.receiveRead(i, reply)
		return
	}
	if p.learn(i, reply) {
		return
	}
	switch p.phase {
	case phaseFast:
		p.receiveFast(now, i, reply)
	case phasePreparing:
		p.receivePromise(now, i, reply)
	case phaseAccepting:
		p.receiveAccepted(now, i, reply)
	default:
	}
}

func (p *Proposer) receiveRead(i int, reply message.ClaimReply) {
	if reply.HasValue {
		p.finish(StatusObserved, reply.Value)
		return
	}
	p.answered[i] = true
	if p.count(p.answered) >= majority(len(p.cfg.Group)) {
		p.finish(StatusEmpty, message.Claim{})
	}
}

func (p *Proposer) receiveFast(now time.Time, i int, reply message.ClaimReply) {
	if reply.Prepare || reply.Ballot != (message.Ballot{}) {
		return
	}
	// A read's answer that was overtaken shows no value; it is not a conflict.
	if !reply.HasValue && reply.Promised == (message.Ballot{}) {
		return
	}
	p.answered[i] = true
	if !reply.OK {
		p.backOff(now)
	}
}

func (p *Proposer) receivePromise(now time.Time, i int, reply message.ClaimReply) {
	if !reply.Prepare || reply.Ballot != p.ballot {
		return
	}
	if !reply.OK {
		p.backOff(now)
		return
	}
	p.answered[i] = true
	p.promises[i] = &reply
	if p.count(p.answered) < majority(len(p.cfg.Group)) {
		return
	}
	p.value = p.rules.choose(p.promises, p.cfg.Value)
	p.enter(now, phaseAccepting)
}

func (p *Proposer) receiveAccepted(now time.Time, i int, reply message.ClaimReply) {
	if reply.Prepare || reply.Ballot != p.ballot {
		return
	}
	if !reply.OK {
		p.backOff(now)
		return
	}
	p.answered[i] = true
}
