package proctest_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/internal/stubendpoint"
)

// refusal is a refusal with ran: not-run as an entry sent it.
type refusal struct {
	code  zinniasill.Reason
	retry zinniasill.Retry
	// from is the time before which no task of the job may have started: the
	// arrival of the refusal, or the time its request was sent when another request
	// for the job was open meanwhile.
	from time.Time
}

// witness records the refusals that the entries sent and the answers that callers
// got, to be compared with the starts that the endpoints saw.
type witness struct {
	next http.RoundTripper

	mu       sync.Mutex
	open     map[string]int
	overlaps map[string]int
	refusals map[string][]refusal
	// answered has the number of tasks of each job that was answered.
	answered map[string]int
}

func newWitness() *witness {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 256
	return &witness{
		next: transport, open: map[string]int{}, overlaps: map[string]int{},
		refusals: map[string][]refusal{}, answered: map[string]int{},
	}
}

// RoundTrip implements http.RoundTripper.
func (w *witness) RoundTrip(request *http.Request) (*http.Response, error) {
	key := request.Header.Get("Idempotency-Key")
	if key == "" {
		return w.next.RoundTrip(request)
	}
	sent := time.Now()
	before := w.begin(key)
	response, err := w.next.RoundTrip(request)
	if err != nil {
		w.end(key)
		return nil, err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	arrived := time.Now()
	alone := w.end(key) == before
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
		from := sent
		if alone {
			from = arrived
		}
		w.refused(key, refusal{code: body.Code, retry: body.Retry, from: from})
	}
	return response, nil
}

// begin notes an open request. Its result changes when another request for the key
// is open until the end.
func (w *witness) begin(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open[key] > 0 {
		w.overlaps[key]++
		w.open[key]++
		return -1
	}
	w.open[key]++
	return w.overlaps[key]
}

func (w *witness) end(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[key]--
	return w.overlaps[key]
}

func (w *witness) refused(key string, seen refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusals[key] = append(w.refusals[key], seen)
}

func (w *witness) complete(key string, tasks int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered[key] = tasks
}

// check compares what callers were told with the starts: no task started twice,
// each task of an answered job once, and none of a job whose refusal said not-run.
func (w *witness) check(history []stubendpoint.Start) (findings []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	starts := map[string]int{}
	byJob := map[string][]stubendpoint.Start{}
	for _, start := range history {
		starts[start.ID]++
		byJob[jobOf(start.ID)] = append(byJob[jobOf(start.ID)], start)
	}
	found := func(format string, args ...any) {
		findings = append(findings, fmt.Sprintf(format, args...))
	}
	for id, n := range starts {
		if n > 1 {
			found("task %s started %d times", id, n)
		}
	}
	for key, tasks := range w.answered {
		for i := range tasks {
			if id := taskID(key, i); starts[id] != 1 {
				found("job %s was answered, its task %s started %d times", key, id, starts[id])
			}
		}
	}
	for key, list := range w.refusals {
		for _, seen := range list {
			for _, start := range byJob[key] {
				if !seen.allows(start) {
					found("job %s was refused with %s, not-run, retry %s at %s, but %s started at %s",
						key, seen.code, seen.retry, seen.from, start.ID, start.At)
				}
			}
		}
	}
	return findings
}

// allows reports whether a start of the job is consistent with the refusal. Starts
// after a refusal are allowed only where the same key may be sent again.
func (r refusal) allows(start stubendpoint.Start) bool {
	return r.retry == zinniasill.RetrySameKey && start.At.After(r.from)
}

func jobOf(task string) string {
	key, _, _ := strings.Cut(task, "/")
	return key
}

// TestWitness guards against a check that passes over what the process tests are
// there to find.
func TestWitness(t *testing.T) {
	at := time.Now()
	starts := func(times ...time.Duration) []stubendpoint.Start {
		var history []stubendpoint.Start
		for _, offset := range times {
			history = append(history, stubendpoint.Start{ID: taskID("job", 0), At: at.Add(offset)})
		}
		return history
	}
	refused := func(retry zinniasill.Retry) map[string][]refusal {
		return map[string][]refusal{"job": {{code: zinniasill.ReasonOverload, retry: retry, from: at}}}
	}
	tests := map[string]struct {
		answered map[string]int
		refusals map[string][]refusal
		history  []stubendpoint.Start
		findings int
	}{
		"answered, one start":              {answered: map[string]int{"job": 1}, history: starts(0)},
		"answered, no start":               {answered: map[string]int{"job": 1}, findings: 1},
		"started twice":                    {history: starts(0, time.Second), findings: 1},
		"one of two tasks started":         {answered: map[string]int{"job": 2}, history: starts(0), findings: 1},
		"not-run, no start":                {refusals: refused(zinniasill.RetryNewKey)},
		"not-run, settled key, start":      {refusals: refused(zinniasill.RetryNewKey), history: starts(time.Second), findings: 1},
		"not-run, same key, start before":  {refusals: refused(zinniasill.RetrySameKey), history: starts(-time.Second), findings: 1},
		"not-run, same key, started later": {refusals: refused(zinniasill.RetrySameKey), history: starts(time.Second)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &witness{answered: tt.answered, refusals: tt.refusals}
			if findings := w.check(tt.history); len(findings) != tt.findings {
				t.Errorf("findings %q, want %d", findings, tt.findings)
			}
		})
	}
}
