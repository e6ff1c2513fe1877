package consensus

import (
	"testing"

	"zinniasill/internal/explore"
)

// maxModelStates is the maximum number of states of a search. A search that exceeds it
// fails the test.
const maxModelStates = 200_000

// model is one search: the initial state, the bounds, and a goal that must hold in some
// states so that the search covers the intended case.
type model struct {
	initial func(*simulation) *simulation
	bounds  bounds
	goal    func(*simulation) bool
}

var models = map[string]model{
	"any order": {
		afterFormation, bounds{reorders: anyOrder, elections: 2}, secondLeader,
	},
	"elections and crashes": {
		afterFormation, bounds{drops: 2, elections: 2, crashes: 2}, secondLeader,
	},
	"pre-vote": {
		afterFormation, bounds{drops: 1, reorders: 1, elections: 2, crashes: 1, preVote: true}, secondLeader,
	},
	"replication and elections": {
		afterElection, bounds{drops: 1, elections: 1, proposals: 1, resends: 1, crashes: 1}, proposalCommitted,
	},
	"duplicated messages": {
		afterElection, bounds{drops: 1, elections: 1, proposals: 1, duplicates: 1, reorders: 1}, proposalCommitted,
	},
	"leader steps down": {
		afterElection, bounds{elections: 2, proposals: 1, stepDowns: 1}, proposalCommitted,
	},
	"reads": {
		afterElection, bounds{blocks: 1, elections: 1, proposals: 1, reads: 1}, secondLeader,
	},
	"lost disk": {
		afterDiskLoss, bounds{drops: 1, elections: 1, crashes: 1, resends: 3}, voterReplaced,
	},
	"disk lost during election": {
		afterFormation, bounds{drops: 2, elections: 2, diskLosses: 1}, secondLeader,
	},
}

// secondLeader reports whether a second leader was elected.
func secondLeader(s *simulation) bool { return len(s.leaders) > 1 }

// proposalCommitted reports whether an entry of a proposal was committed.
func proposalCommitted(s *simulation) bool {
	for _, c := range s.committed {
		if c.entry[len(c.entry)-2] == 'p' {
			return true
		}
	}
	return false
}

// voterReplaced reports whether a replica with a new instance has committed that it is a
// voter.
func voterReplaced(s *simulation) bool {
	for _, r := range s.replicas {
		if r.self.Incarnation > modelSize && r.membership().IsVoter(r.self) && r.membershipIndex() <= r.commit {
			return true
		}
	}
	return false
}

// run explores the model with faults f, and returns the report and the number of states
// that reached the goal.
func (m model) run(t *testing.T, f faults) (explore.Report, int) {
	t.Helper()
	reached := 0
	s := m.initial(newSimulation(m.bounds, f))
	s.goal = m.goal
	s.reached = &reached
	report, err := explore.Run(explore.Config{Initial: s, MaxStates: maxModelStates})
	if err != nil {
		t.Fatalf("%v after %d states", err, report.States)
	}
	return report, reached
}

// TestModel guards against two leaders in a term, committed entries that are lost or
// changed, stale reads, and votes of a lost instance, in every order of events within the
// bounds.
func TestModel(t *testing.T) {
	for name, m := range models {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report, reached := m.run(t, faults{})
			if report.Violation != nil {
				t.Fatalf("%v after %q", report.Violation.Error, report.Violation.Steps)
			}
			if reached == 0 {
				t.Fatalf("none of %d states reached the goal of the model", report.States)
			}
			t.Logf("%d states, depth %d, goal reached in %d, bounds %+v", report.States, report.Depth, reached, m.bounds)
		})
	}
}

// TestModelFindsFaults guards against a model check that passes with faulty code.
func TestModelFindsFaults(t *testing.T) {
	tests := map[string]struct {
		model  string
		faults faults
	}{
		"vote lost after a crash":                 {"elections and crashes", faults{loseVote: true}},
		"commit counted without persistence":      {"replication and elections", faults{skipWrites: true}},
		"commit counted with too small a quorum":  {"replication and elections", faults{smallQuorum: true}},
		"instance reused after a lost disk":       {"disk lost during election", faults{reuseInstance: true}},
		"read answered without a heartbeat round": {"reads", faults{unconfirmedReads: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report, _ := models[test.model].run(t, test.faults)
			if report.Violation == nil {
				t.Fatalf("fault not found in %d states", report.States)
			}
			t.Logf("fault found in %d states: %v after %d events", report.States, report.Violation.Error, len(report.Violation.Steps))
		})
	}
}
