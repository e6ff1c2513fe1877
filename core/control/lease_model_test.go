package control

import (
	"testing"
	"time"

	"zinniasill/internal/explore"
)

const (
	// maxModelStates bounds the search. Reaching it fails the test.
	maxModelStates = 400_000
	// minModelStates is the number of states below which the model cannot have reached
	// the bound.
	minModelStates = 10_000
)

// TestLeaseModel guards against a node that acts on an old configuration under a valid
// lease for longer than the bound. It explores the real code of node and server. The
// bound checked here, 2 s, is stricter than the guaranteed 2 s x 1.02.
func TestLeaseModel(t *testing.T) {
	for name, rate := range map[string]int64{"slow node clock": 102, "equal clocks": 100, "fast node clock": 98} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := &modelConfig{rate: rate, bound: DefaultLeaseLength, horizon: 4 * quantum}
			report, err := explore.Run(explore.Config{Initial: newSimulation(cfg), MaxStates: maxModelStates})
			if err != nil {
				t.Fatal(err)
			}
			if report.Violation != nil {
				t.Fatalf("%v after %q", report.Violation.Error, report.Violation.Steps)
			}
			if report.States < minModelStates {
				t.Errorf("only %d states: the model does not reach the bound", report.States)
			}
			t.Logf("%d states, depth %d", report.States, report.Depth)
		})
	}
}

// TestLeaseModelFindsFaults guards against a model that does not detect faults in the
// lease or in the replies to renewals.
func TestLeaseModelFindsFaults(t *testing.T) {
	faults := map[fault]time.Duration{
		faultArrival:     bound,
		faultNoRead:      bound,
		faultEarlyRead:   bound,
		faultNotApplied:  bound,
		faultNoAllowance: DefaultLeaseLength,
	}
	for fault, bound := range faults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			cfg := &modelConfig{fault: fault, rate: 102, bound: bound, horizon: 4 * quantum}
			report, err := explore.Run(explore.Config{Initial: newSimulation(cfg), MaxStates: maxModelStates})
			if err != nil {
				t.Fatal(err)
			}
			if report.Violation == nil {
				t.Fatalf("the model does not detect the fault in %d states", report.States)
			}
			t.Logf("detected after %d states: %q", report.States, report.Violation.Steps)
		})
	}
}
