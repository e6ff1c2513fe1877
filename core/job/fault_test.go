package job

import (
	"testing"

	"pgregory.net/rapid"

	"zinniasill"
)

// maxChaosRuns is the number of random runs within which a fault must be detected.
const maxChaosRuns = 6000

// findFault runs random simulations with a fault until one violates a guarantee.
func findFault(fault func(r *rules)) (run int, failure string) {
	for seed := range maxChaosRuns {
		gen := rapid.Custom(func(t *rapid.T) *simulation { return runChaos(t, fault) })
		s := gen.Example(seed)
		if len(s.failures) > 0 {
			return seed, s.failures[0]
		}
	}
	return maxChaosRuns, ""
}

// TestFaultsAreDetected guards against checks of the simulation that do not detect a broken
// rule of the protocol.
func TestFaultsAreDetected(t *testing.T) {
	cases := map[string]func(r *rules){
		"takeover without fencing": func(r *rules) {
			r.fenceTargets = func(*record) []zinniasill.Node { return nil }
		},
		"unanswered offer is offered elsewhere": func(r *rules) {
			r.inDoubt = func(s taskState) bool { return s != taskOffered && inDoubt(s) }
		},
		"unanswered grant is offered elsewhere": func(r *rules) {
			r.inDoubt = func(s taskState) bool { return s != taskGranted && inDoubt(s) }
		},
		"no look-up in earlier epochs": func(r *rules) {
			r.lookUp = func(zinniasill.Epoch) bool { return false }
		},
		"not-run without a tombstone": func(r *rules) {
			r.needsTombstone = func() bool { return false }
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			run, failure := findFault(fault)
			if failure == "" {
				t.Fatalf("fault not detected in %d runs", maxChaosRuns)
			}
			t.Logf("fault detected in run %d: %s", run, failure)
		})
	}
}
