package agent_test

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// receive hands a message to the agent and drains it.
func (f *fixture) receive(from zinniasill.Node, body any) {
	f.batch(from, body)
	f.drain()
}

// batch hands a message to the agent that is not drained before the next one.
func (f *fixture) batch(from zinniasill.Node, body any) {
	f.agent.Receive(f.now, message.Envelope{From: from, To: self, Body: body})
}

// take returns and forgets the messages of one type that the agent sent.
func take[T any](f *fixture) []T {
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

// occupied returns an agent whose only slot runs a task.
func occupied() *fixture {
	f := newFixture(1, nil)
	f.receive(owner, offer("running", 1, ref(0, 1)))
	f.out = nil
	return f
}

// freeSlot ends the first run.
func (f *fixture) freeSlot() { f.finish(f.runs[0], zinniasill.Outcome{OK: true}) }

func grant(client string) message.Grant {
	return message.Grant{Key: key(client), Term: 1, Tasks: []message.TaskRef{ref(0, 1)}}
}

// TestFence guards against a task of a lower term that starts after the fence was
// acknowledged, whatever it waited for.
func TestFence(t *testing.T) {
	tests := map[string]struct {
		// wait brings task 0 of job x into a state before the fence.
		wait func(f *fixture)
		// late is what still arrives from the old owner.
		late func(f *fixture)
		// started is whether the fence reply must list the task.
		started bool
	}{
		"never seen, offered late": {
			wait: func(*fixture) {},
			late: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
		},
		"queued, then granted": {
			wait: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
			late: func(f *fixture) { f.receive(owner, grant("x")) },
		},
		"queued, offered again under a later attempt": {
			wait: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
			late: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 2))) },
		},
		"fetching, then granted": {
			wait: func(f *fixture) {
				f.receive(owner, offer("x", 1, ref(0, 1)))
				f.freeSlot()
			},
			late: func(f *fixture) { f.receive(owner, grant("x")) },
		},
		"granted in the same batch": {
			wait: func(f *fixture) {
				f.receive(owner, offer("x", 1, ref(0, 1)))
				f.freeSlot()
				f.batch(owner, grant("x"))
			},
			late: func(f *fixture) { f.receive(owner, grant("x")) },
		},
		"offered in the same batch": {
			wait: func(f *fixture) {
				f.freeSlot()
				f.batch(owner, offer("x", 1, ref(0, 1)))
			},
			late: func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
		},
		"started": {
			wait: func(f *fixture) {
				f.freeSlot()
				f.receive(owner, offer("x", 1, ref(0, 1)))
			},
			late:    func(f *fixture) { f.receive(owner, offer("x", 1, ref(0, 1))) },
			started: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := occupied()
			test.wait(f)
			f.receive(other, message.Fence{Key: key("x"), Term: 2, Epoch: 5})
			replies := take[message.FenceReply](f)
			if len(replies) != 1 || replies[0].Fenced != 2 || (len(replies[0].Tasks) == 1) != test.started {
				t.Fatalf("fence replies are %+v", replies)
			}
			f.out = nil
			before := len(f.runs)
			test.late(f)
			if len(f.runs) == 1 {
				f.freeSlot()
			}
			test.late(f)
			f.tick(time.Second)
			if len(f.runs) != before {
				t.Errorf("%+v started after the fence", f.runs[before:])
			}
			if fetches := take[message.Fetch](f); len(fetches) > 0 {
				t.Errorf("%+v sent after the fence", fetches)
			}
		})
	}
}

// TestNewOwnerAfterFence guards against a fence that also keeps the new owner
// from offering what has not started.
func TestNewOwnerAfterFence(t *testing.T) {
	f := occupied()
	f.receive(owner, offer("x", 1, ref(0, 1)))
	f.receive(other, message.Fence{Key: key("x"), Term: 2, Epoch: 5})
	f.freeSlot()
	f.receive(other, offer("x", 2, ref(0, 1)))
	if len(f.runs) != 2 || f.runs[1].Key != key("x") {
		t.Errorf("runs are %+v", f.runs)
	}
}
