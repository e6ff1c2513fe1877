package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of the executors.
const (
	// maxHold is the longest lease.
	maxHold = time.Second
	// stopTime is the time that a stop takes.
	stopTime = 20 * time.Millisecond
	// leaseCheckInterval is the time between two looks at the lease.
	leaseCheckInterval = 5 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 1500 * time.Millisecond
	// bootClock is the reading of an executor's clock at its start.
	bootClock = 60 * time.Second
	// maxListed is the number of ends in one response.
	maxListed = 500
)

// room is the capacity of an executor, or the need of a task.
type room struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPUs  int64 `json:"gpus"`
}

// boot is what one boot of an executor is.
type boot struct {
	id     string
	labels []string
	room   room
}

// start is a task that an executor has begun.
type start struct {
	task     string
	attempt  int64
	executor string
	labels   []string
	at       time.Time
	// used is the CPU in use with this task, and room that of the boot.
	used, room int64
	// end is zero while the task runs. how tells how it ended.
	end time.Time
	how string
}

// started is a task that runs.
type started struct {
	*start
	need   int64
	endsAt time.Time
	stopAt time.Time
}

// finished is an end that is listed.
type finished struct {
	number  int64
	task    string
	attempt int64
	how     string
}

// executor is a stand-in for the executor on one side machine. It can crash and start again.
type executor struct {
	address, registry, service, zone string
	// guards is set if it rejects what does not fit.
	guards bool
	record *record

	mu       sync.Mutex
	boot     boot
	up       bool
	born     time.Time
	seq      int64
	deadline time.Duration
	fence    uint64
	running  map[string]*started
	highest  map[string]int64
	ends     []finished
	lastEnd  int64
	changed  chan struct{}
	starts   []*start
	server   *http.Server
	down     chan struct{}
}

// bootUp starts a boot: it listens, and sends its first heartbeat at once.
func (e *executor) bootUp(b boot) error {
	listener, err := listenRetry(e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.boot, e.up, e.born, e.seq = b, true, time.Now(), 0
	e.deadline, e.fence, e.lastEnd = 0, 0, 0
	e.running, e.highest, e.ends = map[string]*started{}, map[string]int64{}, nil
	e.changed, e.down = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.handleStart)
	mux.HandleFunc("POST /run-stop", e.handleStop)
	mux.HandleFunc("POST /hold", e.handleHold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	server, down := e.server, e.down
	e.mu.Unlock()
	e.record.add("executor %s boots as %s, labels %v, room %d", e.address, b.id, b.labels, b.room.CPU)
	go func() { _ = server.Serve(listener) }()
	go e.sendHeartbeats(down)
	go e.watch(down)
	return nil
}

// crash ends the boot at once: everything that runs is gone, and all channels are reset.
func (e *executor) crash() {
	e.mu.Lock()
	e.up = false
	for _, s := range e.running {
		s.end, s.how = time.Now(), "crashed"
	}
	e.running = map[string]*started{}
	close(e.down)
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.record.add("executor %s crashed", e.address)
}

// listenRetry listens on an address that may just have been released.
func listenRetry(address string) (net.Listener, error) {
	var err error
	for range 50 {
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, fmt.Errorf("listen for an executor: %w", err)
}

// clock returns the reading of the executor's clock. The lock is held.
func (e *executor) clock() time.Duration {
	return bootClock + time.Since(e.born)
}

// sendHeartbeats announces the executor to the agent on its machine until it is down.
func (e *executor) sendHeartbeats(down chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		e.mu.Lock()
		e.seq++
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "room": e.boot.room, "labels": e.boot.labels,
			"clock_ms": e.clock().Milliseconds(), "seq": e.seq, "born": e.born.UnixMilli(),
		})
		url := "http://" + e.registry + "/Executors.Heartbeat/" + e.boot.id
		e.mu.Unlock()
		response, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		wait := heartbeatInterval
		if err != nil || response.StatusCode != http.StatusOK {
			wait /= 10
		}
		select {
		case <-down:
			return
		case <-time.After(wait):
		}
	}
}

// watch ends the tasks that are done, stopped or without a lease.
func (e *executor) watch(down chan struct{}) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-down:
			return
		case <-ticker.C:
			e.mu.Lock()
			e.endDue(time.Now())
			e.mu.Unlock()
		}
	}
}

// endDue ends the tasks that are due. The lock is held.
func (e *executor) endDue(now time.Time) {
	lapsed := e.clock() > e.deadline
	for _, s := range e.running {
		switch {
		case lapsed:
			e.finish(s, now, "lapsed")
		case !s.stopAt.IsZero() && !now.Before(s.stopAt):
			e.finish(s, now, "stopped")
		case s.stopAt.IsZero() && !now.Before(s.endsAt):
			e.finish(s, now, "done")
		}
	}
}

// finish ends a task and lists its end. The lock is held.
func (e *executor) finish(s *started, now time.Time, how string) {
	delete(e.running, s.task)
	s.end, s.how = now, how
	e.lastEnd++
	e.ends = append(e.ends, finished{number: e.lastEnd, task: s.task, attempt: s.attempt, how: how})
	close(e.changed)
	e.changed = make(chan struct{})
	e.record.add("executor %s ended %s run %d: %s", e.address, s.task, s.attempt, how)
}

// order is the body of a call.
type order struct {
	Task       string  `json:"task"`
	Attempt    int64   `json:"attempt"`
	Spec       string  `json:"spec"`
	DeadlineMS float64 `json:"deadline_ms"`
	Fence      uint64  `json:"fencing_token"`
	AckCursor  int64   `json:"ack_cursor"`
	WaitMS     int64   `json:"wait_ms"`
}

// accept decodes a call and checks its boot and fence. On success the lock is held.
func (e *executor) accept(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	e.mu.Lock()
	switch target := r.Header.Get("Target-Instance"); {
	case !e.up:
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	case target != "" && target != e.boot.id:
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	case o.Fence < e.fence:
		e.refuse(w, "fence")
		return o, false
	}
	e.fence = o.Fence
	return o, true
}

// refuse answers with 409 and releases the lock.
func (e *executor) refuse(w http.ResponseWriter, reason string) {
	clock := e.clock().Milliseconds()
	e.mu.Unlock()
	answer(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
}

// answer writes a JSON response.
func answer(w http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// extend extends the lease. The lock is held.
func (e *executor) extend(deadlineMS float64) {
	asked := time.Duration(deadlineMS) * time.Millisecond
	e.deadline = max(e.deadline, min(asked, e.clock()+maxHold))
}

func (e *executor) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	now := time.Now()
	if s := e.running[o.Task]; s != nil && s.attempt == o.Attempt {
		clock := e.clock().Milliseconds()
		e.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"clock_ms": clock})
		return
	}
	need, runTime := parseSpec(o.Spec)
	switch {
	case o.Attempt <= e.highest[o.Task]:
		e.extend(o.DeadlineMS)
		e.refuse(w, "old")
		return
	case time.Duration(o.DeadlineMS)*time.Millisecond < e.clock():
		e.refuse(w, "late")
		return
	case e.guards && e.used()+need > e.boot.room.CPU:
		e.extend(o.DeadlineMS)
		e.refuse(w, "room")
		return
	}
	e.extend(o.DeadlineMS)
	e.highest[o.Task] = o.Attempt
	begun := &start{
		task: o.Task, attempt: o.Attempt, executor: e.address, labels: e.boot.labels, at: now,
		used: e.used() + need, room: e.boot.room.CPU,
	}
	e.running[o.Task] = &started{start: begun, need: need, endsAt: now.Add(runTime)}
	e.starts = append(e.starts, begun)
	e.record.add("executor %s (%v) starts %s run %d, uses %d of %d", e.address, e.boot.labels, o.Task, o.Attempt, begun.used, begun.room)
	clock := e.clock().Milliseconds()
	e.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"clock_ms": clock})
}

// used returns the CPU in use, in thousandths of a core. The lock is held.
func (e *executor) used() int64 {
	sum := int64(0)
	for _, s := range e.running {
		sum += s.need
	}
	return sum
}

func (e *executor) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Attempt)
	if s := e.running[o.Task]; s != nil && s.attempt <= o.Attempt && s.stopAt.IsZero() {
		s.stopAt = time.Now().Add(stopTime)
	}
	clock := e.clock().Milliseconds()
	e.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"clock_ms": clock})
}

func (e *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	e.extend(o.DeadlineMS)
	e.ends = slices.DeleteFunc(e.ends, func(f finished) bool { return f.number <= o.AckCursor })
	if len(e.ends) == 0 && o.WaitMS > 0 {
		changed, down := e.changed, e.down
		e.mu.Unlock()
		select {
		case <-changed:
		case <-down:
			panic(http.ErrAbortHandler)
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
		e.mu.Lock()
	}
	body := map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli()}
	running, ends := []any{}, []any{}
	for _, s := range e.running {
		running = append(running, []any{s.task, s.attempt, "", 0, s.need})
	}
	for _, f := range e.ends[:min(len(e.ends), maxListed)] {
		ends = append(ends, []any{f.number, f.task, f.attempt, f.how, ""})
	}
	e.mu.Unlock()
	body["running"], body["finished"] = running, ends
	answer(w, http.StatusOK, body)
}

// history returns all starts so far.
func (e *executor) history() []start {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []start
	for _, s := range e.starts {
		all = append(all, *s)
	}
	return all
}

// newSpec returns the spec of a job whose tasks need cpu and run for runTime.
func newSpec(cpu int64, runTime time.Duration) string {
	return fmt.Sprintf("cpu=%d ms=%d", cpu, runTime.Milliseconds())
}

// parseSpec is the inverse of newSpec.
func parseSpec(spec string) (cpu int64, runTime time.Duration) {
	for _, field := range strings.Fields(spec) {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.ParseInt(value, 10, 64)
		if name == "cpu" {
			cpu = number
		} else {
			runTime = time.Duration(number) * time.Millisecond
		}
	}
	return cpu, runTime
}
