package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// The queue of all jobs.
const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
)

// orderTimeout is the time after which the operator moves on to another node.
const orderTimeout = time.Second

// phase is one step of a job.
type phase struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemMB       int64  `json:"mem_mb"`
	EstimateMS  int64  `json:"estimate_ms"`
	Constraints string `json:"constraints,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec       string  `json:"spec"`
	Phases     []phase `json:"phases"`
	BestEffort bool    `json:"best_effort"`
}

// newJob returns a job of one step.
func newJob(count int, cpu int64, runTime time.Duration, label string) job {
	return job{
		Spec: newSpec(cpu, runTime), BestEffort: true,
		Phases: []phase{{Count: count, CPU: cpu, MemMB: 64, EstimateMS: runTime.Milliseconds(), Constraints: label}},
	}
}

// newID returns the random ID of a job.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// reply is the response to a call. Status is 0 if there was none.
type reply struct {
	status int
	body   string
	err    error
	sent   time.Time
	at     time.Time
}

func (r reply) String() string {
	if r.err != nil {
		return "no response: " + r.err.Error()
	}
	return fmt.Sprintf("%d %s", r.status, r.body)
}

// call sends one call of a client over a new channel. The client waits for budget.
func (c *cluster) call(ctx context.Context, m *machine, method, id string, body any, budget time.Duration) reply {
	return c.callAt(ctx, m, at(m.ip, portFront), method, id, body, budget)
}

// callAt sends a call to a machine by way of an address.
func (c *cluster) callAt(
	ctx context.Context, m *machine, address, method, id string, body any, budget time.Duration,
) reply {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	data := []byte(nil)
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+queuePrefix+id, bytes.NewReader(data))
	if err != nil {
		return reply{err: err}
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline", strconv.FormatInt(budget.Milliseconds(), 10))
	c.record.add("client sends %s %s to %s", method, id, m.name)
	r := send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, request)
	c.record.add("client has for %s %s from %s: %v", method, id, m.name, r)
	return r
}

// send sends a request and reads the response.
func send(client *http.Client, request *http.Request) reply {
	r := reply{sent: time.Now()}
	response, err := client.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		var content []byte
		content, err = io.ReadAll(response.Body)
		r.status, r.body = response.StatusCode, string(content)
	}
	r.err, r.at = err, time.Now()
	return r
}

// putConfiguration sends a configuration until it is acknowledged.
func (c *cluster) putConfiguration(ctx context.Context, version int, timeout time.Duration) error {
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-3hwrr6x", "host": queueHost, "path_prefix": queuePrefix, "type": "unsafe",
			"timeout_ms": timeout.Milliseconds(), "slo_ms": 60, "priority": 0, "service": service, "attempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "admission_check": c.options.guards, "standby": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for try := 0; ; try++ {
		m := c.controls[try%len(c.controls)]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at(m.ip, portControl)+"/Config.Put", bytes.NewReader(body))
		if err != nil {
			return fmt.Errorf("build the configuration call: %w", err)
		}
		r := send(&http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, request)
		c.record.add("operator has for configuration %d from %s: %v", version, m.name, r)
		if r.status == http.StatusOK {
			return nil
		}
		if err := pause(ctx, 200*time.Millisecond); err != nil {
			return fmt.Errorf("put configuration %d: %w", version, err)
		}
	}
}
