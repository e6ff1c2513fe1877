package job

import "zinniasill"

// rules are the parts of the protocol that guarantee 1 and true refusals rest on.
// Tests replace them to show that the checks find the fault.
type rules struct {
	// toFence returns the agents that may have started tasks for earlier terms.
	toFence func(r *record) []zinniasill.Node
	// inDoubt reports whether a task in a state may start or have started.
	inDoubt func(s taskState) bool
	// lookUp reports whether the register of an epoch before the current one must
	// be decided before a claim counts.
	lookUp func(epoch zinniasill.Epoch) bool
	// tombstone reports whether a refusal after a claim needs a tombstone.
	tombstone func() bool
}

func defaultRules() rules {
	return rules{
		toFence:   earlierCandidates,
		inDoubt:   inDoubt,
		lookUp:    func(zinniasill.Epoch) bool { return true },
		tombstone: func() bool { return true },
	}
}

func inDoubt(s taskState) bool {
	return s == taskOffered || s == taskGranted || s == taskRunning || s == taskUnknown
}
