// Package endpoint is an agent's HTTP interface to its endpoint, the server that executes
// the agent's tasks.
//
// The endpoint announces itself with PUT /v1/endpoint about once per second. The agent
// runs a task by sending POST {url}/run:
//
//	e := endpoint.New(endpoint.Config{Clock: clock, Counters: counters, OnChange: onChange, MayStart: leaseValid})
//	http.Serve(listener, e.Handler())
//	outcome := e.Run(ctx, task)
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
	"zinniasill/core/budget"
	"zinniasill/core/control"
	"zinniasill/io/httpserver"
)

const (
	// AnnouncementTimeout is the time without an announcement after which an
	// endpoint is considered lost.
	AnnouncementTimeout = 3 * time.Second
	// MaxOutput is the maximum size of a task's output in bytes.
	MaxOutput           = 1 << 20
	maxAnnouncementSize = 16 << 10 // bytes
	maxSlots            = 100_000
	connectTimeout      = time.Second
	// maxCheckGap is the time between two calls of Expire from which the agent was paused
	// itself, and may have announcements that it has not read.
	maxCheckGap = 500 * time.Millisecond
	// runPath is appended to the endpoint's URL.
	runPath = "/run"
)

// CounterFailedRuns is the name of the counter of runs that ended without a usable
// response, by reason.
const CounterFailedRuns = "endpoint_runs_failed"

const (
	reasonNoAnswer         zinniasill.Reason = "no-answer"
	reasonCrossedAnswer    zinniasill.Reason = "crossed-answer"
	reasonAnswerTooLarge   zinniasill.Reason = "answer-too-large"
	reasonAnswerIncomplete zinniasill.Reason = "answer-incomplete"
	reasonMayNotStart      zinniasill.Reason = "may-not-start"
)

// Announcement is the body with which an endpoint registers itself.
type Announcement struct {
	URL   string            `json:"url"`
	Slots int               `json:"slots"`
	Kinds []zinniasill.Kind `json:"kinds"`
	// State is "serving" or "leaving".
	State string `json:"state"`
}

// Config configures an Endpoint. All fields but RunTimeout are required.
type Config struct {
	Clock    zinniasill.Clock
	Counters zinniasill.Counters
	// OnChange is called after each change of the announcement, with the zero value when
	// the endpoint is lost. Calls are serialized in the order of the changes. It must not
	// call methods of the Endpoint.
	OnChange func(Announcement)
	// MayStart reports whether the agent has permission to start a task. It is called on
	// the goroutine that writes the request, immediately before the first byte. If it
	// returns false, nothing is written and the outcome is NotRun. Checking any earlier
	// would let a process that was paused between the check and the write start a task
	// after its lease expired.
	MayStart func() bool
	// RunTimeout is the maximum duration of one run, DefaultRunTimeout if 0. Without it an
	// unresponsive connection would occupy a slot forever.
	RunTimeout time.Duration
}

// DefaultRunTimeout is the longest answer-within that a profile may set. No caller
// waits for a result beyond it.
const DefaultRunTimeout = control.MaxAnswerWithin

// Endpoint is an agent's client for its endpoint. It tracks the endpoint's announcements
// and runs tasks on it. Use New to create one.
type Endpoint struct {
	cfg Config
	// transport is used directly because an http.Client follows redirects, which could
	// start a task a second time.
	transport *http.Transport

	// notifyMu is held from a change of announced until OnChange has returned. Without it
	// an expiry could be reported after the announcement that superseded it, and the agent
	// would have no endpoint until the next change.
	notifyMu      sync.Mutex
	mu            sync.Mutex
	announced     Announcement
	runURL        *url.URL
	lastAnnounced time.Time
	lastChecked   time.Time
}

// New returns an Endpoint without an announcement: Run fails until the first one arrives.
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

// Handler returns the HTTP handler that receives the endpoint's announcements.
func (e *Endpoint) Handler() http.Handler {
	router := httprouter.New()
	router.PUT("/v1/endpoint", e.announce)
	return router
}

func (e *Endpoint) announce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := httpserver.ReadBody(w, r, maxAnnouncementSize)
	var refusal *budget.ExhaustedError
	if errors.As(err, &refusal) {
		httpserver.WriteUnavailable(w, refusal.RetryAfter)
		return
	}
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	var body Announcement
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		http.Error(w, "announcement: data after the JSON object", http.StatusBadRequest)
		return
	}
	runURL, problems := body.validate()
	if len(problems) > 0 {
		http.Error(w, "announcement: "+strings.Join(problems, "; "), http.StatusBadRequest)
		return
	}
	e.notifyMu.Lock()
	defer e.notifyMu.Unlock()
	e.mu.Lock()
	changed := !body.equal(e.announced)
	e.announced = body
	e.runURL = runURL
	e.lastAnnounced = e.cfg.Clock.Now()
	e.mu.Unlock()
	if changed {
		e.cfg.OnChange(body)
	}
	w.WriteHeader(http.StatusNoContent)
}

// validate returns the URL that runs are sent to, or all problems of the announcement.
func (a Announcement) validate() (runURL *url.URL, problems []string) {
	// runPath is appended to the URL and would become part of a query or fragment.
	if parsed, err := url.Parse(a.URL); err != nil || parsed.Scheme != "http" || parsed.Host == "" ||
		strings.ContainsAny(a.URL, "?#") || !validPort(parsed.Port()) {
		problems = append(problems, fmt.Sprintf("url: %q is not of the form http://ip:port", a.URL))
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		problems = append(problems, fmt.Sprintf("slots: %d is not between 1 and %d", a.Slots, maxSlots))
	}
	if len(a.Kinds) == 0 {
		problems = append(problems, "kinds: at least one is required")
	}
	if len(a.Kinds) > control.MaxKinds {
		problems = append(problems, fmt.Sprintf("kinds: %d are more than %d", len(a.Kinds), control.MaxKinds))
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

// validPort reports whether a port is in range or left out.
func validPort(port string) bool {
	number, err := strconv.ParseUint(port, 10, 16)
	return port == "" || err == nil && number > 0
}

func (a Announcement) equal(other Announcement) bool {
	return a.URL == other.URL && a.Slots == other.Slots && a.State == other.State &&
		fmt.Sprint(a.Kinds) == fmt.Sprint(other.Kinds)
}

// Expire removes an endpoint that has not announced itself for AnnouncementTimeout and
// calls OnChange with the zero Announcement. It is called every 100 ms. A much longer time
// between two calls is a pause of the agent, which counts as none.
func (e *Endpoint) Expire(now time.Time) {
	e.notifyMu.Lock()
	defer e.notifyMu.Unlock()
	e.mu.Lock()
	e.discountPause(now)
	expired := e.announced.Slots > 0 && now.Sub(e.lastAnnounced) >= AnnouncementTimeout
	if expired {
		e.announced = Announcement{}
		e.runURL = nil
	}
	e.mu.Unlock()
	if expired {
		e.cfg.OnChange(Announcement{})
	}
}

// discountPause makes a pause of the agent count as no time without an announcement.
func (e *Endpoint) discountPause(now time.Time) {
	gap := now.Sub(e.lastChecked)
	if !e.lastChecked.IsZero() && gap >= maxCheckGap {
		e.lastAnnounced = e.lastAnnounced.Add(gap)
		if e.lastAnnounced.After(now) {
			e.lastAnnounced = now
		}
	}
	e.lastChecked = now
}

// Run implements zinniasill.Runner. If no complete response arrives, the outcome is
// RanUnknown, because the request may have reached the endpoint.
func (e *Endpoint) Run(ctx context.Context, task zinniasill.Task) zinniasill.Outcome {
	id := task.Key.String() + "/" + strconv.FormatUint(uint64(task.Index), 10)
	ctx, cancel := context.WithTimeout(ctx, e.cfg.RunTimeout)
	defer cancel()
	start := &startGate{ctx: ctx, mayStart: e.cfg.MayStart}
	request, ok := e.request(withGate(ctx, start.check), task, id)
	if !ok {
		return e.countFailure(reasonNoAnswer, "no endpoint has announced itself")
	}
	response, err := e.transport.RoundTrip(request)
	switch {
	case start.denied():
		e.cfg.Counters.Inc(CounterFailedRuns, reasonMayNotStart)
		return zinniasill.Outcome{Error: errNotStarted.Error(), Ran: zinniasill.NotRun}
	case err != nil:
		return e.countFailure(reasonNoAnswer, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	output, err := io.ReadAll(io.LimitReader(response.Body, MaxOutput+1))
	switch {
	case err != nil:
		return e.countFailure(reasonAnswerIncomplete, err.Error())
	case len(output) > MaxOutput:
		return e.countFailure(reasonAnswerTooLarge, fmt.Sprintf("output is larger than %d bytes", MaxOutput))
	case response.Header.Get("Task-Id") != id:
		return e.countFailure(reasonCrossedAnswer, fmt.Sprintf("answer carries task id %q", response.Header.Get("Task-Id")))
	case response.StatusCode != http.StatusOK:
		text := fmt.Sprintf("status %d: %.200s", response.StatusCode, output)
		return zinniasill.Outcome{Error: text, Ran: zinniasill.DidRun}
	default:
		return zinniasill.Outcome{OK: true, Output: output, Ran: zinniasill.DidRun}
	}
}

// request builds the HTTP request of a run. It returns false if no endpoint is announced.
//
// When a reused connection closes without a response, the transport resends requests that
// it considers idempotent. A POST qualifies only with an Idempotency-Key header and a body
// that GetBody can replay, so neither is set.
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

// countFailure counts a run that ended without a usable response and returns its outcome.
func (e *Endpoint) countFailure(reason zinniasill.Reason, text string) zinniasill.Outcome {
	e.cfg.Counters.Inc(CounterFailedRuns, reason)
	return zinniasill.Outcome{Error: string(reason) + ": " + text, Ran: zinniasill.RanUnknown}
}
