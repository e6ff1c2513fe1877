package node

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"zinniasill/core/budget"
	"zinniasill/io/daemon"
)

// recorded keeps the last decision line.
type recorded struct {
	lines int
	last  map[string]slog.Value
}

func (r *recorded) Record(_ string, inputs ...slog.Attr) {
	r.lines++
	r.last = map[string]slog.Value{}
	for _, input := range inputs {
		r.last[input.Key] = input.Value
	}
}

// manualClock is a clock that the test sets.
type manualClock struct {
	daemon.SystemClock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

// TestRefusalLog guards against a crowd that uses up the decision lines of the jobs, and
// against lines from which neither the crowd nor its size can be seen.
func TestRefusalLog(t *testing.T) {
	clock := &manualClock{now: time.Unix(1, 0)}
	lines := &recorded{}
	log := &refusalLog{recorder: lines, clock: clock}
	request := httptest.NewRequest("POST", "/x", nil)
	request.RemoteAddr = "10.0.0.7:1234"
	for range 100 {
		log.requestRefused(request, &budget.ExhaustedError{Class: budget.Callers, Reason: budget.Full, ClientHeld: 7})
	}
	clock.now = clock.now.Add(recordInterval)
	log.requestRefused(request, &budget.ExhaustedError{Class: budget.Callers, Reason: budget.ClientFull, ClientHeld: 8})
	if lines.lines != 2 || lines.last["more"].Int64() != 99 {
		t.Errorf("%d lines, last %v", lines.lines, lines.last)
	}
	if lines.last["client"].String() != "10.0.0.7:1234" || lines.last["client-bytes"].Int64() != 8 ||
		lines.last["reason"].String() != string(budget.ClientFull) {
		t.Errorf("last line %v", lines.last)
	}
}

// TestClassify guards against callers that use the memory of operators or of the endpoint
// where all roles share an address.
func TestClassify(t *testing.T) {
	tests := map[string]budget.Class{
		"/v1/jobs": budget.Callers, "/v1/jobs/k?team=t": budget.Callers, "/v1/epoch": budget.Callers,
		"/v1/endpoint": budget.Endpoint, "/v1/endpoints/agent-1": budget.Operators, "/v1/status": budget.Operators,
	}
	for path, want := range tests {
		if got := classify(httptest.NewRequest("GET", path, nil)); got != want {
			t.Errorf("%s: class %s, want %s", path, got, want)
		}
	}
}
