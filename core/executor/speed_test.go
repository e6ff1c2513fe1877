package executor

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"zinniasill"
)

// endpointRuns are runs at an endpoint, one after the other.
type endpointRuns struct {
	// ratio is the ratio of run times to nominal ones.
	ratio float64
	count int
	every time.Duration
}

// TestSpeed guards against a speed that follows single long runs or a fault of some seconds,
// that is retained although the endpoint has changed for good, or that is reported as more
// certain than it is. 3 percent of the runs take seven times as long, and the errors of the
// estimates have a standard deviation of 0.4 of the logarithm.
func TestSpeed(t *testing.T) {
	const every = 40 * time.Millisecond
	tests := map[string]struct {
		runs []endpointRuns
		want float64
		// tolerance is the factor by which the result may differ.
		tolerance float64
	}{
		"fast":                 {[]endpointRuns{{0.7, 600, every}}, 0.7, 1.12},
		"slow":                 {[]endpointRuns{{1.7, 600, every}}, 1.7, 1.12},
		"a few runs":           {[]endpointRuns{{1.7, 16, every}}, 1.7, 1.5},
		"slow fault":           {[]endpointRuns{{1, 600, every}, {6.5, 100, every}}, 1, 1.25},
		"recovered":            {[]endpointRuns{{1, 600, every}, {6.5, 100, every}, {1, 200, every}}, 1, 1.15},
		"begun during fault":   {[]endpointRuns{{6.5, 100, every}, {1, 400, every}}, 1, 1.15},
		"slower for good":      {[]endpointRuns{{0.7, 600, every}, {1.7, 800, every}}, 1.7, 1.15},
		"much slower, lasting": {[]endpointRuns{{0.7, 600, every}, {5, 1500, every}}, 5, 1.2},
		"idle for an hour":     {[]endpointRuns{{1.7, 600, every}, {1.7, 1, time.Hour}}, 1.7, 1.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				sp, now := learn(seed, tt.runs)
				got := float64(sp.report(now).RunRatio) / permille
				if got > tt.want*tt.tolerance || got < tt.want/tt.tolerance {
					t.Errorf("ratio %.3f with seed %d, want %.3f", got, seed, tt.want)
				}
			}
		})
	}
}

// learn returns the estimate after the given runs.
func learn(seed uint64, phases []endpointRuns) (speed, time.Time) {
	random := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1000, 0)
	sp, job := speed{}, 0
	for _, phase := range phases {
		for range phase.count {
			now = now.Add(phase.every)
			took := 200 * time.Millisecond
			if random.IntN(100) < 3 {
				took *= 7
			}
			estimate := 200 * math.Exp(0.4*random.NormFloat64())
			job++
			sp.add(now, strconv.Itoa(job), time.Duration(float64(took)*phase.ratio), time.Duration(estimate*float64(time.Millisecond)))
		}
	}
	return sp, now
}

// TestSpeedUncertainty guards against estimates whose error exceeds their reported
// uncertainty by far, so that endpoints that are alike appear to differ.
func TestSpeedUncertainty(t *testing.T) {
	const seeds = 200
	for _, count := range []int{minSpeedRuns, 30, 100, 1000} {
		wrong := 0
		for seed := range uint64(seeds) {
			sp, now := learn(seed, []endpointRuns{{1, count, 40 * time.Millisecond}})
			report := sp.report(now)
			distance := math.Abs(math.Log(float64(report.RunRatio) / permille))
			if distance > 2*float64(report.Uncertainty)/permille {
				wrong++
			}
		}
		if wrong > seeds/10 {
			t.Errorf("%d of %d estimates after %d runs are wrong by more than twice their uncertainty", wrong, seeds, count)
		}
	}
}

// TestUnknownSpeed guards against a speed that is reported before it is known: from a few
// runs, from those of one job, or from runs without a useful estimate.
func TestUnknownSpeed(t *testing.T) {
	sp, now := learn(1, []endpointRuns{{1, minSpeedRuns - 1, time.Second}})
	if sp.report(now).Known() {
		t.Errorf("%+v was reported after %d runs", sp.report(now), minSpeedRuns-1)
	}
	for range 100 {
		sp.add(time.Unix(1000, 0), "7", 200*time.Millisecond, 200*time.Millisecond)
		sp.add(time.Unix(1000, 0), "none", time.Millisecond, 0)
		sp.add(time.Unix(1000, 0), "short", 5*time.Millisecond, time.Millisecond)
	}
	if sp.report(now).Known() {
		t.Errorf("%+v was reported after runs that must not count", sp.report(now))
	}
}

// TestSpeedOfIncarnation guards against a speed of an endpoint that is reported for its next
// incarnation, which may run on another machine.
func TestSpeedOfIncarnation(t *testing.T) {
	s := New(Config{Self: zinniasill.Node{ID: "agent", Incarnation: 1}})
	learned, now := learn(1, []endpointRuns{{1.7, 100, 40 * time.Millisecond}})
	for started := int64(1); started <= 2; started++ {
		s.Announce(now, Announcement{
			Incarnation: zinniasill.EndpointIncarnation{ID: "endpoint", StartedMillis: started}, Sequence: 1, Clock: time.Minute,
		})
		if speed := s.load(now).Speed; speed.Known() {
			t.Errorf("speed %+v at the start of incarnation %d", speed, started)
		}
		s.stats.speed = learned
		if speed := s.load(now).Speed; !speed.Known() {
			t.Errorf("no speed is reported for incarnation %d", started)
		}
		s.EndpointLeft(now, "endpoint")
		s.loseEndpoint(now, zinniasill.ReasonEndpointLost, "endpoint-replaced")
	}
}
