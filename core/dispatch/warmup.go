package dispatch

import (
	"log/slog"
	"slices"
	"time"

	"zinniasill"
)

const (
	// warmupTimeout is the time for which listed agents that have not reported count as
	// expected capacity: after the entry was given its first agents, and after the first
	// report that follows the loss of all agents. After a power loss, agents start within
	// about 0.6 s of each other.
	warmupTimeout = time.Second
	// warmupShare is the least part of the agents in use that must be missing, one in
	// warmupShare. With fewer missing, the reports that have arrived show the capacity.
	warmupShare = 8
	// firstReportDelay is the least wait that is expected of a job for which the agents that
	// have reported do not suffice. After a power loss, the first reports arrived 0.1 s after
	// an entry had learned of its agents.
	firstReportDelay = 100 * time.Millisecond
)

// reconsider returns the final expected wait and reason for refusing a job, given those by the
// capacity that agents have reported. A job whose request was held until its answer is no
// longer useful is refused before its lock is requested: then no task of it can have
// started, whereas a job that waits for its lock ends with an unknown outcome.
func (d *Dispatcher) reconsider(now time.Time, j *job, candidates []*candidate, wait time.Duration, reason zinniasill.Reason) (time.Duration, zinniasill.Reason) {
	switch {
	case !j.ArrivedAt.IsZero() && d.lastStart(now, j) < 0:
		return wait, zinniasill.ReasonDeadline
	case reason != "":
		return d.admitExpected(now, j, candidates, wait, reason)
	default:
		return wait, ""
	}
}

// expectedAgents returns the number of agents that are expected to report soon, 0 unless
// the dispatcher has just been given its first agents or has just regained some after the
// loss of all.
func (d *Dispatcher) expectedAgents(now time.Time, candidates []*candidate) int {
	if d.cfg.NoWarmup || len(candidates) == 0 && now.Sub(d.firstAgentAt) >= warmupTimeout {
		return 0
	}
	for _, c := range candidates {
		if now.Sub(c.agent.respondingSince) >= warmupTimeout {
			return 0
		}
	}
	expected, used := 0, 0
	for _, a := range d.sortedAgents {
		if !a.inUse || d.domainsOut[a.domain] {
			continue
		}
		used++
		if a.incarnation == 0 || !a.responsive(now) {
			expected++
		}
	}
	if expected*warmupShare < used {
		return 0
	}
	return expected
}

// admitExpected reconsiders a job that would be refused by the capacity that agents have
// reported. The job is accepted if its answer can still be useful with the capacity that
// is expected in addition: that of agents like those which have reported. Until one has,
// the capacity is unknown and taken to be sufficient. It returns the expected wait, and
// the reason given unless the job is accepted.
func (d *Dispatcher) admitExpected(now time.Time, j *job, candidates []*candidate, wait time.Duration, reason zinniasill.Reason) (time.Duration, zinniasill.Reason) {
	expected := d.expectedAgents(now, candidates)
	limit := d.lastStart(now, j)
	if expected == 0 || limit < 0 {
		return wait, reason
	}
	expectedWait := firstReportDelay
	if len(candidates) > 0 {
		expectedWait = max(expectedWait, d.expectedWait(now, j, candidates, expected))
	}
	if expectedWait > limit {
		return expectedWait, reason
	}
	d.record("job-awaits-agents", slog.String("job", j.ID), slog.String("reason", string(reason)),
		slog.Duration("reported-wait", wait), slog.Duration("wait", expectedWait), slog.Duration("limit", limit),
		slog.Int("agents", len(candidates)), slog.Int("expected", expected),
		slog.Int("unplaced", len(d.unplaced)), slog.Duration("age", now.Sub(j.arrivedAt)))
	return expectedWait, ""
}

// expectedWait returns the expected wait of a job's last task once the expected agents have
// reported. Endpoints that have just started release CPU at the rate at which they do when
// they are full, not at the one that the few running tasks give.
func (d *Dispatcher) expectedWait(now time.Time, j *job, candidates []*candidate, expected int) time.Duration {
	freeCPU, capacity := int64(0), int64(0)
	for _, c := range candidates {
		freeCPU += max(c.freeCPU, 0)
		capacity += c.agent.load.Capacity.MilliCPU
	}
	reported := int64(len(candidates))
	freeCPU += freeCPU * int64(expected) / reported
	capacity += capacity * int64(expected) / reported
	ready := j.ready()
	missing := d.backlog(now, j, candidates) - freeCPU
	for _, t := range ready {
		missing += j.Steps[t.step].Need.MilliCPU
	}
	if missing <= 0 || capacity <= 0 {
		return 0
	}
	run := meanRunTime(slices.Concat(d.unplaced, ready))
	return time.Duration(float64(missing) / float64(capacity) * float64(run))
}

// meanRunTime returns the mean estimate of tasks, weighted by the CPU that they require.
func meanRunTime(tasks []*task) time.Duration {
	sum, milliCPU := 0.0, 0.0
	for _, t := range tasks {
		step := t.job.Steps[t.step]
		sum += float64(step.Need.MilliCPU) * float64(step.Estimate)
		milliCPU += float64(step.Need.MilliCPU)
	}
	if milliCPU == 0 {
		return 0
	}
	return time.Duration(sum / milliCPU)
}
