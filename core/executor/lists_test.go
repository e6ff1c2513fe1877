package executor_test

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/message"
	"zinniasill/core/resource"
)

// supervised is a supervisor with one running task of the job "j", whose endpoint returns
// the given lists.
type supervised struct {
	*executor.Supervisor
	start, now time.Time
	lists      zinniasill.RenewResult
	stops      int // stop orders
}

func newSupervised() *supervised {
	start := time.Unix(1000, 0)
	s := &supervised{
		Supervisor: executor.New(executor.Config{Self: zinniasill.Node{ID: "agent", Incarnation: 1}}), start: start, now: start,
	}
	s.Announce(s.now, executor.Announcement{
		Incarnation: zinniasill.EndpointIncarnation{ID: "endpoint", StartedMillis: 1}, Sequence: 1,
		Capacity: resource.Amount{MilliCPU: 1000, MemoryMB: 10}, Clock: time.Minute,
	})
	s.advance(0)
	s.assign(message.Assign{Entry: 1, Session: 1})
	s.advance(10 * time.Millisecond)
	s.assign(message.Assign{Entry: 1, Agent: 1, Session: 1, Echo: 5 * time.Millisecond, First: 1, Commands: []message.Command{{
		Offer: &message.JobOffer{
			Job: "j", Tasks: []message.AssignedTask{{Attempt: 1, Assignment: 1}}, Need: resource.Amount{MilliCPU: 10},
			Estimate: time.Second, Slack: time.Minute,
		},
	}}})
	return s
}

func (s *supervised) assign(body message.Assign) {
	s.Receive(s.now, message.Envelope{Version: message.Version, From: zinniasill.Node{ID: "entry"}, Body: body})
}

// advance answers all calls and advances the time.
func (s *supervised) advance(length time.Duration) {
	s.now = s.now.Add(length)
	s.Tick(s.now)
	s.Flush(s.now)
	answer := zinniasill.OrderResult{Outcome: zinniasill.OrderAccepted, Clock: time.Minute + s.now.Sub(s.start)}
	for _, call := range s.Calls() {
		if call.Stop != nil {
			s.stops++
		}
		if call.Renew == nil {
			s.Answered(s.now, call.ID, answer)
			continue
		}
		lists := s.lists
		lists.OrderResult = answer
		s.Renewed(s.now, call.ID, lists)
	}
}

// returned reports whether a task has been returned.
func (s *supervised) returned() bool {
	s.Flush(s.now)
	for _, env := range s.Outbox() {
		for _, update := range env.Body.(message.Progress).Updates {
			if update.State == message.RunReturned {
				return true
			}
		}
	}
	return false
}

// TestOddRunInList guards against a run that is taken as ended, and started again elsewhere,
// because of an odd row in the list of runs.
func TestOddRunInList(t *testing.T) {
	task := zinniasill.TaskID{Job: "j"}
	tests := map[string]struct {
		lists    zinniasill.RenewResult
		returned bool
	}{
		"not listed": {returned: true},
		"listed":     {lists: zinniasill.RenewResult{Running: []zinniasill.RunningTask{{Task: task, Run: 1}}}},
		"unreadable": {lists: zinniasill.RenewResult{Unreadable: []zinniasill.TaskID{task}}},
		"listed with another run": {
			lists: zinniasill.RenewResult{Running: []zinniasill.RunningTask{{Task: task, Run: 1}, {Task: task, Run: 7}}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSupervised()
			s.advance(20 * time.Millisecond)
			s.lists = tt.lists
			for range 4 {
				s.advance(20 * time.Millisecond)
			}
			if got := s.returned(); got != tt.returned {
				t.Errorf("returned %t, want %t", got, tt.returned)
			}
		})
	}
}

// TestEchoFromFuture guards against a lease without end of an entry that echoes a report
// which was never sent.
func TestEchoFromFuture(t *testing.T) {
	s := newSupervised()
	s.lists = zinniasill.RenewResult{Running: []zinniasill.RunningTask{{Task: zinniasill.TaskID{Job: "j"}, Run: 1}}}
	s.advance(20 * time.Millisecond)
	s.assign(message.Assign{Entry: 1, Agent: 1, Session: 1, Echo: time.Hour})
	for range 100 {
		s.advance(20 * time.Millisecond)
	}
	if s.stops == 0 {
		t.Error("the run was not stopped after the end of its entry's lease")
	}
}

// TestReportAfterAdoption guards against an agent that reports to an entry only with its next
// heartbeat, because the last one arrived before the agent had adopted its endpoint.
func TestReportAfterAdoption(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &supervised{
		Supervisor: executor.New(executor.Config{Self: zinniasill.Node{ID: "agent", Incarnation: 1}}), start: start, now: start,
	}
	s.Tick(s.now)
	s.assign(message.Assign{Entry: 1, Session: 1, SentAt: time.Second})
	s.Flush(s.now)
	if out := s.Outbox(); len(out) != 0 {
		t.Fatalf("%d reports before the endpoint is adopted", len(out))
	}
	s.Announce(s.now, executor.Announcement{
		Incarnation: zinniasill.EndpointIncarnation{ID: "endpoint", StartedMillis: 1}, Sequence: 1,
		Capacity: resource.Amount{MilliCPU: 1000, MemoryMB: 10}, Clock: time.Minute,
	})
	s.advance(0)
	s.Flush(s.now)
	out := s.Outbox()
	if len(out) != 1 {
		t.Fatalf("%d reports after the endpoint is adopted, want 1", len(out))
	}
	report, _ := out[0].Body.(message.Progress)
	if out[0].To.ID != "entry" || report.Echo != time.Second || !report.Load.Accepting {
		t.Errorf("report %+v to %s", report, out[0].To.ID)
	}
}
