package directmodel_test

import (
	"fmt"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/internal/directmodel"
)

// TestMessagesOfOneTaskJob guards against jobs that are not stored and cost as many
// messages as stored ones, which are claimed first: 4 is the target for a one-task job,
// heartbeats included.
func TestMessagesOfOneTaskJob(t *testing.T) {
	const jobs = 400
	w := directmodel.New(directmodel.Config{Entries: 1, Agents: 4})
	w.Settle()
	sent := 0
	w.Cut = func(zinniasill.NodeID, zinniasill.NodeID) bool { sent++; return false }
	for i := range jobs {
		w.Submit(0, directmodel.Job(fmt.Sprint(i), 1, 60*time.Millisecond))
		w.Run(10 * time.Millisecond)
	}
	if sent > 4*jobs {
		t.Errorf("%d messages for %d jobs, want at most 4 each", sent, jobs)
	}
	noViolations(t, w)
}

// TestNewsOfManyAgents guards against entries that hear of each change at each of many
// agents: what they spend on that would grow with the number of agents.
func TestNewsOfManyAgents(t *testing.T) {
	const agents = 60
	w := directmodel.New(directmodel.Config{Entries: 2, Agents: agents})
	w.Settle()
	heard := 0
	w.Cut = func(_, to zinniasill.NodeID) bool {
		if to == "entry-1" {
			heard++
		}
		return false
	}
	for i := range 1000 {
		w.Submit(0, directmodel.Job(fmt.Sprint(i), 4, 20*time.Millisecond))
		w.Run(time.Millisecond)
	}
	// An entry wants 2,000 reports a second, and each agent answers 10 heartbeats.
	if limit := 2000 + agents*10; heard > limit {
		t.Errorf("an entry without work heard %d reports in a second, want at most %d", heard, limit)
	}
	noViolations(t, w)
}
