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

// refusal is a refusal with ran: not-run as an entry sent it.
type refusal struct {
	code  zinniasill.Reason
	retry zinniasill.Retry
	// from is the time before which no task of the job may have started: the
	// arrival of the refusal, or the time its request was sent when another request
	// for the job was open meanwhile.
	from time.Time
}

// Witness records the refusals that the entries sent and the answers that callers
// got, to be compared with the starts that the endpoints saw. It is the transport
// of the callers' clients; payloads have the ids that TaskID returns. Use
// NewWitness.
type Witness struct {
	next http.RoundTripper

	mu       sync.Mutex
	open     map[string]int
	overlaps map[string]int
	refusals map[string][]refusal
	// answered has the number of tasks of each job that was answered.
	answered map[string]int
}

// NewWitness returns a witness that sends requests over connections of its own.
func NewWitness() *Witness {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 256
	return &Witness{
		next: transport, open: map[string]int{}, overlaps: map[string]int{},
		refusals: map[string][]refusal{}, answered: map[string]int{},
	}
}

// RoundTrip implements http.RoundTripper.
func (w *Witness) RoundTrip(request *http.Request) (*http.Response, error) {
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
func (w *Witness) begin(key string) int {
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

func (w *Witness) end(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[key]--
	return w.overlaps[key]
}

func (w *Witness) refused(key string, seen refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusals[key] = append(w.refusals[key], seen)
}

// Complete notes a job whose whole answer a caller got.
func (w *Witness) Complete(key string, tasks int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered[key] = tasks
}

// Check compares what callers were told with the starts: no task started twice,
// each task of an answered job once, and none of a job whose refusal said not-run.
func (w *Witness) Check(history []stubendpoint.Start) (findings []string) {
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
			if id := TaskID(key, i); starts[id] != 1 {
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

// TaskID returns the id of a job's task that the witness expects in the payload.
func TaskID(key string, i int) string {
	return key + "/" + strconv.Itoa(i)
}

func jobOf(task string) string {
	key, _, _ := strings.Cut(task, "/")
	return key
}

// Answered returns the number of jobs whose answers were noted with Complete.
func (w *Witness) Answered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.answered)
}

// NotRun returns the number of refusals with ran: not-run so far.
func (w *Witness) NotRun() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, list := range w.refusals {
		count += len(list)
	}
	return count
}

// Codes counts the refusals by code and advice.
func (w *Witness) Codes() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	for _, list := range w.refusals {
		for _, seen := range list {
			count[string(seen.code)+" "+string(seen.retry)]++
		}
	}
	return count
}
