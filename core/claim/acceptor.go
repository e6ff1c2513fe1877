package claim

import (
	"zinniasill"
	"zinniasill/core/archive"
	"zinniasill/core/message"
)

// Acceptor holds one agent's part of all registers. It is identified by
// (agent, incarnation); an agent that loses its memory must take a new
// incarnation and a new Acceptor. Use NewAcceptor or LoadAcceptor.
type Acceptor struct {
	node      zinniasill.Node
	oldest    zinniasill.Epoch
	registers archive.Archive
	nodes     archive.NodeTable
	frozen    bool
	full      func(refusal bool) bool
}

// RegisterState is an acceptor's state of one register.
type RegisterState struct {
	Register message.Register `cbor:"1,keyasint"`
	Promised message.Ballot   `cbor:"2,keyasint"`
	HasValue bool             `cbor:"3,keyasint,omitempty"`
	Accepted message.Ballot   `cbor:"4,keyasint"`
	Value    message.Claim    `cbor:"5,keyasint"`
}

// State is the whole state of an acceptor, as handed over at a planned stop.
type State struct {
	Node      zinniasill.Node  `cbor:"1,keyasint"`
	Oldest    zinniasill.Epoch `cbor:"2,keyasint"`
	Registers []RegisterState  `cbor:"3,keyasint"`
}

// NewAcceptor returns an empty acceptor for a new incarnation.
func NewAcceptor(node zinniasill.Node) *Acceptor {
	return &Acceptor{node: node, full: func(bool) bool { return false }}
}

// SetFullFunc makes the acceptor vote in no further register while full returns true. It
// goes on answering for registers that it has voted in, and reads. Full is told
// whether the vote is for the refusal of a job that no entry has claimed.
func (a *Acceptor) SetFullFunc(full func(refusal bool) bool) { a.full = full }

// LoadAcceptor returns an acceptor that continues a dumped one under its
// identity. A dump may be loaded once only in the whole system: a second copy
// would vote without the votes of the first.
func LoadAcceptor(state State) *Acceptor {
	a := NewAcceptor(state.Node)
	a.oldest = state.Oldest
	for _, register := range state.Registers {
		a.store(register)
	}
	return a
}

// Node returns the identity that the acceptor answers under.
func (a *Acceptor) Node() zinniasill.Node { return a.node }

// Len returns the number of registers.
func (a *Acceptor) Len() int { return a.registers.Len() }

// Bytes returns the memory that the registers take.
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

// Dump freezes the acceptor and returns its state. A frozen acceptor answers
// nothing any more, since its votes may by then be given elsewhere.
func (a *Acceptor) Dump() State {
	a.frozen = true
	state := State{Node: a.node, Oldest: a.oldest}
	a.each(func(register RegisterState) { state.Registers = append(state.Registers, register) })
	sortRegisters(state.Registers)
	return state
}

func (a *Acceptor) each(visit func(register RegisterState)) {
	a.registers.ForEach(func(epoch zinniasill.Epoch, key, value []byte) {
		visit(a.decode(parseRegister(epoch, key), value))
	})
}

// Handle handles a claim message. The second result is false when there is no
// answer: the body is no claim message, or the acceptor is frozen.
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

// Fast accepts a value in round 0 when the register has neither a value nor a
// promise. It also confirms a value that it accepted in round 0 before.
func (a *Acceptor) Fast(request message.ClaimFast) message.ClaimReply {
	state, expired := a.state(request.Register)
	if expired {
		return expiredReply(request.Register, message.Ballot{})
	}
	if state.empty() {
		if a.full(isRefusal(request.Register, request.Value)) {
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

// Prepare promises a ballot unless a higher one was promised.
func (a *Acceptor) Prepare(request message.ClaimPrepare) message.ClaimReply {
	state, expired := a.state(request.Register)
	if expired {
		reply := expiredReply(request.Register, request.Ballot)
		reply.Prepare = true
		return reply
	}
	if state.empty() && a.full(false) {
		reply := fullReply(request.Register, request.Ballot)
		reply.Prepare = true
		return reply
	}
	ok := request.Ballot.Compare(state.Promised) >= 0
	if ok {
		state.Promised = request.Ballot
		a.store(state)
	}
	reply := state.reply(request.Ballot)
	reply.Prepare = true
	reply.OK = ok
	return reply
}

// Accept accepts a value in a classic round unless a higher ballot was promised.
func (a *Acceptor) Accept(request message.ClaimAccept) message.ClaimReply {
	state, expired := a.state(request.Register)
	if expired {
		return expiredReply(request.Register, request.Ballot)
	}
	if state.empty() && a.full(isRefusal(request.Register, request.Value)) {
		return fullReply(request.Register, request.Ballot)
	}
	ok := request.Ballot.Compare(state.Promised) >= 0
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

// isRefusal reports whether a value refuses a job that no entry has claimed.
func isRefusal(register message.Register, value message.Claim) bool {
	return register.Term == 1 && value.Refused != ""
}

// empty reports whether the acceptor has neither voted nor promised.
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
