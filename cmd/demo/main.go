// Command demo starts three control replicas, two entries and six agents as separate
// processes on the loopback interface. It submits jobs, takes a failure domain out of
// service and returns it, and kills an entry. It exits with code 1 if an answer is
// missing, incomplete or wrong, if a task did not start exactly once, or if a task
// started in the failure domain after the time allowed for draining it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill/client"
	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
	"zinniasill/internal/stubendpoint"
)

const (
	// timeout limits the whole demo.
	timeout       = 55 * time.Second
	profile       = "proof"
	taskRunMS     = 20
	largeJobTasks = 530
	smallJobCount = 20
	// drainWait is the time after which no task may start in a domain that was taken out
	// of service.
	drainWait   = 3 * time.Second
	killedTasks = 40
)

func main() {
	os.Exit(runMain())
}

// runMain runs the demo and returns its exit code.
func runMain() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	return 0
}

// row is one row of the printed table.
type row struct {
	step   string
	jobs   int
	tasks  int
	took   time.Duration
	detail string
}

// demo holds the running cluster and the results so far.
type demo struct {
	cluster *localcluster.Cluster
	rows    []row
	// expected holds the ID of each task that must have started exactly once.
	expected map[string]bool
}

// run starts the cluster, runs the steps of the demo and prints the table.
func run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find the path of the executable")
	}
	dir, err := os.MkdirTemp("", "zinniasill-demo-")
	if err != nil {
		return eris.Wrap(err, "create a temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	start := time.Now()
	cluster, err := localcluster.Start(ctx, localcluster.Config{
		Binary: filepath.Join(filepath.Dir(self), "zinniasill"), Folder: dir,
		Controls: 3, Entries: 2, Agents: 6, Domains: 3,
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{cluster: cluster, expected: map[string]bool{}}
	d.rows = append(d.rows, row{step: "start 11 processes", took: time.Since(start)})
	if err := cluster.PutProfile(ctx, profile, catalog.RepeatNever); err != nil {
		return err
	}
	steps := []func(context.Context) error{d.smallJobs, d.largeJob, d.moveDomain, d.killEntry, d.checkStarts}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return d.print()
}

// newJob returns a job, and adds its tasks to those that must start exactly once.
func (d *demo) newJob(key string, tasks int) client.Job {
	job := client.Job{Key: key, Profile: profile}
	for i := range tasks {
		payload := stubendpoint.Payload{ID: localcluster.TaskID(key, i), RunMS: taskRunMS}
		job.Tasks = append(job.Tasks, payload.Encode())
		d.expected[payload.ID] = true
	}
	return job
}

// submit submits a job and checks each output of its answer.
func submit(ctx context.Context, c *client.Client, job client.Job) error {
	answer, err := c.Submit(ctx, job)
	if err != nil {
		return err
	}
	for i, output := range answer.Outputs {
		want := stubendpoint.Payload{ID: localcluster.TaskID(job.Key, i)}.Output()
		if string(output) != string(want) {
			return eris.Errorf("output %d of job %s is %q", i, job.Key, output)
		}
	}
	return nil
}

// smallJobs submits jobs of one task concurrently.
func (d *demo) smallJobs(ctx context.Context) error {
	c := d.cluster.Client()
	defer c.Close()
	start := time.Now()
	var wait sync.WaitGroup
	results := make(chan error, smallJobCount)
	for i := range smallJobCount {
		job := d.newJob("small-"+strconv.Itoa(i), 1)
		wait.Go(func() { results <- submit(ctx, c, job) })
	}
	wait.Wait()
	close(results)
	for err := range results {
		if err != nil {
			return err
		}
	}
	d.rows = append(d.rows, row{step: "jobs of 1 task", jobs: smallJobCount, tasks: smallJobCount, took: time.Since(start)})
	return nil
}

// largeJob submits one job of many tasks.
func (d *demo) largeJob(ctx context.Context) error {
	c := d.cluster.Client()
	defer c.Close()
	start := time.Now()
	if err := submit(ctx, c, d.newJob("large", largeJobTasks)); err != nil {
		return err
	}
	d.rows = append(d.rows, row{step: "job of 530 tasks", jobs: 1, tasks: largeJobTasks, took: time.Since(start)})
	return nil
}

// moveDomain submits jobs while it takes a failure domain out of service and returns it.
// It checks that no task started there later than drainWait after the domain was taken
// out.
func (d *demo) moveDomain(ctx context.Context) error {
	c := d.cluster.Client()
	defer c.Close()
	start := time.Now()
	domain := d.cluster.Domain(0)
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	failures := make(chan error)
	count := 0
	go func() {
		defer close(failures)
		for load.Err() == nil {
			if err := submit(ctx, c, d.newJob("moving-"+strconv.Itoa(count), 10)); err != nil {
				failures <- err
				return
			}
			count++
		}
	}()
	if err := d.cluster.SetDomain(ctx, domain, catalog.DomainOutOfService); err != nil {
		return err
	}
	out := time.Now()
	if err := waitOrFail(ctx, drainWait+time.Second, failures); err != nil {
		return err
	}
	late := d.startsIn(0, out.Add(drainWait))
	if err := d.cluster.SetDomain(ctx, domain, catalog.DomainInService); err != nil {
		return err
	}
	if err := waitOrFail(ctx, time.Second, failures); err != nil {
		return err
	}
	stopLoad()
	for err := range failures {
		return err
	}
	if late > 0 {
		return eris.Errorf("%d tasks started in %s more than %s after it was taken out", late, domain, drainWait)
	}
	d.rows = append(d.rows, row{
		step: domain + " out and back", jobs: count, tasks: count * 10, took: time.Since(start), detail: "0 late starts",
	})
	return nil
}

// waitOrFail waits for the given duration, or until a job fails or ctx is done.
func waitOrFail(ctx context.Context, wait time.Duration, failures <-chan error) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case err := <-failures:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startsIn counts the task starts in a failure domain after the given time.
func (d *demo) startsIn(domain int, from time.Time) int {
	late := 0
	for i, stub := range d.cluster.Stubs {
		if i%3 != domain {
			continue
		}
		for _, start := range stub.History() {
			if start.At.After(from) {
				late++
			}
		}
	}
	return late
}

// killEntry kills the entry that owns a job. The client resubmits the job to the other
// entry, which takes it over.
func (d *demo) killEntry(ctx context.Context) error {
	start := time.Now()
	both := d.cluster.Client(0, 1)
	defer both.Close()
	job := d.newJob("killed", killedTasks)
	epoch, err := both.Stamp(ctx)
	if err != nil {
		return err
	}
	job.Epoch = epoch
	done := make(chan error, 1)
	go func() { done <- submit(ctx, both, job) }()
	err = localcluster.Poll(ctx, "a task of the job to start", func() bool { return d.started("killed/0") })
	if err != nil {
		return err
	}
	d.cluster.Entries[0].Kill()
	if err := <-done; err != nil {
		return err
	}
	d.rows = append(d.rows, row{
		step: "entry killed, job taken over", jobs: 1, tasks: killedTasks, took: time.Since(start),
	})
	return nil
}

// started reports whether a task has started at least once.
func (d *demo) started(id string) bool {
	return d.cluster.Starts()[id] > 0
}

// checkStarts checks that the endpoints started each expected task exactly once.
func (d *demo) checkStarts(context.Context) error {
	starts := d.cluster.Starts()
	for id := range d.expected {
		if starts[id] != 1 {
			return eris.Errorf("task %s started %d times", id, starts[id])
		}
	}
	d.rows = append(d.rows, row{step: "every task started exactly once", tasks: len(d.expected)})
	return nil
}

// print writes the table to standard output.
func (d *demo) print() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "step\tjobs\ttasks\ttook\tdetail")
	for _, r := range d.rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", r.step, r.jobs, r.tasks, r.took.Round(time.Millisecond), r.detail)
	}
	return w.Flush()
}
