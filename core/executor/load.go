package executor

import (
	"math"
	"time"

	"zinniasill/core/message"
)

// stats holds moving averages over an endpoint's completions.
type stats struct {
	// slowdown is the mean ratio of run time to estimate, 0 before the first completion.
	// It decays towards 1, so that an endpoint that gets no work because it was slow is
	// tried again.
	slowdown   float64
	slowdownAt time.Time
	// failureRate is the recent share of failed runs. It decays towards 0, so that an
	// endpoint that gets no work because of its failures is tried again.
	failureRate   float64
	failureRateAt time.Time
	speed         speed
}

const (
	// slowdownWeight is the weight of one completion in the mean slowdown, which thus
	// covers about the last dozen completions.
	slowdownWeight = 0.15
	// failureWeight is the weight of one completion in the failure rate.
	failureWeight = 0.25
	// failureHalfLife is the time in which the failure rate decays by half.
	failureHalfLife = 1500 * time.Millisecond
	// overrunThreshold is the ratio of run time to expected run time above which an
	// unfinished run counts as an overrun.
	overrunThreshold = 2.5
	// minSlowdown is the lowest slowdown that is assumed, even if all tasks ended
	// sooner.
	minSlowdown = 0.5
	// permille is the scale of ratios in load reports.
	permille = 1000
	// slowdownHalfLife is the time without a completion in which the slowdown decays
	// halfway to 1.
	slowdownHalfLife = 1500 * time.Millisecond
	// maxSlowdownRatio caps the ratio of a single run, because estimates are rough.
	maxSlowdownRatio = 10.0
)

func (st *stats) addSuccess(now time.Time, took, estimate time.Duration) {
	st.decayFailureRate(now)
	st.failureRate *= 1 - failureWeight
	st.decaySlowdown(now)
	if estimate > 0 {
		st.addRatio(float64(took) / float64(estimate))
	}
}

// decaySlowdown moves the slowdown towards 1 for the time since it was last updated.
func (st *stats) decaySlowdown(now time.Time) {
	if st.slowdown > 0 {
		share := math.Exp2(-float64(now.Sub(st.slowdownAt)) / float64(slowdownHalfLife))
		st.slowdown = 1 + (st.slowdown-1)*share
	}
	st.slowdownAt = now
}

func (st *stats) addFailure(now time.Time) {
	st.decayFailureRate(now)
	st.failureRate += (1 - st.failureRate) * failureWeight
}

// decayFailureRate reduces the failure rate for the time since it was last updated.
func (st *stats) decayFailureRate(now time.Time) {
	if st.failureRate > 0 {
		st.failureRate *= math.Exp2(-float64(now.Sub(st.failureRateAt)) / float64(failureHalfLife))
	}
	st.failureRateAt = now
}

func (st *stats) addRatio(ratio float64) {
	ratio = min(ratio, maxSlowdownRatio)
	if st.slowdown == 0 {
		st.slowdown = ratio
		return
	}
	st.slowdown += (ratio - st.slowdown) * slowdownWeight
}

// expectedSlowdown returns the slowdown to expect for new work. Runs that are overdue
// count before they end, so that an endpoint that becomes slow or hangs while it appears
// healthy is detected.
func (s *Supervisor) expectedSlowdown(now time.Time) float64 {
	base := max(s.stats.slowdown, minSlowdown)
	overdue, sum := 0, 0.0
	for _, t := range s.active {
		if t.state != stateRunning || t.estimate <= 0 {
			continue
		}
		ratio := float64(now.Sub(t.startedAt)) / float64(t.estimate)
		if ratio > overrunThreshold*base {
			overdue++
			sum += min(ratio, maxSlowdownRatio)
		}
	}
	if overdue == 0 {
		return s.stats.slowdown
	}
	share := float64(overdue) / float64(len(s.active))
	return base + (sum/float64(overdue)-base)*share
}

// load returns the load report for the endpoint.
func (s *Supervisor) load(now time.Time) message.EndpointLoad {
	s.stats.decayFailureRate(now)
	if len(s.active) == 0 {
		s.stats.decaySlowdown(now)
	}
	load := message.EndpointLoad{
		Accepting: s.acceptsWork(now), Capacity: s.announced.Capacity, Used: s.used,
		Kind: s.announced.Kind, Domain: s.cfg.Domain, Labels: s.announced.Labels,
		FailureRate: int64(s.stats.failureRate * permille), Speed: s.stats.speed.report(now),
	}
	slowdown := s.expectedSlowdown(now)
	load.Slowdown = int64(slowdown * permille)
	load.ReleaseRate = s.releaseRate(max(slowdown, minSlowdown))
	if len(s.queue) == 0 {
		return load
	}
	load.Queued = make([]int64, message.Priorities)
	for _, t := range s.queue {
		level := min(max(t.priority, 0), message.Priorities-1)
		load.Queued[level] += t.need.MilliCPU
	}
	return load
}

// releaseRate returns the CPU that running tasks release per second, in thousandths of a
// core. Short tasks release more than long ones, so the wait behind them is shorter for
// the same queue length.
func (s *Supervisor) releaseRate(slowdown float64) int64 {
	sum := 0.0
	for _, t := range s.active {
		run := max(t.estimate, time.Millisecond).Seconds() * slowdown
		sum += float64(t.need.MilliCPU) / run
	}
	return int64(sum)
}
