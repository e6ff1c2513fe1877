package placement

import (
	"math/rand/v2"
	"time"

	"zinniasill"
)

// SlowStartWindow is the time in which the weight of an agent that became eligible
// grows to 1.
const SlowStartWindow = 2 * time.Second

// minWeight is the weight at the beginning of slow start. With 0, an agent would get no
// first task.
const minWeight = 0.05

// maxDraws is the number of random draws for one sample, after which the agents are
// searched in order.
const maxDraws = 8

// BetterOfTwo samples two agents at random and chooses the one that is expected to
// start a task earlier (power of two choices). The cost doesn't depend on the number of
// agents. Choosing the best of all agents would cause herding: with old load reports,
// many tasks go to the same agent.
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

// sample returns the index of a random usable agent other than the one at index
// exclude, or -1. Agents in slow start are accepted with the probability of their weight.
func (b *BetterOfTwo) sample(now time.Time, agents []*zinniasill.AgentView, usable func(*zinniasill.AgentView) bool, exclude int) int {
	if len(agents) == 0 {
		return -1
	}
	for range maxDraws {
		i := b.Rand.IntN(len(agents))
		if i == exclude || !usable(agents[i]) {
			continue
		}
		weight := weight(now, agents[i])
		if weight >= 1 || b.Rand.Float64() < weight {
			return i
		}
	}
	return scan(b.Rand.IntN(len(agents)), agents, usable, exclude)
}

// scan returns the index of the first usable agent other than the one at index exclude,
// or -1. It begins at index start, wraps around, and ignores the weights of slow start.
func scan(start int, agents []*zinniasill.AgentView, usable func(*zinniasill.AgentView) bool, exclude int) int {
	for offset := range agents {
		i := (start + offset) % len(agents)
		if i != exclude && usable(agents[i]) {
			return i
		}
	}
	return -1
}

// weight returns the slow start weight of an agent, from minWeight to 1.
func weight(now time.Time, agent *zinniasill.AgentView) float64 {
	age := now.Sub(agent.Joined)
	if agent.Joined.IsZero() || age >= SlowStartWindow {
		return 1
	}
	return max(minWeight, float64(age)/float64(SlowStartWindow))
}

// staleReportThreshold is the age above which a load report may be disregarded. Agents
// send a report with every reply, but only to the entry that sent the request.
const staleReportThreshold = 200 * time.Millisecond

// estimateLoad estimates the number of tasks at an agent and their remaining work, as
// the sum of expected run times. The work that the agent can have done since its report
// is subtracted. If none is left of a stale report, the tasks in it count as finished.
// Offers that the report can't include are added.
func estimateLoad(now time.Time, agent *zinniasill.AgentView) (tasks int, work time.Duration) {
	tasks = agent.Busy + agent.Queued
	work = agent.QueuedWork + agent.RunningWork
	if !agent.Reported.IsZero() {
		age := reportAge(now, agent)
		work = max(0, work-age*time.Duration(max(agent.Slots, 1)))
		if work == 0 && age > staleReportThreshold {
			tasks = 0
		}
	}
	return tasks + agent.Unanswered, work + agent.UnansweredWork
}

// score rates the load of an agent; lower is better. With a free slot it is the
// utilization, below 1. Otherwise it is 1 plus the expected wait for a slot in seconds.
func score(now time.Time, agent *zinniasill.AgentView) float64 {
	slots := max(agent.Slots, 1)
	tasks, work := estimateLoad(now, agent)
	if tasks < slots {
		return float64(tasks) / float64(slots)
	}
	return 1 + work.Seconds()/float64(slots)
}

// Random chooses a usable agent at random. It is a baseline for measurements.
type Random struct {
	Rand *rand.Rand
}

// Pick implements zinniasill.Picker.
func (r *Random) Pick(_ time.Time, agents []*zinniasill.AgentView, usable func(*zinniasill.AgentView) bool) int {
	if len(agents) == 0 {
		return -1
	}
	for range maxDraws {
		i := r.Rand.IntN(len(agents))
		if usable(agents[i]) {
			return i
		}
	}
	return scan(r.Rand.IntN(len(agents)), agents, usable, -1)
}

// RoundRobin chooses usable agents in turn. It is a baseline for measurements.
type RoundRobin struct {
	next int
}

// Pick implements zinniasill.Picker.
func (r *RoundRobin) Pick(_ time.Time, agents []*zinniasill.AgentView, usable func(*zinniasill.AgentView) bool) int {
	if len(agents) == 0 {
		return -1
	}
	// The turn advances by one per call. If it advanced to the agent after the chosen
	// one, the spare candidates of each job would direct its tasks to the same few
	// agents.
	start := r.next % len(agents)
	r.next = start + 1
	return scan(start, agents, usable, -1)
}
