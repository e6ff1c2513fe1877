package directmodel_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/dispatch"
	"zinniasill/core/executor"
	"zinniasill/internal/directmodel"
)

// resendDelay is the time after which a caller resends a job that got no answer.
const resendDelay = 1300 * time.Millisecond

// injectFault injects a random fault at a random process for a random time.
func injectFault(t *rapid.T, s *directmodel.Simulation) {
	agent := rapid.IntRange(0, len(s.Agents)-1).Draw(t, "agent")
	entry := rapid.IntRange(0, len(s.Entries)-1).Draw(t, "entry")
	length := time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond
	endpoint := s.Agents[agent].Endpoint
	switch rapid.SampledFrom([]string{
		"partition", "one-way", "freeze-agent", "kill-agent", "kill-entry", "freeze-entry", "crash", "crash-refusing", "unanswered",
		"mostly-unanswered", "reset", "slow", "fail", "hang", "drain", "unresponsive",
	}).Draw(t, "fault") {
	case "partition":
		partition(s, fmt.Sprintf("agent-%d", agent), fmt.Sprintf("entry-%d", entry), length, true)
	case "one-way":
		partition(s, fmt.Sprintf("agent-%d", agent), fmt.Sprintf("entry-%d", entry), length, false)
	case "freeze-agent":
		s.FreezeAgent(agent, true)
		s.After(length, func() { s.FreezeAgent(agent, false) })
	case "kill-agent":
		s.KillAgent(agent)
		s.After(length, func() { s.RestartAgent(agent) })
	case "kill-entry":
		s.KillEntry(entry)
		s.After(length, func() { s.RestartEntry(entry) })
	case "freeze-entry":
		s.FreezeEntry(entry, true)
		s.After(length, func() { s.FreezeEntry(entry, false) })
	case "crash":
		endpoint.Restart()
	case "crash-refusing":
		endpoint.Crash(length)
	case "unanswered":
		endpoint.Faults.ExecutionDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 2 * time.Second}).Draw(t, "late")
		count := 0
		endpoint.Faults.Unanswered = func(executor.Call) bool { count++; return count%5 == 0 }
		s.After(length, func() { endpoint.Faults.Unanswered = nil })
	case "mostly-unanswered":
		endpoint.Faults.ExecutionDelay = time.Second
		count := 0
		endpoint.Faults.Unanswered = func(executor.Call) bool { count++; return count%4 != 0 }
		s.After(length, func() { endpoint.Faults.Unanswered = nil })
	case "reset":
		endpoint.Faults.ExecutionDelay = 0
		endpoint.Faults.ResetConnections = true
		endpoint.Faults.Unanswered = func(executor.Call) bool { return true }
		s.After(length, func() { endpoint.Faults.Unanswered, endpoint.Faults.ResetConnections = nil, false })
	case "slow":
		endpoint.Faults.Slow = 6
		s.After(length, func() { endpoint.Faults.Slow = 0 })
	case "fail":
		endpoint.Faults.Fail = true
		s.After(length, func() { endpoint.Faults.Fail = false })
	case "hang":
		endpoint.Faults.Hang = true
		s.After(length, func() { endpoint.Faults.Hang = false })
	case "drain":
		endpoint.Draining = true
		s.After(length, func() { endpoint.Draining = false })
	case "unresponsive":
		endpoint.Faults.Unresponsive = true
		s.After(length, func() { endpoint.Faults.Unresponsive = false })
	}
}

// partition drops messages from a to b, and from b to a if both is set, for a time.
func partition(s *directmodel.Simulation, a, b string, length time.Duration, both bool) {
	before := s.Drop
	until := s.Now.Add(length)
	s.Drop = func(from, to zinniasill.NodeID) bool {
		dropped := string(from) == a && string(to) == b || both && string(from) == b && string(to) == a
		return dropped && s.Now.Before(until) || before(from, to)
	}
}

// TestRandomFaults guards against concurrent runs of one task, refusals as not run of
// jobs that have run, tasks that crash endpoint after endpoint, and jobs without an answer,
// while faults of all kinds overlap. A caller without an answer resends its job through
// another entry, up to 10 submissions.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := directmodel.New(directmodel.Config{Entries: 2, Agents: 3})
		for _, a := range s.Agents {
			a.Endpoint.ClockRate = rapid.SampledFrom([]float64{1, 0.98, 1.02}).Draw(t, "clock rate")
		}
		s.Settle()
		jobs := map[string]int{}
		crashing := map[string]bool{}
		s.CrashesEndpoint = func(task zinniasill.TaskID) bool { return task.Index == 0 && crashing[task.Job] }
		for i := range 40 {
			if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				injectFault(t, s)
			}
			id := fmt.Sprintf("job-%d", i)
			jobs[id] = 1
			crashing[id] = rapid.IntRange(0, 19).Draw(t, "crashing") == 0
			submit(s, id, i%2, rapid.IntRange(1, 6).Draw(t, "tasks"), jobs)
			s.Run(time.Duration(rapid.IntRange(5, 150).Draw(t, "pause")) * time.Millisecond)
		}
		s.Run(20 * time.Second)
		s.CheckRefusals()
		if len(s.Violations) > 0 {
			t.Fatal(strings.Join(s.Violations, "\n"))
		}
		answered := map[string]bool{}
		for _, answer := range s.Answers {
			answered[answer.Job] = true
		}
		if len(answered) != len(jobs) {
			t.Fatalf("%d of %d jobs were answered", len(answered), len(jobs))
		}
	})
}

// submit submits a job. It resubmits the job through the other entry, after resendDelay,
// if the entry ended without an answer or answered that the outcome is unknown.
func submit(s *directmodel.Simulation, id string, entry, tasks int, tries map[string]int) {
	request := s.Submit(entry, directmodel.Job(id, tasks, 80*time.Millisecond))
	dispatcher := s.Entries[entry].Dispatcher
	var poll func()
	poll = func() {
		for _, answer := range s.Answers {
			if answer.Request != request {
				continue
			}
			if answer.Result == dispatch.Unknown && tries[id] < 10 {
				tries[id]++
				s.After(resendDelay, func() { submit(s, id, 1-entry, tasks, tries) })
			}
			return
		}
		if s.Ended(entry, dispatcher) && tries[id] < 10 {
			tries[id]++
			s.After(resendDelay, func() { submit(s, id, 1-entry, tasks, tries) })
			return
		}
		s.After(20*time.Millisecond, poll)
	}
	poll()
}

// TestResettingEndpoint guards against flooding an endpoint with orders, and assigning it
// work that delays jobs, while it announces itself but resets all connections. Work must
// return to it once it answers.
func TestResettingEndpoint(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 2, Agents: 5})
	s.Settle()
	s.Submit(0, directmodel.Job("long", 10, 5*time.Second))
	s.Run(10 * time.Millisecond)
	runs := s.Agents[0].Endpoint.Starts
	load(s, 12*time.Millisecond, time.Second)
	calls := 0
	faults := &s.Agents[0].Endpoint.Faults
	faults.ResetConnections = true
	faults.Unanswered = func(executor.Call) bool { calls++; return true }
	s.Entries[0].Cancel(s.Now, "long")
	load(s, 12*time.Millisecond, 200*time.Millisecond)
	// The runs of the cancelled job get a stop order at once and every 20 ms until their
	// lease ends. Four orders make the endpoint suspect, and six lease renewals probe it.
	if limit := 11*runs + 4 + 6; calls > limit {
		t.Errorf("%d orders in 0.2 s to an endpoint that resets connections, want at most %d", calls, limit)
	}
	s.Run(2 * time.Second)
	s.Answers = nil
	count := load(s, 12*time.Millisecond, 4*time.Second)
	faults.Unanswered = nil
	starts := s.Agents[0].Endpoint.Starts
	count += load(s, 12*time.Millisecond, time.Second)
	s.Run(time.Second)
	// The objective of a job of 60 ms is 156 ms.
	slowest, completed := percentile(s, 1)
	if completed < count || slowest > 156*time.Millisecond {
		t.Errorf("%d of %d jobs completed, the slowest in %v", completed, count, slowest)
	}
	if s.Agents[0].Endpoint.Starts == starts {
		t.Error("no task started at the endpoint after it recovered")
	}
	noViolations(t, s)
}

// TestSuspendedAgent guards against an agent whose host was suspended and that starts or
// keeps tasks under a lease that has expired meanwhile: the host's clock does not count the
// time, so that the lease appears valid, while the entry has placed the tasks again.
func TestSuspendedAgent(t *testing.T) {
	for offset := range 12 {
		s := directmodel.New(directmodel.Config{Entries: 2, Agents: 3})
		s.Settle()
		// The entries place tasks at the suspended agent until they notice its silence,
		// and again elsewhere after dispatch.LostTimeout, shortly before it resumes.
		s.SuspendAgent(0, dispatch.LostTimeout+time.Duration(offset)*30*time.Millisecond)
		for i := range 40 {
			s.Submit(i%2, directmodel.Job(fmt.Sprintf("job-%d", i), 1, time.Second))
			s.Run(10 * time.Millisecond)
		}
		s.Run(8 * time.Second)
		noViolations(t, s)
	}
}

// TestFrozenAgentKeepsRuns guards against an agent that was only slow for a while, whose
// clock went on, and that takes the late answers of its endpoint for a suspension and gives
// up its running tasks.
func TestFrozenAgentKeepsRuns(t *testing.T) {
	const tasks = 4
	for offset := range 12 {
		s := directmodel.New(directmodel.Config{Entries: 1, Agents: 1})
		s.Settle()
		s.Submit(0, directmodel.Job("a", tasks, 2*time.Second))
		s.Run(200*time.Millisecond + time.Duration(offset)*7*time.Millisecond)
		s.FreezeAgent(0, true)
		s.Run(400 * time.Millisecond)
		s.FreezeAgent(0, false)
		s.Run(3 * time.Second)
		starts := s.Agents[0].Endpoint.Starts
		if starts != tasks || len(s.Answers) != 1 || s.Answers[0].Result != dispatch.Completed {
			t.Errorf("%d starts of %d tasks, answers %+v", starts, tasks, s.Answers)
		}
		noViolations(t, s)
	}
}

// TestMuteEndpoint guards against a second run of a task whose endpoint carries out all
// calls and answers none: lease renewals without an answer must not keep alive the runs
// that the agent takes for ended.
func TestMuteEndpoint(t *testing.T) {
	tests := map[string]func(s *directmodel.Simulation){
		"running agent":   func(*directmodel.Simulation) {},
		"restarted agent": func(s *directmodel.Simulation) { s.RestartAgent(0) },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			s := directmodel.New(directmodel.Config{Entries: 1, Agents: 3})
			s.Settle()
			s.Submit(0, directmodel.Job("a", 12, 4*time.Second))
			// The endpoint announces itself 100 ms later.
			s.Run(900 * time.Millisecond)
			mute := s.Agents[0].Endpoint
			mute.Faults.ExecutionDelay = time.Millisecond
			mute.Faults.Unanswered = func(executor.Call) bool { return true }
			disturb(s)
			s.Run(5 * time.Second)
			mute.Faults.Unanswered = nil
			s.Run(5 * time.Second)
			wantOneAnswer(t, s, dispatch.Completed)
			noViolations(t, s)
		})
	}
}

// TestSlowAnswersKeepRuns guards against an endpoint that answers all calls, but slowly for
// a while, and whose running tasks are given up.
func TestSlowAnswersKeepRuns(t *testing.T) {
	const tasks = 4
	for _, late := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			s := directmodel.New(directmodel.Config{Entries: 1, Agents: 2})
			s.Settle()
			s.Submit(0, directmodel.Job("a", tasks, 4*time.Second))
			s.Run(300 * time.Millisecond)
			for _, a := range s.Agents {
				faults := &a.Endpoint.Faults
				faults.AnswerDelay = late
				s.After(2*time.Second, func() { faults.AnswerDelay = 0 })
			}
			s.Run(6 * time.Second)
			starts := s.Agents[0].Endpoint.Starts + s.Agents[1].Endpoint.Starts
			if starts != tasks || len(s.Answers) != 1 || s.Answers[0].Result != dispatch.Completed {
				t.Errorf("%d starts of %d tasks, answers %+v", starts, tasks, s.Answers)
			}
			noViolations(t, s)
		})
	}
}

// TestAnnouncementAfterLeaving guards against an endpoint that has left and gets work again
// because one of its announcements was held up on the way.
func TestAnnouncementAfterLeaving(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 2})
	s.Settle()
	left := s.Agents[0]
	left.Endpoint.Draining = true
	s.Run(1500 * time.Millisecond)
	left.EndpointLeft(s.Now, left.Endpoint.Incarnation.ID)
	before := left.Endpoint.Starts
	// The model's endpoint goes on announcing itself after it has left.
	left.Endpoint.Draining = false
	s.Run(1200 * time.Millisecond)
	load(s, 12*time.Millisecond, time.Second)
	if starts := left.Endpoint.Starts - before; starts > 0 {
		t.Errorf("%d tasks started at an endpoint that has left", starts)
	}
	left.Endpoint.Restart()
	s.Run(1500 * time.Millisecond)
	load(s, 12*time.Millisecond, time.Second)
	if left.Endpoint.Starts == before {
		t.Error("no task started at the endpoint's next incarnation")
	}
	noViolations(t, s)
}

// TestLeaveOfFormerIncarnation guards against a second run of a task because an endpoint's
// message that it leaves was held up, until the next incarnation ran tasks under the same
// id.
func TestLeaveOfFormerIncarnation(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 2})
	s.Settle()
	s.Submit(0, directmodel.Job("a", 6, 2*time.Second))
	s.Run(100 * time.Millisecond)
	s.Agents[0].EndpointLeft(s.Now, s.Agents[0].Endpoint.Incarnation.ID)
	s.Run(5 * time.Second)
	wantOneAnswer(t, s, dispatch.Completed)
	noViolations(t, s)
}
