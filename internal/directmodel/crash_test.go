package directmodel_test

import (
	"fmt"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/dispatch"
	"zinniasill/core/executor"
	"zinniasill/internal/directmodel"
)

// maxCrashes is the number of endpoints that one task may crash before it is given up.
const maxCrashes = 2

// crashesByFirstTask makes the first task of the given jobs crash each endpoint that starts
// it.
func crashesByFirstTask(jobs ...string) func(zinniasill.TaskID) bool {
	return func(task zinniasill.TaskID) bool {
		for _, job := range jobs {
			if task.Job == job && task.Index == 0 {
				return true
			}
		}
		return false
	}
}

// TestTaskCrashesEndpointAfterEndpoint guards against a task that crashes every endpoint
// that starts it and is started again each time, until no endpoint is left.
func TestTaskCrashesEndpointAfterEndpoint(t *testing.T) {
	tests := map[string]time.Duration{
		"short task":     60 * time.Millisecond,
		"long task":      900 * time.Millisecond,
		"very long task": 3 * time.Second,
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			s := directmodel.New(directmodel.Config{Entries: 3, Agents: 11})
			s.CrashesEndpoint = crashesByFirstTask("deadly")
			s.Settle()
			s.Submit(0, directmodel.Job("deadly", 4, run))
			s.Run(20 * time.Second)
			if crashes := s.CrashesBy("deadly"); crashes > maxCrashes {
				t.Errorf("one task crashed %d endpoints, want at most %d", crashes, maxCrashes)
			}
			if len(s.Answers) != 1 || s.Answers[0].Result == dispatch.Completed || s.Answers[0].Result == dispatch.Refused {
				t.Errorf("answers %+v, want one, neither completed nor refused", s.Answers)
			}
			noViolations(t, s)
		})
	}
}

// TestTaskCrashesHostAfterHost guards against a task that crashes the agent along with each
// endpoint that starts it, so that no agent can tell of the crash. The users' limit of
// starts must hold, and the job must not be shown as failed.
func TestTaskCrashesHostAfterHost(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 3, Agents: 11})
	s.CrashesEndpoint = crashesByFirstTask("deadly")
	s.CrashesHost = true
	s.Settle()
	s.Submit(0, directmodel.Job("deadly", 4, 5*time.Second))
	s.Run(40 * time.Second)
	wantOneAnswer(t, s, dispatch.Unknown)
	noViolations(t, s)
}

// TestBystandersOfCrash guards against failing jobs whose tasks only ran beside a task that
// crashes its endpoints, and against placing them beside it again.
func TestBystandersOfCrash(t *testing.T) {
	const bystanders = 30
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 11})
	s.CrashesEndpoint = crashesByFirstTask("deadly")
	s.Settle()
	for i := range bystanders {
		s.Submit(0, directmodel.Job(fmt.Sprintf("bystander-%d", i), 2, 2*time.Second))
		s.Run(5 * time.Millisecond)
	}
	s.Submit(0, directmodel.Job("deadly", 4, 2*time.Second))
	s.Run(20 * time.Second)
	completed := 0
	for _, answer := range s.Answers {
		if answer.Result == dispatch.Completed {
			completed++
		}
	}
	if completed != bystanders {
		t.Errorf("%d of %d other jobs were completed", completed, bystanders)
	}
	if crashes := s.CrashesBy("deadly"); crashes > maxCrashes {
		t.Errorf("one task crashed %d endpoints, want at most %d", crashes, maxCrashes)
	}
	noViolations(t, s)
}

// TestResentTaskCrashesEndpoints guards against a job that crashes an endpoint each time
// that its caller sends it again, because no entry knows what happened at the other or
// before its own restart.
func TestResentTaskCrashesEndpoints(t *testing.T) {
	tests := map[string]func(s *directmodel.Simulation){
		"two entries": func(*directmodel.Simulation) {},
		"restarting entries": func(s *directmodel.Simulation) {
			for i := range 20 {
				s.After(time.Duration(i)*900*time.Millisecond, func() { s.RestartEntry(i % 2) })
			}
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			s := directmodel.New(directmodel.Config{Entries: 2, Agents: 11})
			s.CrashesEndpoint = crashesByFirstTask("deadly")
			s.Settle()
			disturb(s)
			submissions := map[string]int{"deadly": 1}
			submit(s, "deadly", 0, 4, submissions)
			s.Run(40 * time.Second)
			if crashes := s.CrashesBy("deadly"); crashes > maxCrashes {
				t.Errorf("one task crashed %d endpoints in %d submissions, want at most %d", crashes, submissions["deadly"], maxCrashes)
			}
			noViolations(t, s)
		})
	}
}

// TestJobFailedWithoutCrash guards against failing a job although no endpoint has crashed
// while it ran its tasks.
func TestJobFailedWithoutCrash(t *testing.T) {
	const times = 2
	tests := map[string]func(s *directmodel.Simulation){
		"start not carried out before the crash": func(s *directmodel.Simulation) {
			crashes := 0
			for _, a := range s.Agents {
				endpoint := a.Endpoint
				endpoint.Faults.Unanswered = func(call executor.Call) bool {
					if call.Start == nil || crashes == times {
						return false
					}
					crashes++
					endpoint.Crash(time.Second)
					return true
				}
			}
		},
		"silent endpoint": func(s *directmodel.Simulation) {
			silences := 0
			var silence func()
			silence = func() {
				for _, a := range s.Agents {
					endpoint := a.Endpoint
					if silences < times && endpoint.Running() > 0 && !endpoint.Faults.Unresponsive {
						silences++
						endpoint.Faults.Unresponsive = true
						s.After(1500*time.Millisecond, func() { endpoint.Faults.Unresponsive = false })
					}
				}
				s.After(100*time.Millisecond, silence)
			}
			silence()
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			s := directmodel.New(directmodel.Config{Entries: 1, Agents: 4})
			s.Settle()
			disturb(s)
			s.Submit(0, directmodel.Job("a", 1, 3*time.Second))
			s.Run(20 * time.Second)
			wantOneAnswer(t, s, dispatch.Completed)
			noViolations(t, s)
		})
	}
}

// TestBystanderOfTwoCrashes guards against failing a job whose task only ran, for longer or
// shorter, at two endpoints that other tasks crashed.
func TestBystanderOfTwoCrashes(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 4})
	s.Settle()
	s.Submit(0, directmodel.Job("bystander", 1, 3*time.Second))
	for _, age := range []time.Duration{900 * time.Millisecond, 1500 * time.Millisecond} {
		s.Run(age)
		for _, a := range s.Agents {
			if a.Endpoint.Running() > 0 {
				a.Endpoint.Crash(2 * time.Second)
			}
		}
	}
	s.Run(8 * time.Second)
	wantOneAnswer(t, s, dispatch.Completed)
	noViolations(t, s)
}

// TestRunLostWithItsEndpoint guards against a refusal as "not run" of a job whose start
// was executed but not answered, right before its endpoint crashed.
func TestRunLostWithItsEndpoint(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 1})
	s.Settle()
	endpoint := s.Agents[0].Endpoint
	endpoint.Faults.ExecutionDelay = time.Millisecond
	endpoint.Faults.Unanswered = func(executor.Call) bool { return true }
	s.Submit(0, directmodel.Job("a", 2, 60*time.Millisecond))
	s.Run(5 * time.Millisecond)
	endpoint.Faults.Unresponsive = true
	s.After(500*time.Millisecond, endpoint.Restart)
	s.Run(5 * time.Second)
	if endpoint.Starts == 0 || len(s.Answers) == 0 {
		t.Fatalf("%d starts, %d answers", endpoint.Starts, len(s.Answers))
	}
	noViolations(t, s)
}

// TestJobAbortedWithSeveralTasksLost guards against a panic of the entry when the loss of one
// task aborts its job, while other tasks of the job are lost with the same agent.
func TestJobAbortedWithSeveralTasksLost(t *testing.T) {
	s := directmodel.New(directmodel.Config{Entries: 1, Agents: 1})
	s.Settle()
	s.Submit(0, directmodel.Job("a", 3, 5*time.Second))
	for range 5 {
		s.Run(1500 * time.Millisecond)
		s.KillAgent(0)
		s.Agents[0].Endpoint.Restart()
		s.RestartAgent(0)
	}
	s.Run(5 * time.Second)
	wantOneAnswer(t, s, dispatch.Unknown)
	noViolations(t, s)
}
