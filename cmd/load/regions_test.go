package main

import (
	"testing"
	"time"

	"zinniasill"
)

// TestServedFrom guards against times until service that count late answers as
// served, or a short good moment within an outage.
func TestServedFrom(t *testing.T) {
	began := time.Now()
	const length = 20 * time.Second
	// outage makes jobs every 50 ms, those sent in a span with the given result.
	outage := func(from, to, took time.Duration, code zinniasill.Reason) []job {
		var jobs []job
		for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
			j := job{sent: began.Add(at), done: began.Add(at + 100*time.Millisecond)}
			if at >= from && at < to {
				j.done, j.code = began.Add(at+took), code
			}
			jobs = append(jobs, j)
		}
		return jobs
	}
	tests := map[string]struct {
		jobs     []job
		min, max float64
	}{
		"served throughout":  {jobs: outage(0, 0, 0, "")},
		"refused for a time": {jobs: outage(0, 3*time.Second, 0, zinniasill.ReasonLeaseExpired), min: 2.8, max: 3},
		"answered late":      {jobs: outage(0, 3*time.Second, 2*time.Second, ""), min: 2.8, max: 3},
		"a good moment between": {
			// 100 jobs are 5 s.
			jobs: append(outage(0, 3*time.Second, 0, zinniasill.ReasonOverload)[:100],
				outage(5*time.Second, 8*time.Second, 0, zinniasill.ReasonOverload)[100:]...),
			min: 7.8, max: 8,
		},
		"nothing sent": {min: -1, max: -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := servedFrom(tt.jobs, began, began.Add(length))
			if got < tt.min || got > tt.max {
				t.Errorf("served after %v s, want %v to %v", got, tt.min, tt.max)
			}
		})
	}
}

// TestRegionOf guards against processes counted in the wrong region.
func TestRegionOf(t *testing.T) {
	tests := map[string]region{
		"control-4": larger, "control-5": smaller, "entry-3": larger, "entry-4": smaller,
		"agent-5": smaller, "agent-6": larger, "agent-8": larger, "agent-10": smaller,
	}
	for name, want := range tests {
		if got := regionOf(name); got != want {
			t.Errorf("%s is in region %s, want %s", name, got, want)
		}
	}
}
