package claim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
	"zinniasill/internal/explore"
)

// model is the specification that the explorer visits: real acceptors and
// proposers of one register on a network that loses, repeats and reorders.
//
// Requests are never removed, so each may arrive any number of times at any
// time, or never. An answer arrives at once, or is one of at most bounds.late
// answers that arrive any number of times at any later time, or never.
type model struct {
	bounds    *bounds
	acceptors []*Acceptor // nil: crashed with its memory lost
	proposers []*Proposer
	sent      []string // encoded requests
	requests  []message.Envelope
	delayed   []message.Envelope
	votes     []string // every vote ever given: acceptor, ballot, value
	crashes   int
	// chosenAtStart is set when a value was chosen before the reader's first step.
	chosenAtStart bool
}

type bounds struct {
	rounds, late, crashes int
	reader                int // position of a proposer that reads, -1 for none
	reportsOnly           bool
	forget                bool
	handle                func(a *Acceptor, body any) (message.ClaimReply, bool)
}

var (
	modelNow      = time.Unix(0, 0)
	modelRegister = message.Register{Key: zinniasill.Key{Team: "t", Client: "k"}, Term: 1, Epoch: 1}
)

func newModel(b *bounds, members, proposers int, change func(i int, p *Proposer)) model {
	if b.handle == nil {
		b.handle = (*Acceptor).Handle
	}
	m := model{bounds: b}
	group := make([]catalog.EpochMember, members)
	for i := range group {
		group[i].Node = zinniasill.Node{ID: zinniasill.NodeID(rune('a' + i)), Incarnation: 1}
		m.acceptors = append(m.acceptors, NewAcceptor(group[i].Node))
	}
	for i := range proposers {
		self := zinniasill.Node{ID: zinniasill.NodeID(rune('1' + i)), Incarnation: 1}
		p := NewProposer(Config{
			Register: modelRegister, Self: self, Group: group, Read: i == b.reader,
			Value: message.Claim{Owner: self}, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
		if change != nil {
			change(i, p)
		}
		p.Start(modelNow)
		if p.cfg.Read {
			// The members that are asked later are asked at once, which allows every order.
			p.Tick(modelNow.Add(fastWait))
		}
		m.proposers = append(m.proposers, p)
		m.collect(i)
	}
	return m
}

// collect moves what a proposer sends to the requests in flight.
func (m *model) collect(i int) {
	for _, env := range m.proposers[i].Outbox() {
		key := string(encodeRequest(env))
		if !slices.Contains(m.sent, key) {
			m.sent = append(slices.Clone(m.sent), key)
			m.requests = append(slices.Clone(m.requests), env)
		}
	}
}

func (m model) Next() []explore.Step {
	var steps []explore.Step
	add := func(name string, to model) { steps = append(steps, explore.Step{Name: name, To: to}) }
	for _, env := range m.requests {
		m.deliverRequest(env, add)
	}
	for _, env := range m.delayed {
		add(fmt.Sprintf("late answer %s to %s", env.From.ID, env.To.ID), m.receive(env))
	}
	for i, p := range m.proposers {
		if (p.phase == phaseFast || p.phase == phaseWaiting) && p.rounds < m.bounds.rounds {
			to := m.withProposer(i)
			to.proposers[i].Tick(modelNow.Add(time.Hour))
			to.collect(i)
			add(fmt.Sprintf("timeout %s", p.cfg.Self.ID), to)
		}
	}
	if m.crashes < m.bounds.crashes {
		for i, a := range m.acceptors {
			if a != nil {
				add(fmt.Sprintf("crash %s", a.node.ID), m.crash(i))
			}
		}
	}
	return steps
}

func (m model) crash(i int) model {
	m.crashes++
	m.acceptors = slices.Clone(m.acceptors)
	node := m.acceptors[i].node
	m.acceptors[i] = nil
	if m.bounds.forget {
		m.acceptors[i] = NewAcceptor(node)
	}
	return m
}

func (m model) deliverRequest(env message.Envelope, add func(string, model)) {
	i := int(env.To.ID[0] - 'a')
	if m.acceptors[i] == nil {
		return
	}
	to := m
	to.acceptors = slices.Clone(m.acceptors)
	to.acceptors[i] = cloneAcceptor(m.acceptors[i])
	reply, ok := m.bounds.handle(to.acceptors[i], env.Body)
	if !ok {
		return
	}
	to.recordVote(i)
	answer := message.Envelope{From: env.To, To: env.From, Body: reply}
	name := fmt.Sprintf("%T %s to %s", env.Body, env.From.ID, env.To.ID)
	add(name, to.receive(answer))
	if len(to.delayed) < m.bounds.late {
		late := to
		late.delayed = append(slices.Clone(to.delayed), answer)
		add(name+", answer late", late)
	}
}

func (m model) receive(env message.Envelope) model {
	i := int(env.To.ID[0] - '1')
	to := m.withProposer(i)
	if i == m.bounds.reader && !slices.Contains(m.proposers[i].answered, true) {
		to.chosenAtStart = len(m.chosen()) > 0
	}
	to.proposers[i].Receive(modelNow, env.From, env.Body.(message.ClaimReply))
	to.collect(i)
	return to
}

func (m model) withProposer(i int) model {
	m.proposers = slices.Clone(m.proposers)
	p := *m.proposers[i]
	p.votes = slices.Clone(p.votes)
	p.promises = slices.Clone(p.promises)
	p.answered = slices.Clone(p.answered)
	p.dead = slices.Clone(p.dead)
	p.outbox = nil
	m.proposers[i] = &p
	return m
}

func cloneAcceptor(a *Acceptor) *Acceptor {
	to := NewAcceptor(a.node)
	a.each(to.store)
	return to
}

// recordVote adds an acceptor's present vote to the history.
func (m *model) recordVote(i int) {
	state, _ := m.acceptors[i].state(modelRegister)
	if !state.HasValue {
		return
	}
	v := string(append([]byte{byte(i)}, encodeVote(state.Accepted, state.Value)...))
	if !slices.Contains(m.votes, v) {
		m.votes = append(slices.Clone(m.votes), v)
		slices.Sort(m.votes)
	}
}

// chosen returns the distinct values that the history of votes has chosen.
func (m model) chosen() []string {
	counts := map[string]int{}
	var values []string
	for _, v := range m.votes {
		vote := v[1:]
		counts[vote]++
		needed := majority(len(m.acceptors))
		if vote[0] == 0 {
			needed = len(m.acceptors)
		}
		if value := vote[2:]; counts[vote] >= needed && !slices.Contains(values, value) {
			values = append(values, value)
		}
	}
	return values
}

// Check holds the invariant: at most one value is ever chosen, and what a
// proposer reports as chosen is that value.
func (m model) Check() error {
	var reported []string
	for i, p := range m.proposers {
		if p.status == StatusChosen {
			value := string(encodeValue(p.result))
			reported = append(reported, value)
			if value != reported[0] {
				return errors.New("two proposers report different values")
			}
		}
		if i == m.bounds.reader && p.status == StatusEmpty && m.chosenAtStart {
			return errors.New("a read missed a value chosen before it began")
		}
	}
	if m.bounds.reportsOnly {
		return nil
	}
	chosen := m.chosen()
	if len(chosen) > 1 {
		return errors.New("two values are chosen")
	}
	if len(reported) > 0 && (len(chosen) == 0 || chosen[0] != reported[0]) {
		return errors.New("a proposer reports a value that is not chosen")
	}
	return nil
}
