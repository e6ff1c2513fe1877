package dispatch

import (
	"fmt"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/resource"
)

// TestPlansUnderOverload guards against an entry whose plans take all of its processor
// while many agents report and many tasks wait: it then falls silent, agents end its
// tasks, and what waits grows further.
func TestPlansUnderOverload(t *testing.T) {
	const (
		agents  = 60
		jobs    = 40
		reports = 4000 // in a second
		// A step of a plan takes 50 ns, and plans may take a quarter of a fifth of a core.
		maxSteps = int(50*time.Millisecond/(50*time.Nanosecond)) + 1
	)
	capacity := resource.Amount{MilliCPU: 32_000, MemoryMB: 1000}
	now := time.Unix(1000, 0)
	d := New(Config{Self: zinniasill.Node{ID: "entry", Incarnation: 1}})
	var entries []AgentEntry
	for i := range agents {
		entries = append(entries, AgentEntry{ID: zinniasill.NodeID(fmt.Sprintf("agent-%02d", i))})
	}
	d.SetAgents(now, entries)
	sent := time.Duration(0)
	report := func(i int, used int64) {
		sent += time.Microsecond
		d.Receive(now, message.Envelope{
			Version: message.Version, From: zinniasill.Node{ID: entries[i].ID},
			Body: message.Progress{Agent: 1, Entry: 1, Session: 2, SentAt: sent, Echo: sent, Load: message.EndpointLoad{
				Accepting: true, Kind: "text", Capacity: capacity,
				Used: resource.Amount{MilliCPU: used}, ReleaseRate: 100_000,
			}},
		})
		d.Flush(now)
	}
	for i := range entries {
		report(i, capacity.MilliCPU)
	}
	for i := range jobs {
		d.Submit(now, RequestID(i+1), Job{
			ID: fmt.Sprint(i), Kind: "text", Attempts: 1, Stretch: 1.6, Objective: time.Minute,
			Steps: []Step{{Count: 1, Need: resource.Amount{MilliCPU: 2900}, Estimate: 60 * time.Millisecond}},
		})
	}
	if len(d.unplaced) < jobs/2 {
		t.Fatalf("%d tasks wait, want %d or more", len(d.unplaced), jobs/2)
	}
	plans, last, steps := 0, d.planAfter, 0
	for i := range reports {
		now = now.Add(time.Second / reports)
		report(i%agents, capacity.MilliCPU)
		if d.planAfter != last {
			last = d.planAfter
			plans++
			steps += agents + len(d.unplaced)*sortSteps + agents
		}
	}
	if plans == 0 || steps > maxSteps {
		t.Errorf("%d plans of %d steps in a second, want some, of at most %d", plans, steps, maxSteps)
	}
}
