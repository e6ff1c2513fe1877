package restarttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	service = "text"
	// heartbeatInterval is the interval between heartbeats, heartbeatRetry the one while the
	// agent does not answer.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatRetry    = 50 * time.Millisecond
	// runTime is the run time of each task.
	runTime = 20 * time.Millisecond
)

// endpoint is a stub executor of the platform.
type endpoint struct {
	agent, address string
	id             string
	born           time.Time

	mu       sync.Mutex
	running  map[string]int
	finished [][]any
	changed  chan struct{}
}

// serveEndpoint serves an endpoint that announces itself to an agent until ctx is done. The
// returned channel is closed when it has ended.
func serveEndpoint(ctx context.Context, address, agent, id string) (<-chan struct{}, error) {
	e := &endpoint{
		agent: agent, address: address, id: id, born: time.Now(), running: map[string]int{}, changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/hold", e.hold)
	mux.HandleFunc("/run-start", e.start)
	mux.HandleFunc("/run-stop", func(w http.ResponseWriter, _ *http.Request) { e.answer(w, map[string]any{}) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.announce(ctx)
		_ = server.Close()
	}()
	return done, nil
}

// announce sends heartbeats until ctx is done.
func (e *endpoint) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for sequence := 1; ; sequence++ {
		data, _ := json.Marshal(map[string]any{
			"service": service, "address": e.address, "state": "ready", "labels": []string{}, "seq": sequence,
			"room": map[string]any{"cpu": 16_000, "mem_mb": 64_000}, "born": e.born.UnixMilli(),
			"clock_ms": time.Since(e.born).Milliseconds(),
		})
		wait := heartbeatRetry
		response, err := client.Post("http://"+e.agent+"/Executors.Heartbeat/"+e.id, "application/json", bytes.NewReader(data))
		if err == nil {
			_ = response.Body.Close()
			wait = heartbeatInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// answer responds with a body and the clock of the endpoint.
func (e *endpoint) answer(w http.ResponseWriter, body map[string]any) {
	body["clock_ms"] = time.Since(e.born).Milliseconds()
	body["born"] = e.born.UnixMilli()
	_ = json.NewEncoder(w).Encode(body)
}

// start starts a run, which ends after runTime.
func (e *endpoint) start(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Task    string `json:"task"`
		Attempt int    `json:"attempt"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.running[order.Task] = order.Attempt
	e.mu.Unlock()
	time.AfterFunc(runTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, order.Task)
		e.finished = append(e.finished, []any{len(e.finished) + 1, order.Task, order.Attempt, "done", nil})
		close(e.changed)
		e.changed = make(chan struct{})
	})
	e.answer(w, map[string]any{})
}

// hold renews the lease and lists the runs. It waits for a completion that the agent has not
// processed.
func (e *endpoint) hold(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Cursor int `json:"ack_cursor"`
		WaitMS int `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	changed, news := e.changed, len(e.finished) > order.Cursor
	e.mu.Unlock()
	if !news {
		select {
		case <-changed:
		case <-time.After(time.Duration(order.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	e.mu.Lock()
	running := [][]any{}
	for task, attempt := range e.running {
		running = append(running, []any{task, attempt, nil, 0, 0})
	}
	finished := e.finished[min(order.Cursor, len(e.finished)):]
	e.mu.Unlock()
	e.answer(w, map[string]any{"running": running, "finished": finished})
}

// endpointID returns the id of an endpoint in one of its incarnations.
func endpointID(i, incarnation int) string { return fmt.Sprintf("endpoint-%d-%d", i, incarnation) }
