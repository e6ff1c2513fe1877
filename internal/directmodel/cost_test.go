package directmodel_test

import (
	"fmt"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/internal/directmodel"
)

// TestMessagesOfOneTaskJob guards against direct jobs that need as many messages as
// stored jobs, which are claimed first. The target for a one-task job is 4 messages,
// heartbeats included.
func TestMessagesOfOneTaskJob(t *testing.T) {
	const jobs = 400
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 4})
	s.Settle()
	sent := 0
	s.Drop = func(zinniasill.NodeID, zinniasill.NodeID) bool { sent++; return false }
	for i := range jobs {
		s.Submit(0, directmodel.Job(fmt.Sprint(i), 1, 60*time.Millisecond))
		s.Run(10 * time.Millisecond)
	}
	if sent > 4*jobs {
		t.Errorf("%d messages for %d jobs, want at most 4 each", sent, jobs)
	}
	noViolations(t, s)
}

// TestLoadReportsOfManyAgents guards against entries that receive a load report for each
// change at each agent: their cost would grow with the number of agents.
func TestLoadReportsOfManyAgents(t *testing.T) {
	const agents = 60
	s := directmodel.New(directmodel.Config{Entries: 2, Agents: agents})
	s.Settle()
	received := 0
	s.Drop = func(_, to zinniasill.NodeID) bool {
		if to == "entry-1" {
			received++
		}
		return false
	}
	for i := range 1000 {
		s.Submit(0, directmodel.Job(fmt.Sprint(i), 4, 20*time.Millisecond))
		s.Run(time.Millisecond)
	}
	// An entry requests 2,000 reports per second, and each agent answers 10 heartbeats.
	if limit := 2000 + agents*10; received > limit {
		t.Errorf("an idle entry received %d messages in a second, want at most %d", received, limit)
	}
	noViolations(t, s)
}
