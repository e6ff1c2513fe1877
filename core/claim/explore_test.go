package claim

import (
	"errors"
	"strings"
	"testing"

	"zinniasill/core/message"
	"zinniasill/internal/explore"
)

// TestRegisterKeepsOneValue guards against two entries that both take a job to be
// theirs, and against a read that misses a chosen value.
func TestRegisterKeepsOneValue(t *testing.T) {
	tests := map[string]struct {
		bounds  bounds
		members int
		change  func(i int, p *Proposer)
	}{
		"3 members, 1 crash, one of 2 proposers with a classic round": {
			bounds{rounds: 1, crashes: 1, reader: -1}, 3, func(i int, p *Proposer) { p.rounds = 1 - i },
		},
		"2 members, 2 proposers, 2 classic rounds":  {bounds{rounds: 2, reader: -1}, 2, nil},
		"3 members, 1 proposer, 1 reader":           {bounds{rounds: 1, reader: 1}, 3, nil},
		"3 members, one without room for registers": {bounds{rounds: 1, reader: -1, handle: lastIsFull}, 3, func(i int, p *Proposer) { p.rounds = 1 - i }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			report, err := explore.Run(explore.Config{
				Initial:   newModel(&tt.bounds, tt.members, 2, tt.change),
				MaxStates: 1_000_000,
			})
			t.Logf("%d states, depth %d", report.States, report.Depth)
			if err != nil {
				t.Fatal(err)
			}
			if report.Violation != nil {
				t.Fatalf("%v after:\n%s", report.Violation.Error, strings.Join(report.Violation.Steps, "\n"))
			}
		})
	}
}

// lastIsFull answers for three acceptors of which the last one is at its limit.
func lastIsFull(a *Acceptor, body any) (message.ClaimReply, bool) {
	a.SetFullFunc(func(bool) bool { return a.node.ID[0] == '3' })
	return a.Handle(body)
}

// TestRegisterFaultsAreFound guards against a model check that cannot fail.
func TestRegisterFaultsAreFound(t *testing.T) {
	ownValue := func(promises []*message.ClaimReply, own message.Claim) message.Claim {
		for i, promise := range promises {
			if promise != nil && promise.Accepted.Round == 0 {
				promises[i] = &message.ClaimReply{}
			}
		}
		return choose(promises, own)
	}
	openFast := func(a *Acceptor, body any) (message.ClaimReply, bool) {
		if request, ok := body.(message.ClaimFast); ok {
			state, _ := a.state(request.Register)
			if !state.HasValue {
				state.HasValue = true
				state.Value = request.Value
				a.store(state)
			}
		}
		return a.Handle(body)
	}
	tests := map[string]struct {
		bounds bounds
		change func(i int, p *Proposer)
	}{
		"fast quorum of 2 of 3": {
			bounds{rounds: 1, reader: -1, reportsOnly: true},
			func(_ int, p *Proposer) { p.rules.fastQuorum = majority },
		},
		"recovery ignores fast votes": {
			bounds{rounds: 1, reader: -1, reportsOnly: true},
			func(_ int, p *Proposer) { p.rules.choose = ownValue },
		},
		"acceptor forgets and keeps its identity": {
			bounds{rounds: 1, reader: -1, crashes: 2, forget: true, reportsOnly: true},
			func(i int, p *Proposer) { p.rounds = 1 - i },
		},
		"acceptor takes a fast value after a promise": {
			bounds{rounds: 1, reader: -1, handle: openFast, reportsOnly: true}, nil,
		},
		"two proposals share a ballot": {
			bounds{rounds: 1, reader: -1, reportsOnly: true},
			func(_ int, p *Proposer) { p.name = "same" },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			report, err := explore.Run(explore.Config{
				Initial:   newModel(&tt.bounds, 3, 2, tt.change),
				MaxStates: 2_000_000,
			})
			if err != nil && !errors.Is(err, explore.ErrTooManyStates) {
				t.Fatal(err)
			}
			if report.Violation == nil {
				t.Fatalf("fault not found in %d states", report.States)
			}
			t.Logf("%v after %d steps, %d states", report.Violation.Error, len(report.Violation.Steps), report.States)
		})
	}
}
