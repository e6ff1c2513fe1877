package crowdtest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// endpointID is the instance ID of the stand-in for the platform's executor.
	endpointID = "i-7f3a91c0"
	// heartbeatInterval is the time between two of its heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = time.Second
)

// executor is a stand-in for the platform's executor. Its tasks end when they start.
type executor struct {
	address, agent string
	born           time.Time

	mu      sync.Mutex
	ends    []end
	changed chan struct{} // closed and replaced when ends grows
}

// end is the end of a run.
type end struct {
	number uint64
	task   string
	run    int64
}

// startExecutor starts an executor that announces itself to an agent until the test ends.
func startExecutor(t *testing.T, address, agent string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	e := &executor{address: address, agent: agent, born: time.Now(), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.start)
	mux.HandleFunc("POST /run-stop", e.stop)
	mux.HandleFunc("POST /hold", e.hold)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	announced := e.announce(ctx)
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		<-served
		<-announced
	})
}

// announce sends heartbeats until ctx ends. The returned channel is closed afterwards.
func (e *executor) announce(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		defer close(done)
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for seq := 1; ; seq++ {
			body := encode(map[string]any{
				"service": platformService, "address": e.address, "state": "ready", "seq": seq,
				"room":     map[string]int{"cpu": 16000, "mem_mb": 32768, "gpus": 0},
				"clock_ms": e.clock(), "born": e.born.UnixMilli(), "labels": []string{"a"},
			})
			url := "http://" + e.agent + "/Executors.Heartbeat/" + endpointID
			if request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body)); err == nil {
				if response, err := client.Do(request); err == nil {
					_ = response.Body.Close()
				}
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}

// clock returns the executor's clock in milliseconds.
func (e *executor) clock() int64 {
	return time.Since(e.born).Milliseconds() + time.Minute.Milliseconds()
}

// order is the body of a call.
type order struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
	Cursor  uint64 `json:"ack_cursor"`
	WaitMS  int64  `json:"wait_ms"`
}

func (e *executor) start(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.ends = append(e.ends, end{number: uint64(len(e.ends) + 1), task: o.Task, run: o.Attempt})
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	_, _ = w.Write(encode(map[string]any{"clock_ms": e.clock()}))
}

func (e *executor) stop(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(encode(map[string]any{"clock_ms": e.clock()}))
}

// hold returns the ends after the cursor, and waits for one if there is none.
func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	waits, changed := len(e.ends) <= int(o.Cursor) && o.WaitMS > 0, e.changed
	e.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
	}
	e.mu.Lock()
	rows := [][]any{}
	for _, ended := range e.ends[min(int(o.Cursor), len(e.ends)):] {
		rows = append(rows, []any{ended.number, ended.task, ended.run, "done", ""})
	}
	e.mu.Unlock()
	_, _ = w.Write(encode(map[string]any{
		"clock_ms": e.clock(), "born": e.born.UnixMilli(), "running": []any{}, "finished": rows,
	}))
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // marshaling maps of strings and numbers never fails
	}
	return data
}
