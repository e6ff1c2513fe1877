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
	// partSize is the highest size of a part of a handover in bytes. It is far below
	// the highest frame, so that a part delays other messages little.
	partSize = 1 << 20
	// maxParts bounds what a host keeps of an incomplete handover.
	maxParts = 128
	// partWindow is the number of parts in flight.
	partWindow = 4
)

// CounterHandoverRefused counts handovers that were not taken, by reason.
const CounterHandoverRefused = "agent_handovers_refused"

const (
	reasonHostLeaving zinniasill.Reason = "host-leaving"
	reasonMalformed   zinniasill.Reason = "malformed"
)

// HandoverState is the progress of a handover.
type HandoverState uint8

// Values of HandoverState.
const (
	// HandoverPending means that the host may or may not have taken the records.
	HandoverPending HandoverState = iota
	// HandoverAccepted means that the host answers for the records.
	HandoverAccepted
	// HandoverRefused means that the host has not taken the records and never will,
	// so that another may be asked.
	HandoverRefused
)

// outgoing is the handover of this agent's records.
type outgoing struct {
	host  zinniasill.Node
	state HandoverState
	parts [][]byte
	acked []bool
	// next is the first part that was never sent.
	next     int
	resendAt time.Time
}

// incoming is an incomplete handover to this agent.
type incoming struct {
	parts   [][]byte
	missing int
}

// HandOver freezes the agent and sends its records to host until host has taken
// or refused them. Another host may be named only after a refusal: two hosts
// could give different answers. Like Dump, it follows Leave and Idle.
func (a *Agent) HandOver(now time.Time, host zinniasill.Node) error {
	if a.outgoing != nil && a.outgoing.state != HandoverRefused {
		return eris.Errorf("hand over to %s: %s may have the records", host, a.outgoing.host)
	}
	var parts [][]byte
	if a.outgoing != nil {
		parts = a.outgoing.parts
	} else {
		dump := a.Dump(now)
		trimOutputs(&dump, a.cfg.OutputBudget)
		data, err := cbor.Marshal(dump)
		if err != nil {
			return eris.Wrap(err, "encode the records")
		}
		parts = slices.Collect(slices.Chunk(data, partSize))
	}
	if len(parts) > maxParts {
		return eris.Errorf("hand over to %s: %d parts exceed the limit of %d", host, len(parts), maxParts)
	}
	a.outgoing = &outgoing{host: host, parts: parts, acked: make([]bool, len(parts)), resendAt: now.Add(resendWait)}
	a.fillWindow()
	return nil
}

// HandoverState returns the progress of the latest HandOver.
func (a *Agent) HandoverState() HandoverState {
	if a.outgoing == nil {
		return HandoverPending
	}
	return a.outgoing.state
}

// trimOutputs evicts outputs beyond the budget, those of earlier incarnations first.
func trimOutputs(dump *Handover, budget int) {
	size := 0
	for _, state := range dump.Agents {
		for _, j := range state.Jobs {
			for i := range j.Tasks {
				t := &j.Tasks[i]
				size += len(t.Outcome.Output)
				// The agent's own records come first in a dump.
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

// fillWindow sends parts that were never sent, up to the window.
func (a *Agent) fillWindow() {
	o := a.outgoing
	inFlight := 0
	for part := range o.next {
		if !o.acked[part] {
			inFlight++
		}
	}
	for ; inFlight < partWindow && o.next < len(o.parts); inFlight++ {
		a.sendPart(o.next)
		o.next++
	}
}

func (a *Agent) resendHandover(now time.Time) {
	o := a.outgoing
	if o == nil || o.state != HandoverPending || now.Before(o.resendAt) {
		return
	}
	o.resendAt = now.Add(resendWait)
	for part := range o.next {
		if !o.acked[part] {
			a.sendPart(part)
		}
	}
}

// receiveHandover handles the messages of handovers, also of a frozen agent, and
// reports whether env was one.
func (a *Agent) receiveHandover(now time.Time, env message.Envelope) bool {
	switch body := env.Body.(type) {
	case message.HandoverPart:
		a.send(env.From, a.takePart(now, env.From, body))
	case message.HandoverAck:
		a.handoverAck(env.From, body)
	default:
		return false
	}
	return true
}

func (a *Agent) handoverAck(from zinniasill.Node, ack message.HandoverAck) {
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

// takePart keeps a part and loads the records when they are complete.
func (a *Agent) takePart(now time.Time, from zinniasill.Node, p message.HandoverPart) message.HandoverAck {
	ack := message.HandoverAck{Part: p.Part}
	in := a.incoming[from]
	switch {
	case a.host(from) != nil:
		ack.Complete = true
		return ack
	case a.leaving || a.frozen:
		return a.refuseHandover(from, ack, reasonHostLeaving)
	case in == nil && a.isFull():
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
	err := cbor.Unmarshal(bytes.Join(in.parts, nil), &dump)
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
	a.count(CounterHandoverRefused, reason)
	ack.Refused = true
	return ack
}

// dropIncoming forgets incomplete handovers of agents that are gone.
func (a *Agent) dropIncoming() {
	current := a.cfg.Lease.Catalog()
	maps.DeleteFunc(a.incoming, func(node zinniasill.Node, _ *incoming) bool { return !current.Alive(node) })
}
