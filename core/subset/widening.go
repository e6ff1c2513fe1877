package subset

import (
	"cmp"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/rendezvous"
)

const (
	// widenStep is the number of agents added to a set at a time. A step adds about a
	// quarter of the usual set, so that few steps relieve an entry, and one step that
	// brings nothing costs little.
	widenStep = targetAgents / 4
	// widenInterval is the minimum time between two steps. In it the agents of a step
	// report their load, which takes a round trip between failure domains, and get work.
	widenInterval = 200 * time.Millisecond
	// retryDelay is the time after a step that brought nothing in which no other is tried.
	retryDelay = time.Second
	// calmPeriod is the time without pressure after which the added agents are dropped. It
	// is longer than the pauses between the arrivals of a burst.
	calmPeriod = 3 * time.Second
)

// Widening decides how many agents an entry uses beyond its set. Callers reach entries in
// uneven shares, so that the set of one entry may be full while others have free capacity.
// Such an entry adds agents step by step. A step whose agents had no free capacity when
// they were added is undone: if all agents are full, more of them only cost messages. The
// zero value is a set that is not widened.
type Widening struct {
	size       int
	pressureAt time.Time
	changedAt  time.Time
	// unjudged is set until the load of the agents of the last step is known. nextStep is
	// the earliest time of another step.
	unjudged bool
	nextStep time.Time
}

// Press records that the agents in use had no capacity for a job in time.
func (w *Widening) Press(now time.Time) {
	w.pressureAt = now
}

// Size returns the number of agents beyond the set.
func (w *Widening) Size() int {
	return w.size
}

// Update sets the size for the present load and reports whether it has changed. available
// is the number of agents that are not in the set, free reports whether agents had free
// capacity when they were added, by their position in the order of Spare.
func (w *Widening) Update(now time.Time, available int, free func(from, to int) bool) bool {
	former := w.size
	w.size = min(w.size, available)
	pressed := !w.pressureAt.IsZero() && now.Sub(w.pressureAt) <= widenInterval
	switch {
	case w.size > 0 && now.Sub(w.pressureAt) > calmPeriod:
		w.size = 0
	case now.Sub(w.changedAt) < widenInterval:
	case w.unjudged && w.size > 0:
		w.unjudged = false
		if from := max(w.size-widenStep, 0); !free(from, w.size) {
			w.size = from
			w.nextStep = now.Add(retryDelay)
		}
	case pressed && !now.Before(w.nextStep):
		w.size = min(w.size+widenStep, available)
		w.unjudged = true
	}
	if w.size == former {
		return false
	}
	w.changedAt = now
	return true
}

// Spare returns the agents in service that are not in the chosen set of an entry, in the
// order in which the entry adds them: those of its own failure domain first. Entries add
// different agents, because each has its own order.
func (m Membership) Spare(self Member, chosen map[zinniasill.NodeID]bool) []zinniasill.NodeID {
	type ranked struct {
		id     zinniasill.NodeID
		remote int
		score  uint64
	}
	var spare []ranked
	own := rendezvous.Hash(string(self.ID))
	for _, agent := range m.agentsInService() {
		if chosen[agent.ID] {
			continue
		}
		r := ranked{id: agent.ID, score: rendezvous.Score(rendezvous.Hash(string(agent.ID)), own)}
		if agent.Domain != self.Domain {
			r.remote = 1
		}
		spare = append(spare, r)
	}
	slices.SortFunc(spare, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]zinniasill.NodeID, 0, len(spare))
	for _, r := range spare {
		ids = append(ids, r.id)
	}
	return ids
}
