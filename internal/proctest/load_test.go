package proctest_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/internal/localcluster"
)

// waveJobs is the number of jobs that a load submits and cancels together.
const waveJobs = 4

// load is a number of callers that submit one job after the other, and of further
// ones whose jobs are cancelled together.
type load struct {
	fixture *fixture
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	// callers counts both kinds.
	callers int

	mu        sync.Mutex
	done      int
	cancelled int
	failed    []error
}

// profileOf returns the profile of every second caller or job in turn.
func profileOf(i int) zinniasill.ProfileName {
	if i%2 == 0 {
		return profile
	}
	return resubmitProfile
}

// startLoad starts callers with jobs of 4 tasks under both profiles, and waves of
// cancellations.
func (f *fixture) startLoad(callers, runMS int) *load {
	ctx, cancel := context.WithCancel(f.ctx)
	l := &load{fixture: f, cancel: cancel, callers: callers + waveJobs}
	f.Cleanup(cancel)
	for i := range callers {
		l.wait.Go(func() {
			c := f.client()
			for n := 0; ctx.Err() == nil; n++ {
				job := newJob(fmt.Sprintf("load-%d-%d", i, n), 4, runMS)
				job.Profile = profileOf(i)
				l.note(f.submit(c, job))
			}
		})
	}
	l.wait.Go(func() {
		clients := make([]*client.Client, waveJobs)
		for i := range clients {
			clients[i] = f.client()
		}
		for n := 0; ctx.Err() == nil; n++ {
			l.wave(clients, n, runMS)
		}
	})
	l.awaitMore(callers)
	return l
}

// wave submits jobs at once, and cancels them at once when some of their tasks have
// started, each through the next entry.
func (l *load) wave(clients []*client.Client, n, runMS int) {
	var wait sync.WaitGroup
	var left atomic.Int64
	keys := make([]string, waveJobs)
	for i := range keys {
		keys[i] = fmt.Sprintf("wave-%d-%d", n, i)
		job := newJob(keys[i], 4, runMS)
		job.Profile = profileOf(n)
		left.Add(1)
		wait.Go(func() {
			defer left.Add(-1)
			l.noteCancelled(l.fixture.submit(clients[i], job))
		})
	}
	// Poll fails when the test's time is over, which the submissions report.
	_ = localcluster.Poll(l.fixture.ctx, "a wave to start", func() bool {
		return left.Load() == 0 || countStarts(l.fixture.Starts(), keys...) >= n%waveJobs
	})
	for i, key := range keys {
		// A job that has ended or isn't held yet can't be cancelled.
		wait.Go(func() { _ = l.fixture.client(i%2).Cancel(l.fixture.ctx, key) })
	}
	wait.Wait()
}

// countStarts counts the starts that belong to jobs.
func countStarts(starts map[string]int, keys ...string) int {
	count := 0
	for id, n := range starts {
		if key, _, _ := strings.Cut(id, "/"); slices.Contains(keys, key) {
			count += n
		}
	}
	return count
}

// noteCancelled notes the outcome of a job that is cancelled at some time.
func (l *load) noteCancelled(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var refused *client.RefusalError
	switch {
	case errors.As(err, &refused) && refused.Code == zinniasill.ReasonCancelled:
		l.cancelled++
	case err != nil:
		l.failed = append(l.failed, err)
	}
}

func (l *load) note(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed = append(l.failed, err)
		return
	}
	l.done++
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}

// awaitMore waits until a number of further jobs are answered.
func (l *load) awaitMore(jobs int) {
	l.fixture.Helper()
	want := l.count() + jobs
	l.fixture.await("further jobs to be answered", func() bool { return l.count() >= want })
}

// stop stops the callers after their present jobs. Only failures that ok allows
// are accepted.
func (l *load) stop(ok func(*client.RefusalError) bool) {
	l.fixture.Helper()
	l.cancel()
	l.wait.Wait()
	l.fixture.Logf("load: %d jobs answered, %d cancelled, %d failed", l.done, l.cancelled, len(l.failed))
	for _, err := range l.failed {
		var refused *client.RefusalError
		if !errors.As(err, &refused) || !ok(refused) {
			l.fixture.Errorf("load: %v", err)
		}
	}
}

// noFailure allows no failed job.
func noFailure(*client.RefusalError) bool { return false }

// lostWork allows the failures that a lost agent causes.
func lostWork(refused *client.RefusalError) bool {
	return refused.Ran == zinniasill.RanUnknown || refused.Ran == zinniasill.NotRun
}
