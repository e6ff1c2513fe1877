package main

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
	"zinniasill/internal/stubendpoint"
)

// The system under overload: few slots and sleeping tasks, so that the slots and
// not the processors of the machine are what is short.
const (
	overloadAgents = 6
	overloadSlots  = 4
	overloadRunMS  = 200
	overloadWithin = time.Second
	// overloadInFlight bounds the jobs of the load that wait for an answer.
	overloadInFlight = 4000
)

// urgent is the profile of the overload's jobs.
const urgent = "urgent"

// overloadResult is what the callers of one step saw.
type overloadResult struct {
	mu       sync.Mutex
	sent     int
	answered []time.Duration
	refused  []time.Duration
	codes    map[zinniasill.Reason]int
}

func (r *overloadResult) add(took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	var refusal *client.RefusalError
	switch {
	case err == nil:
		r.answered = append(r.answered, took)
		return
	case errors.As(err, &refusal):
		r.codes[refusal.Code]++
	default:
		r.codes["no-answer"]++
	}
	if refusal != nil && refusal.Ran == zinniasill.NotRun {
		r.refused = append(r.refused, took)
	}
}

// measureOverload measures goodput, response and the time of a refusal at multiples
// of the capacity.
func measureOverload(ctx context.Context, o options) error {
	results := newTable("load", "offered-per-second", "answered-per-second", "part-of-capacity",
		"p50-ms", "p99-ms", "refused-not-run", "refusal-p50-ms", "refusal-p99-ms", "codes")
	cfg := localcluster.Config{
		Binary: o.binary, Controls: 3, Entries: 2, Agents: overloadAgents, Domains: 3, Slots: overloadSlots,
	}
	err := withCluster(ctx, cfg, func(c *localcluster.Cluster) error {
		_, err := c.Operator().PutProfile(ctx, catalog.Profile{
			Name: urgent, Kind: localcluster.Kind, AnswerWithin: overloadWithin,
			ExpectedRunTime: overloadRunMS * time.Millisecond, Repeat: catalog.RepeatResubmit, MaxTasks: 1000,
		}, localcluster.NewEdit(0))
		if err != nil {
			return eris.Wrap(err, "put the profile of the overload")
		}
		for i, part := range []float64{0.5, 0.5, 0.8, 1, 1.5, 3, 6, 0.8} {
			name := strconv.FormatFloat(part, 'g', -1, 64)
			if i == 0 {
				name = "warm-up"
			}
			offerOverload(ctx, o, c, name, part, results)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return results.write(o, "overload")
}

// capacity is the number of tasks that the slots can run in a second.
const capacity = overloadAgents * overloadSlots * 1000 / overloadRunMS

// offerOverload sends one-task jobs at a part of the capacity for the length of a
// step, without regard to the answers, and adds a row.
func offerOverload(ctx context.Context, o options, c *localcluster.Cluster, name string, part float64, results *table) {
	random := rand.New(rand.NewPCG(o.seed, uint64(part*1000)))
	rate := part * capacity
	result := &overloadResult{codes: map[zinniasill.Reason]int{}}
	var clients []*client.Client
	for _, entry := range c.Entries {
		clients = append(clients, client.New(client.Config{
			Entries: []string{"http://" + entry.HTTP}, Team: localcluster.Team, Attempts: 1,
		}))
	}
	var jobs conc.WaitGroup
	slots := make(chan struct{}, overloadInFlight)
	began := time.Now()
	for at, n := time.Duration(0), 0; at < o.step && ctx.Err() == nil; n++ {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		pause(ctx, at-time.Since(began))
		slots <- struct{}{}
		key := "overload-" + name + "-" + strconv.FormatInt(began.UnixNano(), 36) + "-" + strconv.Itoa(n)
		jobs.Go(func() {
			defer func() { <-slots }()
			sent := time.Now()
			result.add(submitUrgent(ctx, clients[n%len(clients)], key, sent))
		})
	}
	took := time.Since(began)
	jobs.Wait()
	for _, each := range clients {
		each.Close()
	}
	result.report(name, took, results)
}

func submitUrgent(ctx context.Context, c *client.Client, key string, sent time.Time) (time.Duration, error) {
	payload := stubendpoint.Payload{ID: localcluster.TaskID(key, 0), RunMS: overloadRunMS}
	_, err := c.Submit(ctx, client.Job{Key: key, Profile: urgent, Tasks: [][]byte{payload.Encode()}})
	return time.Since(sent), err
}

func (r *overloadResult) report(name string, took time.Duration, results *table) {
	slices.Sort(r.answered)
	slices.Sort(r.refused)
	answered, refused := outcome{latencies: r.answered}, outcome{latencies: r.refused}
	goodput := float64(len(r.answered)) / took.Seconds()
	codes := ""
	for _, code := range slices.Sorted(maps.Keys(r.codes)) {
		codes += string(code) + "=" + strconv.Itoa(r.codes[code]) + " "
	}
	results.add(name, float64(r.sent)/took.Seconds(), goodput, goodput/capacity,
		milliseconds(answered.quantile(0.5)), milliseconds(answered.quantile(0.99)),
		len(r.refused), milliseconds(refused.quantile(0.5)), milliseconds(refused.quantile(0.99)), codes)
}
