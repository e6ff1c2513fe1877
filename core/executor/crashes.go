package executor

import (
	"log/slog"
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

// loseRuns closes the tasks of runs whose incarnation of the endpoint or lease has ended. The
// recorded inputs tell a crash from a silence: connections are refused only where nothing
// listens, and a run that caused a crash was often ordered just before the last answer.
func (s *Supervisor) loseRuns(now time.Time, lost []*task, reason zinniasill.Reason, cause string) {
	if len(lost) == 0 {
		return
	}
	s.record("runs-lost", slog.String("reason", cause), slog.Int("runs", len(lost)),
		slog.Duration("silent", now.Sub(s.lastContact)), slog.Int("refused", s.refused))
	if s.announced.Draining {
		reason = zinniasill.ReasonEndpointLeft
	}
	if reason == zinniasill.ReasonEndpointLost {
		s.lastCrash++
	}
	for _, t := range lost {
		age := max(s.lastContact.Sub(t.orderedAt), 0)
		s.record("run-lost", slog.String("job", t.id.Job), slog.String("task", t.id.String()),
			slog.Int("run", int(t.run)), slog.Duration("age-at-last-answer", age))
		if !t.ran {
			// The start was not answered and may have been carried out, or may still be by an
			// endpoint that is only silent.
			t.mayHaveRun = true
			t.mayStart = reason == zinniasill.ReasonLeaseExpired
			s.close(t, eventDrop, message.RunReturned, zinniasill.ReasonOutcomeUnknown)
			continue
		}
		if reason == zinniasill.ReasonEndpointLost {
			t.crash = s.lastCrash
			t.crashAge = age
			s.reportCrash(now, t)
		}
		s.close(t, eventDrop, message.RunReturned, reason)
	}
}

// silenceReason returns the reason for which runs are lost after a silence. Where
// connections are refused nothing listens any more; otherwise the endpoint may have run on
// until its lease expired.
func (s *Supervisor) silenceReason() zinniasill.Reason {
	if s.refused > 0 {
		return zinniasill.ReasonEndpointLost
	}
	return zinniasill.ReasonLeaseExpired
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
