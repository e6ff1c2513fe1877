package executor

import (
	"log/slog"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// holding is the state of the endpoint's lease and of the list of ends.
type holding struct {
	// asked is set while the hold that renews is unanswered, looking while a look is.
	asked   bool
	looking bool
	looked  time.Time
	cursor  uint64 // the last end that was taken note of
	acked   uint64 // the cursor of the last hold that was accepted
	renewed time.Time
	retryAt time.Time
	failed  int
}

// maxEnds is the number of ends from which a list may be cut short.
const maxEnds = 500

// renewHold sends a hold while there is something to renew or to learn.
func (s *Supervisor) renewHold(now time.Time) {
	if !s.present || s.hold.asked || now.Before(s.hold.retryAt) || s.clock == 0 {
		return
	}
	busy := len(s.active) > 0
	if s.adopted && !busy && !s.suspect() && s.hold.acked == s.hold.cursor {
		return
	}
	wait := time.Duration(0)
	if s.adopted && busy && !s.suspect() {
		wait = holdWait
	}
	s.hold.asked = true
	s.issueHold(now, wait, false)
}

func (s *Supervisor) issueHold(now time.Time, wait time.Duration, look bool) {
	s.issue(now, Call{
		Renew: &zinniasill.RenewOrder{
			Incarnation: s.life, Fence: s.fence, Cursor: s.hold.cursor, Wait: wait,
			Deadline: s.endpointClock(now) + EndpointLease,
		},
		Timeout: wait + s.orders.timeout(),
		look:    look,
	}, nil)
}

// look asks for the lists at once when the fate of a run is to be read from them. It
// answers orders without an answer: a task that waits for the next hold, or for a stop
// of a run that never began, makes its job late.
func (s *Supervisor) look(now time.Time) {
	if !s.present || s.suspect() || s.hold.looking || s.clock == 0 || now.Sub(s.hold.looked) < lookEvery || !s.awaitsList() {
		return
	}
	s.hold.looking = true
	s.hold.looked = now
	s.issueHold(now, 0, true)
}

// awaitsList reports whether a run's fate is to be read from the lists.
func (s *Supervisor) awaitsList() bool {
	for _, t := range s.active {
		if (t.state == stateStopping || t.state == stateDoubtful) && !t.stopAsked {
			return true
		}
	}
	return false
}

// Renewed handles the answer to a hold.
func (s *Supervisor) Renewed(now time.Time, id CallID, result zinniasill.RenewResult) {
	pending, ok := s.waiting[id]
	if !ok {
		return
	}
	delete(s.waiting, id)
	if pending.life != s.life {
		return
	}
	if pending.call.look {
		s.hold.looking = false
	} else {
		s.hold.asked = false
	}
	s.noteAnswer(now, result.OrderResult)
	switch result.Outcome {
	case zinniasill.OrderAccepted:
		if pending.issued.After(s.hold.renewed) {
			s.hold.renewed = pending.issued
		}
		s.hold.acked = max(s.hold.acked, pending.call.Renew.Cursor)
		s.hold.failed = 0
		s.reconcile(now, pending.issued, result)
	case zinniasill.OrderOtherIncarnation:
		s.gone("endpoint-replaced")
	case zinniasill.OrderFenced:
		s.fence = max(s.fence+1, uint64(result.Clock/time.Millisecond))
	default:
		s.holdFailed(now, pending.issued, result.Outcome)
	}
	s.step(now)
}

// holdFailed handles a hold without a usable answer. When the last renewal is older
// than the lease, everything at the endpoint has ended.
func (s *Supervisor) holdFailed(now, issued time.Time, outcome zinniasill.OrderOutcome) {
	s.hold.failed++
	s.record("hold-failed", slog.String("outcome", string(outcome)), slog.Int("failed", s.hold.failed),
		slog.Duration("after", now.Sub(issued)), slog.Int("running", len(s.active)))
	pause := unreachableRetry
	if outcome == zinniasill.OrderNoAnswer {
		// The first holds that fail are sent again sooner: most are lost one at a time.
		pause = min(time.Duration(s.hold.failed)*lookEvery, unreachableRetry)
	}
	s.hold.retryAt = now.Add(pause)
	if now.Sub(s.lastRenewal()) > lapsedAfter {
		s.loseAll(zinniasill.ReasonLeaseExpired)
	}
}

// lastRenewal returns when a lease was last extended as far as is known.
func (s *Supervisor) lastRenewal() time.Time {
	last := s.hold.renewed
	for _, t := range s.active {
		if t.ordered.After(last) {
			last = t.ordered
		}
	}
	return last
}

// reconcile compares what the endpoint lists with what is believed to run there.
func (s *Supervisor) reconcile(now, issued time.Time, result zinniasill.RenewResult) {
	for _, end := range result.Completions {
		if end.Number > s.hold.cursor {
			s.hold.cursor = end.Number
			s.runEnded(now, end)
		}
	}
	listed := make(map[zinniasill.TaskID]zinniasill.Attempt, len(result.Running))
	foreign := 0
	for _, running := range result.Running {
		listed[running.Task] = running.Run
		if !s.confirm(now, running) {
			foreign++
			s.stopStray(now, running)
		}
	}
	if foreign == 0 && !s.adopted {
		s.adopted = true
		s.speaking = true
		s.record("endpoint-adopted", slog.String("life", s.life.ID), slog.Uint64("fence", s.fence))
	}
	if len(result.Completions) < maxEnds {
		s.missing(now, issued, listed)
	}
}

// confirm notes that a task is listed as running. It returns false for a run that
// this process did not start.
func (s *Supervisor) confirm(now time.Time, running zinniasill.RunningTask) bool {
	t := s.active[running.Task]
	if t == nil || t.run != running.Run {
		return false
	}
	if t.state == stateStarting || t.state == stateDoubtful && t.stopSent.IsZero() {
		s.accepted(now, t)
	}
	t.ran = true
	return true
}

// stopStray stops a run of a former process, or one whose order was carried out late.
func (s *Supervisor) stopStray(now time.Time, running zinniasill.RunningTask) {
	if now.Sub(s.strays[running.Task]) < strayRetry {
		return
	}
	s.strays[running.Task] = now
	s.noteRun(now, running.Task, running.Run)
	s.record("stray-run", slog.String("job", running.Task.Job), slog.String("task", running.Task.String()),
		slog.Int("run", int(running.Run)))
	s.issue(now, Call{
		Stop:    &zinniasill.StopOrder{Incarnation: s.life, Task: running.Task, Run: running.Run, Fence: s.fence},
		Timeout: s.orders.timeout(),
	}, nil)
}

// runEnded handles one end.
func (s *Supervisor) runEnded(now time.Time, end zinniasill.Completion) {
	s.noteRun(now, end.Task, end.Run)
	t := s.active[end.Task]
	if t == nil || t.run != end.Run {
		return
	}
	t.ran = true
	began := t.started
	if began.IsZero() {
		began = t.ordered
	}
	switch end.Reason {
	case zinniasill.CompletionDone:
		s.speed.done(now, now.Sub(began), t.estimate)
		s.close(t, eventEnd, message.RunDone, "")
	case zinniasill.CompletionFailed:
		s.speed.failed(now)
		s.close(t, eventEnd, message.RunFailed, zinniasill.ReasonTaskFailed)
	default:
		reason := t.reason
		if reason == "" {
			reason = zinniasill.ReasonLeaseExpired
		}
		s.close(t, eventEnd, message.RunReturned, reason)
	}
}

// missing ends the tasks that should be listed and are not. A hold that was issued
// before a start was accepted, or a stop answered, says nothing about that run.
func (s *Supervisor) missing(now, issued time.Time, listed map[zinniasill.TaskID]zinniasill.Attempt) {
	for _, t := range s.sortedActive() {
		if run, ok := listed[t.id]; ok && run == t.run {
			continue
		}
		switch {
		case t.state == stateRunning && issued.After(t.started):
			s.close(t, eventEnd, message.RunReturned, zinniasill.ReasonLeaseExpired)
		case t.state == stateStopping && (t.stopAcked || t.ran) && !t.stopAsked && issued.After(t.stopSent):
			s.close(t, eventEnd, message.RunReturned, t.reason)
		case t.state == stateDoubtful && t.stopSent.IsZero() && issued.After(t.doubted):
			// The run has not begun. The stop keeps it from beginning later.
			s.sendStop(now, t)
		}
	}
}

// loseAll ends everything at an endpoint whose life or lease has ended.
func (s *Supervisor) loseAll(reason zinniasill.Reason) {
	if len(s.active) > 0 {
		s.record("runs-lost", slog.String("reason", string(reason)), slog.Int("runs", len(s.active)))
	}
	for _, t := range s.sortedActive() {
		// A start without an answer may have been carried out before the end.
		t.ran = true
		s.close(t, eventDrop, message.RunReturned, reason)
	}
}
