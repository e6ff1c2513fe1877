package job

import (
	"fmt"
	"time"

	"zinniasill"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// attemptKey names one attempt at a fake agent.
type attemptKey struct {
	key  zinniasill.Key
	term zinniasill.Term
	ref  message.TaskRef
}

// attemptState is a fake agent's record of one attempt.
type attemptState struct {
	state   message.TaskState
	reason  zinniasill.Reason
	owner   zinniasill.Node
	output  string
	failed  bool
	unacked bool
	// again is when an unacknowledged result is sent again.
	again time.Time
}

// fakeAgent is a naive agent. It keeps records by attempt only, so that two
// attempts of one task that both reach it start twice, and are found.
type fakeAgent struct {
	node     zinniasill.Node
	slots    int
	out      bool
	fails    bool
	dead     bool
	acceptor *claim.Acceptor
	order    []attemptKey
	attempts map[attemptKey]*attemptState
	fences   map[zinniasill.Key]zinniasill.Term
	// real, if set, is used instead of the naive records.
	real    *realAgent
	started func(key zinniasill.Key, index zinniasill.TaskIndex)
	send    func(from, to zinniasill.Node, body any)
	now     func() time.Time
}

func newFakeAgent(node zinniasill.Node, slots int) *fakeAgent {
	return &fakeAgent{
		node: node, slots: slots, acceptor: claim.NewAcceptor(node),
		attempts: map[attemptKey]*attemptState{}, fences: map[zinniasill.Key]zinniasill.Term{},
	}
}

func output(key zinniasill.Key, index zinniasill.TaskIndex) string {
	return fmt.Sprintf("%s/%d", key, index)
}

func (a *fakeAgent) busy() int {
	count := 0
	for _, s := range a.attempts {
		if s.state == message.TaskRunning {
			count++
		}
	}
	return count
}

func (a *fakeAgent) load() message.Load {
	return message.Load{Slots: a.slots, Busy: a.busy()}
}

func (a *fakeAgent) status(at attemptKey) message.TaskStatus {
	s := a.attempts[at]
	status := message.TaskStatus{Ref: at.ref, State: s.state, Reason: s.reason}
	if s.state == message.TaskFinished {
		status.Outcome = &zinniasill.Outcome{OK: !s.failed, Output: []byte(s.output), Ran: zinniasill.DidRun}
	}
	return status
}

func (a *fakeAgent) record(at attemptKey, s attemptState) {
	a.order = append(a.order, at)
	a.attempts[at] = &s
}

func (a *fakeAgent) start(at attemptKey) {
	a.attempts[at].state = message.TaskRunning
	a.started(at.key, at.ref.Index)
}

func (a *fakeAgent) receive(from zinniasill.Node, body any) {
	if a.real != nil {
		a.real.receive(from, a.node, body)
		return
	}
	if reply, ok := a.acceptor.Handle(body); ok {
		a.send(a.node, from, reply)
		return
	}
	switch b := body.(type) {
	case message.ClaimBatch:
		if replies, ok := a.acceptor.HandleBatch(b); ok {
			a.send(a.node, from, replies)
		}
	case message.Offer:
		a.offer(from, b)
	case message.Grant:
		a.grant(from, b)
	case message.Withdraw:
		a.withdraw(from, b)
	case message.Fence:
		a.fence(from, b)
	case message.ResultAck:
		for _, ref := range b.Tasks {
			if s := a.attempts[attemptKey{b.Key, b.Term, ref}]; s != nil {
				s.unacked = false
			}
		}
	}
}

// read returns the agent's state of a register.
func (a *fakeAgent) read(register message.Register) message.ClaimReply {
	if a.real == nil {
		return a.acceptor.Read(message.ClaimRead{Register: register})
	}
	return a.real.read(a.node, register)
}

func (a *fakeAgent) offer(from zinniasill.Node, b message.Offer) {
	reply := message.OfferReply{Key: b.Key, Term: b.Term}
	for _, t := range b.Tasks {
		at := attemptKey{b.Key, b.Term, t.Ref}
		if a.attempts[at] == nil {
			a.accept(from, at)
		}
		reply.Tasks = append(reply.Tasks, a.status(at))
	}
	reply.Load = a.load()
	a.send(a.node, from, reply)
}

func (a *fakeAgent) accept(from zinniasill.Node, at attemptKey) {
	switch {
	case a.fences[at.key] > at.term:
		a.record(at, attemptState{state: message.TaskClosed, reason: zinniasill.ReasonSuperseded, owner: from})
	case a.out:
		a.record(at, attemptState{state: message.TaskClosed, reason: zinniasill.ReasonDomainOut, owner: from})
	case a.busy() < a.slots:
		a.record(at, attemptState{owner: from})
		a.start(at)
	default:
		a.record(at, attemptState{state: message.TaskQueued, owner: from})
	}
}

func (a *fakeAgent) grant(from zinniasill.Node, b message.Grant) {
	reply := message.OfferReply{Key: b.Key, Term: b.Term}
	for _, ref := range b.Tasks {
		at := attemptKey{b.Key, b.Term, ref}
		s := a.attempts[at]
		if s == nil {
			continue
		}
		if s.state == message.TaskQueued {
			a.start(at)
		}
		reply.Tasks = append(reply.Tasks, a.status(at))
	}
	reply.Load = a.load()
	a.send(a.node, from, reply)
}

func (a *fakeAgent) withdraw(from zinniasill.Node, b message.Withdraw) {
	reply := message.WithdrawReply{Key: b.Key, Term: b.Term, Load: a.load()}
	for _, ref := range b.Tasks {
		at := attemptKey{b.Key, b.Term, ref}
		if a.attempts[at] == nil {
			a.record(at, attemptState{state: message.TaskClosed, reason: zinniasill.ReasonWithdrawn})
		}
		if s := a.attempts[at]; s.state == message.TaskQueued {
			s.state = message.TaskClosed
			s.reason = zinniasill.ReasonWithdrawn
		}
		reply.Tasks = append(reply.Tasks, a.status(at))
	}
	a.send(a.node, from, reply)
}

func (a *fakeAgent) fence(from zinniasill.Node, b message.Fence) {
	a.fences[b.Key] = max(a.fences[b.Key], b.Term)
	reply := message.FenceReply{Key: b.Key, Term: b.Term, Fenced: a.fences[b.Key], Load: a.load()}
	for _, at := range a.order {
		s := a.attempts[at]
		if at.key != b.Key {
			continue
		}
		switch {
		case s.state == message.TaskQueued && at.term < b.Term:
			s.state = message.TaskClosed
			s.reason = zinniasill.ReasonSuperseded
		case s.state == message.TaskRunning || s.state == message.TaskFinished:
			if b.Term == a.fences[b.Key] {
				s.owner = from
			}
			reply.Tasks = append(reply.Tasks, a.status(at))
		default:
		}
	}
	a.send(a.node, from, reply)
}

// takeOut makes the agent return its queued tasks and refuse new ones.
func (a *fakeAgent) takeOut(out bool) {
	a.out = out
	if a.real != nil {
		a.real.lease.version = len(a.real.world.versions) - 1
		a.real.tick()
		return
	}
	for _, at := range a.order {
		if s := a.attempts[at]; out && s.state == message.TaskQueued {
			s.state = message.TaskClosed
			s.reason = zinniasill.ReasonDomainOut
			s.unacked = true
		}
	}
}

// finish ends the oldest running task and asks for queued ones.
func (a *fakeAgent) finish() {
	if a.real != nil {
		a.real.finishOne(a.fails)
		a.real.tick()
		return
	}
	for _, at := range a.order {
		if s := a.attempts[at]; s.state == message.TaskRunning {
			s.state = message.TaskFinished
			s.output = output(at.key, at.ref.Index)
			s.failed = a.fails
			s.unacked = true
			break
		}
	}
	a.resend()
}

// resultRepeat is the time after which agents repeat a result.
const resultRepeat = 600 * time.Millisecond

// resend sends unacknowledged results and fetches for free slots.
func (a *fakeAgent) resend() {
	free := a.slots - a.busy()
	for _, at := range a.order {
		s := a.attempts[at]
		if s.unacked && !a.now().Before(s.again) {
			s.again = a.now().Add(resultRepeat)
			a.send(a.node, s.owner, message.Result{
				Key: at.key, Term: at.term, Tasks: []message.TaskStatus{a.status(at)}, Load: a.load(),
			})
		}
		if s.state == message.TaskQueued && free > 0 {
			free--
			a.send(a.node, s.owner, message.Fetch{Key: at.key, Term: at.term, Tasks: []message.TaskRef{at.ref}})
		}
	}
}

// counts records the counters of a test.
type counts map[string]int

// Inc implements zinniasill.Counters.
func (c counts) Inc(name string, reason zinniasill.Reason) {
	c[name+"/"+string(reason)]++
}

// fixedLease is a lease that a test sets.
type fixedLease struct {
	valid   bool
	version int
	world   *world
}

func (l *fixedLease) Valid(time.Time) bool { return l.valid }
