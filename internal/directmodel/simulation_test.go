package directmodel_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/dispatch"
	"zinniasill/core/executor"
	"zinniasill/core/message"
	"zinniasill/internal/directmodel"
)

// percentile returns the q-quantile of the latencies of completed jobs, with q from 0 to
// 1, and the number of completed jobs.
func percentile(s *directmodel.Simulation, q float64) (time.Duration, int) {
	var times []time.Duration
	for _, answer := range s.Answers {
		if answer.Result == dispatch.Completed {
			times = append(times, answer.Latency)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[int(float64(len(times)-1)*q)], len(times)
}

// noViolations fails the test for each violated invariant.
func noViolations(t *testing.T, s *directmodel.Simulation) {
	t.Helper()
	s.CheckRefusals()
	for _, violation := range s.Violations {
		t.Error(violation)
	}
}

// wantOneAnswer fails the test unless there is one answer, with the given result.
func wantOneAnswer(t *testing.T, s *directmodel.Simulation, result dispatch.Result) {
	t.Helper()
	if len(s.Answers) != 1 || s.Answers[0].Result != result {
		t.Errorf("answers %+v, want one, %s", s.Answers, result)
	}
}

// load submits jobs of 4 tasks of 60 ms, one every interval, for a time. It returns the
// number of jobs.
func load(s *directmodel.Simulation, interval, length time.Duration) int {
	count := 0
	for end := s.Now.Add(length); s.Now.Before(end); count++ {
		s.Submit(count%len(s.Entries), directmodel.Job(fmt.Sprintf("job-%d-%d", s.Now.UnixNano(), count), 4, 60*time.Millisecond))
		s.Run(interval)
	}
	return count
}

// TestNoFaults guards against tasks that are delayed, lost or placed badly without any
// faults, at about half of the capacity.
func TestNoFaults(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 3, Agents: 4})
	s.Settle()
	count := load(s, 12*time.Millisecond, 3*time.Second)
	s.Run(time.Second)
	slowest, completed := percentile(s, 0.99)
	if completed != count || slowest > 80*time.Millisecond {
		t.Errorf("%d of %d jobs completed, 99th percentile %v", completed, count, slowest)
	}
	noViolations(t, s)
}

// TestUnansweredOrders guards against unanswered orders that delay more than their own
// task: a lost lease renewal must not hide the completions of other tasks, a task whose
// start is lost must soon run elsewhere, and many lost orders must not make agents wait
// longer and longer for each answer, until jobs with several tasks can no longer be
// run. An order that is executed late must not cause concurrent runs of a task.
func TestUnansweredOrders(t *testing.T) {
	// The objective of a job of 60 ms. Answers are useful for three times as long.
	const objective = 156 * time.Millisecond
	tests := map[string]struct {
		lost      func(count int) bool
		completed int // minimum, in percent
		within    time.Duration
	}{
		"one in 25":    {func(count int) bool { return count%25 == 0 }, 100, objective},
		"three in ten": {func(count int) bool { return count*37%100 < 30 }, 80, 3 * objective},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := directmodel.New(directmodel.Config{Entries: 3, Agents: 4})
			s.Settle()
			for i, a := range s.Agents {
				count := i * 7
				a.Endpoint.Faults.ExecutionDelay = 2 * time.Second
				a.Endpoint.Faults.Unanswered = func(executor.Call) bool {
					count++
					return tt.lost(count)
				}
			}
			count := load(s, 12*time.Millisecond, 4*time.Second)
			s.Run(4 * time.Second)
			typical, completed := percentile(s, 0.9)
			if completed > count || completed*100 < count*tt.completed || typical > tt.within {
				t.Errorf("%d of %d jobs completed, 90th percentile %v", completed, count, typical)
			}
			noViolations(t, s)
		})
	}
}

// TestSlowEndpointRecovers guards against an endpoint that never gets work again after it
// was slow for a while, and against one that gets its usual share while it is slow.
func TestSlowEndpointRecovers(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 3, Agents: 4})
	s.Settle()
	slow := s.Agents[1].Endpoint
	starts := func(length time.Duration) (own, all int) {
		before := slow.Starts
		for _, a := range s.Agents {
			all -= a.Endpoint.Starts
		}
		load(s, 12*time.Millisecond, length)
		for _, a := range s.Agents {
			all += a.Endpoint.Starts
		}
		return slow.Starts - before, all
	}
	slow.Faults.Slow = 8
	load(s, 12*time.Millisecond, time.Second)
	own, all := starts(2 * time.Second)
	if own*10 > all {
		t.Errorf("one slow endpoint of four got %d of %d starts", own, all)
	}
	slow.Faults.Slow = 1
	load(s, 12*time.Millisecond, 5*time.Second)
	own, all = starts(2 * time.Second)
	if own*8 < all {
		t.Errorf("one recovered endpoint of four got %d of %d starts", own, all)
	}
	noViolations(t, s)
}

// TestFailingEndpoint guards against an endpoint that attracts tasks because it fails all
// of them and so has free capacity: its share must fall soon, and its failures must not
// fail jobs.
func TestFailingEndpoint(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 3, Agents: 4})
	s.Settle()
	failing := s.Agents[2].Endpoint
	failing.Faults.Fail = true
	count := load(s, 12*time.Millisecond, 4*time.Second)
	s.Run(time.Second)
	_, completed := percentile(s, 0.5)
	if completed < count*98/100 {
		t.Errorf("%d of %d jobs were completed", completed, count)
	}
	if failing.Starts*10 > count*4 {
		t.Errorf("the failing endpoint got %d of %d starts", failing.Starts, count*4)
	}
	noViolations(t, s)
}

// TestOverload guards against an overload in which most jobs are started and few complete
// in time: at one and a half times the capacity, with jobs of several sizes, the goodput
// (tasks of jobs that meet their objective) must stay near the capacity, and jobs that
// cannot start in time must be refused at once.
func TestOverload(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 3, Agents: 4})
	s.Settle()
	const (
		run      = 80 * time.Millisecond
		interval = 10 * time.Millisecond
		length   = 4 * time.Second
		capacity = 4 * 10 // tasks at the same time
	)
	sizes := []int{2, 4, 12, 6, 6}
	inTime, count := 0, 0
	tasks := map[string]int{}
	for end := s.Now.Add(length); s.Now.Before(end); count++ {
		id := fmt.Sprintf("job-%d", count)
		tasks[id] = sizes[count%len(sizes)]
		s.Submit(count%3, directmodel.Job(id, tasks[id], run))
		s.Run(interval)
	}
	s.Run(2 * time.Second)
	objective := run*16/10 + 60*time.Millisecond
	refusedLate := 0
	for _, answer := range s.Answers {
		switch {
		case answer.Result == dispatch.Completed && answer.Latency <= objective:
			inTime += tasks[answer.Job]
		case answer.Result == dispatch.Refused && answer.Latency > 20*time.Millisecond:
			refusedLate++
		}
	}
	possible := int(length/run) * capacity
	if inTime*100 < possible*80 {
		t.Errorf("%d tasks completed in time, the capacity is %d", inTime, possible)
	}
	if refusedLate*100 > count {
		t.Errorf("%d of %d jobs were refused after more than 20 ms", refusedLate, count)
	}
	noViolations(t, s)
}

// TestUnresponsiveAgentAnswer guards against callers that wait until all leases of a
// partitioned agent have expired, when an answer is no longer useful.
func TestUnresponsiveAgentAnswer(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 1})
	s.Settle()
	s.Submit(0, directmodel.Job("a", 2, 60*time.Millisecond))
	s.Run(5 * time.Millisecond)
	partition(s, "agent-0", "entry-0", 5*time.Second, true)
	s.Run(3 * time.Second)
	// Three times the objective of 156 ms, plus the time without messages that makes the
	// answer safe: a caller resends 1.3 s later, when all leases have expired.
	if len(s.Answers) != 1 || s.Answers[0].Result != dispatch.Unknown || s.Answers[0].Latency > 800*time.Millisecond {
		t.Errorf("answers %+v", s.Answers)
	}
	noViolations(t, s)
}

// TestCancel guards against tasks that run or start after their job was cancelled or its
// caller has disconnected.
func TestCancel(t *testing.T) {
	for name, end := range map[string]func(s *directmodel.Simulation, request dispatch.RequestID){
		"cancelled": func(s *directmodel.Simulation, _ dispatch.RequestID) { s.Entries[0].Cancel(s.Now, "a") },
		"abandoned": func(s *directmodel.Simulation, request dispatch.RequestID) { s.Entries[0].Abandon(s.Now, request) },
	} {
		t.Run(name, func(t *testing.T) {
			s := directmodel.New(directmodel.Config{Entries: 1, Agents: 2})
			s.Settle()
			request := s.Submit(0, directmodel.Job("a", 30, 400*time.Millisecond))
			s.Run(50 * time.Millisecond)
			end(s, request)
			s.Run(100 * time.Millisecond)
			starts := 0
			for _, a := range s.Agents {
				starts += a.Endpoint.Starts
				if running := a.Endpoint.Running(); running > 0 {
					t.Errorf("%d tasks still run after 100 ms", running)
				}
			}
			s.Run(2 * time.Second)
			for _, a := range s.Agents {
				starts -= a.Endpoint.Starts
			}
			if starts != 0 {
				t.Errorf("%d tasks started later", -starts)
			}
			noViolations(t, s)
		})
	}
}

// TestMessageOfFormerIncarnation guards against a message of an ended process, delayed by
// a partition, that makes the others abandon the tasks of its next incarnation.
func TestMessageOfFormerIncarnation(t *testing.T) {
	tests := map[string]func(s *directmodel.Simulation) (late func()){
		"agent": func(s *directmodel.Simulation) func() {
			former := s.Agents[0].Incarnation()
			s.KillAgent(0)
			s.Run(100 * time.Millisecond)
			s.RestartAgent(0)
			return func() {
				s.Entries[0].Receive(s.Now, message.Envelope{
					Version: message.Version, From: zinniasill.Node{ID: "agent-0"},
					Body: message.Progress{Agent: former, Entry: s.Entries[0].Incarnation(), Session: 2, SentAt: time.Hour},
				})
			}
		},
		"entry": func(s *directmodel.Simulation) func() {
			former := s.Entries[0].Incarnation()
			s.KillEntry(0)
			s.Run(100 * time.Millisecond)
			s.RestartEntry(0)
			return func() {
				s.Agents[0].Receive(s.Now, message.Envelope{
					Version: message.Version, From: zinniasill.Node{ID: "entry-0"},
					Body: message.Assign{Entry: former, Agent: s.Agents[0].Incarnation(), Session: 9, Echo: time.Hour},
				})
			}
		},
		// The receiver has restarted too and has never seen these incarnations.
		"unknown agent": func(s *directmodel.Simulation) func() {
			return func() {
				s.Entries[0].Receive(s.Now, message.Envelope{
					Version: message.Version, From: zinniasill.Node{ID: "agent-0"},
					Body: message.Progress{Agent: 77, Entry: s.Entries[0].Incarnation(), Session: 1, SentAt: time.Hour},
				})
			}
		},
		"unknown entry": func(s *directmodel.Simulation) func() {
			return func() {
				s.Agents[0].Receive(s.Now, message.Envelope{
					Version: message.Version, From: zinniasill.Node{ID: "entry-0"},
					Body: message.Assign{Entry: 77, Agent: 78, Session: 9, Echo: time.Hour},
				})
			}
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			s := directmodel.New(directmodel.Config{Entries: 1, Agents: 1})
			s.Settle()
			late := restart(s)
			s.Settle()
			s.Submit(0, directmodel.Job("a", 4, 300*time.Millisecond))
			s.Run(100 * time.Millisecond)
			late()
			s.Run(time.Second)
			starts := s.Agents[0].Endpoint.Starts
			if starts != 4 || len(s.Answers) != 1 || s.Answers[0].Result != dispatch.Completed {
				t.Errorf("%d starts, answers %+v", starts, s.Answers)
			}
			noViolations(t, s)
		})
	}
}

// TestSlowClock guards against a lease at an endpoint that lasts longer than its agent
// assumes, so that a task is requeued while it runs: the clock of an endpoint may be slow
// by 2 %, and the difference accumulates over a long uptime.
func TestSlowClock(t *testing.T) {
	for offset := range 12 {
		s := directmodel.New(directmodel.Config{Entries: 1, Agents: 2})
		for _, a := range s.Agents {
			a.Endpoint.ClockRate = 0.98
		}
		s.Settle()
		load(s, 50*time.Millisecond, 10*time.Second)
		s.Submit(0, directmodel.Job("long", 8, 3*time.Second))
		s.Run(200*time.Millisecond + time.Duration(offset)*5*time.Millisecond)
		s.Agents[0].Endpoint.Faults.ResetConnections = true
		s.Agents[0].Endpoint.Faults.Unanswered = func(executor.Call) bool { return true }
		s.Run(8 * time.Second)
		if len(s.Answers) == 0 || s.Answers[len(s.Answers)-1].Job != "long" {
			t.Error("the job was not answered")
		}
		noViolations(t, s)
	}
}

// TestClosedConnections guards against an agent that retries without a pause while its
// endpoint closes each connection at once.
func TestClosedConnections(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 1})
	s.Settle()
	s.Submit(0, directmodel.Job("a", 2, 400*time.Millisecond))
	s.Run(50 * time.Millisecond)
	calls := 0
	s.Agents[0].Endpoint.Faults.ResetConnections = true
	s.Agents[0].Endpoint.Faults.Unanswered = func(executor.Call) bool {
		calls++
		return true
	}
	s.Run(time.Second)
	if calls > 60 {
		t.Errorf("%d calls in a second", calls)
	}
	noViolations(t, s)
}

// TestReusedJobID guards against reports on an abandoned job, delayed by a partition, that
// are taken for reports on a later job with the same ID.
func TestReusedJobID(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 2})
	s.Settle()
	partitioned := true
	s.Drop = func(_, to zinniasill.NodeID) bool { return partitioned && to == "agent-0" }
	request := s.Submit(0, directmodel.Job("a", 4, 300*time.Millisecond))
	s.Run(40 * time.Millisecond)
	s.Entries[0].Abandon(s.Now, request)
	s.Run(40 * time.Millisecond)
	s.Submit(0, directmodel.Job("a", 4, 300*time.Millisecond))
	s.Run(40 * time.Millisecond)
	partitioned = false
	s.Run(2 * time.Second)
	if len(s.Answers) != 1 || s.Answers[0].Result != dispatch.Completed {
		t.Errorf("answers %+v", s.Answers)
	}
	noViolations(t, s)
}
