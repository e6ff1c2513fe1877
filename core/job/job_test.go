package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// requireNoFailures reports the violations that the simulation has detected as errors.
func (s *simulation) requireNoFailures(t *testing.T) {
	t.Helper()
	for _, failure := range s.failures {
		t.Error(failure)
	}
}

// TestNormalPath guards against fault-free jobs that take more than one round trip to claim,
// one to offer and the results, whose answer is not retained, or that leave a waiting
// caller or used quota behind.
func TestNormalPath(t *testing.T) {
	cases := map[string]struct{ tasks, agents, slots int }{
		"one task":        {1, 3, 10},
		"many tasks":      {530, 30, 10},
		"more than slots": {40, 3, 4},
		"one agent":       {5, 1, 2},
		"two agents":      {5, 2, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, c.agents, c.slots, 1)
			s.submit(s.entries[0], "a", "proof", c.tasks)
			s.runFor(2 * time.Second)
			s.requireNoFailures(t)
			if len(s.answers) != 1 || !s.answers[0].Complete {
				t.Fatalf("answers %+v", s.answers)
			}
			s.submit(s.entries[0], "a", "proof", c.tasks)
			s.requireNoFailures(t)
			if len(s.answers) != 2 || !s.answers[1].Complete {
				t.Fatalf("the answer was not retained: %+v", s.answers)
			}
			if !s.entries[0].Idle() {
				t.Fatal("not idle after the answer")
			}
			if got := s.entries[0].quotas; !got.Allows("team", 1, 1, 1) {
				t.Fatal("the quota was not released")
			}
		})
	}
}

// TestWaiters guards against callers that get no answer when other callers of the same job
// disconnect or when the entry restarts.
func TestWaiters(t *testing.T) {
	t.Run("abandoned", func(t *testing.T) {
		s := newSimulation(1, 3, 2, 1)
		s.submit(s.entries[0], "a", "proof", 2)
		s.submit(s.entries[0], "a", "proof", 2)
		s.entries[0].Abandon(s.now, s.openRequests[0].id)
		s.openRequests = s.openRequests[1:]
		s.runFor(time.Second)
		s.requireComplete(t, 1)
	})
	t.Run("abandoned by all", func(t *testing.T) {
		s := newSimulation(1, 3, 2, 1)
		s.submit(s.entries[0], "a", "proof", 2)
		s.entries[0].Abandon(s.now, s.openRequests[0].id)
		s.openRequests = nil
		s.runFor(time.Second)
		s.submit(s.entries[0], "a", "proof", 2)
		s.requireComplete(t, 1)
	})
	t.Run("restart", func(t *testing.T) {
		s := newSimulation(1, 3, 2, 1)
		s.submitAndPlace("a", 2)
		s.changeCatalog(func(cat *catalog.Catalog) { delete(cat.Nodes, entryNode(0).ID) })
		s.restart(s.entries[0])
		if got := s.answers[0]; got.Ran != zinniasill.RanUnknown || got.Retry != zinniasill.RetrySameKey {
			t.Fatalf("answer %+v", got)
		}
		s.answers = nil
		s.submit(s.entries[0], "a", "proof", 2)
		s.runFor(time.Second)
		s.requireComplete(t, 1)
	})
}

// TestDrain guards against a graceful shutdown that drops jobs in flight.
func TestDrain(t *testing.T) {
	s := newSimulation(1, 3, 2, 1)
	s.submitAndPlace("a", 2)
	s.entries[0].Drain(s.now)
	s.submit(s.entries[0], "b", "proof", 2)
	s.deliverAll()
	if s.entries[0].Idle() || len(s.answers) != 1 || s.answers[0].Code != zinniasill.ReasonShuttingDown {
		t.Fatalf("answers %+v", s.answers)
	}
	s.answers = nil
	s.runFor(time.Second)
	s.requireComplete(t, 1)
	if !s.entries[0].Idle() {
		t.Fatal("not idle")
	}
}
