// Command demo starts three control replicas, two entries and six agents as
// separate processes on loopback, sends jobs, takes a failure domain out and back,
// and kills an entry. It exits with 1 when an answer is missing, partial or
// doubled.
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
	timeout     = 55 * time.Second
	profile     = "proof"
	taskRunMS   = 20
	largeJob    = 530
	smallJobs   = 20
	drainWait   = 3 * time.Second
	killedTasks = 40
)

func main() {
	os.Exit(mainCode())
}

func mainCode() int {
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

// row is one line of the printed table.
type row struct {
	step   string
	jobs   int
	tasks  int
	took   time.Duration
	detail string
}

type demo struct {
	cluster *localcluster.Cluster
	rows    []row
	// want has each task that must have started exactly once.
	want map[string]bool
}

func run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find the program")
	}
	folder, err := os.MkdirTemp("", "zinniasill-demo-")
	if err != nil {
		return eris.Wrap(err, "make a folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	began := time.Now()
	cluster, err := localcluster.Start(ctx, localcluster.Config{
		Binary: filepath.Join(filepath.Dir(self), "zinniasill"), Folder: folder,
		Controls: 3, Entries: 2, Agents: 6, Domains: 3,
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{cluster: cluster, want: map[string]bool{}}
	d.rows = append(d.rows, row{step: "start 11 processes", took: time.Since(began)})
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

// job makes a job and notes its tasks as wanted.
func (d *demo) job(key string, tasks int) client.Job {
	job := client.Job{Key: key, Profile: profile}
	for i := range tasks {
		payload := stubendpoint.Payload{ID: localcluster.TaskID(key, i), RunMS: taskRunMS}
		job.Tasks = append(job.Tasks, payload.Encode())
		d.want[payload.ID] = true
	}
	return job
}

// submit submits a job and checks that its answer is whole.
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

func (d *demo) smallJobs(ctx context.Context) error {
	c := d.cluster.Client()
	defer c.Close()
	began := time.Now()
	var wait sync.WaitGroup
	failed := make(chan error, smallJobs)
	for i := range smallJobs {
		job := d.job("small-"+strconv.Itoa(i), 1)
		wait.Go(func() { failed <- submit(ctx, c, job) })
	}
	wait.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	d.rows = append(d.rows, row{step: "jobs of 1 task", jobs: smallJobs, tasks: smallJobs, took: time.Since(began)})
	return nil
}

func (d *demo) largeJob(ctx context.Context) error {
	c := d.cluster.Client()
	defer c.Close()
	began := time.Now()
	if err := submit(ctx, c, d.job("large", largeJob)); err != nil {
		return err
	}
	d.rows = append(d.rows, row{step: "job of 530 tasks", jobs: 1, tasks: largeJob, took: time.Since(began)})
	return nil
}

// moveDomain sends jobs while a failure domain is taken out and returned, and
// checks that nothing started there after it was out.
func (d *demo) moveDomain(ctx context.Context) error {
	c := d.cluster.Client()
	defer c.Close()
	began := time.Now()
	domain := d.cluster.Domain(0)
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	jobs := make(chan error)
	count := 0
	go func() {
		defer close(jobs)
		for load.Err() == nil {
			if err := submit(ctx, c, d.job("moving-"+strconv.Itoa(count), 10)); err != nil {
				jobs <- err
				return
			}
			count++
		}
	}()
	if err := d.cluster.SetDomain(ctx, domain, catalog.DomainOutOfService); err != nil {
		return err
	}
	out := time.Now()
	if err := waitOr(ctx, drainWait+time.Second, jobs); err != nil {
		return err
	}
	late := d.startsIn(0, out.Add(drainWait))
	if err := d.cluster.SetDomain(ctx, domain, catalog.DomainInService); err != nil {
		return err
	}
	if err := waitOr(ctx, time.Second, jobs); err != nil {
		return err
	}
	stopLoad()
	for err := range jobs {
		return err
	}
	if late > 0 {
		return eris.Errorf("%d tasks started in %s more than %s after it was taken out", late, domain, drainWait)
	}
	d.rows = append(d.rows, row{
		step: domain + " out and back", jobs: count, tasks: count * 10, took: time.Since(began), detail: "0 late starts",
	})
	return nil
}

// waitOr waits for a time unless a job fails before.
func waitOr(ctx context.Context, wait time.Duration, failed <-chan error) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case err := <-failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startsIn counts the starts in a failure domain from a time on.
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

// killEntry kills the entry that owns a job and submits the job again through the
// other one, which takes it over.
func (d *demo) killEntry(ctx context.Context) error {
	began := time.Now()
	both := d.cluster.Client(0, 1)
	defer both.Close()
	job := d.job("killed", killedTasks)
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
		step: "entry killed, job taken over", jobs: 1, tasks: killedTasks, took: time.Since(began),
	})
	return nil
}

func (d *demo) started(id string) bool {
	return d.cluster.Starts()[id] > 0
}

// checkStarts compares the starts that the endpoints saw with the jobs.
func (d *demo) checkStarts(context.Context) error {
	starts := d.cluster.Starts()
	for id := range d.want {
		if starts[id] != 1 {
			return eris.Errorf("task %s started %d times", id, starts[id])
		}
	}
	d.rows = append(d.rows, row{step: "every task started exactly once", tasks: len(d.want)})
	return nil
}

func (d *demo) print() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "step\tjobs\ttasks\ttook\tdetail")
	for _, r := range d.rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", r.step, r.jobs, r.tasks, r.took.Round(time.Millisecond), r.detail)
	}
	return w.Flush()
}
