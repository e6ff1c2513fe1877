// Package endpoint is the HTTP interface towards the endpoint beside an agent.
//
// The endpoint announces itself with PUT /v1/endpoint about every second; the
// agent runs a task by POST {url}/run:
//
//	beside := endpoint.New(endpoint.Config{Clock: clock, Counters: counters, Changed: changed, MayStart: valid})
//	http.Serve(listener, beside.Handler())
//	outcome := beside.Run(ctx, task)
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"zinniasill"
	"zinniasill/core/control"
)

const (
	// AnnouncementTimeout is the time without an announcement after which an endpoint is
	// considered gone.
	AnnouncementTimeout = 3 * time.Second
	// MaxOutput bounds the output of a task in bytes.
	MaxOutput       = 1 << 20
	maxAnnouncement = 16 << 10
	maxSlots        = 100_000
	connectTimeout  = time.Second
	// runPath is appended to the endpoint's URL.
	runPath = "/run"
)

// CounterFailedRuns counts runs that ended without a usable answer, by reason.
const CounterFailedRuns = "endpoint_runs_failed"

const (
	reasonNoAnswer   zinniasill.Reason = "no-answer"
	reasonCrossed    zinniasill.Reason = "crossed-answer"
	reasonTooLarge   zinniasill.Reason = "answer-too-large"
	reasonIncomplete zinniasill.Reason = "answer-incomplete"
	reasonNoLease    zinniasill.Reason = "may-not-start"
)

// Announcement is what an endpoint tells about itself.
type Announcement struct {
	URL   string            `json:"url"`
	Slots int               `json:"slots"`
	Kinds []zinniasill.Kind `json:"kinds"`
	// State is serving or leaving.
	State string `json:"state"`
}

// Config configures an Endpoint. All fields are required.
type Config struct {
	Clock    zinniasill.Clock
	Counters zinniasill.Counters
	// OnChange is called when the announced state changed, one call at a time and in
	// the order of the changes. It must not call the Endpoint.
	OnChange func(Announcement)
	// MayStart is called on the goroutine that writes a run to its connection, right
	// before the first byte. When it returns false nothing is written and the outcome
	// is NotRun. A process that was stopped while it took a connection would otherwise
	// start a task with a lease that ended meanwhile.
	MayStart func() bool
	// RunTimeout bounds one run, DefaultRunTimeout if 0. A connection that went
	// silent would otherwise hold a slot for good.
	RunTimeout time.Duration
}

// DefaultRunTimeout is the longest time that a profile may allow for an answer.
// Nobody waits for a result after it.
const DefaultRunTimeout = control.MaxAnswerWithin

// Endpoint is the endpoint beside an agent. Use New.
type Endpoint struct {
	cfg Config
	// transport is used without an http.Client, which would follow redirects and so
	// could start a task a second time.
	transport *http.Transport

	// changing is held from a change of known until Changed has returned. Without it
	// an expiry could be reported after the announcement that ended it, and the
	// agent would have no endpoint until the next change.
	changing sync.Mutex
	mu       sync.Mutex
	known    Announcement
	runURL   *url.URL
	heard    time.Time
}

// New returns an endpoint that has not announced itself.
func New(cfg Config) *Endpoint {
	if cfg.RunTimeout == 0 {
		cfg.RunTimeout = DefaultRunTimeout
	}
	return &Endpoint{cfg: cfg, transport: &http.Transport{
		DialContext:         dialGated,
		MaxIdleConnsPerHost: maxSlots,
		DisableCompression:  true,
	}}
}

// Handler serves the announcements of the endpoint.
func (e *Endpoint) Handler() http.Handler {
	router := httprouter.New()
	router.PUT("/v1/endpoint", e.announce)
	return router
}

func (e *Endpoint) announce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		http.Error(w, "announcement: data after the JSON object", http.StatusBadRequest)
		return
	}
	runURL, problems := body.check()
	if len(problems) > 0 {
		http.Error(w, "announcement: "+strings.Join(problems, "; "), http.StatusBadRequest)
		return
	}
	e.changing.Lock()
	defer e.changing.Unlock()
	e.mu.Lock()
	changed := !body.equal(e.known)
	e.known = body
	e.runURL = runURL
	e.heard = e.cfg.Clock.Now()
	e.mu.Unlock()
	if changed {
		e.cfg.OnChange(body)
	}
	w.WriteHeader(http.StatusNoContent)
}

// check returns the URL of runs, and what is wrong with the announcement.
func (a Announcement) check() (runURL *url.URL, problems []string) {
	// The path of a run is appended to the URL, so a query or fragment would hide it.
	if parsed, err := url.Parse(a.URL); err != nil || parsed.Scheme != "http" || parsed.Host == "" ||
		strings.ContainsAny(a.URL, "?#") {
		problems = append(problems, fmt.Sprintf("url: %q is not of the form http://ip:port", a.URL))
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		problems = append(problems, fmt.Sprintf("slots: %d is not between 1 and %d", a.Slots, maxSlots))
	}
	if len(a.Kinds) == 0 {
		problems = append(problems, "kinds: at least one is required")
	}
	for _, kind := range a.Kinds {
		if !control.ValidName(string(kind)) {
			problems = append(problems, fmt.Sprintf("kinds: %q is not a valid name", kind))
		}
	}
	if a.State != "serving" && a.State != "leaving" {
		problems = append(problems, fmt.Sprintf("state: %q is neither serving nor leaving", a.State))
	}
	if len(problems) > 0 {
		return nil, problems
	}
	runURL, err := url.Parse(a.URL + runPath)
	if err != nil {
		problems = append(problems, "url: "+err.Error())
	}
	return runURL, problems
}

func (a Announcement) equal(other Announcement) bool {
	return a.URL == other.URL && a.Slots == other.Slots && a.State == other.State &&
		fmt.Sprint(a.Kinds) == fmt.Sprint(other.Kinds)
}

// Expire forgets an endpoint that has not announced itself for Expiry and calls
// Changed with the zero Announcement.
func (e *Endpoint) Expire(now time.Time) {
	e.changing.Lock()
	defer e.changing.Unlock()
	e.mu.Lock()
	gone := e.known.Slots > 0 && now.Sub(e.heard) >= AnnouncementTimeout
	if gone {
		e.known = Announcement{}
		e.runURL = nil
	}
	e.mu.Unlock()
	if gone {
		e.cfg.OnChange(Announcement{})
	}
}

// Run implements zinniasill.Runner. A failure to get a whole answer is RanUnknown:
// the request may have reached the endpoint.
func (e *Endpoint) Run(ctx context.Context, task zinniasill.Task) zinniasill.Outcome {
	id := task.Key.String() + "/" + strconv.FormatUint(uint64(task.Index), 10)
	ctx, cancel := context.WithTimeout(ctx, e.cfg.RunTimeout)
	defer cancel()
	gate := &startGate{ctx: ctx, mayStart: e.cfg.MayStart}
	request, ok := e.request(gate.trace(ctx), task, id)
	if !ok {
		return e.failed(reasonNoAnswer, "no endpoint has announced itself")
	}
	response, err := e.transport.RoundTrip(request)
	switch {
	case gate.closed():
		e.cfg.Counters.Inc(CounterFailedRuns, reasonNoLease)
		return zinniasill.Outcome{Error: errNotStarted.Error(), Ran: zinniasill.NotRun}
	case err != nil:
		return e.failed(reasonNoAnswer, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	output, err := io.ReadAll(io.LimitReader(response.Body, MaxOutput+1))
	switch {
	case err != nil:
		return e.failed(reasonIncomplete, err.Error())
	case len(output) > MaxOutput:
		return e.failed(reasonTooLarge, fmt.Sprintf("output is larger than %d bytes", MaxOutput))
	case response.Header.Get("Task-Id") != id:
		return e.failed(reasonCrossed, fmt.Sprintf("answer carries task id %q", response.Header.Get("Task-Id")))
	case response.StatusCode != http.StatusOK:
		text := fmt.Sprintf("status %d: %.200s", response.StatusCode, output)
		return zinniasill.Outcome{Error: text, Ran: zinniasill.DidRun}
	default:
		return zinniasill.Outcome{OK: true, Output: output, Ran: zinniasill.DidRun}
	}
}

// request returns the request of a run. It reports false when no endpoint is known.
//
// When a reused connection ends without an answer, the transport resends a request
// that it takes for idempotent. A POST is one only with an Idempotency-Key header and
// a body that GetBody can read again, so neither is set.
func (e *Endpoint) request(ctx context.Context, task zinniasill.Task, id string) (*http.Request, bool) {
	e.mu.Lock()
	target := e.runURL
	e.mu.Unlock()
	if target == nil {
		return nil, false
	}
	request := &http.Request{
		Method: http.MethodPost, URL: target, Host: target.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        http.Header{"Task-Id": {id}, "Profile": {string(task.Profile)}},
		Body:          http.NoBody,
		ContentLength: int64(len(task.Payload)),
	}
	if len(task.Payload) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(task.Payload))
	}
	if user := target.User; user != nil {
		password, _ := user.Password()
		request.SetBasicAuth(user.Username(), password)
	}
	return request.WithContext(ctx), true
}

func (e *Endpoint) failed(reason zinniasill.Reason, text string) zinniasill.Outcome {
	e.cfg.Counters.Inc(CounterFailedRuns, reason)
	return zinniasill.Outcome{Error: string(reason) + ": " + text, Ran: zinniasill.RanUnknown}
}
