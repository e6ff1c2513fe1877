package explore_test

import (
	"errors"
	"strconv"
	"testing"

	"zinniasill/internal/explore"
)

// counter counts up by 1 or 3 to a limit, and breaks its invariant at forbidden.
type counter struct {
	value, limit, forbidden int
}

func (c counter) Key() []byte { return []byte(strconv.Itoa(c.value)) }

func (c counter) Next() []explore.Step {
	var steps []explore.Step
	for _, by := range []int{1, 3} {
		to := c
		to.value += by
		if to.value <= c.limit {
			steps = append(steps, explore.Step{Name: "add " + strconv.Itoa(by), To: to})
		}
	}
	return steps
}

func (c counter) Check() error {
	if c.value == c.forbidden {
		return errors.New("forbidden value")
	}
	return nil
}

// TestRun guards against a search that misses states, passes over a violation
// or reports an incomplete search as complete.
func TestRun(t *testing.T) {
	tests := map[string]struct {
		start     counter
		maxStates int
		states    int
		steps     int
		err       error
	}{
		"visits all states":        {start: counter{limit: 10, forbidden: -1}, maxStates: 100, states: 11},
		"finds the shortest path":  {start: counter{limit: 10, forbidden: 7}, maxStates: 100, steps: 3},
		"reports the bound":        {start: counter{limit: 10, forbidden: -1}, maxStates: 5, err: explore.ErrTooManyStates},
		"checks the initial state": {start: counter{limit: 10, forbidden: 0}, maxStates: 100, steps: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			report, err := explore.Run(explore.Config{Initial: tt.start, MaxStates: tt.maxStates})
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if tt.err != nil {
				return
			}
			if tt.states != 0 && report.States != tt.states {
				t.Errorf("%d states, want %d", report.States, tt.states)
			}
			if violated := tt.start.forbidden >= 0; violated != (report.Violation != nil) {
				t.Fatalf("violation %v, want one: %t", report.Violation, violated)
			}
			if report.Violation != nil && len(report.Violation.Steps) != tt.steps {
				t.Errorf("path %v, want %d steps", report.Violation.Steps, tt.steps)
			}
		})
	}
}
