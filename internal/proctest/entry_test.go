package proctest_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/internal/localcluster"
)

// TestEntryKilled guards against a takeover that starts a task again or returns a
// part of an answer, when an entry dies with jobs in flight and many callers send
// each key twice to the other entry at once.
func TestEntryKilled(t *testing.T) {
	f := start(t, 6)
	const jobs, tasks = 20, 5
	first := f.client(0, 1)
	epoch, err := first.Stamp(f.ctx)
	f.must(err)
	var list []client.Job
	for i := range jobs {
		job := newJob(fmt.Sprintf("killed-%d", i), tasks, 100)
		job.Epoch = epoch
		list = append(list, job)
	}
	failed := make(chan error, 3*jobs)
	var wait sync.WaitGroup
	send := func(c *client.Client, job client.Job) {
		wait.Go(func() { failed <- f.submit(c, job) })
	}
	for _, job := range list {
		send(first, job)
	}
	f.await("tasks to start", func() bool { return len(f.Starts()) > jobs })
	f.Entries[0].Kill()
	for _, job := range list {
		send(f.client(1), job)
		send(f.client(1), job)
	}
	wait.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			t.Error(err)
		}
	}
}

// TestEntryTerminated guards against a planned stop that cuts a job in flight, that
// ends with an error, or after which callers go on sending jobs to the stopping entry.
func TestEntryTerminated(t *testing.T) {
	f := start(t, 3)
	l := f.startLoad(8, 50)
	var jobs []client.Job
	for i := range 10 {
		jobs = append(jobs, newJob(fmt.Sprintf("in-flight-%d", i), 4, 500))
	}
	done := make(chan []error, 1)
	go func() { done <- f.submitAll(f.client(0), jobs) }()
	for _, job := range jobs {
		f.await("the entry to hold job "+job.Key, func() bool { return f.isHeld(f.Entries[0], job.Key) })
	}
	f.must(f.Entries[0].Terminate(f.ctx))
	if code := f.Entries[0].ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for i, err := range <-done {
		if err != nil {
			t.Errorf("job %s was in flight: %v", jobs[i].Key, err)
		}
	}
	l.awaitMore(16)
	// A job that reaches the stopping entry is refused before it is taken.
	l.stop(func(refused *client.RefusalError) bool {
		return refused.Code == zinniasill.ReasonShuttingDown && refused.Ran == zinniasill.NotRun
	})
	if len(l.failed) > l.callers {
		t.Errorf("%d jobs were refused by the stopping entry, with %d callers", len(l.failed), l.callers)
	}
}

// isHeld reports whether an entry knows a job.
func (f *fixture) isHeld(entry *localcluster.Process, key string) bool {
	f.Helper()
	target := "http://" + entry.HTTP + "/v1/jobs/" + key + "?team=" + localcluster.Team
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, target, nil)
	f.must(err)
	response, err := http.DefaultClient.Do(request)
	f.must(err)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK || response.StatusCode == http.StatusAccepted
}

// ask sends a request about a job to an entry and returns the status and body.
func (f *fixture) ask(method string, entry int, key string) (int, string) {
	f.Helper()
	url := "http://" + f.Entries[entry].HTTP + "/v1/jobs/" + key + "?team=" + localcluster.Team
	request, err := http.NewRequestWithContext(f.ctx, method, url, nil)
	f.must(err)
	response, err := http.DefaultClient.Do(request)
	f.must(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	f.must(err)
	return response.StatusCode, string(body)
}

// TestAnyEntry guards against a job that callers behind the balancer can neither
// find nor cancel unless they reach the entry that owns it.
func TestAnyEntry(t *testing.T) {
	f := start(t, 3)
	var jobs []client.Job
	// More tasks than slots, so that most of them wait when the job is cancelled.
	job := newJob("anywhere", 60, 1500)
	jobs = append(jobs, job)
	done := make(chan []error, 1)
	go func() { done <- f.submitAll(f.client(0), jobs) }()
	f.await("a task to start", func() bool { return len(f.Starts()) > 0 })
	if status, body := f.ask(http.MethodGet, 1, job.Key); status != http.StatusOK || !strings.Contains(body, "in-progress") {
		t.Errorf("status at the other entry: %d %s", status, body)
	}
	if status, body := f.ask(http.MethodGet, 1, "nowhere"); status != http.StatusNotFound {
		t.Errorf("status of no job: %d %s", status, body)
	}
	if status, body := f.ask(http.MethodDelete, 1, job.Key); status != http.StatusAccepted {
		t.Errorf("cancel at the other entry: %d %s", status, body)
	}
	var refused *client.RefusalError
	if err := (<-done)[0]; !errors.As(err, &refused) || refused.Code != zinniasill.ReasonCancelled {
		t.Errorf("cancelled job: %v", err)
	}
	if started := len(f.Starts()); started >= len(job.Tasks) {
		t.Errorf("all %d tasks started", started)
	}
}
