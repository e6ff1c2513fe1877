package directmodel_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/dispatch"
	"zinniasill/core/resource"
	"zinniasill/internal/directmodel"
)

// Times of a restart of everything after a power loss, as the log of one shows them, counted
// from the first request.
const (
	configurationDelay = 450 * time.Millisecond
	maxAgentDelay      = 900 * time.Millisecond
	restartLoad        = 2 * time.Second
)

// restartKind is one kind of job of the load that a restart meets.
type restartKind struct {
	priority, tasks int
	run             time.Duration
	perSecond       float64
}

var restartKinds = map[string]restartKind{
	"short":  {priority: 0, tasks: 8, run: 60 * time.Millisecond, perSecond: 206},
	"medium": {priority: 1, tasks: 2, run: 200 * time.Millisecond, perSecond: 600},
	"long":   {priority: 2, tasks: 4, run: 900 * time.Millisecond, perSecond: 37.5},
}

// tally counts the answers to one kind of job.
type tally struct {
	jobs, inTime, late, useless, refused, other int
	// wasted is the run time of the tasks of jobs without a useful answer, at most.
	wasted time.Duration
}

// restartEverything replays a restart of 8 entries and 69 agents under load.
// The agents of the failure domain lost, if one is given, do not return.
func restartEverything(t *testing.T, noWarmup bool, lost zinniasill.Domain) map[string]*tally {
	t.Helper()
	random := rand.New(rand.NewPCG(20261206, 1))
	s := directmodel.New(directmodel.Config{
		Entries: 8, Agents: 69, Capacity: resource.Amount{MilliCPU: 16_000, MemoryMB: 100_000}, NoWarmup: noWarmup,
	})
	for i := range s.Agents {
		if i%3 == 0 {
			s.Agents[i].Endpoint.Capacity.MilliCPU = 24_000
		}
		s.KillAgent(i)
		delay := time.Duration(random.Int64N(int64(maxAgentDelay)))
		if s.Domain(i) == lost {
			continue
		}
		s.After(delay, func() {
			s.RestartAgent(i)
			s.Announce(i)
		})
	}
	for i := range s.Entries {
		s.KillEntry(i)
		s.After(configurationDelay, func() { s.RestartEntry(i) })
	}
	targets, work := map[string]time.Duration{}, map[string]time.Duration{}
	tallies := map[string]*tally{}
	for _, name := range slices.Sorted(maps.Keys(restartKinds)) {
		kind := restartKinds[name]
		tallies[name] = &tally{}
		submitKind(s, name, kind, targets, work, tallies[name])
	}
	s.Run(restartLoad + 3*time.Second)
	for _, answer := range s.Answers {
		counted := tallies[strings.SplitN(answer.Job, "-", 2)[0]]
		target := targets[answer.Job]
		switch {
		case answer.Result == dispatch.Refused:
			counted.refused++
		case answer.Result != dispatch.Completed:
			counted.other++
			counted.wasted += work[answer.Job]
		case answer.Latency <= target:
			counted.inTime++
		case answer.Latency <= min(3*target, 1500*time.Millisecond):
			counted.late++
		default:
			counted.useless++
			counted.wasted += work[answer.Job]
		}
	}
	noViolations(t, s)
	return tallies
}

// submitKind submits the jobs of one kind. Those that arrive before the entries have a
// configuration are held until then.
func submitKind(s *directmodel.Simulation, name string, kind restartKind, targets, work map[string]time.Duration, counted *tally) {
	random := rand.New(rand.NewPCG(20261206, uint64(kind.run)))
	for at := time.Duration(0); at < restartLoad; at += time.Duration(random.ExpFloat64() / kind.perSecond * float64(time.Second)) {
		counted.jobs++
		job := directmodel.Job(fmt.Sprintf("%s-%d", name, counted.jobs), kind.tasks, time.Duration(float64(kind.run)*min(3, 0.4+0.6*random.ExpFloat64())))
		job.Priority = kind.priority
		job.Steps[0].Need.MilliCPU = 1600
		targets[job.ID] = time.Duration(1.6*float64(job.Steps[0].Estimate)) + job.Objective
		work[job.ID] = time.Duration(kind.tasks) * job.Steps[0].Estimate
		entry := random.IntN(len(s.Entries))
		arrivedAt := s.Now.Add(at)
		submitAt := at
		if at <= configurationDelay {
			job.ArrivedAt = arrivedAt
			submitAt = configurationDelay + time.Millisecond
		}
		s.After(submitAt, func() { s.Submit(entry, job) })
	}
}

// TestRestartOfEverything guards against jobs that are refused on the basis of the few
// agents that have reported first, although the others report while an answer is useful,
// and against jobs that are accepted for agents that do not return.
func TestRestartOfEverything(t *testing.T) {
	tests := map[string]struct {
		lost zinniasill.Domain
		// saved is the least share of refused jobs that the warm-up must save, in percent,
		// inTime the least number of answers in time, in percent of those without.
		saved, inTime int
	}{
		"all return":          {saved: 50, inTime: 100},
		"a domain stays away": {lost: "zone-1", inTime: 98},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			current := restartEverything(t, true, tt.lost)
			warmup := restartEverything(t, false, tt.lost)
			inTime, useful, refused := [2]int{}, [2]int{}, [2]int{}
			for kind := range restartKinds {
				t.Logf("%-6s without warm-up %+v, with %+v", kind, *current[kind], *warmup[kind])
				for i, counted := range []*tally{current[kind], warmup[kind]} {
					inTime[i] += counted.inTime
					useful[i] += counted.inTime + counted.late
					refused[i] += counted.refused
				}
			}
			t.Logf("in time %v, useful %v, refused %v", inTime, useful, refused)
			if inTime[1] < inTime[0]*tt.inTime/100 || useful[1] <= useful[0] {
				t.Errorf("answers in time %v, useful %v, want %d%% and more with warm-up", inTime, useful, tt.inTime)
			}
			if refused[1] > refused[0]*(100-tt.saved)/100 {
				t.Errorf("refused %v, want %d%% fewer", refused, tt.saved)
			}
		})
	}
}
