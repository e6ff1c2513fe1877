package executor

import (
	"log/slog"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// reconcile compares the endpoint's lists with the recorded state of its runs.
func (s *Supervisor) reconcile(now, issued time.Time, result zinniasill.RenewResult) {
	for _, completion := range result.Completions {
		if completion.Number > s.lease.cursor {
			s.lease.cursor = completion.Number
			s.handleCompletion(now, completion)
		}
	}
	listed := make(map[zinniasill.RunningTask]bool, len(result.Running))
	orphans := 0
	for _, running := range result.Running {
		listed[running] = true
		if !s.confirmRunning(now, running) {
			orphans++
			s.stopOrphan(now, running)
		}
	}
	for _, id := range result.Unreadable {
		if t := s.active[id]; t != nil {
			listed[zinniasill.RunningTask{Task: id, Run: t.run}] = true
		}
	}
	if orphans == 0 && !s.adopted {
		s.adopted = true
		s.reporting = true
		s.record("endpoint-adopted", slog.String("life", s.incarnation.ID), slog.Uint64("fence", s.fence))
	}
	if len(result.Completions) < maxCompletions {
		s.handleUnlisted(now, issued, listed)
	}
}

// confirmRunning records that a task is listed as running. It returns false for a run
// that this process did not start.
func (s *Supervisor) confirmRunning(now time.Time, running zinniasill.RunningTask) bool {
	t := s.active[running.Task]
	if t == nil || t.run != running.Run {
		return false
	}
	if t.state == stateStarting || t.state == stateDoubtful && t.lastStop.IsZero() {
		s.markRunning(now, t)
	}
	t.ran = true
	return true
}

// stopOrphan stops an orphaned run: one that was started by an earlier process, or by an
// order that was carried out late.
func (s *Supervisor) stopOrphan(now time.Time, running zinniasill.RunningTask) {
	if now.Sub(s.orphanStops[running.Task]) < orphanStopInterval {
		return
	}
	s.orphanStops[running.Task] = now
	known := s.runs[running.Task].at
	s.recordRun(now, running.Task, running.Run)
	s.record("stray-run", slog.String("job", running.Task.Job), slog.String("task", running.Task.String()),
		slog.Int("run", int(running.Run)), slog.Duration("last-known", now.Sub(known)))
	s.issue(now, Call{
		Stop:    &zinniasill.StopOrder{Incarnation: s.incarnation, Task: running.Task, Run: running.Run, Fence: s.fence},
		Timeout: s.responses.timeout(),
	}, nil)
}

// handleCompletion handles one completion.
func (s *Supervisor) handleCompletion(now time.Time, completion zinniasill.Completion) {
	s.recordRun(now, completion.Task, completion.Run)
	t := s.active[completion.Task]
	if t == nil || t.run != completion.Run {
		return
	}
	t.ran = true
	began := t.startedAt
	if began.IsZero() {
		began = t.orderedAt
	}
	switch completion.Reason {
	case zinniasill.CompletionDone:
		s.stats.addSuccess(now, now.Sub(began), t.estimate)
		s.stats.speed.add(now, t.id.Job, now.Sub(began), t.estimate)
		s.close(t, eventEnd, message.RunDone, "")
	case zinniasill.CompletionFailed:
		s.stats.addFailure(now)
		s.close(t, eventEnd, message.RunFailed, zinniasill.ReasonTaskFailed)
	default:
		reason := t.reason
		if reason == "" {
			reason = zinniasill.ReasonLeaseExpired
		}
		s.close(t, eventEnd, message.RunReturned, reason)
	}
}

// handleUnlisted closes the tasks that should be listed but are not. A renewal that was
// issued before the start was accepted or the stop was answered proves nothing about the
// run.
func (s *Supervisor) handleUnlisted(now, issued time.Time, listed map[zinniasill.RunningTask]bool) {
	for _, t := range s.sortedActive() {
		if listed[zinniasill.RunningTask{Task: t.id, Run: t.run}] {
			continue
		}
		switch {
		case t.state == stateRunning && issued.After(t.startedAt):
			s.close(t, eventEnd, message.RunReturned, zinniasill.ReasonLeaseExpired)
		case t.state == stateStopping && (t.stopAccepted || t.ran) && !t.stopPending && issued.After(t.lastStop):
			s.close(t, eventEnd, message.RunReturned, t.reason)
		case t.state == stateDoubtful && t.lastStop.IsZero() && issued.After(t.doubtfulSince):
			// The run has not started. The stop prevents it from starting later.
			s.sendStop(now, t)
		}
	}
}
