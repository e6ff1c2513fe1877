package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the time between two reports of an executor.
	heartbeatInterval = 1500 * time.Millisecond
	// firstHeartbeats is the time between the first reports, until one is acknowledged.
	firstHeartbeats = 200 * time.Millisecond
	// maxHold is the longest lease of what runs.
	maxHold = time.Second
	// leaseCheck is the time between two looks at the lease.
	leaseCheck = 10 * time.Millisecond
	// maxEnds is the number of ends in one response.
	maxEnds = 500
)

// taskSpec is the spec of the tasks of the stand-in clients.
type taskSpec struct {
	CPU   int64 `json:"cpu"`
	RunMS int64 `json:"run_ms"`
	// Text stands for what the task is to do.
	Text string `json:"text,omitempty"`
}

// taskRun is a run on an executor.
type taskRun struct {
	task    string
	attempt int64
	cpu     int64
	timer   *time.Timer
}

// taskEnd is the end of a run.
type taskEnd struct {
	number  uint64
	task    string
	attempt int64
	how     string
}

// executor is a stand-in for an executor that guards its room.
type executor struct {
	node   *machine
	id     string
	runs   *runTable
	born   time.Time
	room   int64 // in thousandths of a core
	server *http.Server
	stop   context.CancelFunc
	ended  sync.WaitGroup

	mu      sync.Mutex
	state   string
	fence   uint64
	lease   time.Duration // on the executor's clock
	running map[string]*taskRun
	used    int64            // of the room
	last    map[string]int64 // highest attempt that was stopped or has ended, by task
	ends    []taskEnd
	number  uint64
	changed chan struct{}
}

// executorRoom is the room of an executor in thousandths of a core.
const executorRoom = 64000

func startExecutor(runs *runTable, node *machine, id string) (*executor, error) {
	listener, err := net.Listen("tcp", node.address(portExecutor))
	if err != nil {
		return nil, err
	}
	e := &executor{
		node: node, id: id, runs: runs, born: time.Now(), room: executorRoom, state: "ready",
		running: map[string]*taskRun{}, last: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.handle(e.startRun))
	mux.HandleFunc("POST /run-stop", e.handle(e.stopRun))
	mux.HandleFunc("POST /hold", e.handle(e.hold))
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.ended.Add(3)
	go func() {
		defer e.ended.Done()
		_ = e.server.Serve(listener)
	}()
	go e.report(ctx)
	go e.expire(ctx)
	return e, nil
}

func (e *executor) close() {
	e.stop()
	_ = e.server.Close()
	e.ended.Wait()
}

// clock returns the executor's steady clock.
func (e *executor) clock() time.Duration {
	return time.Since(e.born) + time.Minute
}

// report sends the executor's reports to the agent on its machine.
func (e *executor) report(ctx context.Context) {
	defer e.ended.Done()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for seq := 1; ; seq++ {
		e.mu.Lock()
		body := map[string]any{
			"service": serviceName, "address": e.node.address(portExecutor), "zone": e.node.zone, "version": "v1",
			"slots": 8, "state": e.state, "cold_left_ms": 0, "seq": seq, "born": e.born.UnixMilli(),
			"room": map[string]int64{"cpu": e.room, "mem_mb": 131072, "gpus": 0}, "labels": []string{"a", "r1-1"},
			"clock_ms": e.clock().Milliseconds(),
		}
		e.mu.Unlock()
		pause := firstHeartbeats
		data, err := json.Marshal(body)
		if err == nil && e.post(ctx, client, "/Executors.Heartbeat/"+e.id, data) {
			pause = heartbeatInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (e *executor) post(ctx context.Context, client *http.Client, path string, data []byte) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.node.address(portControl)+path, bytes.NewReader(data))
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// expire ends everything when the lease has expired.
func (e *executor) expire(ctx context.Context) {
	defer e.ended.Done()
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		if e.clock() > e.lease {
			for _, run := range e.running {
				e.end(run, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// end lists the end of a run. The caller holds the mutex.
func (e *executor) end(run *taskRun, how string) {
	run.timer.Stop()
	delete(e.running, run.task)
	e.used -= run.cpu
	e.last[run.task] = max(e.last[run.task], run.attempt)
	e.runs.end(run.task, e.id, how)
	e.number++
	e.ends = append(e.ends, taskEnd{number: e.number, task: run.task, attempt: run.attempt, how: how})
	close(e.changed)
	e.changed = make(chan struct{})
}

// order is the body of a call.
type order struct {
	Task       string  `json:"task"`
	Attempt    int64   `json:"attempt"`
	Spec       string  `json:"spec"`
	DeadlineMS float64 `json:"deadline_ms"`
	Fence      uint64  `json:"fencing_token"`
	Cursor     uint64  `json:"ack_cursor"`
	WaitMS     int64   `json:"wait_ms"`
}

// answer is the response to a call.
type answer struct {
	status int
	body   map[string]any
}

func refusal(reason string) answer {
	return answer{status: http.StatusConflict, body: map[string]any{"reason": reason}}
}

// handle decodes a call and encodes its response.
func (e *executor) handle(call func(ctx context.Context, o order) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a := call(r.Context(), o)
		a.body["clock_ms"] = e.clock().Milliseconds()
		a.body["born"] = e.born.UnixMilli()
		data, err := json.Marshal(a.body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		_, _ = w.Write(data)
	}
}

// admit checks the fencing token of a call and extends the lease. The caller holds the mutex.
func (e *executor) admit(o order) bool {
	if o.Fence < e.fence {
		return false
	}
	e.fence = o.Fence
	deadline := min(time.Duration(o.DeadlineMS)*time.Millisecond, e.clock()+maxHold)
	e.lease = max(e.lease, deadline)
	return true
}

func (e *executor) startRun(_ context.Context, o order) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(o) {
		return refusal("fence")
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		return answer{status: http.StatusBadRequest, body: map[string]any{}}
	}
	if run := e.running[o.Task]; run != nil && run.attempt == o.Attempt {
		return answer{status: http.StatusOK, body: map[string]any{}}
	}
	switch {
	case o.Attempt <= e.last[o.Task] || e.running[o.Task] != nil:
		return refusal("old")
	case time.Duration(o.DeadlineMS)*time.Millisecond < e.clock():
		return refusal("late")
	case e.used+spec.CPU > e.room:
		return refusal("room")
	}
	run := &taskRun{task: o.Task, attempt: o.Attempt, cpu: spec.CPU}
	run.timer = time.AfterFunc(time.Duration(spec.RunMS)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[run.task] == run {
			e.end(run, "done")
		}
	})
	e.running[o.Task] = run
	e.runs.begin(o.Task, e.id, o.Attempt)
	e.used += run.cpu
	return answer{status: http.StatusOK, body: map[string]any{}}
}

func (e *executor) stopRun(_ context.Context, o order) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		return refusal("fence")
	}
	e.fence = o.Fence
	e.last[o.Task] = max(e.last[o.Task], o.Attempt)
	if run := e.running[o.Task]; run != nil && run.attempt <= o.Attempt {
		e.end(run, "stopped")
	}
	return answer{status: http.StatusOK, body: map[string]any{}}
}

// hold extends the lease, forgets the ends up to the cursor, and waits for an end.
func (e *executor) hold(ctx context.Context, o order) answer {
	e.mu.Lock()
	if !e.admit(o) {
		e.mu.Unlock()
		return refusal("fence")
	}
	for len(e.ends) > 0 && e.ends[0].number <= o.Cursor {
		e.ends = e.ends[1:]
	}
	waits, changed := len(e.ends) == 0 && o.WaitMS > 0, e.changed
	e.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, run := range e.running {
		running = append(running, []any{run.task, run.attempt, "", 100, run.cpu})
	}
	for _, ended := range e.ends[:min(len(e.ends), maxEnds)] {
		finished = append(finished, []any{ended.number, ended.task, ended.attempt, ended.how, ""})
	}
	return answer{status: http.StatusOK, body: map[string]any{"running": running, "finished": finished}}
}
