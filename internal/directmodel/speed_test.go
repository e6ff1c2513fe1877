package directmodel_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/dispatch"
	"zinniasill/core/message"
	"zinniasill/core/rendezvous"
	"zinniasill/core/resource"
	"zinniasill/internal/directmodel"
)

// speedKinds are the kinds of job of a speedLoad, by priority.
var speedKinds = []jobKind{
	{name: "short", tasks: 8, run: 51 * time.Millisecond, share: 24},
	{name: "medium", tasks: 2, run: 170 * time.Millisecond, share: 71},
	{name: "long", tasks: 4, run: 760 * time.Millisecond, share: 5},
}

const (
	speedAgents  = 9
	speedEntries = 3
	// speedWarmUp is the time in which agents learn the speeds before jobs count.
	speedWarmUp = 4 * time.Second
	speedLength = 8 * time.Second
	// roughness is the standard deviation of the logarithms of run times and of the errors
	// of estimates.
	roughness = 0.4
	// speedTaskMilliCPU is the CPU that a task needs, endpointMilliCPU that of an endpoint.
	speedTaskMilliCPU = 3300
	endpointMilliCPU  = 32_000
	// tailFactor is the multiple of the mean run time that a long run of its kind takes.
	tailFactor = 7
	slowFactor = 6.5
	slowTime   = 4 * time.Second
)

// speedLoad is a load on endpoints of different speed.
type speedLoad struct {
	// ratios are the ratios of run times to nominal ones at the endpoints of a failure
	// domain, in turn.
	ratios []float64
	// percent is the share of the capacity that the load takes.
	percent int
	// tailPercent is the share of long runs.
	tailPercent int
	// fault, if set, is called when the measured part begins.
	fault func(s *directmodel.Simulation)
	// slow makes the first endpoint slower by slowFactor for slowTime then.
	slow bool
	// rewrite, if set, returns what is sent instead of a message.
	rewrite func(env message.Envelope) message.Envelope
	seed    uint64
}

// speedJob is a job of a speedLoad.
type speedJob struct {
	kind jobKind
	// run is the nominal run time of its tasks, goal the objective of the job.
	run, goal time.Duration
	measured  bool
}

// speedResult is the number of measured jobs by kind.
type speedResult struct {
	jobs, inTime, late, notDone map[string]int
	// slowStarts are the tasks that the slow endpoint started while it was slow, starts
	// those that all endpoints started in that time.
	slowStarts, starts int
}

// run runs the load with one of the rules of placement.
func (l speedLoad) run(t *testing.T, ignoreSpeed bool) speedResult {
	t.Helper()
	s := directmodel.New(directmodel.Config{
		Entries: speedEntries, Agents: speedAgents, IgnoreSpeed: ignoreSpeed,
		Capacity: resource.Amount{MilliCPU: endpointMilliCPU, MemoryMB: 256_000},
	})
	s.Rewrite = l.rewrite
	rate := 0.0 // nominal run time that the endpoints do in a second
	for i, a := range s.Agents {
		a.Endpoint.RunRatio = l.ratios[i/3%len(l.ratios)]
		rate += math.Floor(endpointMilliCPU/speedTaskMilliCPU) / a.Endpoint.RunRatio
	}
	s.Settle()
	random := rand.New(rand.NewPCG(l.seed, 1))
	jobs := map[string]speedJob{}
	s.RunTime = func(task zinniasill.TaskID) time.Duration {
		job := jobs[task.Job]
		drawn := rendezvous.Score(rendezvous.Hash(task.Job), uint64(task.Index)+l.seed)
		if drawn%100 < uint64(l.tailPercent) {
			return tailFactor * job.kind.run
		}
		return job.run
	}
	interval := time.Duration(l.work() / (rate * float64(l.percent) / 100) * float64(time.Second))
	faulty, slow := false, speedResult{}
	for due, began := time.Duration(0), s.Now; due < speedWarmUp+speedLength; due += interval {
		for s.Now.Sub(began) < due {
			s.Run(500 * time.Microsecond)
		}
		if due >= speedWarmUp && !faulty {
			faulty = true
			l.injectFault(s, &slow)
		}
		submitRough(s, random, jobs, due >= speedWarmUp)
	}
	s.Run(4 * time.Second)
	noViolations(t, s)
	result := newSpeedResult(s, jobs)
	result.slowStarts, result.starts = slow.slowStarts, slow.starts
	return result
}

// injectFault injects the faults of the load, and counts the starts while an endpoint is
// slow.
func (l speedLoad) injectFault(s *directmodel.Simulation, result *speedResult) {
	if l.fault != nil {
		l.fault(s)
	}
	if !l.slow {
		return
	}
	slow := s.Agents[0].Endpoint
	count := func(sign int) {
		result.slowStarts += sign * slow.Starts
		for _, a := range s.Agents {
			result.starts += sign * a.Endpoint.Starts
		}
	}
	count(-1)
	slow.Faults.Slow = slowFactor
	s.After(slowTime, func() {
		slow.Faults.Slow = 0
		count(1)
	})
}

// work returns the mean nominal run time of a job's tasks, in seconds.
func (l speedLoad) work() float64 {
	sum := 0.0
	for _, kind := range speedKinds {
		sum += float64(kind.share*kind.tasks) / 100 * kind.run.Seconds()
	}
	return sum * (1 + (tailFactor-1)*float64(l.tailPercent)/100)
}

// submitRough submits a job of a random kind, whose run time varies and whose estimate is
// rough.
func submitRough(s *directmodel.Simulation, random *rand.Rand, jobs map[string]speedJob, measured bool) {
	drawn, priority := random.IntN(100), 0
	for drawn -= speedKinds[0].share; drawn >= 0; drawn -= speedKinds[priority].share {
		priority++
	}
	kind := speedKinds[priority]
	run := rough(random, kind.run)
	job := directmodel.Job(fmt.Sprintf("%s-%d", kind.name, len(jobs)), kind.tasks, rough(random, run))
	job.Priority = priority
	job.Steps[0].Need = resource.Amount{MilliCPU: speedTaskMilliCPU, MemoryMB: 100}
	goal := job.Steps[0].Estimate*16/10 + job.Objective
	jobs[job.ID] = speedJob{kind: kind, run: run, goal: goal, measured: measured}
	s.Submit(random.IntN(speedEntries), job)
}

func rough(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(random.NormFloat64()*roughness-roughness*roughness/2))
}

func newSpeedResult(s *directmodel.Simulation, jobs map[string]speedJob) speedResult {
	r := speedResult{jobs: map[string]int{}, inTime: map[string]int{}, late: map[string]int{}, notDone: map[string]int{}}
	for _, answer := range s.Answers {
		job := jobs[answer.Job]
		if !job.measured {
			continue
		}
		name := job.kind.name
		r.jobs[name]++
		r.jobs["all"]++
		count := r.late
		switch {
		case answer.Result != dispatch.Completed:
			count = r.notDone
		case answer.Latency <= job.goal:
			count = r.inTime
		}
		count[name]++
		count["all"]++
	}
	return r
}

func (r speedResult) log(t *testing.T, rule string) {
	t.Helper()
	for _, name := range []string{"short", "medium", "long", "all"} {
		jobs := float64(r.jobs[name])
		t.Logf("%-14s %-6s %5.0f jobs: %.3f in time, %.3f late, %.3f not completed", rule, name, jobs,
			float64(r.inTime[name])/jobs, float64(r.late[name])/jobs, float64(r.notDone[name])/jobs)
	}
}

// inTimeShare returns the share of jobs in time, in thousandths.
func (r speedResult) inTimeShare(kind string) int {
	return r.inTime[kind] * 1000 / r.jobs[kind]
}

// withoutSpeed returns a message as an agent of the previous version would send it.
func withoutSpeed(env message.Envelope) message.Envelope {
	if progress, ok := env.Body.(message.Progress); ok {
		progress.Load.Speed = message.EndpointSpeed{}
		env.Body = progress
	}
	return env
}

// TestPlacementBySpeed guards against endpoints of different speed that are taken for alike,
// so that long tasks end late at the slow ones, and against harm where endpoints are alike
// or their speeds are not known or change. The rule that ignores speeds gets the same load.
func TestPlacementBySpeed(t *testing.T) {
	unlike := []float64{0.7, 0.7, 1.7}
	tests := map[string]struct {
		load speedLoad
		// gain is the least difference in the share of jobs in time between the rules, in
		// thousandths, of all jobs and of the long ones.
		gain, longGain int
	}{
		"unlike": {
			load: speedLoad{ratios: unlike, percent: 60, tailPercent: 3},
			gain: 40, longGain: 40,
		},
		"unlike and busy": {
			load: speedLoad{ratios: unlike, percent: 85, tailPercent: 3},
			gain: 20, longGain: 20,
		},
		"alike": {
			load: speedLoad{ratios: []float64{1}, percent: 60},
		},
		"alike and busy": {
			load: speedLoad{ratios: []float64{1}, percent: 85},
		},
		"nearly alike": {
			load: speedLoad{ratios: []float64{1, 1, 1.3}, percent: 60},
		},
		"nearly alike and busy": {
			load: speedLoad{ratios: []float64{1, 1, 1.3}, percent: 85},
		},
		"agents of the previous version": {
			load: speedLoad{ratios: unlike, percent: 60, tailPercent: 3, rewrite: withoutSpeed},
		},
		"restarted at another speed": {
			load: speedLoad{ratios: unlike, percent: 60, tailPercent: 3, fault: func(s *directmodel.Simulation) {
				for i, a := range s.Agents {
					if i/3 == 1 {
						a.Endpoint.Crash(500 * time.Millisecond)
						a.Endpoint.RunRatio = 1.7
					}
					if i/3 == 2 {
						a.Endpoint.Crash(500 * time.Millisecond)
						a.Endpoint.RunRatio = 0.7
					}
				}
			}},
		},
		"slow for a while": {
			load: speedLoad{ratios: unlike, percent: 50, tailPercent: 3, slow: true},
		},
		"alike, one slow for a while": {
			load: speedLoad{ratios: []float64{1}, percent: 50, slow: true},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.load.seed = 1
			today, bySpeed := tt.load.run(t, true), tt.load.run(t, false)
			today.log(t, "ignoring speed")
			bySpeed.log(t, "by speed")
			t.Logf("%d starts at the slow endpoint ignoring speeds, %d by speed", today.slowStarts, bySpeed.slowStarts)
			if bySpeed.slowStarts*20 > bySpeed.starts {
				t.Errorf("the slow endpoint got %d of %d starts", bySpeed.slowStarts, bySpeed.starts)
			}
			if gain := bySpeed.inTimeShare("all") - today.inTimeShare("all"); gain < tt.gain {
				t.Errorf("%d thousandths more jobs in time, want %d", gain, tt.gain)
			}
			if gain := bySpeed.inTimeShare("long") - today.inTimeShare("long"); gain < tt.longGain {
				t.Errorf("%d thousandths more long jobs in time, want %d", gain, tt.longGain)
			}
		})
	}
}
