package chart_test

import (
	"errors"
	"strings"
	"testing"

	"zinniasill/core/chart"
)

const valid = `
initial: offered
states:
  offered: {accept: queued, refuse: closed}
  queued: {withdraw: closed}
  closed: {}
`

// TestLoad guards against an invalid chart that is accepted, and against an error that
// lists only the first finding.
func TestLoad(t *testing.T) {
	tests := map[string]struct {
		data     string
		expected chart.Expected
		findings []string
	}{
		"valid": {data: valid},
		"several findings": {
			data:     "initial: start\nstates:\n  One: {go: two}\n  three: {Back_to: three}\n",
			findings: []string{`initial state "start"`, `"One" is not in kebab`, `unknown state "two"`, `"Back_to" is not in kebab`, `"three" cannot be reached`},
		},
		"names missing in the code or the chart": {
			data:     valid,
			expected: chart.Expected{States: []chart.State{"offered", "queued", "running"}, Events: []chart.Event{"accept", "refuse"}},
			findings: []string{`code's state "running"`, `state "closed" is unknown in the code`, `event "withdraw" is unknown`},
		},
		"unknown field": {data: "start: offered\n", findings: []string{"start"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := chart.Load("test.chart.yaml", []byte(tt.data), tt.expected)
			if (err != nil) != (len(tt.findings) > 0) {
				t.Fatalf("error %v", err)
			}
			for _, finding := range tt.findings {
				if !strings.Contains(err.Error(), finding) {
					t.Errorf("error %q lacks %q", err, finding)
				}
			}
		})
	}
}

// TestNext guards against an undefined event that changes the state or panics.
func TestNext(t *testing.T) {
	c, err := chart.Load("test.chart.yaml", []byte(valid), chart.Expected{})
	if err != nil {
		t.Fatal(err)
	}
	if to, err := c.Next(c.Initial(), "accept"); err != nil || to != "queued" {
		t.Fatalf("state %q, error %v", to, err)
	}
	var eventError *chart.EventError
	if to, err := c.Next("closed", "accept"); !errors.As(err, &eventError) || to != "closed" {
		t.Fatalf("state %q, error %v", to, err)
	}
}
