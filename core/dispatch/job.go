package dispatch

import (
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// job is a job in progress.
type job struct {
	Job
	arrived  time.Time
	goal     time.Duration
	requests []RequestID
	tasks    []*task
	// left is the number of tasks of each step that have not ended with success.
	left []int
	// begun is set once a task was assigned.
	begun bool
	// ran is set once a task may have started.
	ran   bool
	ended bool
}

// task is one task of a job. Its agent is nil while it is not assigned.
type task struct {
	job     *job
	step    int
	index   uint32
	attempt zinniasill.Attempt
	// assignment is the number of the last assignment.
	assignment uint64
	failures   int
	returns    int
	returned   zinniasill.Reason // why it was returned last
	done       bool
	agent      *agent
	// avoid is the agent that returned the task last.
	avoid *agent
	// command is the number of the command that assigned the task.
	command uint64
}

func newJob(now time.Time, request RequestID, spec Job) *job {
	j := &job{Job: spec, arrived: now, requests: []RequestID{request}, left: make([]int, len(spec.Steps))}
	for step, s := range spec.Steps {
		j.left[step] = s.Count
		for index := range s.Count {
			j.tasks = append(j.tasks, &task{job: j, step: step, index: uint32(index)})
		}
	}
	j.goal = time.Duration(spec.Stretch*float64(j.chain())) + spec.Objective
	return j
}

// chain returns the expected time of the longest chain of steps.
func (j *job) chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, step := range j.Steps {
		for _, before := range step.DependsOn {
			if before < i {
				ends[i] = max(ends[i], ends[before])
			}
		}
		ends[i] += step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// slack returns how long tasks may wait without missing the objective.
func (j *job) slack() time.Duration {
	return max(j.goal-j.chain(), 0)
}

// ready returns the tasks that are not assigned and whose steps may begin.
func (j *job) ready() []*task {
	var ready []*task
	for _, t := range j.tasks {
		if t.agent == nil && !t.done && j.mayBegin(t.step) {
			ready = append(ready, t)
		}
	}
	return ready
}

func (j *job) mayBegin(step int) bool {
	for _, before := range j.Steps[step].DependsOn {
		if j.left[before] > 0 {
			return false
		}
	}
	return true
}

func (j *job) complete() bool {
	for _, left := range j.left {
		if left > 0 {
			return false
		}
	}
	return true
}

// assigned reports whether an agent has tasks of the job.
func (j *job) assigned() bool {
	for _, t := range j.tasks {
		if t.agent != nil {
			return true
		}
	}
	return false
}

// level returns the job's priority as far as reports tell priorities apart.
func (j *job) level() int {
	return min(max(j.Priority, 0), message.Priorities-1)
}
