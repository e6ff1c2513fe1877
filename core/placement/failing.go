package placement

import (
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
)

// Detection of agents that fail nearly everything.
const (
	// minOutcomes is the number of outcomes of one profile before an agent is
	// judged. Fewer would eject agents for single bad tasks.
	minOutcomes = 8
	// failingPart is the part of failed outcomes from which an agent may be failing.
	failingPart = 0.9
	// healthyPart is the part of failed outcomes of the other agents up to which the
	// fault is the agent's. Above it the job or the profile fails everywhere.
	healthyPart = 0.5
	// windowOutcomes bounds the memory: counts are halved when they reach it.
	windowOutcomes = 64
	// probeEvery is the least time between two probes of a failing agent. Each probe
	// that fails costs a caller its job, so the time doubles up to probeMax.
	probeEvery = 500 * time.Millisecond
	probeMax   = 8 * time.Second
	// probeTimeout is the time after which a probe without an outcome is given up.
	probeTimeout = 5 * time.Second
)

// record counts recent outcomes.
type record struct {
	failed    float64
	succeeded float64
}

func (r *record) add(ok bool) {
	if ok {
		r.succeeded++
	} else {
		r.failed++
	}
	if r.failed+r.succeeded >= windowOutcomes {
		r.failed /= 2
		r.succeeded /= 2
	}
}

func (r *record) count() float64 {
	return r.failed + r.succeeded
}

func (r *record) failedPart() float64 {
	if r.count() == 0 {
		return 0
	}
	return r.failed / r.count()
}

// RecordOutcome counts the outcome of a task. An agent is failing when it fails nearly
// all tasks of a profile that others complete; one success ends that.
func (v *Views) RecordOutcome(now time.Time, node zinniasill.Node, profile catalog.Profile, ok bool) {
	a := v.agent(node)
	if a == nil {
		return
	}
	own := a.outcomes[profile.Name]
	if own == nil {
		own = &record{}
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
	if own.count() < minOutcomes || own.failedPart() < failingPart {
		return
	}
	// The tasks in flight when the agent was found to be failing are no probes.
	if a.Failing && a.probing {
		a.failedProbes++
		a.probing = false
	}
	a.Failing = a.Failing || v.othersSucceed(node, profile)
	a.probeAt = now.Add(a.probeWait())
}

// probeWait returns the time until the next probe.
func (a *agent) probeWait() time.Duration {
	wait := probeEvery
	for range a.failedProbes {
		wait = min(2*wait, probeMax)
		if wait == probeMax {
			break
		}
	}
	return wait
}

// RescheduleProbe ends a probe whose task did not start.
func (v *Views) RescheduleProbe(now time.Time, node zinniasill.Node) {
	if a := v.agent(node); a != nil && a.Failing {
		a.probeAt = now.Add(probeEvery)
	}
}

// othersSucceed reports whether the other agents complete tasks of a profile.
func (v *Views) othersSucceed(node zinniasill.Node, profile catalog.Profile) bool {
	var others record
	for id, a := range v.agents {
		if id == node.ID || a.outcomes[profile.Name] == nil || a.Failing {
			continue
		}
		others.failed += a.outcomes[profile.Name].failed
		others.succeeded += a.outcomes[profile.Name].succeeded
	}
	return others.succeeded > 0 && others.failedPart() <= healthyPart
}
