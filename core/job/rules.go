package job

import "zinniasill"

// rules are the protocol decisions on which at-most-once starts and correct not-run
// answers depend. Tests replace them to show that their checks detect the fault.
type rules struct {
	// fenceTargets returns the agents that may have started tasks for earlier terms.
	fenceTargets func(r *record) []zinniasill.Node
	// inDoubt reports whether a task in a given state may have started or may still
	// start.
	inDoubt func(s taskState) bool
	// lookUp reports whether the register of an earlier epoch must be decided before a
	// claim in the current epoch is valid.
	lookUp func(epoch zinniasill.Epoch) bool
	// needsTombstone reports whether a not-run answer to a claimed job requires a
	// tombstone in the next term.
	needsTombstone func() bool
}

func defaultRules() rules {
	return rules{
		fenceTargets:   earlierCandidates,
		inDoubt:        inDoubt,
		lookUp:         func(zinniasill.Epoch) bool { return true },
		needsTombstone: func() bool { return true },
	}
}

func inDoubt(s taskState) bool {
	return s == taskOffered || s == taskGranted || s == taskRunning || s == taskUnknown
}
