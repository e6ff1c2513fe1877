package directmodel

import (
	"slices"
	"time"

	"zinniasill"
)

const (
	// crashDelay is the time from the start of a task that crashes its endpoint to the
	// crash, crashDowntime the time until the endpoint starts again.
	crashDelay    = 7 * time.Millisecond
	crashDowntime = 3 * time.Second
)

// Limits of the starts of one task that crashes its endpoints, as the users state them:
// once it has crashed crashLimit endpoints, it must be started fewer than lateStartLimit
// times.
const (
	crashLimit     = 3
	lateStartLimit = 3
)

// crashRecord counts what a task that crashes its endpoints has done.
type crashRecord struct {
	crashes int
	// lateStarts is the number of starts after crashLimit crashes.
	lateStarts int
}

// CrashesBy returns the number of endpoints that the tasks of a job have crashed.
func (s *Simulation) CrashesBy(job string) int {
	sum := 0
	for task, record := range s.crashes {
		if task.Job == job {
			sum += record.crashes
		}
	}
	return sum
}

// crashAfterStart crashes an endpoint that has started a task, if the task crashes
// endpoints, and checks the limits of its starts.
func (s *Simulation) crashAfterStart(e *Endpoint, task zinniasill.TaskID) {
	if s.CrashesEndpoint == nil || !s.CrashesEndpoint(task) {
		return
	}
	record := s.crashes[task]
	if record == nil {
		record = &crashRecord{}
		s.crashes[task] = record
	}
	if record.crashes >= crashLimit {
		record.lateStarts++
	}
	if record.lateStarts == lateStartLimit {
		s.recordViolation("task %s was started %d times after it had crashed %d endpoints", task, lateStartLimit, crashLimit)
	}
	incarnation := e.Incarnation
	s.After(crashDelay, func() {
		if e.Incarnation == incarnation && !e.down && e.running[task] != nil {
			record.crashes++
			e.Crash(crashDowntime)
			if s.CrashesHost {
				s.crashAgent(e)
			}
		}
	})
}

// crashAgent ends the agent of an endpoint, which starts again with the endpoint.
func (s *Simulation) crashAgent(e *Endpoint) {
	i := slices.IndexFunc(s.Agents, func(a *Agent) bool { return a.Endpoint == e })
	s.KillAgent(i)
	s.After(crashDowntime, func() { s.RestartAgent(i) })
}

// Crash ends the endpoint with all its runs. Connections are refused until it starts
// again, as a new incarnation, after downtime.
func (e *Endpoint) Crash(downtime time.Duration) {
	e.down = true
	e.running = map[zinniasill.TaskID]*run{}
	incarnation := e.Incarnation
	e.sim.After(downtime, func() {
		if e.Incarnation == incarnation {
			e.Restart()
		}
	})
}
