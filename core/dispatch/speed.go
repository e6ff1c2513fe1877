package dispatch

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"zinniasill/core/message"
)

const (
	// speedInterval is the interval at which the speeds of the agents are compared. They
	// change slowly.
	speedInterval = 100 * time.Millisecond
	// speedRecordInterval is the minimum time between two decision lines on the comparison.
	speedRecordInterval = 2 * time.Second
	// minSpeedDifference is the difference of the logarithms of two speeds up to which
	// they count as about equal. It keeps endpoints that are alike, or nearly so, from
	// being preferred by errors of the estimates.
	minSpeedDifference = 0.2
	// speedCertainty is the multiple of the uncertainty of a speed up to which a
	// difference counts as an error of the estimate.
	speedCertainty = 3
	// faultDifference is the difference of the logarithms of two speeds, a factor of 4, from
	// which the slower endpoint is taken for faulty: the current slowdown decides, because
	// it decays, so that the endpoint is soon tried again.
	faultDifference = 1.39
	// maxLogSpeed limits the logarithm of a reported ratio, a factor of 20.
	maxLogSpeed = 3.0
	// waitRisk is the multiple of the expected wait with which waiting for a faster
	// endpoint is compared to a free one: other entries may take its capacity first.
	waitRisk = 2
	// minYieldRatio is the least ratio between the slowest and the fastest endpoint for
	// tasks to leave the faster ones to others. Below it, that gains less than it costs.
	minYieldRatio = 1.5
	// contendedPercent is the share of their CPU that the faster endpoints must have free
	// for tasks of all kinds to be placed there.
	contendedPercent = 10
	// runVariation is the factor by which a run may exceed its expected time for the task
	// to leave faster endpoints to others: estimates are rough.
	runVariation = 1.5
	// yieldPenalty is the extra time counted for a faster endpoint if a task is to leave
	// it to others.
	yieldPenalty = 20 * time.Millisecond
)

// speeds are the speeds of the endpoints as compared last.
type speeds struct {
	comparedAt time.Time
	// runFactors are the expected ratios of run time to estimate of the agents whose
	// endpoints differ from the median, which is the ratio at all others. If none differs,
	// the median does not matter and is 1.
	runFactors map[*agent]float64
	median     float64
	// recorded is the number of agents that differed when that was last recorded.
	recorded   int
	recordedAt time.Time
}

// compareSpeeds compares the speeds that agents have reported, unless it did so recently.
func (d *Dispatcher) compareSpeeds(now time.Time) {
	if d.speeds.median > 0 && now.Sub(d.speeds.comparedAt) < speedInterval {
		return
	}
	d.speeds.comparedAt = now
	d.speeds.median = 1
	d.speeds.runFactors = nil
	if d.cfg.IgnoreSpeed {
		return
	}
	known := d.knownSpeeds()
	if len(known) == 0 {
		return
	}
	median := known[len(known)/2]
	d.speeds.runFactors = map[*agent]float64{}
	for _, a := range d.sortedAgents {
		if a.incarnation == 0 || !a.load.Speed.Known() {
			continue
		}
		if difference := certainDifference(a.load.Speed, median); difference != 0 {
			d.speeds.runFactors[a] = math.Exp(median + difference)
		}
	}
	if len(d.speeds.runFactors) > 0 {
		d.speeds.median = math.Exp(median)
	}
	d.recordSpeeds(now, len(known), median)
}

// knownSpeeds returns the logarithms of the speeds that agents report, in order.
func (d *Dispatcher) knownSpeeds() []float64 {
	var known []float64
	for _, a := range d.sortedAgents {
		if a.incarnation != 0 && a.load.Speed.Known() {
			known = append(known, logSpeed(a.load.Speed))
		}
	}
	slices.Sort(known)
	return known
}

// recordSpeeds records the outcome of a comparison if the number of endpoints that differ has
// changed.
func (d *Dispatcher) recordSpeeds(now time.Time, known int, median float64) {
	differing := len(d.speeds.runFactors)
	if differing == d.speeds.recorded || now.Sub(d.speeds.recordedAt) < speedRecordInterval {
		return
	}
	d.speeds.recorded = differing
	d.speeds.recordedAt = now
	slowest := 0.0
	fastest := math.Inf(1)
	for _, factor := range d.speeds.runFactors {
		slowest = max(slowest, factor)
		fastest = min(fastest, factor)
	}
	if differing == 0 {
		fastest = 0
	}
	d.record("speeds-compared", slog.Int("agents", len(d.sortedAgents)), slog.Int("known", known),
		slog.Int("differing", differing), slog.Int64("median", int64(math.Exp(median)*permille)),
		slog.Int64("fastest", int64(fastest*permille)), slog.Int64("slowest", int64(slowest*permille)))
}

// certainDifference returns the difference of the logarithms of a speed and the median,
// reduced by what may be an error, 0 if it may be one as a whole or is due to a fault.
func certainDifference(speed message.EndpointSpeed, median float64) float64 {
	difference := logSpeed(speed) - median
	uncertainty := speedCertainty * float64(speed.Uncertainty) / permille
	threshold := minSpeedDifference*minSpeedDifference + uncertainty*uncertainty
	if difference*difference <= threshold || difference > faultDifference {
		return 0
	}
	return difference - threshold/difference
}

// logSpeed returns the logarithm of the ratio of run time to estimate.
func logSpeed(speed message.EndpointSpeed) float64 {
	value := math.Log(float64(speed.RunRatio) / permille)
	return min(max(value, -maxLogSpeed), maxLogSpeed)
}

// runFactor returns the lasting ratio of run time to estimate that is expected at an agent.
func (s *speeds) runFactor(a *agent) float64 {
	if factor, ok := s.runFactors[a]; ok {
		return factor
	}
	return s.median
}

// placementPass is what all candidates of a placement pass have in common.
type placementPass struct {
	now time.Time
	// unlike is set if the endpoints differ in speed. If they do not, tasks are placed as
	// if no agent had reported a speed.
	unlike bool
	// slowest is the highest of the lasting ratios of run time to estimate.
	slowest float64
	// contended is set if the faster endpoints have little free capacity.
	contended bool
}

// rank compares the candidates, marks the faster ones, and finds out whether their capacity
// is contended. Endpoints that are slowed down at present do not count as capacity.
func (p *placementPass) rank(candidates []*candidate) {
	fastest := math.Inf(1)
	for _, c := range candidates {
		fastest = min(fastest, c.lastingFactor)
		p.slowest = max(p.slowest, c.lastingFactor)
	}
	p.unlike = p.slowest > fastest
	if p.slowest < fastest*minYieldRatio {
		return
	}
	middle := math.Sqrt(fastest * p.slowest)
	free, capacity := int64(0), int64(0)
	for _, c := range candidates {
		c.faster = c.lastingFactor < middle
		if c.faster && c.runFactor == c.lastingFactor {
			free += max(c.freeCPU, 0)
			capacity += c.agent.load.Capacity.MilliCPU
		}
	}
	p.contended = free*100 < capacity*contendedPercent
}

// yields reports whether a task leaves the faster endpoints to others: their capacity is
// contended, and it meets its objective at the slowest.
func (p *placementPass) yields(t *task) bool {
	if !p.contended {
		return false
	}
	longest := float64(t.job.Steps[t.step].Estimate) * p.slowest * runVariation
	return time.Duration(longest) <= t.timeLeft(p.now)
}

// timeLeft returns the time within which the task must end for its job to meet the
// objective.
func (t *task) timeLeft(now time.Time) time.Duration {
	return t.latestStart().Sub(now) + t.job.Steps[t.step].Estimate
}

// option is a candidate for one task.
type option struct {
	candidate *candidate
	wait      time.Duration
	// cost is the expected time until the task ends, plus penalties.
	cost time.Duration
}

// better returns the option that costs less.
func (o option) better(other option) option {
	if o.candidate == nil || other.cost < o.cost {
		return other
	}
	return o
}

// preferFree returns the option for a task, given the best of all and the best of those
// that have free capacity. A task never waits at the entry for a faster endpoint while
// another one is free: in a burst, the capacity that then stays unused is missing for other
// tasks. It waits in the queue of a faster one only if no free one meets its objective, and
// if the wait is worth it.
func (p *placementPass) preferFree(t *task, best, free option) option {
	if !p.unlike || free.candidate == nil || free.candidate == best.candidate || t.near(best) && !t.near(free) {
		return best
	}
	switch {
	case best.wait > maxQueuedWait, free.cost <= t.timeLeft(p.now), free.cost <= best.cost+(waitRisk-1)*best.wait:
		return free
	default:
		return best
	}
}

// near reports whether the task's data is at the endpoint.
func (t *task) near(o option) bool {
	label := t.job.Steps[t.step].NearLabel
	return label != "" && slices.Contains(o.candidate.agent.load.Labels, label)
}

// reserve reports whether a task waits for the endpoint with its data although another one has
// free capacity. Tasks behind it may then be placed, but not by the capacity that it waits for.
func (d *Dispatcher) reserve(t *task, best *candidate, candidates []*candidate) bool {
	if !best.pass.unlike {
		return false
	}
	for _, c := range candidates {
		if c != best && c.fits(t) && c.wait(t) <= maxQueuedWait {
			best.add(t)
			d.recordHeld(t, best, c)
			return true
		}
	}
	return false
}

// recordHeld records once for each task that it waits while another endpoint is free.
func (d *Dispatcher) recordHeld(t *task, best, free *candidate) {
	if t.held {
		return
	}
	t.held = true
	d.record("task-held", slog.String("job", t.job.ID), slog.Int("index", int(t.index)),
		slog.String("agent", string(best.agent.id)), slog.Duration("wait", best.wait(t)),
		slog.Int64("speed", int64(best.runFactor*permille)), slog.String("free-agent", string(free.agent.id)),
		slog.Int64("free-speed", int64(free.runFactor*permille)), slog.Duration("time-left", t.timeLeft(best.pass.now)),
		slog.Duration("report-age", best.pass.now.Sub(best.agent.lastReport)))
}
