package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/internal/localcluster"
	"zinniasill/internal/stubendpoint"
)

const (
	// entryRate is the number of jobs a second that callers send to each entry
	// first, with regionTasks tasks of regionRunMS each: a fifth of the capacity.
	entryRate   = 20
	regionTasks = 2
	regionRunMS = 100
	// callerAttempts bounds the attempts of a job, so that no backlog of a long cut
	// hides when service is restored.
	callerAttempts = 4
)

// job is what a caller saw of one job.
type job struct {
	region     region
	sent, done time.Time
	// code and ran are empty for an answer.
	code zinniasill.Reason
	ran  zinniasill.Ran
}

func (j job) answered() bool { return j.code == "" }

// refusedAttempt is one refusal as an entry sent it.
type refusedAttempt struct {
	region  region
	at      time.Time
	profile zinniasill.ProfileName
	code    zinniasill.Reason
	ran     zinniasill.Ran
	retry   zinniasill.Retry
}

// regionCallers submit jobs at a fixed rate to the entries of their own region.
type regionCallers struct {
	cluster *localcluster.Cluster
	witness *localcluster.HistoryChecker
	seed    uint64
	cancel  context.CancelFunc
	wait    conc.WaitGroup

	mu       sync.Mutex
	jobs     []job
	attempts []refusedAttempt
}

func newRegionCallers(cluster *localcluster.Cluster, witness *localcluster.HistoryChecker, seed uint64) *regionCallers {
	return &regionCallers{cluster: cluster, witness: witness, seed: seed}
}

// start starts one caller for each entry.
func (c *regionCallers) start(ctx context.Context) {
	pace, cancel := context.WithCancel(ctx)
	c.cancel = cancel
	for i := range c.cluster.Entries {
		c.wait.Go(func() { c.submitAll(ctx, pace, i) })
	}
}

// stop ends the load and waits for the open jobs.
func (c *regionCallers) stop() {
	c.cancel()
	c.wait.Wait()
}

// submitAll submits jobs, whether earlier ones are answered or not, until pace
// ends.
func (c *regionCallers) submitAll(ctx, pace context.Context, i int) {
	home := regionOf(c.cluster.Entries[i].Name)
	cfg := client.Config{
		Team: localcluster.Team, Attempts: callerAttempts, Rand: newRand(c.seed, i),
		Transport: &refusalRecorder{callers: c, region: home},
	}
	for n := range c.cluster.Entries {
		p := c.cluster.Entries[(i+n)%len(c.cluster.Entries)]
		if regionOf(p.Name) == home {
			cfg.Entries = append(cfg.Entries, "http://"+p.HTTP)
		}
	}
	submitter := client.New(cfg)
	ticker := time.NewTicker(time.Second / entryRate)
	defer ticker.Stop()
	var open conc.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-pace.Done():
			return
		case <-ticker.C:
		}
		open.Go(func() { c.submit(ctx, submitter, home, regionJob(c.seed, i, n)) })
	}
}

// regionJob returns the n-th job of a caller. Every second one must not be
// repeated.
func regionJob(seed uint64, caller, n int) client.Job {
	j := client.Job{Key: fmt.Sprintf("%x-%d-%d", seed, caller, n), Profile: profile}
	if n%2 == 1 {
		j.Profile = profileOnce
	}
	for i := range regionTasks {
		payload := stubendpoint.Payload{ID: localcluster.TaskID(j.Key, i), RunMS: regionRunMS}
		j.Tasks = append(j.Tasks, payload.Encode())
	}
	return j
}

func (c *regionCallers) submit(ctx context.Context, submitter *client.Client, home region, work client.Job) {
	seen := job{region: home, sent: time.Now()}
	answer, err := submitter.Submit(ctx, work)
	seen.done = time.Now()
	var refused *client.RefusalError
	switch {
	case errors.As(err, &refused):
		seen.code, seen.ran = refused.Code, refused.Ran
	case err != nil:
		seen.code, seen.ran = "no-epoch", zinniasill.NotRun
	case len(answer.Outputs) != len(work.Tasks):
		seen.code, seen.ran = "partial", zinniasill.DidRun
	default:
		c.witness.Complete(work.Key, len(work.Tasks))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, seen)
}

// refusalRecorder passes requests to the witness and notes the refusals.
type refusalRecorder struct {
	callers *regionCallers
	region  region
}

// RoundTrip implements http.RoundTripper.
func (r *refusalRecorder) RoundTrip(request *http.Request) (*http.Response, error) {
	var sent struct {
		Profile zinniasill.ProfileName `json:"profile"`
	}
	if request.GetBody != nil {
		if body, err := request.GetBody(); err == nil {
			_ = json.NewDecoder(body).Decode(&sent)
		}
	}
	response, err := r.callers.witness.RoundTrip(request)
	if err != nil || response.StatusCode < http.StatusBadRequest {
		return response, err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(data))
	var body struct {
		Code  zinniasill.Reason `json:"code"`
		Ran   zinniasill.Ran    `json:"ran"`
		Retry zinniasill.Retry  `json:"retry"`
	}
	if err == nil && json.Unmarshal(data, &body) == nil && body.Code != "" {
		r.callers.mu.Lock()
		defer r.callers.mu.Unlock()
		r.callers.attempts = append(r.callers.attempts, refusedAttempt{
			region: r.region, at: time.Now(), profile: sent.Profile, code: body.Code, ran: body.Ran, retry: body.Retry,
		})
	}
	return response, err
}
