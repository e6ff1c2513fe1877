package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Route of the only queue.
const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

// answer is what a client got for a request.
type answer struct {
	status int
	body   string
	err    error
	at     time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %q", a.status, a.body)
}

// state returns the state in the body, empty if there is none.
func (a answer) state() string {
	var body struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(a.body), &body) != nil {
		return ""
	}
	return body.State
}

// newID returns a new ID of a job.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// step is one step of a job.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem_mb"`
	EstimateMS int   `json:"estimate_ms"`
	DependsOn  []int `json:"depends_on,omitempty"`
}

// job is a job that a client sends.
type job struct {
	id     string
	spec   string
	phases []step
}

// exchange sends one request on a channel of its own and waits for the answer. The channel is
// closed when the wait ends.
func exchange(method, address, path string, body any, wait time.Duration) answer {
	var content io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return answer{err: err, at: time.Now()}
		}
		content = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	request.Host = routeHost
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(data), err: err, at: time.Now()}
}

// submit sends a job to an entry and waits for its answer.
func (c *cluster) submit(m *machine, j job, wait time.Duration) answer {
	c.record.add("client sends job %s to %s", j.id, m.name)
	a := exchange(http.MethodPost, address(m.ip, c.ports.front), routePrefix+j.id, map[string]any{
		"spec": j.spec, "phases": j.phases, "best_effort": true,
	}, wait)
	c.record.add("client got for job %s from %s: %s", j.id, m.name, a)
	return a
}

// cancel cancels a job at an entry.
func (c *cluster) cancel(m *machine, id string) answer {
	c.record.add("client cancels job %s at %s", id, m.name)
	a := exchange(http.MethodDelete, address(m.ip, c.ports.front), routePrefix+id, nil, 2*time.Second)
	c.record.add("client got for the cancelling of %s from %s: %s", id, m.name, a)
	return a
}

// configure sends the first configuration until it is acknowledged.
func (c *cluster) configure() error {
	body := map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": routeHost, "path_prefix": routePrefix, "type": "unsafe", "timeout_ms": 30000,
			"slo_ms": 60, "priority": 0, "service": serviceName, "attempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{
			"name": serviceName, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false,
			"admission_check": true, "standby": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
	for range 60 {
		for _, m := range c.core {
			a := exchange(http.MethodPost, address(m.ip, c.ports.control), "/Config.Put", body, time.Second)
			if a.status == http.StatusOK {
				c.record.add("operator: configuration acknowledged by %s", m.name)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no configuration was acknowledged")
}

// ready reports whether an entry reports itself ready.
func (c *cluster) ready(m *machine) bool {
	return exchange(http.MethodGet, address(m.ip, c.ports.readiness), "/readyz", nil, time.Second).status == http.StatusOK
}

// awaitReady waits until an entry is ready and serves a short job.
func (c *cluster) awaitReady(m *machine) error {
	for range 100 {
		if c.ready(m) {
			j := job{id: newID(), spec: "ms=20", phases: []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 20}}}
			if c.submit(m, j, 2*time.Second).state() == "completed" {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s serves no job", m.name)
}

// begin starts the deployment and returns once it serves.
func (c *cluster) begin(sides int) error {
	if err := c.startAll(sides); err != nil {
		return err
	}
	if err := c.configure(); err != nil {
		return err
	}
	for _, m := range c.edge {
		if err := c.awaitReady(m); err != nil {
			return err
		}
	}
	for _, m := range c.machines() {
		if err := c.writeSettings(m, false); err != nil {
			return err
		}
	}
	// Everything is in touch.
	time.Sleep(contactTime)
	return nil
}
