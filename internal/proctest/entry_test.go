package proctest_test

import (
	"fmt"
	"net/http"
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
	const callers = 8
	l := f.startLoad(callers, 50)
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
	if len(l.failed) > callers {
		t.Errorf("%d jobs were refused by the stopping entry, with %d callers", len(l.failed), callers)
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
