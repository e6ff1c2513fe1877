package executor

import (
	"math"
	"time"

	"zinniasill/core/message"
)

// speed is what an endpoint's ends say about it.
type speed struct {
	// slowness is the mean run time by the estimate, 0 before the first end. What it is
	// above or below 1 fades with time, so that an endpoint that gets no work because it
	// was slow is tried again.
	slowness   float64
	slownessAt time.Time
	// failing is the share of failures among the last ends. It fades with time, so that
	// an endpoint that gets no work is tried again.
	failing   float64
	failingAt time.Time
}

const (
	// newEndShare is the weight of one end in the means, which so cover about the
	// last dozen ends.
	newEndShare = 0.15
	// newFailureShare is the weight of one end in the share of failures.
	newFailureShare = 0.25
	// failingHalf is the time in which the share of failures fades to a half.
	failingHalf = 1500 * time.Millisecond
	// overrunFrom is the multiple of the expected run time from which a run that has
	// not ended counts as an overrun.
	overrunFrom = 2.5
	// minSlowness is assumed of an endpoint whose tasks have all been faster.
	minSlowness = 0.5
	// thousand is the scale of shares in reports.
	thousand = 1000
	// slownessHalf is the time without an end in which an endpoint comes half way back to
	// counting as usual.
	slownessHalf = 1500 * time.Millisecond
	// maxRatio bounds what one run says: estimates are rough.
	maxRatio = 10.0
)

func (sp *speed) done(now time.Time, took, estimate time.Duration) {
	sp.fade(now)
	sp.failing *= 1 - newFailureShare
	sp.settle(now)
	if estimate > 0 {
		sp.note(float64(took) / float64(estimate))
	}
}

// settle lets the slowness come back to 1 with the time since the last end.
func (sp *speed) settle(now time.Time) {
	if sp.slowness > 0 {
		share := math.Exp2(-float64(now.Sub(sp.slownessAt)) / float64(slownessHalf))
		sp.slowness = 1 + (sp.slowness-1)*share
	}
	sp.slownessAt = now
}

func (sp *speed) failed(now time.Time) {
	sp.fade(now)
	sp.failing += (1 - sp.failing) * newFailureShare
}

// fade lets the share of failures shrink with the time since the last end.
func (sp *speed) fade(now time.Time) {
	if sp.failing > 0 {
		sp.failing *= math.Exp2(-float64(now.Sub(sp.failingAt)) / float64(failingHalf))
	}
	sp.failingAt = now
}

func (sp *speed) note(ratio float64) {
	ratio = min(ratio, maxRatio)
	if sp.slowness == 0 {
		sp.slowness = ratio
		return
	}
	sp.slowness += (ratio - sp.slowness) * newEndShare
}

// slow returns the slowness that new work has to expect. It answers endpoints that
// turn slow or hang while they look healthy: runs that are overdue count before they
// have ended.
func (s *Supervisor) slow(now time.Time) float64 {
	base := max(s.speed.slowness, minSlowness)
	overdue, sum := 0, 0.0
	for _, t := range s.active {
		if t.state != stateRunning || t.estimate <= 0 {
			continue
		}
		ratio := float64(now.Sub(t.started)) / float64(t.estimate)
		if ratio > overrunFrom*base {
			overdue++
			sum += min(ratio, maxRatio)
		}
	}
	if overdue == 0 {
		return s.speed.slowness
	}
	share := float64(overdue) / float64(len(s.active))
	return base + (sum/float64(overdue)-base)*share
}

// room returns the report on the endpoint.
func (s *Supervisor) room(now time.Time) message.EndpointLoad {
	s.speed.fade(now)
	if len(s.active) == 0 {
		s.speed.settle(now)
	}
	room := message.EndpointLoad{
		Accepting: s.open(now), Capacity: s.known.Capacity, Used: s.used,
		Kind: s.known.Kind, Domain: s.cfg.Domain, Labels: s.known.Labels,
		FailureRate: int64(s.speed.failing * thousand),
	}
	slowness := s.slow(now)
	room.Slowdown = int64(slowness * thousand)
	room.ReleaseRate = s.freeing(max(slowness, minSlowness))
	if len(s.queue) == 0 {
		return room
	}
	room.Queued = make([]int64, message.Priorities)
	for _, t := range s.queue {
		level := min(max(t.priority, 0), message.Priorities-1)
		room.Queued[level] += t.need.MilliCPU
	}
	return room
}

// freeing returns the processor that running tasks give back in a second. Short tasks
// free much of it, so a queue behind them is shorter than one of the same size behind
// long ones.
func (s *Supervisor) freeing(slowness float64) int64 {
	sum := 0.0
	for _, t := range s.active {
		run := max(t.estimate, time.Millisecond).Seconds() * slowness
		sum += float64(t.need.MilliCPU) / run
	}
	return int64(sum)
}
