package dispatch

import (
	"slices"
	"time"

	"zinniasill"
)

const (
	// maxCrashes is the number of endpoints that have crashed under one task at which its
	// job fails. The first may have crashed for another reason than the task.
	maxCrashes = 2
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
}

// crash identifies a crash of an agent's endpoint by the number that the agent gave it.
type crash struct {
	agent       zinniasill.NodeID
	incarnation zinniasill.Incarnation
	number      uint64
}

// add counts a crash under a task. Reports of the same crash count once.
func (l crashLog) add(now time.Time, task zinniasill.TaskID, c crash) {
	known := l[task]
	if slices.Contains(known.crashes, c) {
		return
	}
	l[task] = taskCrashes{crashes: append(known.crashes, c), lastAt: now}
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
