package client_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"zinniasill"
	"zinniasill/client"
)

// TestInquiry guards against an inquiry that takes the answer of one entry for final
// while another has the job, reports a failed job as known and well, or takes another
// job's answer.
func TestInquiry(t *testing.T) {
	type steps []func(http.ResponseWriter, *http.Request)
	notFound := refuse(zinniasill.ReasonNotFound, zinniasill.RanUnknown, zinniasill.RetrySameKey)
	failed := refuse(zinniasill.ReasonTaskFailed, zinniasill.DidRun, zinniasill.RetryNewKey)
	tests := map[string]struct {
		script steps
		state  string
		code   zinniasill.Reason
	}{
		"complete":             {script: steps{complete}, state: "complete"},
		"in progress":          {script: steps{pending}, state: "in-progress"},
		"known to the second":  {script: steps{notFound, complete}, state: "complete"},
		"first entry is gone":  {script: steps{lose, complete}, state: "complete"},
		"known to none":        {script: steps{notFound}, code: zinniasill.ReasonNotFound},
		"failed":               {script: steps{failed, complete}, code: zinniasill.ReasonTaskFailed},
		"another job's answer": {script: steps{crossed, complete}, state: "complete"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(&fakeEntry{script: test.script})
			defer server.Close()
			c := client.New(client.Config{Team: "t", Entries: []string{server.URL, server.URL}})
			defer c.Close()
			status, err := c.Status(t.Context(), "k")
			var code zinniasill.Reason
			var refusal *client.RefusalError
			if errors.As(err, &refusal) {
				code = refusal.Code
			}
			if code != test.code || (err == nil) != (test.code == "") || status.State != test.state {
				t.Errorf("status %+v, error %v; want state %q, code %q", status, err, test.state, test.code)
			}
		})
	}
}
