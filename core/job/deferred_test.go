package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// TestDeferred guards against acknowledgements that are lost, deferred for too long or
// deferred by a draining entry, and against those that are sent on their own although
// another message to the agent is sent.
func TestDeferred(t *testing.T) {
	agent := zinniasill.Node{ID: "agent-1", Incarnation: 1}
	result := func(entry *simEntry, now time.Time, client string) {
		entry.Receive(now, message.Envelope{From: agent, To: entry.cfg.Self, Body: message.Result{
			Key: zinniasill.Key{Team: "team", Client: client}, Term: 1, Tasks: []message.TaskStatus{{}},
		}})
	}
	tests := map[string]struct {
		operation func(entry *simEntry, now time.Time)
		// messages and acks are the total numbers sent.
		messages, acks int
	}{
		"deferred":      {func(entry *simEntry, now time.Time) { entry.Tick(now.Add(maxAckDelay - 1)) }, 0, 0},
		"due":           {func(entry *simEntry, now time.Time) { entry.Tick(now.Add(maxAckDelay)) }, 1, 2},
		"draining":      {func(entry *simEntry, now time.Time) { entry.Drain(now) }, 1, 2},
		"other message": {func(entry *simEntry, _ time.Time) { entry.send(agent, message.Grant{}) }, 1, 2},
		"result while draining": {func(entry *simEntry, now time.Time) {
			entry.Drain(now)
			entry.Outbox()
			result(entry, now, "c")
		}, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 1, 1, 1)
			entry := s.entries[0]
			result(entry, s.now, "a")
			result(entry, s.now, "b")
			test.operation(entry, s.now)
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
