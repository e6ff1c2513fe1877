package job

import (
	"testing"

	"pgregory.net/rapid"

	"zinniasill"
)

// chaosRuns bounds the random runs until a fault must have been found.
const chaosRuns = 6000

// findFault runs random worlds with a fault until one breaks a guarantee.
func findFault(fault func(r *rules)) (run int, failure string) {
	for seed := range chaosRuns {
		gen := rapid.Custom(func(t *rapid.T) *world { return runChaos(t, fault) })
		w := gen.Example(seed)
		if len(w.failures) > 0 {
			return seed, w.failures[0]
		}
	}
	return chaosRuns, ""
}

// Guards against checks that would not notice a broken rule of the protocol.
func TestFaultsAreFound(t *testing.T) {
	cases := map[string]func(r *rules){
		"takeover without fencing": func(r *rules) {
			r.toFence = func(*record) []zinniasill.Node { return nil }
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
			r.tombstone = func() bool { return false }
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			run, failure := findFault(fault)
			if failure == "" {
				t.Fatalf("not found in %d runs", chaosRuns)
			}
			t.Logf("found in run %d: %s", run, failure)
		})
	}
}
