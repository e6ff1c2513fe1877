package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// ordinaryTimeout is how long the client of an ordinary job waits.
const ordinaryTimeout = 1500 * time.Millisecond

// phase is a step of a job.
type phase struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu"`
	MemMB      int64 `json:"mem_mb"`
	EstimateMS int64 `json:"estimate_ms"`
}

// job is a job that a client hands in.
type job struct {
	Spec       string  `json:"spec"`
	Phases     []phase `json:"phases"`
	BestEffort bool    `json:"best_effort"`
}

// newJob returns a job of one step. Its tasks run for runMS milliseconds, and its spec has at
// least specBytes bytes.
func newJob(count int, cpu, runMS int64, specBytes int) job {
	spec, err := json.Marshal(taskSpec{CPU: cpu, RunMS: runMS, Text: strings.Repeat("x", max(0, specBytes-60))})
	if err != nil {
		panic(err) // The type can be encoded.
	}
	return job{
		Spec: string(spec), BestEffort: true,
		Phases: []phase{{Count: count, CPU: cpu, MemMB: 1, EstimateMS: runMS}},
	}
}

// ordinaryJob returns a job like those of the sites.
func ordinaryJob() job {
	return newJob(2, 6200, 50, 0)
}

// jobID returns the id of a job by its number.
func jobID(number int) string {
	return fmt.Sprintf("%016x", 0x5c0e000000000000+number)
}

// submit hands in a job at an edge, on a channel of its own, and waits for the answer.
func submit(ctx context.Context, edge *machine, id string, j job, timeout time.Duration) (int, string, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return 0, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := "http://" + edge.address(portCallers) + queuePrefix + id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
