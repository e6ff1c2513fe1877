package agent_test

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// TestDeferredMessages guards against replies and results that are deferred although
// their owner needs them, and against ones that are sent too early and cost a message.
func TestDeferredMessages(t *testing.T) {
	ok := zinniasill.Outcome{OK: true}
	two := offer("x", 1, ref(0, 1), ref(1, 1))
	type sent struct{ replies, results int }
	tests := map[string]struct {
		act  func(f *fixture)
		want sent
	}{
		"started":              {func(f *fixture) { f.tick(149 * time.Millisecond) }, sent{}},
		"started, delay over":  {func(f *fixture) { f.tick(150 * time.Millisecond) }, sent{replies: 1}},
		"started, then leaves": {func(f *fixture) { f.agent.Leave(f.now); f.drain() }, sent{replies: 1}},
		"offer resent":         {func(f *fixture) { f.receive(owner, two) }, sent{replies: 2}},
		"other message to owner": {func(f *fixture) {
			f.receive(owner, message.Fence{Key: key("y"), Term: 1, Epoch: 5})
		}, sent{replies: 1}},
		"message to other entry": {func(f *fixture) {
			f.receive(other, message.Fence{Key: key("y"), Term: 1, Epoch: 5})
		}, sent{}},
		"refused": {func(f *fixture) {
			f.lease.valid = false
			f.receive(owner, offer("y", 1, ref(0, 1)))
		}, sent{replies: 2}},
		"queued":          {func(f *fixture) { f.receive(owner, offer("y", 1, ref(0, 1))) }, sent{replies: 2}},
		"one of two done": {func(f *fixture) { f.finish(f.runs[0], ok); f.tick(149 * time.Millisecond) }, sent{}},
		"one of two done, delay over": {func(f *fixture) {
			f.finish(f.runs[0], ok)
			f.tick(150 * time.Millisecond)
		}, sent{replies: 1, results: 1}},
		"one of two failed": {func(f *fixture) {
			f.finish(f.runs[0], zinniasill.Outcome{Ran: zinniasill.DidRun})
		}, sent{replies: 1, results: 1}},
		"one of two done, then leaves": {func(f *fixture) {
			f.finish(f.runs[0], ok)
			f.agent.Leave(f.now)
			f.drain()
		}, sent{replies: 1, results: 1}},
		"both done": {func(f *fixture) { f.finish(f.runs[0], ok); f.finish(f.runs[1], ok) }, sent{results: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2, nil)
			f.receive(owner, two)
			test.act(f)
			got := sent{len(takeMessages[message.OfferReply](f)), len(takeMessages[message.Result](f))}
			if got != test.want {
				t.Errorf("sent %+v, want %+v", got, test.want)
			}
		})
	}
}
