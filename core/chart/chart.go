// Package chart interprets state charts that are defined in YAML:
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
// Each state maps its events to their target states. Names are in kebab case. Load
// validates a chart and reports all findings at once.
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

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

var kebabCase = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// Chart is a validated state chart. Use Load.
type Chart struct {
	initial State
	states  map[State]map[Event]State
}

// Expected lists the names of states and events that the code uses. Load compares them
// with the chart, so that the code and the chart define the same names. An empty list is
// not compared.
type Expected struct {
	States []State
	Events []Event
}

// InvalidError reports a chart that is not valid, with all findings.
type InvalidError struct {
	Name     string
	Findings []string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("chart %s: %s", e.Name, strings.Join(e.Findings, "; "))
}

// EventError reports an event that is not defined in a state.
type EventError struct {
	From  State
	Event Event
}

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("event %q is not possible in state %q", e.Event, e.From)
}

// file is the YAML form of a chart.
type file struct {
	Initial State                     `yaml:"initial"`
	States  map[State]map[Event]State `yaml:"states"`
}

// Load parses and validates a chart. The name is the file name in errors. If the chart is
// not valid, Load returns an *InvalidError with all findings.
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

// MustLoad is like Load but panics on an error. It is meant for charts that are embedded
// in the program, where an error is a programming error.
func MustLoad(name string, data []byte, expected Expected) *Chart {
	c, err := Load(name, data, expected)
	if err != nil {
		panic(err)
	}
	return c
}

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// Next returns the state that an event leads to. If the state does not have the event, it
// returns the state from and an *EventError.
func (c *Chart) Next(from State, event Event) (State, error) {
	to, ok := c.states[from][event]
	if !ok {
		return from, &EventError{From: from, Event: event}
	}
	return to, nil
}

// findings validates the names and transitions of the chart.
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

// reachable returns the states that can be reached from the initial state.
func (c *Chart) reachable() map[State]bool {
	reached := map[State]bool{c.initial: true}
	queue := []State{c.initial}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for _, to := range c.states[from] {
			if !reached[to] {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	return reached
}

// compare reports differences between the names in the chart and the expected ones.
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

// compareNames reports names that only the chart or only the code defines. An empty want
// is not compared.
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
