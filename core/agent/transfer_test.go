package agent_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

var hostNode = zinniasill.Node{ID: "agent-2", Incarnation: 9}

// pair is an agent that stops and its host, with the messages between them.
type pair struct {
	giver, host *fixture
	flight      []message.Envelope
}

// newPair returns a giver that ran jobs with outputs of the given size.
func newPair(t interface{ Fatal(args ...any) }, jobs, size int) *pair {
	p := &pair{giver: newFixture(1, nil), host: newFixture(1, func(cfg *agent.Config) { cfg.Self = hostNode })}
	for _, f := range []*fixture{p.giver, p.host} {
		f.lease.catalog.Nodes[self.ID] = catalog.NodeEntry{Node: self, Role: catalog.RoleAgent}
	}
	for i := range jobs {
		client := string(rune('a' + i))
		p.giver.receive(owner, offer(client, 1, ref(0, 1)))
		p.giver.finish(p.giver.runs[i], zinniasill.Outcome{OK: true, Output: bytes.Repeat([]byte{byte(i)}, size)})
		p.giver.receive(owner, message.ResultAck{Key: key(client), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}})
	}
	p.giver.agent.Leave(p.giver.now)
	p.giver.drain()
	if !p.giver.agent.Idle() {
		t.Fatal("the giver is not idle")
	}
	p.giver.out = nil
	return p
}

func (p *pair) collect() {
	for _, f := range []*fixture{p.giver, p.host} {
		f.drain()
		p.flight = append(p.flight, f.out...)
		f.out = nil
	}
}

func (p *pair) deliver(env message.Envelope) {
	to := p.giver
	if env.To == hostNode {
		to = p.host
	}
	to.agent.Receive(to.now, env)
	p.collect()
}

func (p *pair) tick() {
	p.giver.tick(200 * time.Millisecond)
	p.collect()
}

// outputOf asks the host, under the giver's identity, for the output of a job.
func (p *pair) outputOf(t *rapid.T, client string) message.TaskStatus {
	fence := message.Fence{Key: key(client), Term: 2, Epoch: 5}
	p.host.agent.Receive(p.host.now, message.Envelope{From: other, To: self, Body: fence})
	p.host.drain()
	replies := take[message.FenceReply](p.host)
	if len(replies) != 1 || len(replies[0].Tasks) != 1 {
		t.Fatalf("fence replies of the host are %+v", replies)
	}
	return replies[0].Tasks[0]
}

// TestHandoverOverLossyLink guards against records that are lost or called handed
// over before the host has them, when parts are lost, repeated and reordered.
func TestHandoverOverLossyLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(t, 3, rapid.IntRange(1, 3<<20).Draw(t, "size"))
		if err := p.giver.agent.HandOver(p.giver.now, hostNode); err != nil {
			t.Fatal(err)
		}
		p.collect()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if len(p.flight) == 0 {
				p.tick()
				continue
			}
			at := rapid.IntRange(0, len(p.flight)-1).Draw(t, "at")
			env := p.flight[at]
			switch rapid.IntRange(0, 4).Draw(t, "fate") {
			case 0: // lost
				p.flight = append(p.flight[:at:at], p.flight[at+1:]...)
			case 1: // repeated
				p.deliver(env)
			default:
				p.flight = append(p.flight[:at:at], p.flight[at+1:]...)
				p.deliver(env)
			}
			if p.giver.agent.HandoverState() == agent.HandoverAccepted && len(p.host.agent.HostedNodes()) != 1 {
				t.Fatal("called taken before the host has the records")
			}
			if err := p.giver.agent.HandOver(p.giver.now, other); err == nil {
				t.Fatal("a second host was named while the first is in doubt")
			}
		}
		for range 100 {
			for len(p.flight) > 0 {
				env := p.flight[0]
				p.flight = p.flight[1:]
				p.deliver(env)
			}
			p.tick()
		}
		if p.giver.agent.HandoverState() != agent.HandoverAccepted {
			t.Fatalf("state is %d over a link that works", p.giver.agent.HandoverState())
		}
		p.flight = nil
		for i, client := range []string{"a", "b", "c"} {
			status := p.outputOf(t, client)
			if status.State != message.TaskFinished || status.Outcome.Output[0] != byte(i) {
				t.Fatalf("status of %s is %+v", client, status)
			}
		}
	})
}

// TestHandoverRefusal guards against records that go to an agent which leaves
// itself or has no room for them, and against a stop that then names no other host.
func TestHandoverRefusal(t *testing.T) {
	causes := map[string]func(p *pair){
		"leaves": func(p *pair) { p.host.agent.Leave(p.host.now) },
		"has no room": func(p *pair) {
			p.host = newFixture(1, func(cfg *agent.Config) { cfg.Self, cfg.RecordLimit = hostNode, 1 })
			vote := message.ClaimFast{Register: message.Register{Key: key("a"), Term: 1, Epoch: 5}}
			p.host.agent.Receive(p.host.now, message.Envelope{From: owner, To: hostNode, Body: vote})
			p.host.drain()
			p.host.out = nil
		},
	}
	for name, refuse := range causes {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, 1, 10)
			refuse(p)
			if err := p.giver.agent.HandOver(p.giver.now, hostNode); err != nil {
				t.Fatal(err)
			}
			p.collect()
			p.deliver(p.flight[0])
			p.deliver(p.flight[1])
			if p.giver.agent.HandoverState() != agent.HandoverRefused || len(p.host.agent.HostedNodes()) != 0 {
				t.Fatalf("state is %d, hosted are %v", p.giver.agent.HandoverState(), p.host.agent.HostedNodes())
			}
			third := zinniasill.Node{ID: "agent-3", Incarnation: 1}
			if err := p.giver.agent.HandOver(p.giver.now, third); err != nil {
				t.Fatal(err)
			}
			p.giver.drain()
			if parts := take[message.HandoverPart](p.giver); len(parts) != 1 {
				t.Errorf("%d parts sent to the second host", len(parts))
			}
		})
	}
}

// TestMalformedHandover guards against a host that keeps or loads parts which are
// out of range or not the sender's records.
func TestMalformedHandover(t *testing.T) {
	parts := map[string]message.HandoverPart{
		"no parts":       {Data: []byte("x")},
		"part beyond":    {Part: 2, Parts: 2, Data: []byte("x")},
		"too many parts": {Parts: 1 << 30, Data: []byte("x")},
		"empty":          {Parts: 1},
		"too large":      {Parts: 2, Data: make([]byte, 1<<20+1)},
		"not CBOR":       {Parts: 1, Data: []byte("\xff\xff")},
		"no records":     {Parts: 1, Data: []byte("\xa0")},
	}
	for name, part := range parts {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, 0, 0)
			p.host.agent.Receive(p.host.now, message.Envelope{From: self, To: hostNode, Body: part})
			p.host.drain()
			acks := take[message.HandoverAck](p.host)
			if len(acks) != 1 || !acks[0].Refused || len(p.host.agent.HostedNodes()) != 0 {
				t.Errorf("acknowledged with %+v, hosted are %v", acks, p.host.agent.HostedNodes())
			}
		})
	}
}

// TestHandoverBudget guards against outputs beyond the budget that pile up over
// several handovers, and against evicted ones that lose the record of their task.
func TestHandoverBudget(t *testing.T) {
	p := newPair(t, 1, 8)
	second := newFixture(1, func(cfg *agent.Config) {
		cfg.Self = hostNode
		cfg.OutputBudget = 10
	})
	second.agent.Load(second.now, p.giver.agent.Dump(p.giver.now))
	second.agent.Receive(second.now, message.Envelope{From: owner, To: hostNode, Body: offer("own", 1, ref(0, 1))})
	second.drain()
	second.finish(second.runs[0], zinniasill.Outcome{OK: true, Output: []byte("12345678")})
	third := zinniasill.Node{ID: "agent-3", Incarnation: 1}
	if err := second.agent.HandOver(second.now, third); err != nil {
		t.Fatal(err)
	}
	second.drain()
	last := newFixture(1, func(cfg *agent.Config) { cfg.Self = third })
	for _, part := range take[message.HandoverPart](second) {
		last.agent.Receive(last.now, message.Envelope{From: hostNode, To: third, Body: part})
	}
	for node, evicted := range map[zinniasill.Node]bool{hostNode: false, self: true} {
		client := map[zinniasill.Node]string{hostNode: "own", self: "a"}[node]
		fence := message.Fence{Key: key(client), Term: 2, Epoch: 5}
		last.agent.Receive(last.now, message.Envelope{From: other, To: node, Body: fence})
		last.drain()
		status := take[message.FenceReply](last)[0].Tasks[0]
		if status.State != message.TaskFinished || (status.Reason == zinniasill.ReasonAnswerEvicted) != evicted ||
			(len(status.Outcome.Output) == 0) != evicted {
			t.Errorf("status of %s is %+v", client, status)
		}
	}
}
