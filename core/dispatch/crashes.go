package dispatch

import (
	"slices"
	"time"

	"zinniasill"
)

const (
	// maxCrashes is the number of endpoints that have crashed under one task at which its
	// job fails in any case.
	maxCrashes = 4
	// sameAgeTolerance is the difference up to which two runs count as crashed at the same
	// age. A task that crashes its endpoints does so at the same point of each run; one
	// that only ran beside it was hit at any point.
	sameAgeTolerance = 50 * time.Millisecond
	// crashRetention is how long a crash is remembered. It covers several times the delay
	// after which a caller without an answer sends its job again.
	crashRetention = 30 * time.Second
)

// crashLog counts the endpoints that have crashed under each task, also under tasks of
// jobs that have ended or that another entry owned: a caller without an answer sends its
// job again, to any entry.
type crashLog map[zinniasill.TaskID]taskCrashes

// taskCrashes are the crashes under one task.
type taskCrashes struct {
	crashes []crash
	lastAt  time.Time
	// sameAge is set once two runs have crashed at the same age.
	sameAge bool
}

// crash is a crash of an agent's endpoint, identified by the number that the agent gave it.
type crash struct {
	agent       zinniasill.NodeID
	incarnation zinniasill.Incarnation
	number      uint64
	// age is the age of the run under which the endpoint crashed.
	age time.Duration
}

// add counts a crash under a task. Reports of the same crash count once.
func (l crashLog) add(now time.Time, task zinniasill.TaskID, c crash) {
	known := l[task]
	if slices.Contains(known.crashes, c) {
		return
	}
	for _, other := range known.crashes {
		known.sameAge = known.sameAge || (c.age-other.age).Abs() <= sameAgeTolerance
	}
	known.crashes = append(known.crashes, c)
	known.lastAt = now
	l[task] = known
}

// blamed reports whether a task is taken to crash its endpoints.
func (l crashLog) blamed(task zinniasill.TaskID) bool {
	known := l[task]
	return known.sameAge || len(known.crashes) >= maxCrashes
}

// blamesAny reports whether a task of the job is taken to crash its endpoints.
func (l crashLog) blamesAny(j *job) bool {
	return len(l) > 0 && slices.ContainsFunc(j.tasks, func(t *task) bool { return l.blamed(t.id()) })
}

func (l crashLog) count(task zinniasill.TaskID) int {
	return len(l[task].crashes)
}

func (l crashLog) expire(now time.Time) {
	for task, known := range l {
		if now.Sub(known.lastAt) > crashRetention {
			delete(l, task)
		}
	}
}

// most returns the most endpoints that have crashed under one task of a job.
func (l crashLog) most(j *job) int {
	most := 0
	if len(l) == 0 {
		return most
	}
	for _, t := range j.tasks {
		most = max(most, l.count(t.id()))
	}
	return most
}
