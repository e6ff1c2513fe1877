package directmodel_test

import (
	"testing"
	"time"

	"zinniasill/core/dispatch"
	"zinniasill/internal/directmodel"
)

// results returns the results of the answers to requests about a job, in order.
func results(s *directmodel.Simulation, job string) []dispatch.Result {
	var results []dispatch.Result
	for _, answer := range s.Answers {
		if answer.Job == job {
			results = append(results, answer.Result)
		}
	}
	return results
}

// starts returns how many runs have started, running how many are in progress.
func starts(s *directmodel.Simulation) (started, running int) {
	for _, a := range s.Agents {
		started += a.Endpoint.Starts
		running += a.Endpoint.Running()
	}
	return started, running
}

// TestCancelThroughOtherEntry guards against a cancellation that is acknowledged while the job
// runs on, since another entry than the asked one works on it; and against a late duplicate of
// the submission, at any entry, that starts the tasks of the cancelled job.
func TestCancelThroughOtherEntry(t *testing.T) {
	for name, cancelAt := range map[string]int{"same entry": 0, "other entry": 1} {
		t.Run(name, func(t *testing.T) {
			s := directmodel.New(directmodel.Config{Entries: 3, Agents: 3})
			s.Settle()
			job := directmodel.Job("a", 8, 7*time.Second)
			s.Submit(0, job)
			s.Run(500 * time.Millisecond)
			if _, running := starts(s); running != 8 {
				t.Fatalf("%d of 8 tasks run", running)
			}
			s.Entries[cancelAt].Cancel(s.Now, "a")
			s.Run(300 * time.Millisecond)
			before, running := starts(s)
			if running > 0 {
				t.Errorf("%d tasks still run 300 ms after the cancellation", running)
			}
			if got := results(s, "a"); len(got) != 1 || got[0] != dispatch.Failed {
				t.Errorf("the caller got %v, want the job to have failed", got)
			}
			for entry := range s.Entries {
				s.Run(3500 * time.Millisecond)
				s.Submit(entry, job)
			}
			s.Run(time.Second)
			if after, _ := starts(s); after != before {
				t.Errorf("%d tasks started after the cancellation", after-before)
			}
			if got := results(s, "a"); len(got) != 4 {
				t.Errorf("answers %v, want one to each duplicate", got)
			}
			noViolations(t, s)
		})
	}
}
