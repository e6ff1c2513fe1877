package executor

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// crashRetention is how long a crash is reported in new sessions.
const crashRetention = SessionRetention / 2

// crash is a run under which the endpoint crashed. Runs of the same crash have the same
// number.
type crash struct {
	task   zinniasill.TaskID
	number uint64
	age    time.Duration
	at     time.Time
}

func (c crash) update() message.TaskUpdate {
	return message.TaskUpdate{State: message.RunCrashed, Task: c.task, Crash: c.number, Age: c.age}
}

// reportCrash reports a run under which the endpoint crashed to all entries but its owner:
// the caller may send the job again to any of them.
func (s *Supervisor) reportCrash(now time.Time, t *task) {
	c := crash{task: t.id, number: t.crash, age: t.crashAge, at: now}
	s.crashes = append(s.crashes, c)
	for _, incarnation := range s.sortedSessions() {
		if sess := s.sessions[incarnation]; sess != t.owner && !sess.superseded {
			sess.out.Push(c.update())
		}
	}
}

// reportCrashes reports the recent crashes in a new session. The entry may have heard of
// some of them in an earlier one.
func (s *Supervisor) reportCrashes(sess *session) {
	for _, c := range s.crashes {
		sess.out.Push(c.update())
	}
}

func (s *Supervisor) expireCrashes(now time.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) > crashRetention })
}
