package endpoint_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"zinniasill"
)

// TestRunStartsWithLease guards against a run that is written to the endpoint after
// the lease ended: an agent that was stopped while a run took its connection used to
// start it when it continued.
func TestRunStartsWithLease(t *testing.T) {
	tests := map[string]struct {
		before  int // runs on the connection while the lease was valid
		payload string
	}{
		"new connection":                        {payload: "payload"},
		"reused connection":                     {before: 1, payload: "payload"},
		"reused connection, body can be resent": {before: 1, payload: ""},
		"large payload":                         {before: 1, payload: string(make([]byte, 1<<20))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int32
			f := serve(t, func(w http.ResponseWriter, r *http.Request) {
				arrived.Add(1)
				echo(w, r)
			})
			for range test.before {
				if outcome := f.run("before"); !outcome.OK {
					t.Fatalf("outcome with a lease %+v", outcome)
				}
			}
			f.stopped.Store(true)
			outcome := f.Run(context.Background(), task("after", test.payload))
			if outcome.OK || outcome.Ran != zinniasill.NotRun {
				t.Errorf("outcome without a lease %+v", outcome)
			}
			if got := int(arrived.Load()); got != test.before {
				t.Errorf("%d requests at the endpoint, want %d", got, test.before)
			}
			if got := f.counters.of("may-not-start"); got != 1 {
				t.Errorf("%d refused runs counted, want 1", got)
			}
			f.stopped.Store(false)
			if outcome := f.run("again"); !outcome.OK {
				t.Errorf("outcome with a lease again %+v", outcome)
			}
		})
	}
}
