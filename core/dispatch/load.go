package dispatch

import (
	"slices"
	"time"

	"zinniasill/core/message"
)

const (
	// evenSpread is what a full endpoint counts as extra time against an empty one. It
	// keeps tasks from being stacked on a few endpoints while entries do not yet know
	// of each other's choices.
	evenSpread = 20 * time.Millisecond
	// soundSlowness is the multiple of the median slowness up to which endpoints count
	// as equal: estimates of single tasks are rough, and waiting for a slightly faster
	// endpoint makes jobs late.
	soundSlowness = 1.5
	// farPenalty is what a task at an agent of another failure domain counts as
	// extra time: a message takes longer there and its bytes cost more.
	farPenalty = 2 * time.Millisecond
	// failingFrom is the share of failures, in thousandths, from which an endpoint
	// counts as failing. Two failures in a row reach it; single ones, and tasks that
	// fail everywhere, must not take an endpoint out.
	failingFrom = 400
	// failingPenalty is the extra time of a failing endpoint, so that it gets work only
	// when all others are very busy.
	failingPenalty = 2 * time.Second
	// avoidPenalty keeps a returned task from going back where it came from.
	avoidPenalty = 2 * time.Second
	// remoteFactor is how much longer a task takes away from its data.
	remoteFactor = 1.5
	// busyWait is assumed for a full endpoint that reports nothing else.
	busyWait = 100 * time.Millisecond
)

// load is the expected load of one agent while a plan is made.
type load struct {
	agent *agent
	local bool
	// free is the processor that is neither in use nor spoken for, in thousandths of
	// a core.
	free   int64
	queued [message.Priorities]int64
	// slow is the slowness against the median of all agents.
	slow   float64
	placed map[*job]map[int]int
}

// loads returns the agents that may get work now.
func (d *Dispatcher) loads(now time.Time) []*load {
	var loads []*load
	median := d.medianSlowness()
	for _, a := range d.order {
		if a.life == 0 || !a.room.Accepting || d.domainsOut[a.domain] || now.Sub(a.heard) > UnresponsiveTimeout {
			continue
		}
		l := &load{agent: a, local: a.domain == d.cfg.Domain, slow: 1}
		if a.room.Slowdown > 0 && median > 0 {
			l.slow = float64(a.room.Slowdown) / float64(median)
		}
		copy(l.queued[:], a.room.Queued)
		l.free = a.room.Capacity.MilliCPU - a.room.Used.MilliCPU - a.pending()
		loads = append(loads, l)
	}
	return loads
}

// medianSlowness returns the median of what agents report, 0 if none does.
func (d *Dispatcher) medianSlowness() int64 {
	var known []int64
	for _, a := range d.order {
		if a.life != 0 && a.room.Slowdown > 0 {
			known = append(known, a.room.Slowdown)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// choose returns the load with the earliest expected end of a task, nil if none fits.
func choose(t *task, loads []*load) *load {
	var best *load
	var least time.Duration
	for _, l := range loads {
		if !l.fits(t) {
			continue
		}
		if cost := l.cost(t); best == nil || cost < least {
			best, least = l, cost
		}
	}
	return best
}

func (l *load) fits(t *task) bool {
	step := t.job.Steps[t.step]
	room := l.agent.room
	if room.Kind != t.job.Kind || !step.Need.Within(room.Capacity) {
		return false
	}
	if step.Label != "" && !slices.Contains(room.Labels, step.Label) {
		return false
	}
	return step.PerEndpoint <= 0 || l.count(t) < step.PerEndpoint
}

// count returns how many tasks of a step are at the agent.
func (l *load) count(t *task) int {
	count := l.placed[t.job][t.step]
	for other := range l.agent.tasks {
		if other.job == t.job && other.step == t.step {
			count++
		}
	}
	return count
}

// cost returns the expected time until a task ends here, with penalties.
func (l *load) cost(t *task) time.Duration {
	step := t.job.Steps[t.step]
	run := float64(step.Estimate) * max(l.slow/soundSlowness, 1)
	if step.NearLabel != "" && !slices.Contains(l.agent.room.Labels, step.NearLabel) {
		run *= remoteFactor
	}
	cost := l.wait(t) + time.Duration(run)
	if capacity := l.agent.room.Capacity.MilliCPU; capacity > 0 {
		used := 1 - float64(l.free)/float64(capacity)
		cost += time.Duration(used * float64(evenSpread))
	}
	if !l.local {
		cost += farPenalty
	}
	if t.avoid == l.agent {
		cost += avoidPenalty
	}
	if l.agent.room.FailureRate >= failingFrom {
		cost += failingPenalty
	}
	return cost
}

// wait returns how long a task is expected to wait here: until running tasks have
// given back what it and the tasks before it need.
func (l *load) wait(t *task) time.Duration {
	need := t.job.Steps[t.step].Need.MilliCPU
	level := t.job.level()
	before := int64(0)
	for _, queued := range l.queued[:level+1] {
		before += queued
	}
	missing := before + need - l.free
	if missing <= 0 {
		return 0
	}
	freeing := l.agent.room.ReleaseRate
	if freeing <= 0 {
		return busyWait
	}
	return time.Duration(float64(missing) / float64(freeing) * float64(time.Second))
}

// add counts a task that the plan places here.
func (l *load) add(t *task) {
	l.free -= t.job.Steps[t.step].Need.MilliCPU
	if l.placed == nil {
		l.placed = map[*job]map[int]int{}
	}
	if l.placed[t.job] == nil {
		l.placed[t.job] = map[int]int{}
	}
	l.placed[t.job][t.step]++
}
