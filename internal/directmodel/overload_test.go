package directmodel_test

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/dispatch"
	"zinniasill/core/resource"
	"zinniasill/internal/directmodel"
)

// loadKind is a kind of job of a replayed load.
type loadKind struct {
	name     string
	priority int
	// tasks is the mean number of tasks, of which a job has four times as many at most.
	tasks     int
	run       time.Duration
	perSecond float64
}

// hardKinds are the kinds of job of the load that docs/hard-load.md describes, for a third of
// customer A's machines.
var hardKinds = []loadKind{
	{name: "short", priority: 0, tasks: 8, run: 60 * time.Millisecond, perSecond: 206.0 / 3},
	{name: "medium", priority: 1, tasks: 2, run: 200 * time.Millisecond, perSecond: 600.0 / 3},
	{name: "long", priority: 2, tasks: 4, run: 900 * time.Millisecond, perSecond: 37.5 / 3},
}

const (
	hardEntries = 3
	hardAgents  = 23
	// taskMilliCPU is the CPU of a task. Two thirds of the endpoints run 10 of them at once, a
	// third 15.
	taskMilliCPU = 1600
	answerWithin = 1500 * time.Millisecond
	// hardPercent is the share of the capacity that the load takes by itself, in percent.
	hardPercent = 59
)

// scenario is a load to replay.
type scenario struct {
	// factor multiplies the rate of a kind at a time since the beginning.
	factor func(kind string, at time.Duration) float64
	// fault, if set, is called in the middle.
	fault func(s *directmodel.Simulation)
	// busyEntry is the share of the jobs of the first entry, in percent, 0 for an equal one.
	busyEntry int
	// defers is set if the load falls soon enough for deferred jobs.
	defers bool
	// sustained is set if the load exceeds the capacity all the time.
	sustained bool
}

// times returns a load that takes a multiple of the capacity.
func times(multiple float64) func(string, time.Duration) float64 {
	return func(string, time.Duration) float64 { return multiple * 100 / hardPercent }
}

// kindResult is what became of the jobs of one kind.
type kindResult struct {
	jobs, inTime, late, useless, refused, unknown int
	// refusedLate were refused after more than 20 ms.
	refusedLate int
	// large are the largest tenth of the jobs, served those answered usefully.
	large, largeServed int
}

func (r kindResult) served() int { return r.inTime + r.late }

// replayResult is what was observed in a replay.
type replayResult struct {
	kinds map[string]*kindResult
	// wasted is the run time of tasks of jobs that were not answered usefully.
	wasted time.Duration
	// deferred and displaced count decisions.
	deferred, displaced int
}

// submittedJob is a job of a replay.
type submittedJob struct {
	kind           string
	tasks          int
	run            time.Duration
	target, useful time.Duration
}

// replayLength is the time in which jobs of a replay arrive.
const replayLength = 3 * time.Second

// replay replays a scenario with a policy.
func replay(t *testing.T, sc scenario, policy dispatch.OverloadPolicy, seed uint64) replayResult {
	t.Helper()
	result := replayResult{kinds: map[string]*kindResult{}}
	s := directmodel.New(directmodel.Config{
		Entries: hardEntries, Agents: hardAgents, Overload: policy,
		Capacity: resource.Amount{MilliCPU: 16_000, MemoryMB: 256_000},
		Log: func(_ time.Duration, _, decision string, _ []slog.Attr) {
			switch decision {
			case "job-deferred":
				result.deferred++
			case "job-displaced":
				result.displaced++
			}
		},
	})
	for i, a := range s.Agents {
		if i%3 == 2 {
			a.Endpoint.Capacity.MilliCPU = 24_000
		}
	}
	s.Settle()
	random := rand.New(rand.NewPCG(seed, 1))
	jobs := map[string]submittedJob{}
	var order []string
	if sc.fault != nil {
		s.After(replayLength/2, func() { sc.fault(s) })
	}
	const step = time.Millisecond
	for at := time.Duration(0); at < replayLength; at += step {
		for _, kind := range hardKinds {
			for range poisson(random, kind.perSecond*sc.factor(kind.name, at)*step.Seconds()) {
				id := fmt.Sprintf("%s-%d", kind.name, len(order))
				order = append(order, id)
				jobs[id] = submitDrawn(s, random, id, kind, sc.busyEntry)
			}
		}
		s.Run(step)
	}
	s.Run(2 * time.Second)
	result.count(s, jobs)
	noViolations(t, s)
	return result
}

// submitDrawn submits a job of a kind with a drawn size and run time.
func submitDrawn(s *directmodel.Simulation, random *rand.Rand, id string, kind loadKind, busyEntry int) submittedJob {
	const spread, sizeSpread = 0.4, 0.7
	run := time.Duration(float64(kind.run) * math.Exp(random.NormFloat64()*spread))
	estimate := time.Duration(float64(run) * math.Exp(random.NormFloat64()*spread))
	size := float64(kind.tasks) * math.Exp(random.NormFloat64()*sizeSpread-sizeSpread*sizeSpread/2)
	tasks := min(max(int(math.Round(size)), 1), 4*kind.tasks)
	entry := random.IntN(hardEntries)
	if drawn := random.IntN(100); busyEntry > 0 {
		if entry = 0; drawn >= busyEntry {
			entry = 1 + drawn%(hardEntries-1)
		}
	}
	job := directmodel.Job(id, tasks, estimate)
	job.Queue, job.Priority, job.AnswerWithin = kind.name, kind.priority, answerWithin
	job.Steps[0].Need = resource.Amount{MilliCPU: taskMilliCPU, MemoryMB: 100}
	s.SubmitRun(entry, job, run)
	target := time.Duration(job.Stretch*float64(estimate)) + job.Objective
	return submittedJob{kind: kind.name, tasks: tasks, run: run, target: target, useful: min(3*target, answerWithin)}
}

// poisson draws from a Poisson distribution with a small mean.
func poisson(random *rand.Rand, mean float64) int {
	count, product := 0, random.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= random.Float64()
	}
	return count
}

// count counts the answers.
func (r *replayResult) count(s *directmodel.Simulation, jobs map[string]submittedJob) {
	sizes := map[string][]int{}
	for _, kind := range hardKinds {
		r.kinds[kind.name] = &kindResult{}
	}
	for _, job := range jobs {
		r.kinds[job.kind].jobs++
		sizes[job.kind] = append(sizes[job.kind], job.tasks)
	}
	largest := map[string]int{}
	for kind, tasks := range sizes {
		slices.Sort(tasks)
		largest[kind] = tasks[len(tasks)*9/10]
	}
	served := map[string]bool{}
	starts := s.StartsByJob()
	for _, answer := range s.Answers {
		job := jobs[answer.Job]
		k := r.kinds[job.kind]
		switch {
		case answer.Result == dispatch.Refused:
			k.refused++
			if answer.Latency > 20*time.Millisecond {
				k.refusedLate++
			}
		case answer.Result != dispatch.Completed:
			k.unknown++
		case answer.Latency <= job.target:
			k.inTime++
		case answer.Latency <= job.useful:
			k.late++
		default:
			k.useless++
		}
		served[answer.Job] = answer.Result == dispatch.Completed && answer.Latency <= max(job.useful, job.target)
	}
	for id, job := range jobs {
		k := r.kinds[job.kind]
		if job.tasks >= largest[job.kind] {
			k.large++
			if served[id] {
				k.largeServed++
			}
		}
		if !served[id] {
			r.wasted += time.Duration(starts[id]) * job.run
		}
	}
}

func (r replayResult) log(t *testing.T, name string) {
	t.Helper()
	for _, kind := range hardKinds {
		k := r.kinds[kind.name]
		t.Logf("%-7s %-6s: %5d jobs, %5d in time, %4d late, %3d useless, %5d refused (%4d after 20 ms), %3d unknown; largest tenth %d of %d",
			name, kind.name, k.jobs, k.inTime, k.late, k.useless, k.refused, k.refusedLate, k.unknown, k.largeServed, k.large)
	}
	t.Logf("%-7s work wasted %v, %d deferred, %d displaced", name, r.wasted.Round(time.Millisecond), r.deferred, r.displaced)
}

func (r replayResult) totals() kindResult {
	var sum kindResult
	for _, k := range r.kinds {
		sum.jobs += k.jobs
		sum.inTime += k.inTime
		sum.late += k.late
		sum.refused += k.refused
		sum.refusedLate += k.refusedLate
	}
	return sum
}

// checkLarge fails the test if the largest tenth of a kind is served less than half as often
// as the kind. A few jobs are no evidence.
func (r replayResult) checkLarge(t *testing.T) {
	t.Helper()
	const evidence = 30
	for name, k := range r.kinds {
		if k.large >= evidence && 2*k.largeServed*k.jobs < k.served()*k.large {
			t.Errorf("%d of %d large %s jobs are served, %d of %d in all", k.largeServed, k.large, name, k.served(), k.jobs)
		}
	}
}

// scenarios are the loads that both policies are compared under.
var scenarios = map[string]scenario{
	"waves": {defers: true, factor: func(_ string, at time.Duration) float64 {
		return 1.3 * (1 + 0.8*math.Sin(2*math.Pi*at.Seconds()))
	}},
	"short bursts": {defers: true, factor: func(_ string, at time.Duration) float64 {
		if at%time.Second < 250*time.Millisecond {
			return 3.5
		}
		return 0.8
	}},
	"burst of one kind": {factor: func(kind string, at time.Duration) float64 {
		if kind == "medium" && at > time.Second && at < 2500*time.Millisecond {
			return 3.5
		}
		return 1
	}},
	"domain out during a burst": {
		factor: func(_ string, at time.Duration) float64 {
			if at > 1500*time.Millisecond && at < 3*time.Second {
				return 1.5
			}
			return 1
		},
		fault: func(s *directmodel.Simulation) { s.SetDomainOut(zinniasill.Domain("zone-0"), true) },
	},
	"half of the callers at one entry": {factor: times(0.9), busyEntry: 50},
	"1.2 times the capacity":           {factor: times(1.2), sustained: true},
	"1.5 times the capacity":           {factor: times(1.5), sustained: true},
	"3 times the capacity":             {factor: times(3), sustained: true},
}

// TestOverloadPolicies guards against jobs that are refused although they could have been
// answered late, against on-time jobs of the highest priority that are made late by them, and
// against work that is done in vain. It replays each load with both policies.
func TestOverloadPolicies(t *testing.T) {
	// Which jobs are served differs a little between any two replays.
	const tolerance = 0.97
	for name, sc := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := replay(t, sc, dispatch.RefuseLate, 1)
			after := replay(t, sc, dispatch.DeferLate, 1)
			before.log(t, "refuse")
			after.log(t, "defer")
			was, is := before.totals(), after.totals()
			if float64(is.inTime) < float64(was.inTime)*tolerance {
				t.Errorf("%d jobs in time, %d if late jobs are refused", is.inTime, was.inTime)
			}
			if float64(is.served()) < float64(was.served())*tolerance {
				t.Errorf("%d jobs answered usefully, %d if late jobs are refused", is.served(), was.served())
			}
			urgentWas, urgentIs := before.kinds["short"].inTime, after.kinds["short"].inTime
			if sc.sustained && float64(urgentIs) < float64(urgentWas)*tolerance {
				t.Errorf("%d jobs of priority 0 in time, %d if late jobs are refused", urgentIs, urgentWas)
			}
			if sc.sustained && after.wasted > before.wasted {
				t.Errorf("work wasted %v, %v if late jobs are refused", after.wasted, before.wasted)
			}
			if sc.defers && after.deferred == 0 {
				t.Error("no job was deferred")
			}
			after.checkLarge(t)
		})
	}
}
