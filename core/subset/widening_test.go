package subset_test

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/subset"
)

// TestWidening guards against an entry that adds agents that are as full as its own, that
// adds more at each refused job, or that keeps them after a peak.
func TestWidening(t *testing.T) {
	const ms = time.Millisecond
	// step is an update, after a refused job if pressed is set.
	type step struct {
		at      time.Duration
		pressed bool
		free    bool
		want    int
	}
	tests := map[string]struct {
		available int
		steps     []step
	}{
		"no pressure":            {40, []step{{0, false, true, 0}, {time.Second, false, true, 0}}},
		"one step at a time":     {40, []step{{0, true, false, 6}, {50 * ms, true, true, 6}, {250 * ms, true, true, 6}, {300 * ms, true, true, 12}}},
		"added agents are full":  {40, []step{{0, true, false, 6}, {250 * ms, true, false, 0}, {time.Second, true, false, 0}, {1300 * ms, true, false, 6}}},
		"kept for a short pause": {40, []step{{0, true, false, 6}, {2 * time.Second, false, true, 6}}},
		"dropped when calm":      {40, []step{{0, true, false, 6}, {4 * time.Second, false, true, 0}}},
		"no more than available": {8, []step{{0, true, false, 6}, {250 * ms, true, true, 6}, {300 * ms, true, true, 8}, {600 * ms, true, true, 8}, {900 * ms, true, true, 8}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var w subset.Widening
			start := time.Unix(1000, 0)
			for _, s := range tt.steps {
				now := start.Add(s.at)
				if s.pressed {
					w.Press(now)
				}
				w.Update(now, tt.available, func(int, int) bool { return s.free })
				if w.Size() != s.want {
					t.Errorf("%d agents after %s, want %d", w.Size(), s.at, s.want)
				}
			}
		})
	}
}

// TestSpare guards against spare agents that the entry has already, that are out of
// service, or that are the same for all entries.
func TestSpare(t *testing.T) {
	all := subset.Membership{
		Entries: members("entry", 8, 3), Agents: members("agent", 69, 3),
		DomainsOut: map[zinniasill.Domain]bool{"zone-2": true},
	}
	first := map[zinniasill.NodeID]int{}
	for _, entry := range all.Entries {
		chosen := all.AgentsOf(entry)
		spare := all.Spare(entry, chosen)
		if len(chosen)+len(spare) != 46 {
			t.Errorf("%s: %d agents and %d spare ones, want 46 in all", entry.ID, len(chosen), len(spare))
		}
		for _, id := range spare {
			if chosen[id] {
				t.Errorf("%s: spare agent %s is in the set", entry.ID, id)
			}
		}
		if len(spare) > 0 {
			first[spare[0]]++
		}
	}
	for id, entries := range first {
		if entries > len(all.Entries)/2 {
			t.Errorf("%d entries add %s first", entries, id)
		}
	}
}
