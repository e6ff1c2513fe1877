package placement

import (
	"math/rand/v2"
	"time"

	"zinniasill"
)

// SlowStartWindow is the time over which the share of an agent that became eligible
// grows to a full one.
const SlowStartWindow = 2 * time.Second

// minShare keeps the first task of an agent in slow start possible.
const minShare = 0.05

// maxSamples bounds the random draws for one sample before the agents are
// searched in order.
const maxSamples = 8

// BetterOfTwo samples two agents and chooses the one that a task is expected to
// start on first. The choice costs the same for any number of agents, and it
// avoids the herding on one agent that a choice of the best of all causes when
// reports are old.
type BetterOfTwo struct {
	Rand *rand.Rand
}

// Pick implements zinniasill.Picker.
func (b *BetterOfTwo) Pick(now time.Time, agents []*zinniasill.AgentView, usable func(*zinniasill.AgentView) bool) int {
	first := b.sample(now, agents, usable, -1)
	if first < 0 {
		return -1
	}
	second := b.sample(now, agents, usable, first)
	if second >= 0 && score(now, agents[second]) < score(now, agents[first]) {
		return second
	}
	return first
}

// sample draws a usable agent other than the one at index not. Agents in slow
// start are passed over with a probability that falls with their age.
func (b *BetterOfTwo) sample(now time.Time, agents []*zinniasill.AgentView, usable func(*zinniasill.AgentView) bool, not int) int {
	if len(agents) == 0 {
		return -1
	}
	for range maxSamples {
		at := b.Rand.IntN(len(agents))
		if at == not || !usable(agents[at]) {
			continue
		}
		share := share(now, agents[at])
		if share >= 1 || b.Rand.Float64() < share {
			return at
		}
	}
	return scan(b.Rand.IntN(len(agents)), agents, usable, not)
}

// scan returns the first usable agent from index start on, in a circle. Agents
// that are not ready for a full share are taken too.
func scan(start int, agents []*zinniasill.AgentView, usable func(*zinniasill.AgentView) bool, not int) int {
	for offset := range agents {
		at := (start + offset) % len(agents)
		if at != not && usable(agents[at]) {
			return at
		}
	}
	return -1
}

// share returns the part of a full share of work that an agent gets, up to 1.
func share(now time.Time, agent *zinniasill.AgentView) float64 {
	age := now.Sub(agent.Joined)
	if agent.Joined.IsZero() || age >= SlowStartWindow {
		return 1
	}
	return max(minShare, float64(age)/float64(SlowStartWindow))
}

// staleAfter is the age from which a report is checked against the work that it
// announced. Agents report with every answer, but only to the entry that asks.
const staleAfter = 200 * time.Millisecond

// inUse estimates the slots in use and the work that waits or runs. Work that
// should have been done since the report does not count, and neither do the slots
// of a report whose work should all be done.
func inUse(now time.Time, agent *zinniasill.AgentView) (tasks int, work time.Duration) {
	tasks = agent.Busy + agent.Queued
	work = agent.QueuedWork + agent.RunningWork
	if !agent.Reported.IsZero() {
		age := now.Sub(agent.Reported)
		work = max(0, work-age*time.Duration(max(agent.Slots, 1)))
		if work == 0 && age > staleAfter {
			tasks = 0
		}
	}
	return tasks + agent.Unanswered, work + agent.UnansweredWork
}

// score orders agents: below 1 it is the part of the slots in use, from 1 on it
// is 1 plus the seconds until a slot is free for one more task.
func score(now time.Time, agent *zinniasill.AgentView) float64 {
	slots := max(agent.Slots, 1)
	tasks, work := inUse(now, agent)
	if tasks < slots {
		return float64(tasks) / float64(slots)
	}
	return 1 + work.Seconds()/float64(slots)
}

// Random chooses any usable agent. It is the baseline for measurements.
type Random struct {
	Rand *rand.Rand
}

// Pick implements zinniasill.Picker.
func (r *Random) Pick(_ time.Time, agents []*zinniasill.AgentView, usable func(*zinniasill.AgentView) bool) int {
	if len(agents) == 0 {
		return -1
	}
	for range maxSamples {
		at := r.Rand.IntN(len(agents))
		if usable(agents[at]) {
			return at
		}
	}
	return scan(r.Rand.IntN(len(agents)), agents, usable, -1)
}

// RoundRobin chooses the agents in turn. It is a baseline for measurements.
type RoundRobin struct {
	next int
}

// Pick implements zinniasill.Picker.
func (r *RoundRobin) Pick(_ time.Time, agents []*zinniasill.AgentView, usable func(*zinniasill.AgentView) bool) int {
	if len(agents) == 0 {
		return -1
	}
	// The turn moves by one whichever agent is usable. Moving on from the chosen
	// agent made the spares of each job pick out the same few agents for tasks.
	start := r.next % len(agents)
	r.next = start + 1
	return scan(start, agents, usable, -1)
}
