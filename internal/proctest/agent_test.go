package proctest_test

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
)

// startedAt returns the tasks that started at an agent's endpoint.
func (f *fixture) startedAt(agent int) map[string]int {
	return f.Stubs[agent].Starts()
}

// submitAll submits jobs at once and returns the error of each.
func (f *fixture) submitAll(c *client.Client, jobs []client.Job) []error {
	failed := make([]error, len(jobs))
	var wait sync.WaitGroup
	for i, job := range jobs {
		wait.Go(func() { failed[i] = f.submit(c, job) })
	}
	wait.Wait()
	return failed
}

// runningAt returns the tasks that were running at an agent's endpoint at a time,
// and those that had started before, given the time that each takes.
func (f *fixture) runningAt(agent int, at time.Time, takes time.Duration) (running, started map[string]bool) {
	running = map[string]bool{}
	started = map[string]bool{}
	for _, start := range f.Stubs[agent].History() {
		started[start.ID] = true
		running[start.ID] = start.At.Add(takes).After(at)
	}
	return running, started
}

// awaitPlaced waits until every one of a number of tasks has started or waits at an
// agent, and two looks agree on it, so that the answers to their offers have left.
// An offer without an answer is in doubt when its agent dies, and its job then fails
// with ran: unknown by design, whether or not it had reached the agent.
func (f *fixture) awaitPlaced(tasks int) {
	f.Helper()
	looks := 0
	f.await("all tasks to be placed", func() bool {
		placed := 0
		for i, agent := range f.Agents {
			queued, _ := localcluster.Gauge(f.ctx, agent, "zinniasill_agent_queued_tasks")
			placed += int(queued) + len(f.startedAt(i))
		}
		looks++
		if placed != tasks {
			looks = 0
		}
		return looks == 2
	})
}

// awaitBusy waits until several tasks of lostRunTime run at one agent for another
// second, and returns the agent.
func (f *fixture) awaitBusy() int {
	f.Helper()
	busy := -1
	f.await("an agent with running tasks", func() bool {
		for i := range f.Agents {
			running, _ := f.runningAt(i, time.Now().Add(time.Second), lostRunTime)
			if countTrue(running) > 1 {
				busy = i
			}
		}
		return busy >= 0
	})
	return busy
}

func countTrue(set map[string]bool) int {
	count := 0
	for _, in := range set {
		if in {
			count++
		}
	}
	return count
}

// checkLost checks that jobs whose task was running at a lost agent fail with
// ran: unknown and that those that never started there are answered.
func (f *fixture) checkLost(jobs []client.Job, failed []error, running, started map[string]bool) {
	f.Helper()
	unknown := 0
	for i, job := range jobs {
		var refused *client.RefusalError
		id := localcluster.TaskID(job.Key, 0)
		switch {
		case !started[id] && failed[i] != nil:
			f.Errorf("job %s did not start at the lost agent: %v", job.Key, failed[i])
		case !running[id]:
		case !errors.As(failed[i], &refused) || refused.Ran != zinniasill.RanUnknown:
			f.Errorf("job %s started at the lost agent, error %v", job.Key, failed[i])
		default:
			unknown++
		}
	}
	if unknown == 0 {
		f.Error("no job was running at the lost agent")
	}
}

// lostRunTime is the run time of tasks that are running when their agent is lost.
const lostRunTime = 1500 * time.Millisecond

// TestAgentKilled guards against a lost agent whose running tasks are started
// again, at once or after resubmission, or whose queued tasks are lost with it,
// also when an agent with the same name comes up at once.
func TestAgentKilled(t *testing.T) {
	f := start(t, 3)
	c := f.client()
	epoch, err := c.Stamp(f.ctx)
	f.must(err)
	var jobs []client.Job
	for i := range 36 {
		job := newJob(fmt.Sprintf("lost-%d", i), 1, int(lostRunTime.Milliseconds()))
		job.Epoch = epoch
		jobs = append(jobs, job)
	}
	done := make(chan []error, 1)
	go func() { done <- f.submitAll(c, jobs) }()
	f.awaitPlaced(len(jobs))
	victim := f.awaitBusy()
	f.Agents[victim].Kill()
	running, started := f.runningAt(victim, time.Now(), lostRunTime)
	f.must(f.Agents[victim].Start())
	failed := <-done
	f.checkLost(jobs, failed, running, started)
	var again []client.Job
	for i, job := range jobs {
		if failed[i] != nil {
			again = append(again, job)
		}
	}
	for i, err := range f.submitAll(f.client(1), again) {
		var refused *client.RefusalError
		if !errors.As(err, &refused) || refused.Ran != zinniasill.RanUnknown {
			t.Errorf("resubmitted job %s: %v", again[i].Key, err)
		}
	}
	f.must(f.AwaitReady(f.ctx, f.Agents[victim]))
	before := len(f.startedAt(victim))
	l := f.startLoad(6, 20)
	f.await("the restarted agent to get work", func() bool { return len(f.startedAt(victim)) > before })
	l.stop(noFailure)
}

// TestAgentTerminated guards against a planned stop of an agent that cuts a running
// task, loses a queued one or ends with an error.
func TestAgentTerminated(t *testing.T) {
	f := start(t, 3)
	l := f.startLoad(10, 100)
	f.must(f.Agents[1].Terminate(f.ctx))
	if code := f.Agents[1].ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	l.awaitMore(20)
	l.stop(noFailure)
}

// TestEndpointLeaves guards against new work at an endpoint later than the bound
// after operators told it to leave.
func TestEndpointLeaves(t *testing.T) {
	f := start(t, 3)
	l := f.startLoad(8, 50)
	current, err := f.Operator().Endpoint(f.ctx, "agent-1")
	var base zinniasill.Revision
	if err == nil {
		base = current.Revision
	}
	_, err = f.Operator().PutEndpoint(f.ctx, "agent-1", catalog.Leaving, localcluster.NewEdit(base))
	f.must(err)
	out := time.Now()
	f.awaitBound(out)
	l.awaitMore(16)
	if late := f.lateStarts(out, time.Now(), 0); len(late) > 0 {
		t.Errorf("%d late starts at the leaving endpoint, the first %v", len(late), late[0])
	}
	l.stop(noFailure)
}

// TestFrozen guards against a process that continues after its leases ended and
// acts on what it knew: a second start, or a start in a domain taken out meanwhile.
func TestFrozen(t *testing.T) {
	f := start(t, 6)
	l := f.startLoad(8, 100)
	agent, entry, replica := f.Agents[0], f.Entries[0], f.leader()
	f.away = append(f.away, replica)
	for _, p := range []*localcluster.Process{agent, entry, replica} {
		p.Signal(syscall.SIGSTOP)
	}
	f.awaitDead(agent)
	f.awaitDead(entry)
	f.setDomain(f.Domain(0), catalog.DomainOutOfService)
	out := time.Now()
	f.awaitBound(out)
	for _, p := range []*localcluster.Process{replica, agent, entry} {
		p.Signal(syscall.SIGCONT)
	}
	f.await("the agent to return", func() bool {
		_, listed := f.node(agent.Name)
		return listed
	})
	f.must(f.AwaitReady(f.ctx, replica))
	l.awaitMore(40)
	if late := f.lateStarts(out, time.Now(), 0, 3); len(late) > 0 {
		t.Errorf("%d late starts in the domain, the first %v", len(late), late[0])
	}
	l.stop(lostWork)
}

// TestTwoOfGroupKilled guards against a second start or a false refusal when two of
// the three members of every claim group die within the detection time, and with
// them the record of who owns a job: with the owner, which then nobody knows, or
// without it. New keys are served after the new epoch.
func TestTwoOfGroupKilled(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		entries []int
		killed  func(f *fixture) []*localcluster.Process
		// answers is the least number of resubmissions with an answer.
		answers int
	}{
		"owner lives": {entries: []int{0, 1}, answers: 2 * answeredJobs, killed: func(f *fixture) []*localcluster.Process {
			return f.Agents[:2]
		}},
		"owner dies": {entries: []int{1}, killed: func(f *fixture) []*localcluster.Process {
			return append(f.Agents[:2:2], f.Entries[0])
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := start(t, 3)
			jobs := f.ownedJobs()
			killed := tt.killed(f)
			for _, p := range killed {
				p.Signal(syscall.SIGKILL)
			}
			for _, p := range killed {
				p.Kill()
			}
			codes := f.resubmit(tt.entries, jobs)
			f.awaitDead(f.Agents[0])
			f.awaitDead(f.Agents[1])
			f.awaitNewKeys("one-agent")
			for _, p := range killed {
				f.must(p.Start())
			}
			f.must(f.AwaitReady(f.ctx, killed...))
			f.awaitEpoch()
			after := f.resubmit([]int{0, 1}, jobs)
			f.awaitNewKeys("all-agents")
			t.Logf("outcomes of resubmissions: %v, after the restart: %v", codes, after)
			if after[zinniasill.ReasonRecordLost] == 0 {
				t.Error("no lost record was met")
			}
			if codes[""] < tt.answers {
				t.Errorf("%d answers, the owner knows those of %d submissions", codes[""], tt.answers)
			}
		})
	}
}

// awaitNewKeys waits until a new key is served, and checks that further ones are.
// Until the epoch without the lost agents begins, new keys fail too: their groups
// have lost the majority.
func (f *fixture) awaitNewKeys(prefix string) {
	f.Helper()
	c := f.client(1)
	tried := 0
	try := func() error {
		tried++
		return f.submit(c, newJob(fmt.Sprintf("%s-%d", prefix, tried), 4, 10))
	}
	f.await("a new key to be served", func() bool { return try() == nil })
	for range 5 {
		f.must(try())
	}
}

// answeredJobs is the number of jobs of ownedJobs that have been answered.
const answeredJobs = 6

// ownedJobs submits stamped jobs through the first entry: at first those that are
// answered, then some whose tasks run or wait when it returns.
func (f *fixture) ownedJobs() []client.Job {
	f.Helper()
	c := f.client(0)
	epoch, err := c.Stamp(f.ctx)
	f.must(err)
	var jobs []client.Job
	for i := range 5 * answeredJobs {
		runMS := 10
		if i >= answeredJobs {
			runMS = int(lostRunTime.Milliseconds())
		}
		job := newJob(fmt.Sprintf("owned-%d", i), 1, runMS)
		job.Profile = profileOf(i)
		job.Epoch = epoch
		jobs = append(jobs, job)
	}
	f.must(errors.Join(f.submitAll(c, jobs[:answeredJobs])...))
	done := make(chan struct{})
	f.Cleanup(func() { <-done })
	go func() {
		defer close(done)
		f.submitAll(c, jobs[answeredJobs:]) // the witness checks what the caller is told
	}()
	f.awaitPlaced(len(jobs))
	return jobs
}

// resubmit sends each job twice at once through each of the entries, and counts the
// outcomes by code, the empty one for answers. A refusal must be true, which the
// witness checks, or say that nothing is known.
func (f *fixture) resubmit(entries []int, jobs []client.Job) map[zinniasill.Reason]int {
	f.Helper()
	var failed []error
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, entry := range append(entries, entries...) {
		wait.Go(func() {
			errs := f.submitAll(f.client(entry), jobs)
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, errs...)
		})
	}
	wait.Wait()
	codes := map[zinniasill.Reason]int{}
	for _, err := range failed {
		var refused *client.RefusalError
		switch {
		case err == nil:
			codes[""]++
		case !errors.As(err, &refused) || !lostWork(refused):
			f.Errorf("resubmission: %v", err)
		default:
			codes[refused.Code]++
		}
	}
	return codes
}
