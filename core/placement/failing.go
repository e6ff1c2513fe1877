package placement

import (
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// Limits of the detection of failing agents (outlier detection).
const (
	// minOutcomes is the number of outcomes of one profile that are needed to detect
	// a failing agent. With fewer, single bad tasks would eject agents.
	minOutcomes = 8
	// failingRatio is the ratio of failed outcomes from which an agent may be failing.
	failingRatio = 0.9
	// healthyRatio is the highest ratio of failed outcomes at the other agents for
	// which the failures are attributed to the agent. Above it, the job or the profile
	// fails everywhere.
	healthyRatio = 0.5
	// maxOutcomes is the number of outcomes at which the counts are halved, so that
	// recent outcomes have more weight than old ones.
	maxOutcomes = 64
	// probeInterval is the initial time between two probes of a failing agent. A failed
	// probe fails the job of a caller, so the interval doubles with each one, up to
	// maxProbeInterval.
	probeInterval    = 500 * time.Millisecond
	maxProbeInterval = 8 * time.Second
	// probeTimeout is the time after which a probe without an outcome is abandoned.
	probeTimeout = 5 * time.Second
)

// outcomeCounts counts recent outcomes of tasks, with exponential decay.
type outcomeCounts struct {
	failed    float64
	succeeded float64
}

func (c *outcomeCounts) add(ok bool) {
	if ok {
		c.succeeded++
	} else {
		c.failed++
	}
	if c.failed+c.succeeded >= maxOutcomes {
		c.failed /= 2
		c.succeeded /= 2
	}
}

func (c *outcomeCounts) total() float64 {
	return c.failed + c.succeeded
}

func (c *outcomeCounts) failureRatio() float64 {
	if c.total() == 0 {
		return 0
	}
	return c.failed / c.total()
}

// RecordOutcome counts the outcome of a task. An agent is marked as failing when it
// fails nearly all tasks of a profile that other agents complete. One success clears
// the mark.
func (v *Views) RecordOutcome(now time.Time, node zinniasill.Node, profile catalog.Profile, ok bool) {
	a := v.agent(node)
	if a == nil {
		return
	}
	own := a.outcomes[profile.Name]
	if own == nil {
		own = &outcomeCounts{}
		a.outcomes[profile.Name] = own
	}
	own.add(ok)
	if ok {
		a.Failing = false
		a.failedProbes = 0
		a.probing = false
		own.failed = 0
		return
	}
	if own.total() < minOutcomes || own.failureRatio() < failingRatio {
		return
	}
	// Tasks that were in flight when the agent was marked as failing are not probes.
	if a.Failing && a.probing {
		a.failedProbes++
		a.probing = false
	}
	a.Failing = a.Failing || v.othersSucceed(node, profile)
	a.probeAt = now.Add(a.probeBackoff())
}

// probeBackoff returns the time to wait before the next probe.
func (a *agent) probeBackoff() time.Duration {
	wait := probeInterval
	for range a.failedProbes {
		wait = min(2*wait, maxProbeInterval)
		if wait == maxProbeInterval {
			break
		}
	}
	return wait
}

// RescheduleProbe makes the next probe of a failing agent due after probeInterval. It
// is called when the agent returned a task that did not start.
func (v *Views) RescheduleProbe(now time.Time, node zinniasill.Node) {
	if a := v.agent(node); a != nil && a.Failing {
		a.probeAt = now.Add(probeInterval)
	}
}

// othersSucceed reports whether the other agents that are not failing complete most
// tasks of a profile.
func (v *Views) othersSucceed(node zinniasill.Node, profile catalog.Profile) bool {
	var others outcomeCounts
	for id, a := range v.agents {
		if id == node.ID || a.outcomes[profile.Name] == nil || a.Failing {
			continue
		}
		others.failed += a.outcomes[profile.Name].failed
		others.succeeded += a.outcomes[profile.Name].succeeded
	}
	return others.succeeded > 0 && others.failureRatio() <= healthyRatio
}
