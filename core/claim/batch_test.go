package claim_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

// TestReadAsksMajorityFirst guards against a read that asks more members than it
// needs, and against one that waits long for a member that is silent.
func TestReadAsksMajorityFirst(t *testing.T) {
	var group []catalog.EpochMember
	for _, id := range []zinniasill.NodeID{"agent-1", "agent-2", "agent-3"} {
		group = append(group, catalog.EpochMember{Node: zinniasill.Node{ID: id, Incarnation: 1}})
	}
	start := time.Unix(0, 0)
	p := claim.NewProposer(claim.Config{Group: group, Read: true, Rand: rand.New(rand.NewPCG(1, 1))})
	p.Start(start)
	expect := func(step string, want int) {
		t.Helper()
		if got := len(p.Outbox()); got != want {
			t.Fatalf("%s: %d messages, want %d", step, got, want)
		}
	}
	expect("start", 2)
	p.Receive(start, group[0].Node, message.ClaimReply{})
	p.Tick(start.Add(4 * time.Millisecond))
	expect("4 ms later", 0)
	p.Tick(start.Add(5 * time.Millisecond))
	expect("5 ms later", 2)
	p.Receive(start, group[2].Node, message.ClaimReply{})
	if p.Status() != claim.StatusEmpty {
		t.Errorf("status is %d after two answers", p.Status())
	}
}

// TestBatch guards against claim messages that get lost, duplicated or sent to
// another agent when they are joined.
func TestBatch(t *testing.T) {
	one, two := zinniasill.Node{ID: "agent-1", Incarnation: 1}, zinniasill.Node{ID: "agent-2", Incarnation: 1}
	read := func(to zinniasill.Node, epoch zinniasill.Epoch) message.Envelope {
		register := message.Register{Key: zinniasill.Key{Client: "k"}, Term: 1, Epoch: epoch}
		return message.Envelope{To: to, Body: message.ClaimRead{Register: register}}
	}
	offer := message.Envelope{To: one, Body: message.Offer{}}
	tests := map[string]struct {
		out      []message.Envelope
		messages int
		replies  map[zinniasill.Node]int
	}{
		"none":              {},
		"one":               {out: []message.Envelope{read(one, 1)}, messages: 1},
		"three to one":      {out: []message.Envelope{read(one, 1), read(one, 2), read(one, 3)}, messages: 1, replies: map[zinniasill.Node]int{one: 3}},
		"two agents":        {out: []message.Envelope{read(one, 1), read(two, 1), offer, read(one, 2), read(two, 2)}, messages: 3, replies: map[zinniasill.Node]int{one: 2, two: 2}},
		"other stays alone": {out: []message.Envelope{offer, offer}, messages: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			joined := claim.Batch(tt.out)
			if len(joined) != tt.messages {
				t.Fatalf("%d messages, want %d", len(joined), tt.messages)
			}
			replies := map[zinniasill.Node]int{}
			for _, env := range joined {
				if batch, ok := env.Body.(message.ClaimBatch); ok {
					answer, _ := claim.NewAcceptor(env.To).HandleBatch(batch)
					replies[env.To] += len(answer.Replies)
				}
			}
			for node, want := range tt.replies {
				if replies[node] != want {
					t.Errorf("%d replies of %s, want %d", replies[node], node, want)
				}
			}
		})
	}
}
