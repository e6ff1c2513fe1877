// Package chart interprets state charts that are files in YAML:
//
//	initial: offered
//	states:
//	  offered:
//	    accept: queued
//	    refuse: closed
//	  queued:
//	    withdraw: closed
//	  closed: {}
//
// Each state lists its events and the state that each leads to. Names are in
// kebab case. Load reports all findings of a chart at once.
package chart

import (
	"bytes"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

var kebabCase = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// Chart is a checked state chart. Use Load.
type Chart struct {
	initial State
	states  map[State]map[Event]State
}

// Expected lists the names that the code next to a chart uses. Load compares
// them with the chart, so that neither knows a name that the other lacks.
type Expected struct {
	States []State
	Events []Event
}

// InvalidError lists all findings of a chart.
type InvalidError struct {
	Name     string
	Findings []string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("chart %s: %s", e.Name, strings.Join(e.Findings, "; "))
}

// EventError is the error for an event that a state does not have.
type EventError struct {
	From  State
	Event Event
}

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("event %q is not possible in state %q", e.Event, e.From)
}

type file struct {
	Initial State                     `yaml:"initial"`
	States  map[State]map[Event]State `yaml:"states"`
}

// Load reads and checks a chart; name is the file's name for errors. It returns
// an *InvalidError that lists all findings.
func Load(name string, data []byte, expected Expected) (*Chart, error) {
	var f file
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&f); err != nil {
		return nil, eris.Wrapf(err, "read chart %s", name)
	}
	c := &Chart{initial: f.Initial, states: f.States}
	findings := c.findings()
	findings = append(findings, c.compare(expected)...)
	if len(findings) > 0 {
		return nil, &InvalidError{Name: name, Findings: findings}
	}
	return c, nil
}

// MustLoad loads a chart that is embedded in the program. It panics on findings,
// which are faults of the program.
func MustLoad(name string, data []byte, expected Expected) *Chart {
	c, err := Load(name, data, expected)
	if err != nil {
		panic(err)
	}
	return c
}

// Initial returns the state that the chart starts in.
func (c *Chart) Initial() State { return c.initial }

// Next returns the state that an event leads to, or an *EventError when the
// event is not possible.
func (c *Chart) Next(from State, event Event) (State, error) {
	to, ok := c.states[from][event]
	if !ok {
		return from, &EventError{From: from, Event: event}
	}
	return to, nil
}

func (c *Chart) findings() []string {
	var found []string
	if _, ok := c.states[c.initial]; !ok {
		found = append(found, fmt.Sprintf("initial state %q is not listed", c.initial))
	}
	for _, state := range slices.Sorted(maps.Keys(c.states)) {
		if !kebabCase.MatchString(string(state)) {
			found = append(found, fmt.Sprintf("state %q is not in kebab case", state))
		}
		for _, event := range slices.Sorted(maps.Keys(c.states[state])) {
			to := c.states[state][event]
			if !kebabCase.MatchString(string(event)) {
				found = append(found, fmt.Sprintf("state %q: event %q is not in kebab case", state, event))
			}
			if _, ok := c.states[to]; !ok {
				found = append(found, fmt.Sprintf("state %q: event %q leads to unknown state %q", state, event, to))
			}
		}
	}
	reached := c.reachable()
	for _, state := range slices.Sorted(maps.Keys(c.states)) {
		if !reached[state] {
			found = append(found, fmt.Sprintf("state %q cannot be reached", state))
		}
	}
	return found
}

func (c *Chart) reachable() map[State]bool {
	reached := map[State]bool{c.initial: true}
	open := []State{c.initial}
	for len(open) > 0 {
		from := open[0]
		open = open[1:]
		for _, to := range c.states[from] {
			if !reached[to] {
				reached[to] = true
				open = append(open, to)
			}
		}
	}
	return reached
}

func (c *Chart) compare(expected Expected) []string {
	events := map[Event]bool{}
	for _, transitions := range c.states {
		for event := range transitions {
			events[event] = true
		}
	}
	states := map[State]bool{}
	for state := range c.states {
		states[state] = true
	}
	found := compareNames("state", states, expected.States)
	return append(found, compareNames("event", events, expected.Events)...)
}

// compareNames reports names that only the chart or only the code knows. Code
// that expects no names is not compared.
func compareNames[N ~string](kind string, have map[N]bool, want []N) []string {
	if len(want) == 0 {
		return nil
	}
	var found []string
	for _, name := range want {
		if !have[name] {
			found = append(found, fmt.Sprintf("the code's %s %q is unknown in the chart", kind, name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(have)) {
		if !slices.Contains(want, name) {
			found = append(found, fmt.Sprintf("%s %q is unknown in the code", kind, name))
		}
	}
	return found
}
