package dispatch

import (
	"slices"
	"time"

	"zinniasill/core/message"
	"zinniasill/core/rendezvous"
)

const (
	// spreadPenalty is the extra time counted for a fully used endpoint compared to an
	// idle one. It keeps tasks from piling up on a few endpoints while entries do not
	// yet know of each other's placements.
	spreadPenalty = 20 * time.Millisecond
	// slowdownTolerance is the multiple of the median slowdown up to which endpoints
	// count as equally slowed down at present. Estimates for single tasks are rough, and
	// waiting for a slightly faster endpoint makes jobs late. Lasting differences are
	// those between the reported speeds.
	slowdownTolerance = 1.5
	// remoteDomainPenalty is the extra time counted for an agent in another failure
	// domain, where messages take longer and traffic costs more.
	remoteDomainPenalty = 2 * time.Millisecond
	// maxSpreadJitter is the largest extra time that is drawn for each pair of task and
	// agent. Entries that decide at the same time, by the same reports, thus choose
	// different agents among those that are about equally good.
	maxSpreadJitter = 5 * time.Millisecond
	// failureRateThreshold is the failure rate, in thousandths, from which an endpoint
	// counts as failing. Two consecutive failures reach it. Single failures, and tasks
	// that fail everywhere, must not exclude an endpoint.
	failureRateThreshold = 400
	// failingPenalty is the extra time counted for a failing endpoint, so that it gets
	// work only when all others are very busy.
	failingPenalty = 2 * time.Second
	// avoidPenalty is the extra time counted for the agent where a task failed or that
	// returned it, so that the task is placed at another one.
	avoidPenalty = 2 * time.Second
	// remoteDataFactor is the factor by which the run time of a task grows if its data
	// is not at the endpoint.
	remoteDataFactor = 1.5
	// permille is the scale of ratios in load reports.
	permille = 1000
)

// candidate is the expected load of one agent during a placement pass.
type candidate struct {
	agent *agent
	local bool
	// freeCPU is the CPU that is neither in use nor assigned, in thousandths of a core.
	freeCPU int64
	queued  [message.Priorities]int64
	// runFactor is the expected ratio of run time to estimate, lastingFactor the same
	// without the current slowdown.
	runFactor, lastingFactor float64
	// faster is set if the endpoint is one of the faster ones.
	faster bool
	pass   *placementPass
	placed map[*job]map[int]int
}

// candidates returns the agents that may get tasks now.
func (d *Dispatcher) candidates(now time.Time) []*candidate {
	var candidates []*candidate
	median := d.medianSlowdown()
	d.compareSpeeds(now)
	pass := &placementPass{now: now}
	for _, a := range d.sortedAgents {
		if !a.inUse || a.incarnation == 0 || !a.load.Accepting || d.domainsOut[a.domain] || !a.responsive(now) {
			continue
		}
		c := &candidate{agent: a, local: a.domain == d.cfg.Domain, pass: pass, lastingFactor: d.speeds.runFactor(a)}
		c.runFactor = c.lastingFactor
		if a.load.Slowdown > 0 && median > 0 {
			slowdown := float64(a.load.Slowdown) / float64(median)
			c.runFactor = max(c.lastingFactor, d.speeds.median*slowdown/slowdownTolerance)
		}
		copy(c.queued[:], a.load.Queued)
		c.freeCPU = a.load.Capacity.MilliCPU - a.load.Used.MilliCPU - a.unreportedCPU()
		candidates = append(candidates, c)
	}
	pass.rank(candidates)
	return candidates
}

// medianSlowdown returns the median of the slowdowns that agents report, 0 if none does.
func (d *Dispatcher) medianSlowdown() int64 {
	var reported []int64
	for _, a := range d.sortedAgents {
		if a.incarnation != 0 && a.load.Slowdown > 0 {
			reported = append(reported, a.load.Slowdown)
		}
	}
	if len(reported) == 0 {
		return 0
	}
	slices.Sort(reported)
	return reported[len(reported)/2]
}

// choose returns the candidate with the lowest cost for a task, nil if no candidate
// fits. One with free capacity is preferred if the task meets its objective there.
func choose(t *task, candidates []*candidate) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	pass := candidates[0].pass
	yields := pass.yields(t)
	var best, free option
	for _, c := range candidates {
		if !c.fits(t) {
			continue
		}
		wait := c.wait(t)
		o := option{candidate: c, wait: wait, cost: wait + c.cost(t, yields)}
		best = best.better(o)
		if wait <= maxQueuedWait {
			free = free.better(o)
		}
	}
	return pass.preferFree(t, best, free).candidate
}

func (c *candidate) fits(t *task) bool {
	step := t.job.Steps[t.step]
	return t.suits(c.agent.load) && (step.PerEndpoint <= 0 || c.count(t) < step.PerEndpoint)
}

// suits reports whether an endpoint could run the task if it were idle.
func (t *task) suits(load message.EndpointLoad) bool {
	step := t.job.Steps[t.step]
	if load.Kind != t.job.Kind || !step.Need.Within(load.Capacity) {
		return false
	}
	return step.Label == "" || slices.Contains(load.Labels, step.Label)
}

// count returns the number of tasks of t's step that are at the agent or placed there.
func (c *candidate) count(t *task) int {
	count := c.placed[t.job][t.step]
	for other := range c.agent.tasks {
		if other.job == t.job && other.step == t.step {
			count++
		}
	}
	return count
}

// cost returns the expected run time of a task placed here, plus penalties. A task that
// yields leaves the faster endpoints to others.
func (c *candidate) cost(t *task, yields bool) time.Duration {
	step := t.job.Steps[t.step]
	factor := c.runFactor
	if yields {
		factor = max(factor, c.pass.slowest)
	}
	run := float64(step.Estimate) * factor
	if step.NearLabel != "" && !slices.Contains(c.agent.load.Labels, step.NearLabel) {
		run *= remoteDataFactor
	}
	cost := time.Duration(run)
	if yields && c.faster {
		cost += yieldPenalty
	}
	if capacity := c.agent.load.Capacity.MilliCPU; capacity > 0 {
		used := 1 - float64(c.freeCPU)/float64(capacity)
		cost += time.Duration(used * float64(spreadPenalty))
	}
	cost += c.jitter(t)
	if !c.local {
		cost += remoteDomainPenalty
	}
	if t.avoid == c.agent {
		cost += avoidPenalty
	}
	if c.agent.load.FailureRate >= failureRateThreshold {
		cost += failingPenalty
	}
	return cost
}

// jitter returns the part of maxSpreadJitter drawn for a task here.
func (c *candidate) jitter(t *task) time.Duration {
	score := rendezvous.Score(t.hash(), c.agent.hash)
	return time.Duration(score % uint64(maxSpreadJitter))
}

// wait returns how long a task placed here is expected to wait until running tasks have
// released the CPU that it and the tasks before it require.
func (c *candidate) wait(t *task) time.Duration {
	need := t.job.Steps[t.step].Need.MilliCPU
	priorityLevel := t.job.priorityLevel()
	before := int64(0)
	for _, queued := range c.queued[:priorityLevel+1] {
		before += queued
	}
	missing := before + need - c.freeCPU
	if missing <= 0 {
		return 0
	}
	return message.ReleaseTime(missing, c.agent.load.ReleaseRate)
}

// add records that the placement pass places a task here.
func (c *candidate) add(t *task) {
	c.freeCPU -= t.job.Steps[t.step].Need.MilliCPU
	if c.placed == nil {
		c.placed = map[*job]map[int]int{}
	}
	if c.placed[t.job] == nil {
		c.placed[t.job] = map[int]int{}
	}
	c.placed[t.job][t.step]++
}
