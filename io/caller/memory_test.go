package caller_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/core/message"
	"zinniasill/io/caller"
	"zinniasill/io/daemon"
	"zinniasill/io/httpserver"
	"zinniasill/io/metrics"
)

// refusal sends a request to handler and returns its refusal.
func refusal(t *testing.T, handler http.Handler, body io.Reader) (int, caller.Error) {
	t.Helper()
	request := httptest.NewRequest(http.MethodPost, "/v1/jobs", body)
	request.Header.Set(caller.HeaderKey, "k")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	var refusal caller.Error
	if err := json.Unmarshal(recorder.Body.Bytes(), &refusal); err != nil {
		t.Fatalf("status %d, body %s: %v", recorder.Code, recorder.Body, err)
	}
	return recorder.Code, refusal
}

// TestNoMemory guards against a job that is run or promised not to run although there is no
// memory for its body or its answer: an earlier submission may have run.
func TestNoMemory(t *testing.T) {
	large := strings.Replace(validBody, "YQ==", strings.Repeat("YWFh", 20_000), 1)
	outputs := message.Answer{Complete: true, Outputs: [][]byte{make([]byte, 1<<20)}}
	tests := map[string]struct {
		limit  int64
		body   string
		answer message.Answer
		runs   bool
	}{
		"request": {limit: 100, body: validBody},
		"body":    {limit: 200 << 10, body: large},
		"answer":  {limit: 1 << 20, body: validBody, answer: outputs, runs: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			jobs := &fakeJobs{answer: test.answer}
			config := caller.Server(caller.New(caller.Config{Jobs: jobs, MaxRequests: 1, Counters: metrics.New()}), budget.Callers)
			config.Budget = budget.New(budget.Config{Limit: test.limit})
			config.Clock = daemon.SystemClock{}
			config.Counters = metrics.New()
			status, got := refusal(t, httpserver.New(config).Handler, strings.NewReader(test.body))
			if status != 503 || got.Code != zinniasill.ReasonBusy || got.Ran != zinniasill.RanUnknown || got.RetryAfterMS == 0 {
				t.Errorf("status %d, refusal %+v", status, got)
			}
			if runs := jobs.last.Key.Client != ""; runs != test.runs {
				t.Errorf("submitted %t, want %t", runs, test.runs)
			}
			if used := config.Budget.Used(budget.Callers); used != 0 {
				t.Errorf("%d bytes remain in use", used)
			}
		})
	}
}

// TestUnreadableBody guards against a promise that nothing ran when only this attempt did not
// arrive.
func TestUnreadableBody(t *testing.T) {
	handler := caller.New(caller.Config{Jobs: &fakeJobs{}, MaxRequests: 1, Counters: metrics.New()})
	body := io.MultiReader(strings.NewReader(validBody[:10]), &failingReader{})
	if status, got := refusal(t, handler, body); status != 400 || got.Ran != zinniasill.RanUnknown {
		t.Errorf("status %d, refusal %+v, want ran unknown", status, got)
	}
}

// failingReader is a body that cannot be read.
type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("connection lost") }

// TestManySmallTasks guards against bodies that decode to many times their size: they are
// refused before they are decoded.
func TestManySmallTasks(t *testing.T) {
	tests := map[string]string{
		"tasks":        `{"profile":"p","team":"t","tasks":[` + strings.Repeat("{},", 100_000) + `{}]}`,
		"null tasks":   `{"profile":"p","team":"t","tasks":[` + strings.Repeat("null,", 100_000) + `null]}`,
		"fields":       `{` + strings.Repeat(`"a":0,`, 100_000) + `"team":"t"}`,
		"inner arrays": `{"tasks":[[` + strings.Repeat("[],", 100_000) + `[]]]}`,
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			jobs := &fakeJobs{}
			handler := caller.New(caller.Config{Jobs: jobs, MaxRequests: 1, Counters: metrics.New()})
			status, got := refusal(t, handler, strings.NewReader(body))
			if status != 413 || got.Ran != zinniasill.NotRun || jobs.last.Key.Client != "" {
				t.Errorf("status %d, refusal %+v", status, got)
			}
		})
	}
}

// TestFieldNames guards against names of fields that are no longer accepted in upper case, or
// whose value depends on the order in which a map is read.
func TestFieldNames(t *testing.T) {
	tests := map[string]int{
		strings.Replace(validBody, "team", "Team", 1):                    200,
		strings.Replace(validBody, `{`, `{"Team":"other",`, 1):           400,
		strings.Replace(validBody, `"payload"`, `"Payload"`, 1):          200,
		strings.Replace(validBody, `"payload"`, `"size":1,"payload"`, 1): 400,
		validBody + "]": 400,
	}
	for body, want := range tests {
		jobs := &fakeJobs{answer: message.Answer{Complete: true}}
		handler := caller.New(caller.Config{Jobs: jobs, MaxRequests: 1, Counters: metrics.New()})
		if recorder := submit(handler, "k", "", body); recorder.Code != want {
			t.Errorf("%s: status %d %s, want %d", body, recorder.Code, recorder.Body, want)
		}
	}
}

// TestDecodeAsBefore guards against a decoder of jobs that accepts or reads other bodies than
// encoding/json does.
func TestDecodeAsBefore(t *testing.T) {
	part := rapid.SampledFrom([]string{
		`{`, `}`, `[`, `]`, `,`, `:`, ` `, `"profile"`, `"tasks"`, `"wait"`, `"payload"`, `"YQ=="`, `"p"`, `"\u0070"`,
		`null`, `1`, `"1s"`, `{"payload":"YQ=="}`, `{"payload":null}`, `{}`, `{"x":1}`, `"tasks":[{"payload":"YWI="}]`,
		`{"profile":"p","team":"t",`, `"team":"t"`, `"profile":"p"`,
	})
	rapid.Check(t, func(t *rapid.T) {
		body := strings.Join(rapid.SliceOfN(part, 0, 8).Draw(t, "parts"), "")
		if rapid.Bool().Draw(t, "whole") {
			body = `{"profile":"p","team":"t","tasks":[` + body + `]}`
		}
		var want caller.Job
		decoder := json.NewDecoder(bytes.NewReader([]byte(body)))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&want)
		_, end := decoder.Token()
		valid := err == nil && errors.Is(end, io.EOF)
		jobs := &fakeJobs{answer: message.Answer{Complete: true}}
		recorder := submit(caller.New(caller.Config{Jobs: jobs, MaxRequests: 1, Counters: metrics.New()}), "k", "", body)
		complete := valid && want.Profile != "" && want.Team != "" && len(want.Tasks) > 0 && want.Wait == ""
		if recorder.Code == http.StatusOK != complete {
			t.Fatalf("%s: status %d %s, json: %v", body, recorder.Code, recorder.Body, err)
		}
		for i, task := range want.Tasks {
			if complete && !bytes.Equal(jobs.last.Payloads[i], task.Payload) {
				t.Fatalf("%s: task %d is %q, want %q", body, i, jobs.last.Payloads[i], task.Payload)
			}
		}
	})
}
