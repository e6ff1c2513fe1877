package agent

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/message"
)

const (
	// partSize is the maximum size of a part of a handover in bytes. It is far below
	// the maximum frame size, so that a part does not delay other messages much.
	partSize = 1 << 20
	// maxParts bounds the memory that a host uses for an incomplete handover.
	maxParts = 128
	// maxPartsInFlight is the maximum number of unacknowledged parts.
	maxPartsInFlight = 4
)

// Limits of the records in a handover. The size of all parts bounds them further.
const (
	maxHandoverElements = 1 << 24
	maxHandoverNesting  = 32
)

// recordDecoder decodes the records of a handover. Callers' keys and endpoints' errors need
// not be valid UTF-8, and must not make all other records undecodable.
var recordDecoder = newRecordDecoder()

func newRecordDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		UTF8:             cbor.UTF8DecodeInvalid,
		MaxArrayElements: maxHandoverElements,
		MaxMapPairs:      maxHandoverElements,
		MaxNestedLevels:  maxHandoverNesting,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant and valid
	}
	return mode
}

// CounterHandoverRefused counts the refused handovers by reason.
const CounterHandoverRefused = "agent_handovers_refused"

const (
	reasonHostLeaving zinniasill.Reason = "host-leaving"
	reasonMalformed   zinniasill.Reason = "malformed"
)

// HandoverState is the state of a handover.
type HandoverState uint8

// Values of HandoverState.
const (
	// HandoverPending means that it is unknown whether the host has accepted the records.
	HandoverPending HandoverState = iota
	// HandoverAccepted means that the host has the records and replies for them.
	HandoverAccepted
	// HandoverRefused means that the host has not accepted the records and never will,
	// so that another host may be asked.
	HandoverRefused
)

// outgoing is the handover of this agent's records to a host.
type outgoing struct {
	host  zinniasill.Node
	state HandoverState
	parts [][]byte
	acked []bool
	// next is the first part that has not been sent yet.
	next     int
	resendAt time.Time
}

// incoming is an incomplete handover to this agent.
type incoming struct {
	parts   [][]byte
	missing int
}

// HandOver freezes the agent and sends its records to host until host has accepted or
// refused them. Another host may be named only after a refusal, since two hosts could
// reply inconsistently. Like Dump, it should only be called after Leave, once the agent
// is idle.
func (a *Agent) HandOver(now time.Time, host zinniasill.Node) error {
	if a.outgoing != nil && a.outgoing.state != HandoverRefused {
		return eris.Errorf("hand over to %s: %s may already have the records", host, a.outgoing.host)
	}
	var parts [][]byte
	if a.outgoing != nil {
		parts = a.outgoing.parts
	} else {
		dump := a.Dump(now)
		trimOutputs(&dump, a.cfg.OutputBudget)
		data, err := cbor.Marshal(dump)
		if err != nil {
			return eris.Wrap(err, "encode the records to hand over")
		}
		parts = slices.Collect(slices.Chunk(data, partSize))
	}
	if len(parts) > maxParts {
		return eris.Errorf("hand over to %s: %d parts exceed the limit of %d", host, len(parts), maxParts)
	}
	a.outgoing = &outgoing{host: host, parts: parts, acked: make([]bool, len(parts)), resendAt: now.Add(resendInterval)}
	a.fillWindow()
	return nil
}

// HandoverState returns the state of the latest handover.
func (a *Agent) HandoverState() HandoverState {
	if a.outgoing == nil {
		return HandoverPending
	}
	return a.outgoing.state
}

// trimOutputs evicts outputs that exceed the budget, those of hosted incarnations
// first.
func trimOutputs(dump *Handover, budget int) {
	size := 0
	for _, state := range dump.Agents {
		for _, j := range state.Jobs {
			for i := range j.Tasks {
				t := &j.Tasks[i]
				size += len(t.Outcome.Output)
				// The agent's own records come first in a dump, so their outputs are retained first.
				if size > budget && len(t.Outcome.Output) > 0 {
					size -= len(t.Outcome.Output)
					t.Outcome.Output = nil
					t.Evicted = true
				}
			}
		}
	}
}

func (a *Agent) sendPart(part int) {
	o := a.outgoing
	a.send(o.host, message.HandoverPart{Part: uint32(part), Parts: uint32(len(o.parts)), Data: o.parts[part]})
}

// fillWindow sends parts that have not been sent yet, up to maxPartsInFlight.
func (a *Agent) fillWindow() {
	o := a.outgoing
	inFlight := 0
	for part := range o.next {
		if !o.acked[part] {
			inFlight++
		}
	}
	for ; inFlight < maxPartsInFlight && o.next < len(o.parts); inFlight++ {
		a.sendPart(o.next)
		o.next++
	}
}

func (a *Agent) resendHandover(now time.Time) {
	o := a.outgoing
	if o == nil || o.state != HandoverPending || now.Before(o.resendAt) {
		return
	}
	o.resendAt = now.Add(resendInterval)
	for part := range o.next {
		if !o.acked[part] {
			a.sendPart(part)
		}
	}
}

// receiveHandover handles the messages of handovers and reports whether env was one. A
// frozen agent handles them too.
func (a *Agent) receiveHandover(now time.Time, env message.Envelope) bool {
	switch body := env.Body.(type) {
	case message.HandoverPart:
		if a.awaitsHandover(env.From) {
			a.send(env.From, a.receivePart(now, env.From, body))
		}
	case message.HandoverAck:
		a.receiveHandoverAck(env.From, body)
	default:
		return false
	}
	return true
}

func (a *Agent) receiveHandoverAck(from zinniasill.Node, ack message.HandoverAck) {
	o := a.outgoing
	if o == nil || o.host != from || o.state != HandoverPending || int(ack.Part) >= len(o.parts) {
		return
	}
	switch {
	case ack.Complete:
		o.state = HandoverAccepted
	case ack.Refused:
		o.state = HandoverRefused
	default:
		o.acked[ack.Part] = true
		a.fillWindow()
	}
}

// awaitsHandover reports whether parts of an agent's records are answered. Those of an agent
// that is not in the catalog are not: it is unknown here yet and will resend them, or it has
// ended and they are late copies.
func (a *Agent) awaitsHandover(from zinniasill.Node) bool {
	return a.hostedAgent(from) != nil || a.cfg.Lease.Catalog().Alive(from)
}

// receivePart stores a part and loads the records when all parts are received.
func (a *Agent) receivePart(now time.Time, from zinniasill.Node, p message.HandoverPart) message.HandoverAck {
	ack := message.HandoverAck{Part: p.Part}
	in := a.incoming[from]
	switch {
	case a.hostedAgent(from) != nil:
		ack.Complete = true
		return ack
	case a.leaving || a.frozen:
		return a.refuseHandover(from, ack, reasonHostLeaving)
	case a.refusedSenders[from] != "":
		return a.refuseHandover(from, ack, a.refusedSenders[from])
	case in == nil && a.recordsFull():
		return a.refuseHandover(from, ack, zinniasill.ReasonRecordsFull)
	case p.Parts == 0 || p.Parts > maxParts || p.Part >= p.Parts || len(p.Data) == 0 || len(p.Data) > partSize,
		in != nil && len(in.parts) != int(p.Parts):
		return a.refuseHandover(from, ack, reasonMalformed)
	case in == nil:
		in = &incoming{parts: make([][]byte, p.Parts), missing: int(p.Parts)}
		a.incoming[from] = in
	}
	if in.parts[p.Part] == nil {
		in.parts[p.Part] = p.Data
		in.missing--
	}
	if in.missing > 0 {
		return ack
	}
	var dump Handover
	err := recordDecoder.Unmarshal(bytes.Join(in.parts, nil), &dump)
	if err != nil || len(dump.Agents) == 0 || dump.Agents[0].Claims.Node != from {
		return a.refuseHandover(from, ack, reasonMalformed)
	}
	delete(a.incoming, from)
	a.Load(now, dump)
	ack.Complete = true
	return ack
}

func (a *Agent) refuseHandover(from zinniasill.Node, ack message.HandoverAck, reason zinniasill.Reason) message.HandoverAck {
	delete(a.incoming, from)
	a.refusedSenders[from] = reason
	a.count(CounterHandoverRefused, reason)
	ack.Refused = true
	return ack
}

// dropIncoming drops incomplete and refused handovers of agents that are not in the catalog
// any more.
func (a *Agent) dropIncoming() {
	current := a.cfg.Lease.Catalog()
	maps.DeleteFunc(a.incoming, func(node zinniasill.Node, _ *incoming) bool { return !current.Alive(node) })
	maps.DeleteFunc(a.refusedSenders, func(node zinniasill.Node, _ zinniasill.Reason) bool { return !current.Alive(node) })
}
