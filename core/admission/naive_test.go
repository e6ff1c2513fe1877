package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
)

// naiveCompletion schedules the tasks one by one on the slot that is free first.
func naiveCompletion(slots, tasks int, backlog, run time.Duration) time.Duration {
	free := make([]time.Duration, slots)
	for i := range free {
		free[i] = backlog
	}
	last := time.Duration(0)
	for range tasks {
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		free[first] += run
		last = max(last, free[first])
	}
	return last
}

// TestFitsAgainstNaive guards against an estimate that takes a job which a
// schedule of its tasks cannot complete in time, and against one that refuses a
// job with more than one run time to spare. The schedule begins on slots whose
// backlog is waitMargin times the mean, which is the rule that Fits follows.
func TestFitsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		free := rapid.IntRange(0, slots).Draw(t, "free")
		tasks := rapid.IntRange(free+1, 600).Draw(t, "tasks")
		run := time.Duration(rapid.IntRange(1, 5000).Draw(t, "run")) * time.Millisecond
		backlog := time.Duration(rapid.IntRange(0, 20000).Draw(t, "backlog")) * time.Millisecond
		limit := time.Duration(rapid.IntRange(1, 60000).Draw(t, "limit")) * time.Millisecond
		estimate := Estimate{
			Load:    Load{Slots: slots, Free: free, Backlog: backlog * time.Duration(slots)},
			Tasks:   tasks,
			RunTime: RunTime{Mean: run, Learned: true},
		}
		naive := naiveCompletion(slots, tasks, backlog*waitMargin, run)
		switch fits := estimate.Fits(limit); {
		case fits && naive > limit:
			t.Fatalf("taken, but the schedule ends after %s", naive)
		case !fits && naive+run <= limit:
			t.Fatalf("refused, but the schedule ends after %s", naive)
		}
		if slack := estimate.Slack(limit); slack > 0 && naive+slack > limit {
			t.Fatalf("slack of %s, but the schedule ends after %s", slack, naive)
		}
	})
}

// TestQuotasAgainstNaive guards against tasks of a team that are forgotten or
// counted twice when jobs are admitted and end in any order.
func TestQuotasAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quotas := NewQuotas()
		naive := map[zinniasill.Team][]int{}
		teams := []zinniasill.Team{"atlas", "vellayil"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			team := rapid.SampledFrom(teams).Draw(t, "team")
			if jobs := naive[team]; len(jobs) > 0 && rapid.Bool().Draw(t, "end") {
				at := rapid.IntRange(0, len(jobs)-1).Draw(t, "job")
				quotas.Remove(team, jobs[at])
				naive[team] = append(jobs[:at:at], jobs[at+1:]...)
				continue
			}
			tasks := rapid.IntRange(1, 30).Draw(t, "tasks")
			quota := rapid.IntRange(1, 100).Draw(t, "quota")
			entries := rapid.IntRange(1, 4).Draw(t, "entries")
			sum := tasks
			for _, n := range naive[team] {
				sum += n
			}
			want := sum <= (quota+entries-1)/entries
			if got := quotas.Allows(team, tasks, quota, entries); got != want {
				t.Fatalf("%d tasks in flight: allowed %t, want %t", sum, got, want)
			}
			if want {
				quotas.Add(team, tasks)
				naive[team] = append(naive[team], tasks)
			}
		}
	})
}
