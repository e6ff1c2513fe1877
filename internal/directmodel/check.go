package directmodel

import (
	"fmt"

	"zinniasill"
	"zinniasill/core/dispatch"
)

// recordStart records that a task of a job started.
func (s *Simulation) recordStart(task zinniasill.TaskID) {
	s.started[task.Job] = true
	s.starts[task]++
}

// StartedAgain returns the tasks that have been started more than once.
func (s *Simulation) StartedAgain() []zinniasill.TaskID {
	var again []zinniasill.TaskID
	for task, count := range s.starts {
		if count > 1 {
			again = append(again, task)
		}
	}
	return again
}

// checkConcurrentRuns records a violation for each task that runs at two endpoints.
func (s *Simulation) checkConcurrentRuns() {
	running := map[zinniasill.TaskID]int{}
	for _, a := range s.Agents {
		for id := range a.Endpoint.running {
			running[id]++
			if running[id] > 1 {
				s.recordViolation("task %s runs at two endpoints %v after the start", id, s.Now.Sub(s.start))
			}
		}
	}
}

// recordViolation appends to Violations, up to 10 entries.
func (s *Simulation) recordViolation(format string, args ...any) {
	if len(s.Violations) < 10 {
		s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
	}
}

// CheckRefusals records a violation for each job of which a task started although every
// submission was refused. Call it at the end of a test, since a task of a refused job
// may still start later.
func (s *Simulation) CheckRefusals() {
	unrefused := map[string]int{}
	for _, submission := range s.submitted {
		unrefused[submission.job]++
	}
	for _, answer := range s.Answers {
		if answer.Result == dispatch.Refused {
			unrefused[answer.Job]--
		}
	}
	for job, count := range unrefused {
		if count == 0 && s.started[job] {
			s.recordViolation("job %s was refused as not run, but one of its tasks started", job)
		}
	}
}

// StartsByJob returns the number of starts of the tasks of each job.
func (s *Simulation) StartsByJob() map[string]int {
	counts := map[string]int{}
	for id, starts := range s.starts {
		counts[id.Job] += starts
	}
	return counts
}
