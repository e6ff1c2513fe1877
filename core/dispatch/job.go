package dispatch

import (
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/overload"
	"zinniasill/core/rendezvous"
)

// job is a job in progress.
type job struct {
	Job
	hash       uint64 // of the id
	arrivedAt  time.Time
	targetTime time.Duration
	// runTime is the expected run time of the longest chain of dependent steps. allWork is the
	// CPU time that the job requires, in thousandths of a core times milliseconds.
	runTime  time.Duration
	allWork  int64
	requests []RequestID
	tasks    []*task
	// remaining is the number of tasks in each step that have not succeeded yet.
	remaining []int
	// locked is set once the lock of the job has been granted.
	locked bool
	// taken is set once the tasks of the job may be placed.
	taken bool
	// begun is set once a task has been assigned.
	begun bool
	// mayHaveRun is set once a task may have started.
	mayHaveRun bool
	ended      bool
	// class is what the job can expect, or could when it began.
	class overload.Class
	// round is that of the last list of waiting jobs that has the job.
	round uint64
}

// task is one task of a job. Its agent is nil while it is not assigned.
type task struct {
	job     *job
	step    int
	index   uint32
	attempt zinniasill.Attempt
	// assignment is the number of the last assignment.
	assignment uint64
	// started is set once the agent has reported the run as started.
	started  bool
	failures int
	returns  int
	// lostRuns counts the attempts that may have run and were returned or lost.
	lostRuns         int
	lastReturnReason zinniasill.Reason
	done             bool
	agent            *agent
	// avoid is the agent where the last attempt failed or that returned the task.
	avoid *agent
	// held is set once the task has waited for the endpoint with its data while another was free.
	held bool
	// command is the number of the command that last assigned the task.
	command uint64
}

func newJob(now time.Time, request RequestID, spec Job) *job {
	j := &job{Job: spec, hash: rendezvous.Hash(spec.ID), arrivedAt: now, requests: []RequestID{request}, remaining: make([]int, len(spec.Steps))}
	for step, s := range spec.Steps {
		j.remaining[step] = s.Count
		for index := range s.Count {
			j.tasks = append(j.tasks, &task{job: j, step: step, index: uint32(index)})
		}
	}
	if !spec.ArrivedAt.IsZero() {
		j.arrivedAt = spec.ArrivedAt
	}
	j.runTime = j.criticalPath()
	j.targetTime = time.Duration(spec.Stretch*float64(j.runTime)) + spec.Objective
	j.allWork = j.work()
	return j
}

func (t *task) id() zinniasill.TaskID {
	return zinniasill.TaskID{Job: t.job.ID, Step: uint32(t.step), Index: t.index}
}

// hash returns a hash that differs between the tasks of a job and between its attempts.
func (t *task) hash() uint64 {
	return rendezvous.Score(t.job.hash, uint64(t.step)<<48|uint64(t.attempt)<<32|uint64(t.index))
}

// criticalPath returns the expected run time of the longest chain of dependent steps.
func (j *job) criticalPath() time.Duration {
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

// slack returns how long tasks may wait without missing the job's target response time.
func (j *job) slack() time.Duration {
	return max(j.targetTime-j.runTime, 0)
}

// ready returns the tasks that are not assigned and whose steps may start.
func (j *job) ready() []*task {
	var ready []*task
	for _, t := range j.tasks {
		if t.agent == nil && !t.done && j.canStart(t.step) {
			ready = append(ready, t)
		}
	}
	return ready
}

func (j *job) canStart(step int) bool {
	for _, before := range j.Steps[step].DependsOn {
		if j.remaining[before] > 0 {
			return false
		}
	}
	return true
}

func (j *job) complete() bool {
	for _, remaining := range j.remaining {
		if remaining > 0 {
			return false
		}
	}
	return true
}

// work computes allWork.
func (j *job) work() int64 {
	work := int64(0)
	for _, step := range j.Steps {
		work += int64(step.Count) * step.Need.MilliCPU * step.Estimate.Milliseconds()
	}
	return work
}

// work returns the CPU time that the task requires, in thousandths of a core times
// milliseconds.
func (t *task) work() int64 {
	step := t.job.Steps[t.step]
	return step.Need.MilliCPU * step.Estimate.Milliseconds()
}

// readyCPU returns the CPU required by the tasks that are ready, in thousandths of a core.
func (j *job) readyCPU() int64 {
	sum := int64(0)
	for _, t := range j.ready() {
		sum += j.Steps[t.step].Need.MilliCPU
	}
	return sum
}

// protected reports whether the job is not displaced because of its size.
func (j *job) protected() bool { return j.hash%2 == 0 }

// hasAssigned reports whether any task of the job is assigned to an agent.
func (j *job) hasAssigned() bool {
	for _, t := range j.tasks {
		if t.agent != nil {
			return true
		}
	}
	return false
}

// priorityLevel returns the job's priority, limited to those that load reports
// distinguish.
func (j *job) priorityLevel() int {
	return min(max(j.Priority, 0), message.Priorities-1)
}
