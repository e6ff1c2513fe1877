package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"zinniasill"
	"zinniasill/core/job"
	"zinniasill/core/message"
	"zinniasill/io/caller"
	"zinniasill/io/metrics"
)

// fakeJobs returns a fixed answer and records the last submission.
type fakeJobs struct {
	answer  message.Answer
	pending bool
	entered chan struct{}
	last    message.Submission
}

func (f *fakeJobs) Submit(ctx context.Context, sub message.Submission) (message.Answer, error) {
	f.last = sub
	if f.entered != nil {
		f.entered <- struct{}{}
	}
	if f.pending {
		<-ctx.Done()
		return message.Answer{}, ctx.Err()
	}
	return f.answer, nil
}

func (f *fakeJobs) Status(context.Context, zinniasill.Key) (job.Status, error) {
	return job.Status{}, nil
}

func (f *fakeJobs) Cancel(context.Context, zinniasill.Key) (bool, error) { return false, nil }

func (f *fakeJobs) Epoch() zinniasill.Epoch { return 7 }

func submit(handler http.Handler, key, epoch, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
	if key != "" {
		request.Header.Set(caller.HeaderKey, key)
	}
	if epoch != "" {
		request.Header.Set(caller.HeaderEpoch, epoch)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

const validBody = `{"profile":"proof","team":"desk","tasks":[{"payload":"YQ=="}]}`

// TestSubmit guards against refusals that lack a code or the position of the fault, or that
// report wrongly what ran, and against invalid input that reaches a job.
func TestSubmit(t *testing.T) {
	tests := map[string]struct {
		key, epoch, body string
		jobs             fakeJobs
		status           int
		want             []string
	}{
		"complete":           {key: "k", body: validBody, jobs: fakeJobs{answer: message.Answer{Complete: true, Outputs: [][]byte{[]byte("b")}}}, status: 200, want: []string{`"key":"k"`, `"outputs":["Yg=="]`}},
		"refused":            {key: "k", body: validBody, jobs: fakeJobs{answer: message.Answer{Code: zinniasill.ReasonOverload, Ran: zinniasill.NotRun, Retry: zinniasill.RetrySameKey, RetryAfter: 1500000}}, status: 503, want: []string{`"ran":"not-run"`, `"retry-after-ms":1`}},
		"in progress":        {key: "k", body: strings.Replace(validBody, `{`, `{"wait":"1ms",`, 1), jobs: fakeJobs{pending: true}, status: 202, want: []string{`"state":"in-progress"`}},
		"no key":             {body: validBody, status: 400, want: []string{"Idempotency-Key", `"ran":"not-run"`}},
		"bad epoch":          {key: "k", epoch: "x", body: validBody, status: 400, want: []string{"Job-Epoch"}},
		"malformed":          {key: "k", body: `{"profile":"p",}`, status: 400, want: []string{"at byte 16"}},
		"unknown field":      {key: "k", body: `{"profil":"p"}`, status: 400, want: []string{"profil"}},
		"trailing data":      {key: "k", body: validBody + validBody, status: 400, want: []string{"more data"}},
		"all problems":       {body: `{"profile":"","team":"","tasks":[],"wait":"-1s"}`, status: 400, want: []string{"profile", "team", "tasks", "wait", "Idempotency-Key"}},
		"too many tasks":     {key: "k", body: `{"profile":"p","team":"t","tasks":[` + strings.Repeat(`{"payload":""},`, 1000) + `{"payload":""}]}`, status: 413, want: []string{"1001"}},
		"body too large":     {key: "k", body: strings.Repeat(" ", 13<<20) + validBody, status: 413, want: []string{"too-large"}},
		"530 tasks accepted": {key: "k", body: `{"profile":"p","team":"t","tasks":[` + strings.Repeat(`{"payload":""},`, 529) + `{"payload":""}]}`, jobs: fakeJobs{answer: message.Answer{Complete: true}}, status: 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			jobs := tt.jobs
			handler := caller.New(caller.Config{Jobs: &jobs, MaxRequests: 1, Counters: metrics.New()})
			recorder := submit(handler, tt.key, tt.epoch, tt.body)
			if recorder.Code != tt.status {
				t.Errorf("status %d, want %d", recorder.Code, tt.status)
			}
			for _, want := range tt.want {
				if !strings.Contains(recorder.Body.String(), want) {
					t.Errorf("body %s does not contain %q", recorder.Body, want)
				}
			}
			if recorder.Header().Get(caller.HeaderEpoch) != "7" {
				t.Error("the response lacks the current epoch")
			}
		})
	}
}

// TestBusy guards against a refusal above the request limit that reports not-run: an
// earlier submission with the same key may have run.
func TestBusy(t *testing.T) {
	jobs := &fakeJobs{pending: true, entered: make(chan struct{})}
	handler := caller.New(caller.Config{Jobs: jobs, MaxRequests: 1, Counters: metrics.New()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		request := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(validBody)).WithContext(ctx)
		request.Header.Set(caller.HeaderKey, "first")
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}()
	<-jobs.entered
	recorder := submit(handler, "second", "", validBody)
	cancel()
	<-done
	var refusal caller.Error
	if err := json.Unmarshal(recorder.Body.Bytes(), &refusal); err != nil {
		t.Fatal(err)
	}
	if refusal.Code != zinniasill.ReasonBusy || refusal.Ran != zinniasill.RanUnknown {
		t.Errorf("refusal %+v, want code busy and ran unknown", refusal)
	}
}

// TestDigest guards against equal digests of two jobs whose payloads are the same bytes
// split differently into tasks.
func TestDigest(t *testing.T) {
	one := caller.Digest("p", [][]byte{[]byte("ab"), []byte("c")})
	other := caller.Digest("p", [][]byte{[]byte("a"), []byte("bc")})
	if one == other {
		t.Error("different payloads have the same digest")
	}
}
