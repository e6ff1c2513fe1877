package servemodel

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

const second = time.Second

// small is a system that runs in well under a second of computing.
func small(load Load) Config {
	load.Duration = 6 * second
	if load.JobSizes == nil {
		load.JobSizes = []int{1, 2, 3, 4, 60}
	}
	return Config{
		Seed: 11, Domains: 3, Agents: 6, Slots: 4, Entries: 2,
		Delay: 500 * time.Microsecond, Picker: BetterOfTwo, AnswerWithin: 4 * second, Load: load,
	}
}

// scenarios are the runs in which the guarantees are checked.
func scenarios() map[string]Config {
	moved := small(Load{Utilisation: 0.9})
	moved.Changes = []Change{{At: second, Out: true}, {At: 5 * second}}
	movedTwice := small(Load{Utilisation: 0.9})
	movedTwice.Changes = []Change{{At: second, Out: true}, {At: 2 * second, Domain: 1, Out: true}, {At: 3 * second}}
	killed := small(Load{Utilisation: 0.9})
	killed.Changes = []Change{{At: second, Kill: 1}, {At: 2 * second, Kill: 2}}
	failing := small(Load{Utilisation: 0.8})
	failing.FailAll = []int{1}
	short := small(Load{Utilisation: 0.8})
	short.DeclaredFactor = 0.1
	long := small(Load{Utilisation: 0.8})
	long.DeclaredFactor = 10
	burst := Load{Utilisation: 0.5, Burst: 6, BurstFrom: second, BurstTo: 3 * second}
	team := burst
	team.Teams, team.BurstTeam = 4, true
	wave := burst
	wave.CancelWave, wave.CancelAt = 0.8, 3*second
	return map[string]Config{
		"steady load":           small(Load{Utilisation: 0.8}),
		"three times capacity":  small(Load{Utilisation: 3}),
		"stragglers":            small(Load{Utilisation: 0.8, Stragglers: 0.05}),
		"burst":                 small(burst),
		"burst of one team":     small(team),
		"wave of cancellations": small(wave),
		"domain moved":          moved,
		"two domains moved":     movedTwice,
		"two agents die":        killed,
		"agent fails all":       failing,
		"declared too short":    short,
		"declared too long":     long,
	}
}

// Guards against double starts, partial answers, not-run answers for work that
// ran, starts in a domain out of service and callers without an answer.
func TestGuaranteesHoldInEveryScenario(t *testing.T) {
	for name, cfg := range scenarios() {
		for _, picker := range []Policy{BetterOfTwo, Random, RoundRobin} {
			t.Run(name+"/"+string(picker), func(t *testing.T) {
				cfg := cfg
				cfg.Picker = picker
				r := Run(cfg)
				if r.Doubled+r.Partial+r.FalseRefusals+r.LateStarts+r.Unanswered > 0 {
					t.Fatalf("doubled %d, partial %d, false not-run %d, late starts %d, unanswered %d",
						r.Doubled, r.Partial, r.FalseRefusals, r.LateStarts, r.Unanswered)
				}
				if r.Completed == 0 || r.Completed+r.Refused+r.Failed != r.Jobs {
					t.Fatalf("completed %d, refused %d, failed %d of %d jobs", r.Completed, r.Refused, r.Failed, r.Jobs)
				}
			})
		}
	}
}

// Guards against a run that depends on anything but its configuration, such as
// the order of a map.
func TestSameSeedGivesSameResult(t *testing.T) {
	for name, cfg := range scenarios() {
		t.Run(name, func(t *testing.T) {
			first, second := Run(cfg), Run(cfg)
			first.world, second.world = nil, nil
			if !reflect.DeepEqual(first, second) {
				t.Fatalf("first run %+v, second run %+v", first, second)
			}
		})
	}
	other := small(Load{Utilisation: 0.8})
	other.Seed++
	if Run(other).Messages == Run(small(Load{Utilisation: 0.8})).Messages {
		t.Fatal("another seed gives the same messages")
	}
}

// Guards against an ideal that is not one, and a model in which messages or tasks
// take no time. The order of arrival is only the best at p50 without large jobs.
func TestIdealIsNotBeatenAtTheMedian(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.8, 0.95} {
		for _, picker := range []Policy{BetterOfTwo, Random, RoundRobin} {
			single := small(Load{Utilisation: load, JobSizes: []int{1}})
			single.Picker = picker
			if ratio := Run(single).Ratio(0.5); !(ratio >= 1) {
				t.Errorf("one-task jobs at %g with %s: ratio %g", load, picker, ratio)
			}
			mixed := small(Load{Utilisation: load})
			mixed.Picker = picker
			if ratio := Run(mixed).RatioSmallFirst(0.5); !(ratio >= 1) {
				t.Errorf("mixed jobs at %g with %s: ratio to small jobs first %g", load, picker, ratio)
			}
		}
	}
}

// Guards against an ideal queue that leaves slots idle or mixes up its orders.
func TestIdealQueue(t *testing.T) {
	jobs := []arrival{
		{at: 0, tasks: []time.Duration{4, 4, 4}},
		{at: 1, tasks: []time.Duration{2}},
		{at: 50, tasks: []time.Duration{3}},
	}
	cases := map[string]struct {
		order func([]arrival, int) []time.Duration
		slots int
		want  []time.Duration
	}{
		"in order, one slot":    {idealInOrder, 1, []time.Duration{12, 13, 3}},
		"in order, two slots":   {idealInOrder, 2, []time.Duration{8, 5, 3}},
		"small first, one slot": {idealSmallFirst, 1, []time.Duration{14, 5, 3}},
		"enough slots":          {idealInOrder, 4, []time.Duration{4, 2, 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.order(jobs, c.slots); !slices.Equal(got, c.want) {
				t.Fatalf("responses %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against checks that can't fail: each fault is put into a run on purpose.
func TestChecksFindFaults(t *testing.T) {
	cases := map[string]struct {
		inject func(w *world)
		found  func(r *Result) int
	}{
		"agents that never learn of a domain change": {
			func(w *world) {
				for _, node := range w.agents {
					node.lease = &copyOfCatalog{current: w.catalog}
				}
				for _, node := range w.entries {
					node.lease = &copyOfCatalog{current: w.catalog}
				}
			},
			func(r *Result) int { return r.LateStarts },
		},
		"a second start": {
			func(w *world) {
				w.line.after(warmUp+5*second, func(now time.Time) {
					w.result.started(w.agents[1], now, zinniasill.Task{Key: w.jobs[0].key})
				})
			},
			func(r *Result) int { return r.Doubled },
		},
		"an answer without an output": {
			func(w *world) {
				w.line.after(warmUp+5*second, func(time.Time) { w.jobs[0].answer = &message.Answer{Complete: true} })
			},
			func(r *Result) int { return r.Partial },
		},
		"a false refusal": {
			func(w *world) {
				w.line.after(warmUp+5*second, func(time.Time) { w.jobs[0].answer = &message.Answer{Ran: zinniasill.NotRun} })
			},
			func(r *Result) int { return r.FalseRefusals },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := small(Load{Utilisation: 0.9})
			cfg.Changes = []Change{{At: second, Out: true}}
			w := newWorld(cfg)
			c.inject(w)
			if c.found(w.run()) == 0 {
				t.Fatal("the fault was not found")
			}
		})
	}
}

// Guards against policies that are not told apart by the model.
func TestBetterOfTwoIsBetterThanRandom(t *testing.T) {
	cfg := small(Load{Utilisation: 0.8, JobSizes: []int{1}})
	better := Run(cfg).Response(0.9)
	cfg.Picker = Random
	if random := Run(cfg).Response(0.9); better >= random {
		t.Fatalf("p90 %s, with random %s", better, random)
	}
}

// Guards against the collapse of goodput at overload: jobs were taken that missed
// their deadlines after their tasks had started.
func TestGoodputAtOverload(t *testing.T) {
	for name, sizes := range map[string][]int{"one-task jobs": {1}, "mixed jobs": nil} {
		t.Run(name, func(t *testing.T) {
			cfg := small(Load{Utilisation: 3, JobSizes: sizes})
			// A job of 60 tasks counts when it ends, so that short runs vary much.
			cfg.Load.Duration = 30 * second
			r := Run(cfg)
			if goodput := r.Goodput(2*second, 30*second); goodput < 0.9 {
				t.Fatalf("goodput %g of the capacity", goodput)
			}
			if r.Refused == 0 || r.Refusal(0.99) > 5*time.Millisecond {
				t.Fatalf("%d refusals, p99 %s", r.Refused, r.Refusal(0.99))
			}
		})
	}
}
