package executor_test

import (
	"slices"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/message"
	"zinniasill/core/resource"
)

// labeled is a supervisor whose endpoint has labels, and which has one session with an entry.
type labeled struct {
	*executor.Supervisor
	now time.Time
	// started is the start time of the incarnation that answers.
	started  int64
	commands uint64
	// starts are the jobs of the start orders, returned those of the returned tasks, by
	// assignment.
	starts   []string
	returned []uint64
	// startOutcome is the outcome of all start orders.
	startOutcome zinniasill.OrderOutcome
}

func newLabeled(labels []string) *labeled {
	l := &labeled{
		Supervisor: executor.New(executor.Config{Self: zinniasill.Node{ID: "agent", Incarnation: 1}}),
		now:        time.Unix(1000, 0), startOutcome: zinniasill.OrderAccepted,
	}
	l.boot(labels)
	l.step(0)
	l.receive(message.Assign{Entry: 1, Session: 1})
	l.step(10 * time.Millisecond)
	return l
}

// boot announces a new incarnation, which answers from now on.
func (l *labeled) boot(labels []string) {
	l.started++
	l.Announce(l.now, executor.Announcement{
		Incarnation: zinniasill.EndpointIncarnation{ID: "endpoint", StartedMillis: l.started}, Sequence: 1,
		Capacity: resource.Amount{MilliCPU: 1000, MemoryMB: 10}, Labels: labels, Clock: time.Minute,
	})
}

func (l *labeled) receive(body message.Assign) {
	l.Receive(l.now, message.Envelope{Version: message.Version, From: zinniasill.Node{ID: "entry"}, Body: body})
}

// offer assigns one task, whose assignment has the number of the command.
func (l *labeled) offer(job, label string) {
	l.commands++
	l.receive(message.Assign{Entry: 1, Agent: 1, Session: 1, Echo: 5 * time.Millisecond, First: l.commands, Commands: []message.Command{{
		Offer: &message.JobOffer{
			Job: job, Tasks: []message.AssignedTask{{Attempt: 1, Assignment: l.commands}}, Need: resource.Amount{MilliCPU: 10},
			Estimate: time.Second, Slack: time.Minute, Label: label,
		},
	}}})
}

// step answers all calls and advances the time.
func (l *labeled) step(length time.Duration) {
	l.now = l.now.Add(length)
	l.Tick(l.now)
	l.Flush(l.now)
	for calls := l.Calls(); len(calls) > 0; calls = l.Calls() {
		for _, call := range calls {
			answer := zinniasill.OrderResult{Outcome: zinniasill.OrderAccepted, Clock: time.Minute + time.Second}
			switch {
			case call.Renew != nil && call.Renew.Wait > 0: // It waits for a completion.
			case call.Renew != nil:
				l.Renewed(l.now, call.ID, zinniasill.RenewResult{OrderResult: answer, StartedMillis: l.started})
			case call.Start != nil && call.Start.Incarnation.StartedMillis != l.started:
				answer.Outcome = zinniasill.OrderOtherIncarnation
				l.Answered(l.now, call.ID, answer)
			case call.Start != nil:
				l.starts = append(l.starts, call.Start.Task.Job)
				answer.Outcome = l.startOutcome
				l.Answered(l.now, call.ID, answer)
			default:
				l.Answered(l.now, call.ID, answer)
			}
		}
	}
	l.Flush(l.now)
	for _, env := range l.Outbox() {
		for _, update := range env.Body.(message.Progress).Updates {
			if update.State == message.RunReturned && !slices.Contains(l.returned, update.Assignment) {
				l.returned = append(l.returned, update.Assignment)
			}
		}
	}
}

// TestLabelOfTask guards against a task that is started at an endpoint without the label that
// it requires, since the entry chose the agent by a report from before a restart.
func TestLabelOfTask(t *testing.T) {
	tests := map[string]struct {
		label  string
		labels []string
		starts bool
	}{
		"none required": {"", []string{"a"}, true},
		"present":       {"b", []string{"a", "b"}, true},
		"missing":       {"b", []string{"a"}, false},
		"no labels":     {"b", nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLabeled(test.labels)
			l.offer("j", test.label)
			l.step(time.Millisecond)
			if started := slices.Contains(l.starts, "j"); started != test.starts {
				t.Errorf("started: %t, want %t", started, test.starts)
			}
			if returned := len(l.returned) > 0; returned == test.starts {
				t.Errorf("returned: %t, want %t", returned, !test.starts)
			}
		})
	}
}

// TestQueueAfterRestartAsOtherKind guards against queued tasks that are started at the next
// incarnation of the endpoint although it has other labels.
func TestQueueAfterRestartAsOtherKind(t *testing.T) {
	tests := map[string]struct {
		outcome zinniasill.OrderOutcome
	}{
		"connection refused": {zinniasill.OrderUnreachable},
		"not sent":           {zinniasill.OrderNotSent},
		"other incarnation":  {zinniasill.OrderOtherIncarnation},
		"fenced":             {zinniasill.OrderFenced},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLabeled([]string{"a"})
			l.startOutcome = test.outcome
			l.offer("first", "a")
			l.step(time.Millisecond)
			l.offer("second", "a")
			l.startOutcome = zinniasill.OrderAccepted
			l.boot([]string{"b"})
			l.starts = nil
			for range 20 {
				l.step(10 * time.Millisecond)
			}
			if len(l.starts) > 0 {
				t.Errorf("started at an endpoint of another kind: %v", l.starts)
			}
			l.offer("third", "b")
			l.step(10 * time.Millisecond)
			if !slices.Equal(l.starts, []string{"third"}) {
				t.Errorf("starts %v, want that of the task for the new kind", l.starts)
			}
		})
	}
}
