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
	// fastRoundTimeout is the time after which a classic round follows an undecided
	// fast round. It is several round trips of 1.5 ms.
	fastRoundTimeout = 5 * time.Millisecond
	// resendInterval is the time after which unanswered requests are resent.
	resendInterval = 50 * time.Millisecond
	// initialBackoff and maxBackoffDoublings bound the random delay before a classic
	// round that follows a conflict: at first 5 ms, at most 80 ms.
	initialBackoff      = 5 * time.Millisecond
	maxBackoffDoublings = 4
)

// Status is the state of a Proposer.
type Status uint8

// Values of Status.
const (
	// StatusPending means that the proposal or read is in progress.
	StatusPending Status = iota
	// StatusChosen means that a value is chosen permanently. It may be the value of
	// another proposer.
	StatusChosen
	// StatusObserved means that a read found a value, which may or may not be chosen.
	StatusObserved
	// StatusEmpty means that each member of a majority had no value when it replied to
	// the read.
	StatusEmpty
	// StatusExpired means that the epoch of the register has left the retention window.
	StatusExpired
	// StatusNoQuorum means that too many members are dead for a majority.
	StatusNoQuorum
	// StatusFull means that too many members are dead or have no capacity for the
	// register.
	StatusFull
)

// Config configures a Proposer.
type Config struct {
	Register message.Register
	// Self is the proposing entry.
	Self zinniasill.Node
	// Group is the claim group of the register's key and epoch.
	Group []catalog.EpochMember
	// Value is the proposed value. An owner must not propose two claims for one
	// register that are Equal but have different candidates. A read does not use it.
	Value message.Claim
	// Read makes the proposer read the register instead of proposing a value.
	Read bool
	// Dead lists the members that are already declared dead.
	Dead []zinniasill.Node
	// Rand is the source of backoff delays and of the unique part of ballots.
	Rand *rand.Rand
}

// phase is the phase of a proposal or read.
type phase uint8

const (
	phaseFast phase = iota
	phaseReading
	phaseBackoff
	phasePreparing
	phaseAccepting
	phaseDone
)

// vote records that a member has accepted a value in a ballot. This remains true
// forever, so votes may be counted in any order of arrival.
type vote struct {
	member int
	ballot message.Ballot
	value  message.Claim
}

// Proposer makes one proposal for one register, or one read. Use NewProposer to create
// one.
type Proposer struct {
	cfg           Config
	rules         rules
	proposerID    zinniasill.NodeID
	phase         phase
	status        Status
	result        message.Claim
	ballot        message.Ballot
	highestRound  uint64
	rounds        int
	value         message.Claim
	votes         []vote
	promises      []*message.ClaimReply
	replied       []bool
	majorityAsked bool // a read has been sent to a majority
	dead          []bool
	full          []bool
	deadline      time.Time
	resendAt      time.Time
	outbox        []message.Envelope
}

// NewProposer returns a proposer that has not started.
func NewProposer(cfg Config) *Proposer {
	p := &Proposer{
		cfg:      cfg,
		rules:    defaultRules(),
		promises: make([]*message.ClaimReply, len(cfg.Group)),
		replied:  make([]bool, len(cfg.Group)),
		dead:     make([]bool, len(cfg.Group)),
		full:     make([]bool, len(cfg.Group)),
	}
	// Two values could be chosen if two proposals had the same ballot. A node id alone
	// would repeat after a restart and in a second proposal of the same entry.
	p.proposerID = zinniasill.NodeID(fmt.Sprintf("%s/%x", cfg.Self, cfg.Rand.Uint64()))
	for _, node := range cfg.Dead {
		if i := p.member(node); i >= 0 {
			p.dead[i] = true
		}
	}
	return p
}

// Tombstone returns a claim by which a register is closed without an owner. If refused
// is not empty, the key is refused permanently for this reason.
func Tombstone(by zinniasill.Node, digest zinniasill.Digest, refused zinniasill.Reason) message.Claim {
	return message.Claim{Owner: by, Digest: digest, Tombstone: true, Refused: refused}
}

// Status returns the current status.
func (p *Proposer) Status() Status { return p.status }

// Result returns the chosen value, or the value that a read has observed. The second
// result is false if there is none; Status then returns the cause.
func (p *Proposer) Result() (message.Claim, bool) {
	return p.result, p.status == StatusChosen || p.status == StatusObserved
}

// Outbox returns and removes the messages to send. The link sets their version and
// cluster.
func (p *Proposer) Outbox() []message.Envelope {
	out := p.outbox
	p.outbox = nil
	return out
}

// Start sends the first requests.
func (p *Proposer) Start(now time.Time) {
	if p.noQuorum() {
		p.finish(StatusNoQuorum, message.Claim{})
		return
	}
	switch {
	case p.cfg.Read:
		p.enterPhase(now, phaseReading)
	case p.anyDead():
		p.startRound(now)
	default:
		p.deadline = now.Add(fastRoundTimeout)
		p.enterPhase(now, phaseFast)
	}
}

// MemberDead notifies the proposer that an incarnation was declared dead.
func (p *Proposer) MemberDead(now time.Time, node zinniasill.Node) {
	i := p.member(node)
	if i < 0 || p.dead[i] {
		return
	}
	p.dead[i] = true
	p.handleMemberLoss(now)
}

// handleMemberLoss continues without a member that is dead or full, or finishes if the
// remaining ones are no majority.
func (p *Proposer) handleMemberLoss(now time.Time) {
	switch {
	case p.phase == phaseDone:
	case p.noQuorum():
		p.finish(StatusNoQuorum, message.Claim{})
	case p.noCapacity():
		p.finish(StatusFull, message.Claim{})
	case p.phase == phaseFast:
		p.startRound(now)
	}
}

// Tick handles timeouts.
func (p *Proposer) Tick(now time.Time) {
	switch p.phase {
	case phaseDone:
		return
	case phaseBackoff:
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

// Receive handles the reply of an acceptor. It ignores replies from other nodes and for
// other registers. Replies to earlier ballots do no harm.
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
		p.handleMemberLoss(now)
		return
	}
	if reply.Promised.Round < maxRound {
		p.highestRound = max(p.highestRound, reply.Promised.Round)
	}
	if p.cfg.Read {
		p.receiveReadReply(i, reply)
		return
	}
	if p.learn(i, reply) {
		return
	}
	switch p.phase {
	case phaseFast:
		p.receiveFastReply(now, i, reply)
	case phasePreparing:
		p.receivePromise(now, i, reply)
	case phaseAccepting:
		p.receiveAcceptReply(now, i, reply)
	default:
	}
}

func (p *Proposer) receiveReadReply(i int, reply message.ClaimReply) {
	if reply.HasValue {
		p.finish(StatusObserved, reply.Value)
		return
	}
	p.replied[i] = true
	if p.countTrue(p.replied) >= majority(len(p.cfg.Group)) {
		p.finish(StatusEmpty, message.Claim{})
	}
}

func (p *Proposer) receiveFastReply(now time.Time, i int, reply message.ClaimReply) {
	if reply.Prepare || reply.Ballot != (message.Ballot{}) {
		return
	}
	// A reply without value or promise, such as an outdated one to a read, is no conflict.
	if !reply.HasValue && reply.Promised == (message.Ballot{}) {
		return
	}
	p.replied[i] = true
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
	p.replied[i] = true
	p.promises[i] = &reply
	if p.countTrue(p.replied) < majority(len(p.cfg.Group)) {
		return
	}
	p.value = p.rules.selectValue(p.promises, p.cfg.Value)
	p.enterPhase(now, phaseAccepting)
}

func (p *Proposer) receiveAcceptReply(now time.Time, i int, reply message.ClaimReply) {
	if reply.Prepare || reply.Ballot != p.ballot {
		return
	}
	if !reply.OK {
		p.backOff(now)
		return
	}
	p.replied[i] = true
}
