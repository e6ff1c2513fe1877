package agent_test

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// receive delivers a message to the agent and drains it.
func (f *fixture) receive(from zinniasill.Node, body any) {
	f.receiveUndrained(from, body)
	f.drain()
}

// receiveUndrained delivers a message without draining the agent, as when the event
// loop handles several messages at once.
func (f *fixture) receiveUndrained(from zinniasill.Node, body any) {
	f.agent.Receive(f.now, message.Envelope{From: from, To: self, Body: body})
}

// takeMessages removes and returns the sent messages of one type.
func takeMessages[T any](f *fixture) []T {
	var taken []T
	var rest []message.Envelope
	for _, env := range f.out {
		if body, ok := env.Body.(T); ok {
			taken = append(taken, body)
		} else {
			rest = append(rest, env)
		}
	}
	f.out = rest
	return taken
}

// newBusyFixture returns an agent whose only slot runs a task.
func newBusyFixture() *fixture {
	f := newFixture(1, nil)
	f.receive(owner, offer("running", 1, ref(0, 1)))
	f.out = nil
	return f
}

// finishFirstRun ends the first started task successfully.
func (f *fixture) finishFirstRun() { f.finish(f.runs[0], zinniasill.Outcome{OK: true}) }

func grant(client string) message.Grant {
	return message.Grant{Key: key(client), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}}
}

// TestFence guards against a task of a lower term that starts after the fence was
// acknowledged, in whichever state the fence found the task.
func TestFence(t *testing.T) {
	tests := map[string]struct {
		// prepare brings task 0 of job x into a state before the fence.
		prepare func(f *fixture)
		// late delivers messages of the old owner after the fence.
		late func(f *fixture)
		// started is whether the fence reply must list the task.
		started bool
	}{
		"unknown, offered late": {
			prepare: func(*fixture) {},
			late:    func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
		},
		"queued, then granted": {
			prepare: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
			late:    func(f *fixture) { f.receive(owner, grant("x")) },
		},
		"queued, offered as a later attempt": {
			prepare: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
			late:    func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 2))) },
		},
		"fetching, then granted": {
			prepare: func(f *fixture) {
				f.receive(owner, offer("x", 1, ref(0, 1)))
				f.finishFirstRun()
			},
			late: func(f *fixture) { f.receive(owner, grant("x")) },
		},
		"granted in the same batch": {
			prepare: func(f *fixture) {
				f.receive(owner, offer("x", 1, ref(0, 1)))
				f.finishFirstRun()
				f.receiveUndrained(owner, grant("x"))
			},
			late: func(f *fixture) { f.receive(owner, grant("x")) },
		},
		"offered in the same batch": {
			prepare: func(f *fixture) {
				f.finishFirstRun()
				f.receiveUndrained(owner, offer("x", 1, ref(0, 1)))
			},
			late: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
		},
		"started": {
			prepare: func(f *fixture) {
				f.finishFirstRun()
				f.receive(owner, offer("x", 1, ref(0, 1)))
			},
			late:    func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
			started: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newBusyFixture()
			test.prepare(f)
			f.receive(other, message.Fence{Key: key("x"), Term: 2, Epoch: 5})
			replies := takeMessages[message.FenceReply](f)
			if len(replies) != 1 || replies[0].Fenced != 2 || (len(replies[0].Tasks) == 1) != test.started {
				t.Fatalf("unexpected fence replies: %+v", replies)
			}
			f.out = nil
			before := len(f.runs)
			test.late(f)
			if len(f.runs) == 1 {
				f.finishFirstRun()
			}
			test.late(f)
			f.tick(time.Second)
			if len(f.runs) != before {
				t.Errorf("tasks started after the fence: %+v", f.runs[before:])
			}
			if fetches := takeMessages[message.Fetch](f); len(fetches) > 0 {
				t.Errorf("fetches sent after the fence: %+v", fetches)
			}
		})
	}
}

// TestNewOwnerAfterFence guards against a fence that also prevents the new owner from
// offering tasks that have not started.
func TestNewOwnerAfterFence(t *testing.T) {
	f := newBusyFixture()
	f.receive(owner, offer("x", 1, ref(0, 1)))
	f.receive(other, message.Fence{Key: key("x"), Term: 2, Epoch: 5})
	f.finishFirstRun()
	f.receive(other, offer("x", 2, ref(0, 1)))
	if len(f.runs) != 2 || f.runs[1].Key != key("x") {
		t.Errorf("started tasks are %+v", f.runs)
	}
}
