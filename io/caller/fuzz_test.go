package caller_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/io/caller"
	"zinniasill/io/metrics"
)

// FuzzSubmit guards against a request that makes an entry panic, that reaches a job with a
// value outside its limits, or whose refusal lacks a code or a message or does not report
// not-run.
func FuzzSubmit(f *testing.F) {
	f.Add("k", "7", validBody)
	f.Add("", "", `{"profile":"p","team":"t","tasks":[{"payload":null}],"wait":"1ms"}`)
	f.Add("k/", "-1", `{"tasks":[[]]}`)
	f.Add("k", "18446744073709551616", "\x00")
	f.Fuzz(func(t *testing.T, key, epoch, body string) {
		jobs := &fakeJobs{answer: message.Answer{Complete: true}}
		handler := caller.New(caller.Config{Jobs: jobs, MaxRequests: 1, Counters: metrics.New()})
		recorder := submit(handler, key, epoch, body)
		if recorder.Code == http.StatusOK {
			if n := len(jobs.last.Payloads); n < 1 || n > message.MaxTasks || jobs.last.Key.Client == "" {
				t.Fatalf("accepted invalid submission %+v", jobs.last)
			}
			return
		}
		var refusal caller.Error
		if err := json.Unmarshal(recorder.Body.Bytes(), &refusal); err != nil {
			t.Fatal(err)
		}
		if refusal.Code == "" || refusal.Ran != zinniasill.NotRun || refusal.Message == "" {
			t.Fatalf("incomplete refusal %+v", refusal)
		}
	})
}
