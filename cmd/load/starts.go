package main

import (
	"context"
	"math"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"zinniasill/client"
	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
	"zinniasill/internal/stubendpoint"
)

const profile = "load"

// maxJobs bounds the jobs of one step, whatever their rate.
const maxJobs = 200_000

// withCluster runs a measurement on a new cluster.
func withCluster(ctx context.Context, cfg localcluster.Config, run func(*localcluster.Cluster) error) error {
	folder, err := os.MkdirTemp("", "load-")
	if err != nil {
		return eris.Wrap(err, "create the data folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cfg.Folder = folder
	cluster, err := localcluster.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := cluster.PutProfile(ctx, profile, catalog.RepeatResubmit); err != nil {
		return err
	}
	return run(cluster)
}

// step is one stretch of load.
type step struct {
	name string
	// tasks is the number of tasks of a job, callers the number of jobs in flight.
	tasks, callers int
	runMS          int
	// rate is the number of jobs a second, 0 for as many as the callers can.
	rate float64
}

// outcome is what the callers saw of a step.
type outcome struct {
	jobs, failed int
	latencies    []time.Duration
	took         time.Duration
}

func (o outcome) quantile(q float64) time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	return o.latencies[min(int(q*float64(len(o.latencies))), len(o.latencies)-1)]
}

// driver submits jobs to the entries of a cluster.
type driver struct {
	clients []*client.Client
	prefix  string
	count   atomic.Int64
}

func newDriver(cluster *localcluster.Cluster, seed uint64) *driver {
	d := &driver{prefix: strconv.FormatUint(seed, 36)}
	for i := range cluster.Entries {
		d.clients = append(d.clients, cluster.Client(i))
	}
	return d
}

// run drives one step for a time.
func (d *driver) run(ctx context.Context, s step, length time.Duration) outcome {
	var mu sync.Mutex
	var result outcome
	began := time.Now()
	var issued atomic.Int64
	var callers conc.WaitGroup
	for i := range s.callers {
		submitter := d.clients[i%len(d.clients)]
		callers.Go(func() {
			for ctx.Err() == nil {
				n := issued.Add(1)
				if n > maxJobs || !d.awaitTurn(ctx, s, began, length, n) {
					return
				}
				took, err := d.submit(ctx, submitter, s)
				mu.Lock()
				result.jobs++
				if err != nil {
					result.failed++
				} else {
					result.latencies = append(result.latencies, took)
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	if s.rate > 0 {
		// A step at a low rate may have no job due near its end.
		pause(ctx, length-time.Since(began))
	}
	result.took = time.Since(began)
	slices.Sort(result.latencies)
	return result
}

// awaitTurn waits until the n-th job is due. It reports false when the step ends
// before.
func (d *driver) awaitTurn(ctx context.Context, s step, began time.Time, length time.Duration, n int64) bool {
	due := time.Since(began)
	if s.rate > 0 {
		due = time.Duration(float64(n) / s.rate * float64(time.Second))
	}
	if due >= length {
		return false
	}
	return pause(ctx, due-time.Since(began))
}

// pause waits for a time. It reports false when ctx ends before.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *driver) submit(ctx context.Context, c *client.Client, s step) (time.Duration, error) {
	job := client.Job{Key: d.prefix + "-" + strconv.FormatInt(d.count.Add(1), 10), Profile: profile}
	for i := range s.tasks {
		payload := stubendpoint.Payload{ID: localcluster.TaskID(job.Key, i), RunMS: s.runMS}
		job.Tasks = append(job.Tasks, payload.Encode())
	}
	began := time.Now()
	_, err := c.Submit(ctx, job)
	return time.Since(began), err
}

var startColumns = []string{
	"step", "tasks-per-job", "run-ms", "callers", "jobs", "failed", "seconds",
	"starts-per-second", "p50-ms", "p99-ms", "overhead-p50-ms", "overhead-p99-ms",
}

// measure drives one step and adds its rows.
func (d *driver) measure(ctx context.Context, c *localcluster.Cluster, s step, length time.Duration, results, roles *table) error {
	before, err := takeSample(ctx, c)
	if err != nil {
		return err
	}
	got := d.run(ctx, s, length)
	after, err := takeSample(ctx, c)
	if err != nil {
		return err
	}
	rate := float64(len(got.latencies)*s.tasks) / got.took.Seconds()
	p50, p99 := milliseconds(got.quantile(0.5)), milliseconds(got.quantile(0.99))
	own := float64(s.runMS)
	results.add(s.name, s.tasks, s.runMS, s.callers, got.jobs, got.failed, got.took.Seconds(), rate,
		p50, p99, math.Max(0, p50-own), math.Max(0, p99-own))
	roles.addRoles(before, after, s.name, rate)
	return nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// startRecords is the limit of the records in MiB. At the highest rate a few agents
// start as many tasks in seconds as one is meant to start in a quarter of an hour.
const startRecords = 1024

// startCluster is the cluster of Atlas and Vellayil with fewer agents, so that it
// fits on a shared machine.
func startCluster(o options) localcluster.Config {
	return localcluster.Config{Binary: o.binary, Controls: 3, Entries: 2, Agents: 6, Domains: 3, Slots: 32, Records: startRecords}
}

// measureStarts measures the highest rate of starts by tasks in a job, and the
// overhead of tasks of 50 ms at low load.
func measureStarts(ctx context.Context, o options) error {
	results := newTable(startColumns...)
	roles := newTable(append([]string{"step", "starts-per-second"}, roleColumns...)...)
	steps := []step{
		{name: "warm-up", tasks: 10, callers: 16},
		{name: "overhead-1", tasks: 1, callers: 16, runMS: 50, rate: 200},
		{name: "overhead-10", tasks: 10, callers: 16, runMS: 50, rate: 40},
		{name: "jobs-of-1", tasks: 1, callers: 128},
		{name: "jobs-of-10", tasks: 10, callers: 64},
		{name: "jobs-of-100", tasks: 100, callers: 16},
		{name: "jobs-of-530", tasks: 530, callers: 6},
	}
	return writeSteps(ctx, o, steps, results, roles, "starts")
}

// measureRates measures the cost of the roles at fixed rates of starts.
func measureRates(ctx context.Context, o options) error {
	results := newTable(startColumns...)
	roles := newTable(append([]string{"step", "starts-per-second"}, roleColumns...)...)
	steps := []step{{name: "warm-up", tasks: 10, callers: 16}, {name: "rest", tasks: 1, callers: 1, rate: 0.2}}
	for _, rate := range []int{250, 500, 1000, 2000} {
		one := step{name: "jobs-of-1-at-" + strconv.Itoa(rate), tasks: 1, callers: 128, rate: float64(rate)}
		ten := step{name: "jobs-of-10-at-" + strconv.Itoa(rate), tasks: 10, callers: 64, rate: float64(rate) / 10}
		steps = append(steps, one, ten)
	}
	return writeSteps(ctx, o, steps, results, roles, "rates")
}

func writeSteps(ctx context.Context, o options, steps []step, results, roles *table, name string) error {
	err := withCluster(ctx, startCluster(o), func(cluster *localcluster.Cluster) error {
		d := newDriver(cluster, o.seed)
		for _, s := range steps {
			if err := d.measure(ctx, cluster, s, o.step, results, roles); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := results.write(o, name); err != nil {
		return err
	}
	return roles.write(o, name+"-roles")
}
