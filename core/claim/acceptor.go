package claim

import (
	"zinniasill"
	"zinniasill/core/archive"
	"zinniasill/core/message"
)

// Acceptor stores the state of one agent, as a member of claim groups, for all its
// registers. Its identity is (agent, incarnation). An agent that has lost its memory
// must take a new incarnation and a new Acceptor, since it could otherwise contradict
// its earlier votes. Use NewAcceptor or LoadAcceptor to create one.
type Acceptor struct {
	node      zinniasill.Node
	oldest    zinniasill.Epoch
	registers archive.Archive
	nodes     archive.NodeTable
	frozen    bool
	isFull    func(refusal bool) bool
}

// RegisterState is the state of one register at an acceptor.
type RegisterState struct {
	Register message.Register `cbor:"1,keyasint"`
	Promised message.Ballot   `cbor:"2,keyasint"`
	HasValue bool             `cbor:"3,keyasint,omitempty"`
	Accepted message.Ballot   `cbor:"4,keyasint"`
	Value    message.Claim    `cbor:"5,keyasint"`
}

// State is the complete state of an acceptor, as transferred in a handover.
type State struct {
	Node      zinniasill.Node  `cbor:"1,keyasint"`
	Oldest    zinniasill.Epoch `cbor:"2,keyasint"`
	Registers []RegisterState  `cbor:"3,keyasint"`
}

// NewAcceptor returns an acceptor without registers for a new incarnation.
func NewAcceptor(node zinniasill.Node) *Acceptor {
	return &Acceptor{node: node, isFull: func(bool) bool { return false }}
}

// SetFullFunc makes the acceptor vote and promise in no further register while isFull
// returns true. The acceptor still replies to reads, and to all requests for registers
// that it has state for. The argument of isFull is whether the vote is for the refusal
// of a job that no entry has claimed.
func (a *Acceptor) SetFullFunc(isFull func(refusal bool) bool) { a.isFull = isFull }

// LoadAcceptor returns an acceptor that continues a dumped one under its identity. A
// dump may be loaded only once in the whole system: a second copy would vote without
// regard to the votes of the first.
func LoadAcceptor(state State) *Acceptor {
	a := NewAcceptor(state.Node)
	a.oldest = state.Oldest
	for _, register := range state.Registers {
		a.store(register)
	}
	return a
}

// Node returns the identity of the acceptor.
func (a *Acceptor) Node() zinniasill.Node { return a.node }

// Len returns the number of stored registers.
func (a *Acceptor) Len() int { return a.registers.Len() }

// Bytes returns the memory used by the registers, in bytes.
func (a *Acceptor) Bytes() int { return a.registers.Bytes() }

// SetOldestEpoch drops the registers of all epochs before oldest, which have left the
// retention window. The window never moves back.
func (a *Acceptor) SetOldestEpoch(oldest zinniasill.Epoch) {
	if oldest <= a.oldest {
		return
	}
	a.oldest = oldest
	a.registers.DropBefore(oldest)
}

// Dump freezes the acceptor and returns its state. A frozen acceptor handles no
// messages, since another one may already vote under its identity.
func (a *Acceptor) Dump() State {
	a.frozen = true
	state := State{Node: a.node, Oldest: a.oldest}
	a.forEach(func(register RegisterState) { state.Registers = append(state.Registers, register) })
	sortRegisters(state.Registers)
	return state
}

// forEach calls visit for each register.
func (a *Acceptor) forEach(visit func(register RegisterState)) {
	a.registers.ForEach(func(epoch zinniasill.Epoch, key, value []byte) {
		visit(a.decode(parseRegister(epoch, key), value))
	})
}

// Handle handles a claim message. The second result is false if there is no reply,
// because the body is not a claim message or the acceptor is frozen.
func (a *Acceptor) Handle(body any) (message.ClaimReply, bool) {
	if a.frozen {
		return message.ClaimReply{}, false
	}
	switch request := body.(type) {
	case message.ClaimFast:
		return a.Fast(request), true
	case message.ClaimPrepare:
		return a.Prepare(request), true
	case message.ClaimAccept:
		return a.Accept(request), true
	case message.ClaimRead:
		return a.Read(request), true
	default:
		return message.ClaimReply{}, false
	}
}

// Fast accepts a value in round 0 if the register has neither a value nor a promise.
// The reply is also OK if the acceptor has already accepted an equal value in round 0.
func (a *Acceptor) Fast(request message.ClaimFast) message.ClaimReply {
	state, expired := a.state(request.Register)
	if expired {
		return expiredReply(request.Register, message.Ballot{})
	}
	if state.empty() {
		if a.isFull(isRefusal(request.Register, request.Value)) {
			return fullReply(request.Register, message.Ballot{})
		}
		state.HasValue = true
		state.Value = request.Value
		a.store(state)
	}
	reply := state.reply(message.Ballot{})
	reply.OK = state.HasValue && state.Accepted == (message.Ballot{}) && state.Value.Equal(request.Value)
	return reply
}

// Prepare promises a ballot unless it has promised a higher one.
func (a *Acceptor) Prepare(request message.ClaimPrepare) message.ClaimReply {
	state, expired := a.state(request.Register)
	if expired {
		reply := expiredReply(request.Register, request.Ballot)
		reply.Prepare = true
		return reply
	}
	if state.empty() && a.isFull(false) {
		reply := fullReply(request.Register, request.Ballot)
		reply.Prepare = true
		return reply
	}
	ok := request.Ballot.Round <= maxRound && request.Ballot.Compare(state.Promised) >= 0
	if ok {
		state.Promised = request.Ballot
		a.store(state)
	}
	reply := state.reply(request.Ballot)
	reply.Prepare = true
	reply.OK = ok
	return reply
}

// Accept accepts a value in a classic round unless it has promised a higher ballot.
func (a *Acceptor) Accept(request message.ClaimAccept) message.ClaimReply {
	state, expired := a.state(request.Register)
	if expired {
		return expiredReply(request.Register, request.Ballot)
	}
	if state.empty() && a.isFull(isRefusal(request.Register, request.Value)) {
		return fullReply(request.Register, request.Ballot)
	}
	ok := request.Ballot.Round <= maxRound && request.Ballot.Compare(state.Promised) >= 0
	if ok {
		state.Promised = request.Ballot
		state.HasValue = true
		state.Accepted = request.Ballot
		state.Value = request.Value
		a.store(state)
	}
	reply := state.reply(request.Ballot)
	reply.OK = ok
	return reply
}

// Read returns the state of a register without changing it.
func (a *Acceptor) Read(request message.ClaimRead) message.ClaimReply {
	state, expired := a.state(request.Register)
	if expired {
		return expiredReply(request.Register, message.Ballot{})
	}
	return state.reply(message.Ballot{})
}

// state returns the state of a register, and whether its epoch has left the retention
// window.
func (a *Acceptor) state(register message.Register) (state RegisterState, expired bool) {
	if register.Epoch < a.oldest {
		return RegisterState{}, true
	}
	data, ok := a.registers.GetInEpoch(register.Epoch, registerKey(register))
	if !ok {
		return RegisterState{Register: register}, false
	}
	return a.decode(register, data), false
}

func (a *Acceptor) store(state RegisterState) {
	a.registers.Put(state.Register.Epoch, registerKey(state.Register), a.encode(state))
}

// isRefusal reports whether a value is the refusal of a job that no entry has claimed.
func isRefusal(register message.Register, value message.Claim) bool {
	return register.Term == 1 && value.Refused != ""
}

// empty reports whether the acceptor has neither accepted a value nor promised a
// ballot.
func (s RegisterState) empty() bool {
	return !s.HasValue && s.Promised == (message.Ballot{})
}

func (s RegisterState) reply(ballot message.Ballot) message.ClaimReply {
	return message.ClaimReply{
		Register: s.Register,
		Ballot:   ballot,
		Promised: s.Promised,
		HasValue: s.HasValue,
		Accepted: s.Accepted,
		Value:    s.Value,
	}
}

func expiredReply(register message.Register, ballot message.Ballot) message.ClaimReply {
	return message.ClaimReply{Register: register, Ballot: ballot, Expired: true}
}

func fullReply(register message.Register, ballot message.Ballot) message.ClaimReply {
	return message.ClaimReply{Register: register, Ballot: ballot, Full: true}
}
