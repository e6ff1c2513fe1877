package startspec_test

import (
	"os"
	"testing"

	"zinniasill/internal/explore"
	"zinniasill/internal/startspec"
)

// maxStates bounds the memory of a search.
const maxStates = 3_000_000

// TestNoSecondStart guards against a sequence of crashes, lost, repeated and
// reordered messages and takeovers that starts the task twice or makes a not-run
// answer false. The search visits every state within the bounds.
func TestNoSecondStart(t *testing.T) {
	tests := map[string]startspec.Config{
		"one attempt, both crash":     {Submissions: 2, EntryCrashes: 1, AgentCrashes: 1, Attempts: 1},
		"two attempts, no crash":      {Submissions: 2, EntryCrashes: 0, AgentCrashes: 0, Attempts: 2},
		"three submissions, no crash": {Submissions: 3, EntryCrashes: 0, AgentCrashes: 0, Attempts: 1},
	}
	if os.Getenv("ZINNIASILL_SOAK") != "" {
		tests["two attempts, an entry fails"] = startspec.Config{Submissions: 2, EntryCrashes: 1, Attempts: 2}
	}
	for name, cfg := range tests {
		t.Run(name, func(t *testing.T) {
			report, err := explore.Run(explore.Config{Initial: startspec.New(cfg), MaxStates: maxStates})
			if err != nil {
				t.Fatalf("after %d states: %v", report.States, err)
			}
			if report.Violation != nil {
				t.Fatalf("%v after %q", report.Violation.Error, report.Violation.Steps)
			}
			t.Logf("%d states, depth %d, bounds %+v", report.States, report.Depth, cfg)
		})
	}
}

// TestFindsFaults guards against a specification or search that is too weak to
// find known faults of such protocols.
func TestFindsFaults(t *testing.T) {
	tests := map[string]startspec.Fault{
		"takeover without a fence":           startspec.SkipFence,
		"offer repeated elsewhere":           startspec.ReofferUnanswered,
		"queued task started without grant":  startspec.StartQueued,
		"messages for an earlier life taken": startspec.IgnoreIncarnation,
		"lost agent taken for one that idle": startspec.MissingMeansNotRun,
		"grant forgotten by its owner":       startspec.ForgetGrant,
		"refusal without a tombstone":        startspec.RefuseWithoutTombstone,
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := startspec.Config{Submissions: 2, EntryCrashes: 1, AgentCrashes: 1, Attempts: 2, Fault: fault}
			report, err := explore.Run(explore.Config{Initial: startspec.New(cfg), MaxStates: maxStates})
			if report.Violation == nil {
				t.Fatalf("no violation in %d states (%v)", report.States, err)
			}
			t.Logf("%v in %d states by %q", report.Violation.Error, report.States, report.Violation.Steps)
		})
	}
}
