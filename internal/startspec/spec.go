// Package startspec is a small specification of the protocol that decides who
// may start a task, for exhaustive checking with package explore.
//
// It has one task, two entries and two agents. Claim registers are atomic
// write-once variables here; that the acceptors implement them is checked in
// package claim. A message that was sent stays deliverable for ever, so loss,
// delay, reordering and duplication are all covered: a lost message is one that
// is never delivered.
//
//	report, err := explore.Run(explore.Config{
//		Initial:   startspec.New(startspec.Config{EntryCrashes: 1, AgentCrashes: 1, Attempts: 2}),
//		MaxStates: 5_000_000,
//	})
package startspec

import (
	"encoding/binary"
	"slices"

	"github.com/rotisserie/eris"

	"zinniasill/internal/explore"
)

const (
	entries = 2
	agents  = 2
	// maxTerms bounds the owners of the job, tombstones included.
	maxTerms = 3
)

// Fault is a deliberate fault that the search must find.
type Fault int

// Values of Fault.
const (
	NoFault Fault = iota
	// SkipFence lets a takeover place the task without fencing earlier candidates.
	SkipFence
	// ReofferUnanswered lets an owner place a task again while its offer is unanswered.
	ReofferUnanswered
	// StartQueued lets an agent start a queued task without a grant.
	StartQueued
	// IgnoreIncarnation lets a restarted agent accept messages for its earlier life.
	IgnoreIncarnation
	// MissingMeansNotRun lets a takeover take a lost agent for one that started nothing.
	MissingMeansNotRun
	// ForgetGrant lets a late queued message undo a grant at the owner.
	ForgetGrant
	// RefuseWithoutTombstone lets an owner answer not-run without closing the next term.
	RefuseWithoutTombstone
)

// Config states the bounds of the search.
type Config struct {
	// EntryCrashes and AgentCrashes bound the crashes, in which memory is lost.
	EntryCrashes, AgentCrashes int
	// Submissions bounds how often the caller sends the job.
	Submissions int
	// Attempts bounds the offers that one owner makes in one term.
	Attempts int
	Fault    Fault
}

type phase uint8

const (
	idle phase = iota
	fencing
	unplaced
	offered // an offer or a grant is out and the task may have started
	queued  // the agent confirmed that it needs a grant
	started
)

type answer uint8

const (
	noAnswer answer = iota
	complete
	unknown
	notRun
)

type register struct {
	owner     int8 // -1 while the register is empty
	tombstone bool
	// candidates are the incarnations of the agents when the claim was made.
	candidates [agents]uint8
}

type entry struct {
	phase   phase
	term    uint8
	agent   uint8
	attempt uint8
	// granted is kept by the owner itself, because a late queued message must not
	// make it forget that the task may have started.
	granted bool
	// replied and missing are bit sets over (term, agent).
	replied, missing uint16
}

type agent struct {
	incarnation uint8
	fenced      uint8
	// startedTerm is the term of the start, 0 if the task was not started.
	startedTerm uint8
	finished    bool
	// queued and closed are bit sets over (term, attempt).
	queued, closed uint16
}

type kind uint8

const (
	offerMsg kind = iota
	queuedMsg
	startedMsg
	closedMsg
	fetchMsg
	grantMsg
	fenceMsg
	fencedMsg
	resultMsg
)

var kindNames = [...]string{
	offerMsg: "offer", queuedMsg: "queued", startedMsg: "started", closedMsg: "closed", fetchMsg: "fetch",
	grantMsg: "grant", fenceMsg: "fence", fencedMsg: "fenced", resultMsg: "result",
}

type msg struct {
	kind        kind
	agent       uint8
	incarnation uint8
	term        uint8
	attempt     uint8
	// started tells the state of the record in a fencedMsg.
	started bool
}

// State is one state of the specification.
type State struct {
	cfg       Config
	registers [maxTerms + 1]register // by term, from 1
	entries   [entries]entry
	agents    [agents]agent
	network   []msg // sorted set
	// The remaining fields observe the run; they do not take part in it.
	starts       uint8
	answered     answer
	refusedUpTo  uint8 // highest term covered by a not-run answer
	falseRefusal bool
	lateStart    bool
	submissions  int
	entryCrashes int
	agentCrashes int
}

// New returns the initial state.
func New(cfg Config) *State {
	state := &State{
		cfg:          cfg,
		submissions:  cfg.Submissions,
		entryCrashes: cfg.EntryCrashes,
		agentCrashes: cfg.AgentCrashes,
	}
	for term := range state.registers {
		state.registers[term].owner = -1
	}
	return state
}

// Key implements explore.State.
func (s *State) Key() []byte {
	key := make([]byte, 0, 64+4*len(s.network))
	for _, r := range s.registers[1:] {
		key = append(key, byte(r.owner), flag(r.tombstone))
		key = append(key, r.candidates[:]...)
	}
	for _, e := range s.entries {
		key = append(key, byte(e.phase), e.term, e.agent, e.attempt, flag(e.granted))
		key = binary.LittleEndian.AppendUint16(key, e.replied)
		key = binary.LittleEndian.AppendUint16(key, e.missing)
	}
	for _, a := range s.agents {
		key = append(key, a.incarnation, a.fenced, a.startedTerm, flag(a.finished))
		key = binary.LittleEndian.AppendUint16(key, a.queued)
		key = binary.LittleEndian.AppendUint16(key, a.closed)
	}
	key = append(key, s.starts, byte(s.answered), s.refusedUpTo, flag(s.falseRefusal), flag(s.lateStart),
		byte(s.submissions), byte(s.entryCrashes), byte(s.agentCrashes))
	for _, m := range s.network {
		key = binary.LittleEndian.AppendUint32(key, m.rank())
	}
	return key
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// Check implements explore.State.
func (s *State) Check() error {
	switch {
	case s.starts > 1:
		return eris.New("the task started twice")
	case s.falseRefusal:
		return eris.New("not-run was answered for a task that had started")
	case s.lateStart:
		return eris.New("the task started for a submission that was answered not-run")
	case s.answered == complete && s.starts != 1:
		return eris.New("complete was answered for a task that had not started")
	}
	return nil
}

// Next implements explore.State.
func (s *State) Next() []explore.Step {
	var steps []explore.Step
	add := func(name string, to *State) {
		if to != nil {
			to.discardDead()
			steps = append(steps, explore.Step{Name: name, To: to})
		}
	}
	for e := range entries {
		s.entrySteps(e, add)
	}
	for a := range agents {
		s.agentSteps(a, add)
	}
	for _, m := range s.network {
		s.deliver(m, add)
	}
	return steps
}

func (s *State) clone() *State {
	to := *s
	to.network = slices.Clone(s.network)
	return &to
}

func (s *State) send(m msg) {
	at, found := slices.BinarySearchFunc(s.network, m, compareMsg)
	if !found {
		s.network = slices.Insert(s.network, at, m)
	}
}

// discardDead removes messages that can have no effect in any later state, which
// keeps the number of states small: those for an earlier life of an agent, and
// replies to an owner that has given up its term, which no entry takes again.
func (s *State) discardDead() {
	s.network = slices.DeleteFunc(s.network, func(m msg) bool {
		switch m.kind {
		case offerMsg, grantMsg, fenceMsg:
			return s.agents[m.agent].incarnation != m.incarnation && s.cfg.Fault != IgnoreIncarnation
		case resultMsg:
			return false
		default:
			return s.ownerOf(m.term) < 0
		}
	})
}

func compareMsg(a, b msg) int {
	return int(a.rank()) - int(b.rank())
}

// rank orders messages; every field has fewer values than its place allows.
func (m msg) rank() uint32 {
	rank := uint32(m.kind)
	for _, field := range []uint8{m.agent, m.incarnation, m.term, m.attempt} {
		rank = rank<<4 | uint32(field)
	}
	rank <<= 1
	if m.started {
		rank |= 1
	}
	return rank
}

// String names the message with its agent, incarnation, term and attempt.
func (m msg) String() string {
	name := []byte(kindNames[m.kind])
	for _, field := range []uint8{m.agent + 1, m.incarnation, m.term, m.attempt} {
		name = append(name, ' ', '0'+field)
	}
	return string(name)
}

func bit(term, n uint8) uint16 {
	return 1 << (term*3 + n)
}
