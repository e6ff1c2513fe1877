package consensus

import (
	"testing"

	"zinniasill/internal/explore"
)

// maxModelStates bounds a search; exceeding it fails the test.
const maxModelStates = 200_000

// model is one search: the first state, the bounds, and what must be reached in
// some states for the search to be of use.
type model struct {
	from   func(*world) *world
	bounds bounds
	goal   func(*world) bool
}

var models = map[string]model{
	"any order": {
		formed, bounds{reorders: anyOrder, elections: 2}, secondLeader,
	},
	"elections and crashes": {
		formed, bounds{drops: 2, elections: 2, crashes: 2}, secondLeader,
	},
	"pre-vote": {
		formed, bounds{drops: 1, reorders: 1, elections: 2, crashes: 1, preVote: true}, secondLeader,
	},
	"replication and elections": {
		elect, bounds{drops: 1, elections: 1, proposals: 1, resends: 1, crashes: 1}, proposalCommitted,
	},
	"repetition": {
		elect, bounds{drops: 1, elections: 1, proposals: 1, repeats: 1, reorders: 1}, proposalCommitted,
	},
	"leader steps down": {
		elect, bounds{elections: 2, proposals: 1, stepDowns: 1}, proposalCommitted,
	},
	"reads": {
		elect, bounds{cuts: 1, elections: 1, proposals: 1, reads: 1}, secondLeader,
	},
	"lost disk": {
		afterLoss, bounds{drops: 1, elections: 1, crashes: 1, resends: 3}, replaced,
	},
	"disk lost while standing": {
		formed, bounds{drops: 2, elections: 2, losses: 1}, secondLeader,
	},
}

func secondLeader(w *world) bool { return len(w.leaders) > 1 }

func proposalCommitted(w *world) bool {
	for _, known := range w.committed {
		if known.entry[len(known.entry)-2] == 'p' {
			return true
		}
	}
	return false
}

// replaced reports whether a replica with a new instance is a voter and knows it.
func replaced(w *world) bool {
	for _, r := range w.replicas {
		if r.self.Incarnation > modelSize && r.membership().IsVoter(r.self) && r.membershipIndex() <= r.commit {
			return true
		}
	}
	return false
}

func (m model) run(t *testing.T, f faults) (explore.Report, int) {
	t.Helper()
	reached := 0
	w := m.from(newWorld(m.bounds, f))
	w.goal = m.goal
	w.reached = &reached
	report, err := explore.Run(explore.Config{Initial: w, MaxStates: maxModelStates})
	if err != nil {
		t.Fatalf("%v after %d states", err, report.States)
	}
	return report, reached
}

// TestModel guards against two leaders in a term, committed entries that are lost
// or changed, stale reads, and votes for a lost identity, in every order of steps
// within the bounds.
func TestModel(t *testing.T) {
	for name, m := range models {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report, reached := m.run(t, faults{})
			if report.Violation != nil {
				t.Fatalf("%v after %q", report.Violation.Error, report.Violation.Steps)
			}
			if reached == 0 {
				t.Fatalf("none of %d states reaches the goal of the model", report.States)
			}
			t.Logf("%d states, depth %d, goal reached in %d, bounds %+v", report.States, report.Depth, reached, m.bounds)
		})
	}
}

// TestModelFindsFaults guards against a model check that passes whatever the code
// does.
func TestModelFindsFaults(t *testing.T) {
	tests := map[string]struct {
		model  string
		faults faults
	}{
		"vote forgotten after a crash":              {"elections and crashes", faults{forgetVote: true}},
		"commit counted without persistence":        {"replication and elections", faults{skipWrites: true}},
		"commit counted with too small a quorum":    {"replication and elections", faults{smallQuorum: true}},
		"lost disk keeps its identity":              {"disk lost while standing", faults{keepsIdentity: true}},
		"read answered without a round of a quorum": {"reads", faults{blindReads: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report, _ := models[test.model].run(t, test.faults)
			if report.Violation == nil {
				t.Fatalf("not found in %d states", report.States)
			}
			t.Logf("found in %d states: %v after %d steps", report.States, report.Violation.Error, len(report.Violation.Steps))
		})
	}
}
