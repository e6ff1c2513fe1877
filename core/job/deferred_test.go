package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// TestDeferred guards against acknowledgements that are lost, held too long or held
// by an entry that stops, and against ones that take a message of their own although
// another one leaves.
func TestDeferred(t *testing.T) {
	agent := zinniasill.Node{ID: "agent-1", Incarnation: 1}
	result := func(entry *worldEntry, now time.Time, client string) {
		entry.Receive(now, message.Envelope{From: agent, To: entry.cfg.Self, Body: message.Result{
			Key: zinniasill.Key{Team: "team", Client: client}, Term: 1, Tasks: []message.TaskStatus{{}},
		}})
	}
	tests := map[string]struct {
		step func(entry *worldEntry, now time.Time)
		// messages and acks are what leaves in all.
		messages, acks int
	}{
		"held":          {func(entry *worldEntry, now time.Time) { entry.Tick(now.Add(ackWait - 1)) }, 0, 0},
		"due":           {func(entry *worldEntry, now time.Time) { entry.Tick(now.Add(ackWait)) }, 1, 2},
		"draining":      {func(entry *worldEntry, now time.Time) { entry.Drain(now) }, 1, 2},
		"other message": {func(entry *worldEntry, _ time.Time) { entry.send(agent, message.Grant{}) }, 1, 2},
		"result while draining": {func(entry *worldEntry, now time.Time) {
			entry.Drain(now)
			result(entry, now, "c")
		}, 1, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, 1, 1)
			entry := w.entries[0]
			result(entry, w.now, "a")
			result(entry, w.now, "b")
			test.step(entry, w.now)
			out := entry.Outbox()
			acks := 0
			for _, env := range message.Split(out) {
				if _, ok := env.Body.(message.ResultAck); ok {
					acks++
				}
			}
			if len(out) != test.messages || acks != test.acks {
				t.Errorf("%d messages with %d acknowledgements, want %d with %d", len(out), acks, test.messages, test.acks)
			}
		})
	}
}
