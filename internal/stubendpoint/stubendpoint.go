// Package stubendpoint provides an endpoint for tests, the demonstration and load
// measurements. It announces itself to an agent, sleeps for the run time of each task,
// and counts every start independently of the system under test.
//
//	stub, err := stubendpoint.Serve(ctx, stubendpoint.Config{
//		AgentURL: "http://127.0.0.1:7301", Slots: 10, Kinds: []string{"cards"},
//	})
//	...
//	fmt.Println(stub.Starts()["pull-17/0"])
package stubendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
	maxPayload       = 1 << 20
)

// Payload is the payload of a task that a Stub runs.
type Payload struct {
	// ID identifies the task in Starts and History.
	ID string `json:"id"`
	// RunMS is the run time in milliseconds.
	RunMS int `json:"run-ms"`
	// Fail makes the task fail.
	Fail bool `json:"fail,omitempty"`
}

// Encode returns the JSON encoding of the payload.
func (p Payload) Encode() []byte {
	encoded, err := json.Marshal(p)
	if err != nil {
		panic(err) // marshaling strings, ints and bools never fails
	}
	return encoded
}

// Output returns the output of a successful task with this payload.
func (p Payload) Output() []byte {
	return []byte("done " + p.ID)
}

// Config configures a Stub.
type Config struct {
	// AgentURL is the base URL of the agent on the endpoint's machine.
	AgentURL string
	// Slots and Kinds are announced to the agent.
	Slots int
	Kinds []string
	// OnStart, if set, is called at each start, before the task runs.
	OnStart func(id string)
	// FailAll makes every task fail.
	FailAll bool
}

// Start records that a task was started, and when.
type Start struct {
	ID string
	At time.Time
}

// Stub is a running endpoint. Use Serve to start one.
type Stub struct {
	cfg      Config
	listener net.Listener
	server   *http.Server
	done     chan struct{}

	mu      sync.Mutex
	starts  map[string]int
	history []Start
	leaving bool
}

// Serve starts an endpoint on a free loopback port. The endpoint serves tasks and
// announces itself until ctx ends; the channel returned by Done is then closed. Serve
// fails if it cannot listen.
func Serve(ctx context.Context, cfg Config) (*Stub, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for the stub endpoint")
	}
	stub := &Stub{
		cfg:      cfg,
		listener: listener,
		done:     make(chan struct{}),
		starts:   map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", stub.run)
	stub.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = stub.server.Serve(listener)
	}()
	go func() {
		defer close(stub.done)
		stub.announce(ctx)
		_ = stub.server.Close()
		<-served
	}()
	return stub, nil
}

// Done returns a channel that is closed when the endpoint has stopped.
func (s *Stub) Done() <-chan struct{} {
	return s.done
}

// URL returns the endpoint's base URL.
func (s *Stub) URL() string {
	return "http://" + s.listener.Addr().String()
}

// Starts returns the number of starts of each task by payload ID.
func (s *Stub) Starts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.starts)
}

// History returns all starts in the order in which they were received.
func (s *Stub) History() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start(nil), s.history...)
}

// Leave sets the announced state to "leaving", starting with the next announcement.
func (s *Stub) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Stub) record(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[id]++
	s.history = append(s.history, Start{ID: id, At: time.Now()})
}

func (s *Stub) run(w http.ResponseWriter, r *http.Request) {
	var payload Payload
	body := http.MaxBytesReader(w, r.Body, maxPayload)
	if err := json.NewDecoder(body).Decode(&payload); err != nil {
		http.Error(w, "invalid payload: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.record(payload.ID)
	if s.cfg.OnStart != nil {
		s.cfg.OnStart(payload.ID)
	}
	time.Sleep(time.Duration(payload.RunMS) * time.Millisecond)
	w.Header().Set("Task-Id", r.Header.Get("Task-Id"))
	if payload.Fail || s.cfg.FailAll {
		http.Error(w, "task failed on request", http.StatusUnprocessableEntity)
		return
	}
	_, _ = w.Write(payload.Output())
}

func (s *Stub) announce(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announceOnce(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

type announcement struct {
	URL   string   `json:"url"`
	Slots int      `json:"slots"`
	Kinds []string `json:"kinds"`
	State string   `json:"state"`
}

func (s *Stub) announceOnce(ctx context.Context, client *http.Client) {
	s.mu.Lock()
	state := "serving"
	if s.leaving {
		state = "leaving"
	}
	s.mu.Unlock()
	body, err := json.Marshal(announcement{URL: s.URL(), Slots: s.cfg.Slots, Kinds: s.cfg.Kinds, State: state})
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, s.cfg.AgentURL+"/v1/endpoint", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return // the agent may not be up yet; the next announcement retries
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
