package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// tick is the time between two looks of an executor at its runs.
const tick = 2 * time.Millisecond

// maxListed is the number of ends that an executor lists at a time.
const maxListed = 500

// run is one run of a task at an executor.
type run struct {
	task    string
	attempt int64
	began   time.Time
	work    time.Duration
	done    time.Duration
	// span is the entry of this run in the history.
	span *span
}

// span is a run as the check sees it.
type span struct {
	executor, task string
	attempt        int64
	began, ended   time.Time
	how            string
}

// executor is a stand-in for an executor. It does what the pages say and nothing else.
type executor struct {
	cluster *cluster
	machine *machine
	server  *http.Server
	// register is the address for its pings.
	register string

	mu       sync.Mutex
	id       string
	born     time.Time
	lease    time.Duration // on the clock of the executor
	fence    uint64
	running  map[string]*run
	highest  map[string]int64 // of the runs that ended or were stopped here
	finished [][]any
	ends     int64
	changed  chan struct{}
	seq      int64
	draining bool
	left     bool
	down     bool
	// slowness is how many times as long the work takes.
	slowness float64
	spans    []*span
}

func startExecutor(c *cluster, m *machine) (*executor, error) {
	e := &executor{
		cluster: c, machine: m, register: address(m.ip, c.ports.control),
		id: "i-" + m.name, born: time.Now().Add(-time.Second), running: map[string]*run{}, highest: map[string]int64{},
		changed: make(chan struct{}), slowness: 1,
	}
	listener, err := net.Listen("tcp", address(m.ip, c.ports.app))
	if err != nil {
		return nil, fmt.Errorf("listen as an executor: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.handleStart)
	mux.HandleFunc("POST /run-stop", e.handleStop)
	mux.HandleFunc("POST /hold", e.handleHold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	go e.work()
	go e.ping()
	return e, nil
}

// clock returns the executor's steady clock. The caller holds the mutex.
func (e *executor) clock() time.Duration {
	return time.Since(e.born)
}

// shutDown ends the executor and everything that runs on it.
func (e *executor) shutDown(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.cluster.record.add("executor %s ends: %s", e.id, why)
	for _, r := range e.sorted() {
		e.end(r, "gone")
	}
	go func() { _ = e.server.Close() }()
}

func (e *executor) sorted() []*run {
	runs := make([]*run, 0, len(e.running))
	for _, r := range e.running {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].task < runs[j].task })
	return runs
}

// end ends a run. The caller holds the mutex.
func (e *executor) end(r *run, how string) {
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.attempt)
	r.span.ended, r.span.how = time.Now(), how
	e.ends++
	e.finished = append(e.finished, []any{e.ends, r.task, r.attempt, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
	e.cluster.record.add("run %s of %s at %s ended %s", strconv.FormatInt(r.attempt, 10), r.task, e.id, how)
}

// work lets the runs proceed and ends those that are done or without a lease.
func (e *executor) work() {
	last := time.Now()
	for {
		time.Sleep(tick)
		e.mu.Lock()
		if e.down {
			e.mu.Unlock()
			return
		}
		now := time.Now()
		passed := now.Sub(last)
		last = now
		for _, r := range e.sorted() {
			r.done += time.Duration(float64(passed) / e.slowness)
			switch {
			case r.done >= r.work:
				e.end(r, "done")
			case e.clock() > e.lease:
				e.end(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// order is the body of the calls of the system.
type order struct {
	Task       string  `json:"task"`
	Attempt    int64   `json:"attempt"`
	Spec       string  `json:"spec"`
	DeadlineMS float64 `json:"deadline_ms"`
	Fence      uint64  `json:"fencing_token"`
	AckCursor  int64   `json:"ack_cursor"`
	WaitMS     int64   `json:"wait_ms"`
}

// accept decodes an order and checks its fence. It returns false if it has responded.
func (e *executor) accept(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if o.Fence < e.fence {
		e.refuse(w, "fence")
		return o, false
	}
	e.fence = o.Fence
	return o, true
}

func (e *executor) respond(w http.ResponseWriter, status int, fields map[string]any) {
	fields["clock_ms"] = e.clock().Milliseconds()
	fields["born"] = e.born.UnixMilli()
	data, _ := json.Marshal(fields)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	e.respond(w, http.StatusConflict, map[string]any{"reason": reason})
}

// extend extends the lease of everything that runs here.
func (e *executor) extend(deadlineMS float64) {
	deadline := time.Duration(deadlineMS * float64(time.Millisecond))
	e.lease = max(e.lease, min(deadline, e.clock()+maxHold))
}

func (e *executor) handleStart(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	if time.Duration(o.DeadlineMS*float64(time.Millisecond)) <= e.clock() {
		e.refuse(w, "late")
		return
	}
	e.extend(o.DeadlineMS)
	current := e.running[o.Task]
	if current != nil && current.attempt == o.Attempt {
		e.respond(w, http.StatusOK, map[string]any{})
		return
	}
	if current != nil || o.Attempt <= e.highest[o.Task] {
		e.refuse(w, "old")
		return
	}
	s := &span{executor: e.id, task: o.Task, attempt: o.Attempt, began: time.Now()}
	e.spans = append(e.spans, s)
	e.running[o.Task] = &run{task: o.Task, attempt: o.Attempt, began: s.began, work: workOf(o.Spec), span: s}
	e.cluster.record.add("run %d of %s at %s started", o.Attempt, o.Task, e.id)
	e.respond(w, http.StatusOK, map[string]any{})
}

// workOf returns the work that a spec of the form ms=N asks for.
func workOf(spec string) time.Duration {
	ms, _ := strconv.Atoi(strings.TrimPrefix(spec, "ms="))
	return time.Duration(ms) * time.Millisecond
}

func (e *executor) handleStop(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Attempt)
	if current := e.running[o.Task]; current != nil && current.attempt <= o.Attempt {
		e.end(current, "stopped")
	}
	e.respond(w, http.StatusOK, map[string]any{})
}

func (e *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	if o.DeadlineMS > 0 {
		e.extend(o.DeadlineMS)
	}
	kept := e.finished[:0:0]
	for _, row := range e.finished {
		if number, _ := row[0].(int64); number > o.AckCursor {
			kept = append(kept, row)
		}
	}
	e.finished = kept
	if len(e.finished) == 0 && o.WaitMS > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for _, r := range e.sorted() {
		percent := int(100 * r.done / max(r.work, 1))
		running = append(running, []any{r.task, r.attempt, "", percent, 6000})
	}
	listed := e.finished[:min(len(e.finished), maxListed)]
	if listed == nil {
		listed = [][]any{}
	}
	e.respond(w, http.StatusOK, map[string]any{"running": running, "finished": listed})
}

// ping sends a ping each heartbeatEvery until the executor has left.
func (e *executor) ping() {
	for {
		e.mu.Lock()
		ended := e.down || e.left
		e.mu.Unlock()
		if ended {
			return
		}
		e.pingOnce()
		time.Sleep(heartbeatEvery)
	}
}

// pingOnce sends one ping. It reports whether the ping was acknowledged within a second.
func (e *executor) pingOnce() bool {
	e.mu.Lock()
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": serviceName, "address": address(e.machine.ip, e.cluster.ports.app), "zone": e.machine.zone, "version": "v1",
		"slots": 8, "state": state, "cold_left_ms": 0, "labels": []string{"a", "r1-1"}, "seq": e.seq,
		"room":     map[string]int{"cpu": 64000, "mem_mb": 131072, "gpus": 0},
		"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli(),
	}
	e.mu.Unlock()
	return e.call("/Executors.Heartbeat/"+e.id, body) == http.StatusOK
}

// call sends a call to the process beside the executor. It returns 0 without an answer.
func (e *executor) call(path string, body any) int {
	data, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.register+path, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// history returns the runs of all executors so far. A run that has not ended ends now.
func (c *cluster) history() []span {
	var all []span
	for _, e := range c.executors {
		e.mu.Lock()
		for _, s := range e.spans {
			seen := *s
			if seen.ended.IsZero() {
				seen.ended, seen.how = time.Now(), "running"
			}
			all = append(all, seen)
		}
		e.mu.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].began.Before(all[j].began) })
	return all
}

// runsAt returns the executor at which a task of a job runs, nil if none does.
func (c *cluster) runsAt(job string) *executor {
	for _, e := range c.executors {
		e.mu.Lock()
		found := false
		for task := range e.running {
			found = found || strings.HasPrefix(task, job+".")
		}
		e.mu.Unlock()
		if found {
			return e
		}
	}
	return nil
}
