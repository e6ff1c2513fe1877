package endpoint_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"zinniasill"
)

// TestRunStartsWithLease guards against a run that is sent to the endpoint after the lease
// expired. An agent process that was paused while a run acquired its connection used to
// send the run when it resumed.
func TestRunStartsWithLease(t *testing.T) {
	tests := map[string]struct {
		before  int // runs on the connection while the lease is valid
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
					t.Fatalf("outcome with a valid lease: %+v", outcome)
				}
			}
			f.leaseExpired.Store(true)
			outcome := f.Run(context.Background(), task("after", test.payload))
			if outcome.OK || outcome.Ran != zinniasill.NotRun {
				t.Errorf("outcome without a valid lease: %+v", outcome)
			}
			if got := int(arrived.Load()); got != test.before {
				t.Errorf("the endpoint received %d requests, want %d", got, test.before)
			}
			if got := f.counters.get("may-not-start"); got != 1 {
				t.Errorf("%d refused runs counted, want 1", got)
			}
			f.leaseExpired.Store(false)
			if outcome := f.run("restored"); !outcome.OK {
				t.Errorf("outcome after the lease was restored: %+v", outcome)
			}
		})
	}
}
