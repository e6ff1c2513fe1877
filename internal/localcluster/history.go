package localcluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"zinniasill"
	"zinniasill/internal/stubendpoint"
)

// refusal is a refusal with ran: not-run that a caller received from an entry.
type refusal struct {
	code  zinniasill.Reason
	retry zinniasill.Retry
	// noStartBefore is the time before which no task of the job may have started: the
	// arrival of the refusal, or the time its request was sent if another request for
	// the job overlapped with it.
	noStartBefore time.Time
}

// HistoryChecker records the refusals and answers that callers received and compares
// them with the starts that the endpoints recorded. It is the http.RoundTripper of the
// callers' clients, and payloads must have the IDs that TaskID returns. Use
// NewHistoryChecker to create one.
type HistoryChecker struct {
	next http.RoundTripper

	mu       sync.Mutex
	open     map[string]int
	overlaps map[string]int
	refusals map[string][]refusal
	// answered is the number of tasks of each answered job, by its key.
	answered map[string]int
}

// NewHistoryChecker returns a HistoryChecker with its own connection pool.
func NewHistoryChecker() *HistoryChecker {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 256
	return &HistoryChecker{
		next: transport, open: map[string]int{}, overlaps: map[string]int{},
		refusals: map[string][]refusal{}, answered: map[string]int{},
	}
}

// RoundTrip sends a request and records a refusal with ran: not-run. Requests without an
// idempotency key are not recorded. It implements http.RoundTripper.
func (h *HistoryChecker) RoundTrip(request *http.Request) (*http.Response, error) {
	key := request.Header.Get("Idempotency-Key")
	if key == "" {
		return h.next.RoundTrip(request)
	}
	sent := time.Now()
	before := h.begin(key)
	response, err := h.next.RoundTrip(request)
	if err != nil {
		h.end(key)
		return nil, err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	arrived := time.Now()
	alone := h.end(key) == before
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	var body struct {
		Code  zinniasill.Reason `json:"code"`
		Ran   zinniasill.Ran    `json:"ran"`
		Retry zinniasill.Retry  `json:"retry"`
	}
	if json.Unmarshal(data, &body) == nil && body.Ran == zinniasill.NotRun {
		noStartBefore := sent
		if alone {
			noStartBefore = arrived
		}
		h.refused(key, refusal{code: body.Code, retry: body.Retry, noStartBefore: noStartBefore})
	}
	return response, nil
}

// begin records that a request for key is open. If the result equals that of end, no
// other request for the key was open in between.
func (h *HistoryChecker) begin(key string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open[key] > 0 {
		h.overlaps[key]++
		h.open[key]++
		return -1
	}
	h.open[key]++
	return h.overlaps[key]
}

func (h *HistoryChecker) end(key string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[key]--
	return h.overlaps[key]
}

func (h *HistoryChecker) refused(key string, seen refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals[key] = append(h.refusals[key], seen)
}

// Complete records that a caller received the complete answer of a job.
func (h *HistoryChecker) Complete(key string, tasks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered[key] = tasks
}

// Check compares the recorded answers and refusals with the starts. It returns a finding
// for each task that started twice, each task of an answered job that did not start
// exactly once, and each start that contradicts a refusal with ran: not-run.
func (h *HistoryChecker) Check(history []stubendpoint.Start) (findings []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	starts := map[string]int{}
	byJob := map[string][]stubendpoint.Start{}
	for _, start := range history {
		starts[start.ID]++
		byJob[JobOf(start.ID)] = append(byJob[JobOf(start.ID)], start)
	}
	addFinding := func(format string, args ...any) {
		findings = append(findings, fmt.Sprintf(format, args...))
	}
	for id, n := range starts {
		if n > 1 {
			addFinding("task %s started %d times", id, n)
		}
	}
	for key, tasks := range h.answered {
		for i := range tasks {
			if id := TaskID(key, i); starts[id] != 1 {
				addFinding("job %s was answered, its task %s started %d times", key, id, starts[id])
			}
		}
	}
	for key, list := range h.refusals {
		for _, seen := range list {
			for _, start := range byJob[key] {
				if !seen.allows(start) {
					addFinding("job %s was refused with %s, not-run, retry %s at %s, but %s started at %s",
						key, seen.code, seen.retry, seen.noStartBefore, start.ID, start.At)
				}
			}
		}
	}
	return findings
}

// allows reports whether a start of the job is consistent with the refusal. Starts after
// a refusal are allowed only if the caller may retry with the same key.
func (r refusal) allows(start stubendpoint.Start) bool {
	return r.retry == zinniasill.RetrySameKey && start.At.After(r.noStartBefore)
}

// TaskID returns the payload ID of the i-th task of the job with the given key.
func TaskID(key string, i int) string {
	return key + "/" + strconv.Itoa(i)
}

// JobOf returns the key of the job from an ID returned by TaskID.
func JobOf(task string) string {
	key, _, _ := strings.Cut(task, "/")
	return key
}

// Answered returns the number of jobs recorded with Complete.
func (h *HistoryChecker) Answered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.answered)
}

// NotRun returns the number of recorded refusals with ran: not-run.
func (h *HistoryChecker) NotRun() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, list := range h.refusals {
		count += len(list)
	}
	return count
}

// Codes returns the number of refusals by code and retry advice, joined by a space.
func (h *HistoryChecker) Codes() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := map[string]int{}
	for _, list := range h.refusals {
		for _, seen := range list {
			count[string(seen.code)+" "+string(seen.retry)]++
		}
	}
	return count
}
