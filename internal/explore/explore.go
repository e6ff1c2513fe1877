// Package explore visits every reachable state of a small specification.
//
// A specification is a State that lists its successors. Run visits them breadth
// first, keeps one copy of each state by its key, and returns the shortest
// sequence of steps to a state that breaks an invariant:
//
//	report, err := explore.Run(explore.Config{Initial: start, MaxStates: 1_000_000})
//	if report.Violation != nil {
//		fmt.Println(report.Violation.Error, report.Violation.Steps)
//	}
package explore

import (
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

// ErrTooManyStates is returned when the bound on states was reached, so that the
// search is not exhaustive.
var ErrTooManyStates = eris.New("bound on visited states reached")

// State is one state of a specification.
type State interface {
	// Key encodes the state. Two states with the same key are the same state.
	Key() []byte
	// Next returns the steps that are possible in the state. It must not modify
	// the state.
	Next() []Step
	// Check returns an error when the state breaks an invariant.
	Check() error
}

// Step leads to another state.
type Step struct {
	Name string
	To   State
}

// Config configures a search.
type Config struct {
	Initial State
	// MaxStates bounds the number of states.
	MaxStates int
}

// Violation is a state that breaks an invariant.
type Violation struct {
	Error error
	// Steps are the names of the steps from the initial state.
	Steps []string
}

// Report is the result of a search.
type Report struct {
	// States is the number of distinct states visited.
	States int
	// Depth is the number of steps to the farthest state.
	Depth int
	// Violation is nil when every visited state keeps the invariants.
	Violation *Violation
}

type digest [sha256.Size]byte

type origin struct {
	parent digest
	step   string
}

type search struct {
	cfg  Config
	seen map[digest]origin
	root digest
}

// Run visits the states reachable from cfg.Initial. It returns ErrTooManyStates
// when there are more than cfg.MaxStates.
func Run(cfg Config) (Report, error) {
	s := &search{cfg: cfg, seen: map[digest]origin{}}
	s.root = sha256.Sum256(cfg.Initial.Key())
	s.seen[s.root] = origin{}
	report := Report{States: 1}
	if err := cfg.Initial.Check(); err != nil {
		report.Violation = &Violation{Error: err}
		return report, nil
	}
	level := []State{cfg.Initial}
	for len(level) > 0 {
		next, violation := s.expand(level)
		report.States = len(s.seen)
		if violation != nil {
			report.Violation = violation
			return report, nil
		}
		if len(s.seen) > cfg.MaxStates {
			return report, ErrTooManyStates
		}
		if len(next) > 0 {
			report.Depth++
		}
		level = next
	}
	return report, nil
}

// expand returns the unseen successors of a level of states.
func (s *search) expand(level []State) ([]State, *Violation) {
	var next []State
	for _, from := range level {
		parent := digest(sha256.Sum256(from.Key()))
		for _, step := range from.Next() {
			key := digest(sha256.Sum256(step.To.Key()))
			if _, ok := s.seen[key]; ok {
				continue
			}
			s.seen[key] = origin{parent: parent, step: step.Name}
			if err := step.To.Check(); err != nil {
				return nil, &Violation{Error: err, Steps: s.path(key)}
			}
			next = append(next, step.To)
		}
		if len(s.seen) > s.cfg.MaxStates {
			return next, nil
		}
	}
	return next, nil
}

func (s *search) path(key digest) []string {
	var steps []string
	for key != s.root {
		from := s.seen[key]
		steps = append([]string{from.step}, steps...)
		key = from.parent
	}
	return steps
}
