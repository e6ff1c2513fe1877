package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/client"
)

// fakeEntry answers submissions by a script, one step for each, the last one for
// all further ones.
type fakeEntry struct {
	mu     sync.Mutex
	script []func(w http.ResponseWriter, r *http.Request)
	keys   []string
	epochs []string
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Job-Epoch", "5")
	if r.URL.Path == "/v1/epoch" {
		_, _ = fmt.Fprint(w, `{"epoch":4}`)
		return
	}
	if key, ok := strings.CutPrefix(r.URL.Path, "/v1/jobs/"); ok {
		r.Header.Set("Idempotency-Key", key)
	}
	f.mu.Lock()
	f.keys = append(f.keys, r.Header.Get("Idempotency-Key"))
	f.epochs = append(f.epochs, r.Header.Get("Job-Epoch"))
	step := f.script[min(len(f.keys), len(f.script))-1]
	f.mu.Unlock()
	step(w, r)
}

func complete(w http.ResponseWriter, r *http.Request) {
	body := map[string]any{"key": r.Header.Get("Idempotency-Key"), "state": "complete", "outputs": [][]byte{[]byte("out")}}
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(code zinniasill.Reason, ran zinniasill.Ran, retry zinniasill.Retry) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(map[string]any{"code": code, "ran": ran, "retry": retry})
	}
}

func lose(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

func hang(_ http.ResponseWriter, r *http.Request) {
	// The server notices that the client has gone only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func crossed(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{"key": "another", "state": "complete", "outputs": [][]byte{[]byte("x")}})
}

func pending(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(map[string]any{"key": r.Header.Get("Idempotency-Key"), "state": "in-progress"})
}

// TestSubmit guards against a client that resubmits under another key or stamp,
// takes another job's answer, or gives up while another entry could answer.
func TestSubmit(t *testing.T) {
	type steps []func(http.ResponseWriter, *http.Request)
	tests := map[string]struct {
		first, second steps
		code          zinniasill.Reason
	}{
		"complete":                  {first: steps{complete}},
		"answer lost":               {first: steps{lose}, second: steps{complete}},
		"silent connection":         {first: steps{hang}, second: steps{complete}},
		"crossed answer":            {first: steps{crossed}, second: steps{complete}},
		"in progress, then done":    {first: steps{pending, pending, complete}},
		"refused, same key allowed": {first: steps{refuse("lease-expired", zinniasill.NotRun, zinniasill.RetrySameKey)}, second: steps{complete}},
		"refused for good":          {first: steps{refuse("overload", zinniasill.NotRun, zinniasill.RetryNewKey)}, code: zinniasill.ReasonOverload},
		"failed":                    {first: steps{refuse("task-failed", zinniasill.DidRun, zinniasill.RetryNone)}, code: zinniasill.ReasonTaskFailed},
		"no entry answers":          {first: steps{lose}, second: steps{lose}, code: zinniasill.ReasonOutcomeUnknown},
		"record lost after a send":  {first: steps{lose}, second: steps{refuse("record-lost", zinniasill.RanUnknown, zinniasill.RetryNone)}, code: zinniasill.ReasonRecordLost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if len(tt.second) == 0 {
				tt.second = steps{complete}
			}
			entries := []*fakeEntry{{script: tt.first}, {script: tt.second}}
			cfg := client.Config{Team: "t", AttemptWait: 10 * time.Millisecond, Silence: 50 * time.Millisecond, Attempts: 4}
			for _, entry := range entries {
				server := httptest.NewServer(entry)
				defer server.Close()
				cfg.Entries = append(cfg.Entries, server.URL)
			}
			c := client.New(cfg)
			defer c.Close()
			answer, err := c.Submit(t.Context(), client.Job{Key: "k", Profile: "p", Tasks: [][]byte{[]byte("in")}})
			var refusal *client.RefusalError
			if tt.code == "" && (err != nil || string(answer.Outputs[0]) != "out") {
				t.Fatalf("answer %v, error %v", answer, err)
			}
			if tt.code != "" && (!errors.As(err, &refusal) || refusal.Code != tt.code) {
				t.Fatalf("error %v, want code %s", err, tt.code)
			}
			for _, entry := range entries {
				// A connection that was cut does not order the handler before this read.
				entry.mu.Lock()
				defer entry.mu.Unlock()
				for i := range entry.keys {
					if entry.keys[i] != "k" || entry.epochs[i] != entries[0].epochs[0] {
						t.Errorf("sent key %q with epoch %q", entry.keys[i], entry.epochs[i])
					}
				}
			}
		})
	}
}

// TestWithoutRight guards against a client that repeats a request until its time is
// over when its certificate lacks the right, and hides why.
func TestWithoutRight(t *testing.T) {
	asked := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		w.WriteHeader(http.StatusForbidden)
		_, _ = fmt.Fprint(w, `{"code":"wrong-right","ran":"unknown","retry":"none","message":"no caller"}`)
	}))
	defer server.Close()
	c := client.New(client.Config{Entries: []string{server.URL}, Team: "t"})
	defer c.Close()
	for name, epoch := range map[string]zinniasill.Epoch{"without stamp": 0, "with stamp": 3} {
		asked = 0
		_, err := c.Submit(t.Context(), client.Job{Key: "k", Epoch: epoch, Profile: "p", Tasks: [][]byte{[]byte("in")}})
		var refusal *client.RefusalError
		if !errors.As(err, &refusal) || refusal.Code != "wrong-right" || asked != 1 {
			t.Errorf("%s: error %v after %d requests", name, err, asked)
		}
	}
}

// TestSubmitAgainAfterLoss guards against a client that gives a resubmitted job a
// newer stamp when its record is lost. The entries would then take the job for a new
// one and start its tasks a second time.
func TestSubmitAgainAfterLoss(t *testing.T) {
	for _, code := range []zinniasill.Reason{zinniasill.ReasonRecordLost, zinniasill.ReasonKeyExpired} {
		t.Run(string(code), func(t *testing.T) {
			entry := &fakeEntry{script: []func(http.ResponseWriter, *http.Request){
				refuse(code, zinniasill.RanUnknown, zinniasill.RetryNone), complete,
			}}
			server := httptest.NewServer(entry)
			defer server.Close()
			c := client.New(client.Config{Team: "t", Entries: []string{server.URL}})
			defer c.Close()
			job := client.Job{Key: "k", Profile: "p", Tasks: [][]byte{[]byte("in")}, Epoch: 3}
			var refusal *client.RefusalError
			if _, err := c.Submit(t.Context(), job); !errors.As(err, &refusal) || refusal.Code != code {
				t.Errorf("error %v, want code %s", err, code)
			}
			if len(entry.epochs) != 1 || entry.epochs[0] != "3" {
				t.Errorf("sent with epochs %v", entry.epochs)
			}
		})
	}
}

// TestSubmitAfterShutdown guards against a client that goes on sending its jobs to
// an entry that refuses all of them because it is stopping or has no lease.
func TestSubmitAfterShutdown(t *testing.T) {
	for _, code := range []zinniasill.Reason{zinniasill.ReasonShuttingDown, zinniasill.ReasonLeaseExpired} {
		t.Run(string(code), func(t *testing.T) {
			stopping := &fakeEntry{script: []func(http.ResponseWriter, *http.Request){refuse(code, zinniasill.NotRun, zinniasill.RetryNewKey)}}
			serving := &fakeEntry{script: []func(http.ResponseWriter, *http.Request){complete}}
			cfg := client.Config{Team: "t"}
			for _, entry := range []*fakeEntry{stopping, serving} {
				server := httptest.NewServer(entry)
				defer server.Close()
				cfg.Entries = append(cfg.Entries, server.URL)
			}
			c := client.New(cfg)
			defer c.Close()
			job := client.Job{Key: "k", Profile: "p", Tasks: [][]byte{[]byte("in")}}
			var refusal *client.RefusalError
			if _, err := c.Submit(t.Context(), job); !errors.As(err, &refusal) || refusal.Code != code {
				t.Fatalf("first job: error %v, want code %s", err, code)
			}
			job.Key = "k2"
			if _, err := c.Submit(t.Context(), job); err != nil {
				t.Fatalf("second job: %v", err)
			}
		})
	}
}

// ExampleClient_Submit submits a job of one task and tells a refusal that is safe
// to act on from one that is not.
func ExampleClient_Submit() {
	server := httptest.NewServer(&fakeEntry{script: []func(http.ResponseWriter, *http.Request){complete}})
	defer server.Close()
	c := client.New(client.Config{Entries: []string{server.URL}, Team: "order-desk"})
	defer c.Close()
	answer, err := c.Submit(context.Background(), client.Job{
		Key: "proof-1734", Profile: "proof", Tasks: [][]byte{[]byte("Lakshmi & Arjun")},
	})
	var refusal *client.RefusalError
	switch {
	case errors.As(err, &refusal) && refusal.Ran == zinniasill.NotRun:
		fmt.Println("nothing ran:", refusal.Code)
	case err != nil:
		fmt.Println("ask again with the same key:", err)
	default:
		fmt.Printf("%s: %s\n", answer.Key, answer.Outputs[0])
	}
	// Output: proof-1734: out
}

// TestLastRefusalIsNotAwaited guards against a client that waits the advised time
// after its last attempt, which only delays the caller.
func TestLastRefusalIsNotAwaited(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Job-Epoch", "5")
		if r.URL.Path == "/v1/epoch" {
			_, _ = fmt.Fprint(w, `{"epoch":4}`)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"code":"overload","ran":"not-run","retry":"same-key","retry-after-ms":3600000}`)
	}))
	defer server.Close()
	c := client.New(client.Config{Entries: []string{server.URL}, Team: "atlas", Attempts: 1})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := c.Submit(ctx, client.Job{Key: "pull-1", Profile: "proof", Tasks: [][]byte{[]byte("x")}})
	var refusal *client.RefusalError
	if !errors.As(err, &refusal) || refusal.Code != zinniasill.ReasonOverload {
		t.Errorf("error %v", err)
	}
}
