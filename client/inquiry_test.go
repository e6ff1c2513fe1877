package client_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"zinniasill"
	"zinniasill/client"
)

// TestStatus guards against a status query that stops at an entry without a record of
// the job while another entry has one, does not report the error of a failed job, or
// accepts the answer for another job.
func TestStatus(t *testing.T) {
	type handlers []func(http.ResponseWriter, *http.Request)
	notFound := refuse(zinniasill.ReasonNotFound, zinniasill.RanUnknown, zinniasill.RetrySameKey)
	failed := refuse(zinniasill.ReasonTaskFailed, zinniasill.DidRun, zinniasill.RetryNewKey)
	tests := map[string]struct {
		script handlers
		state  string
		code   zinniasill.Reason
	}{
		"complete":                       {script: handlers{complete}, state: "complete"},
		"in progress":                    {script: handlers{inProgress}, state: "in-progress"},
		"second entry has the record":    {script: handlers{notFound, complete}, state: "complete"},
		"connection to first entry lost": {script: handlers{dropConnection, complete}, state: "complete"},
		"no entry has a record":          {script: handlers{notFound}, code: zinniasill.ReasonNotFound},
		"failed":                         {script: handlers{failed, complete}, code: zinniasill.ReasonTaskFailed},
		"answer for another job":         {script: handlers{answerOtherJob, complete}, state: "complete"},
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
