package executor

import (
	"log/slog"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// CallID numbers the orders to the endpoint.
type CallID uint64

// Call is one order to carry out. One of the pointers is set. An order without an
// answer after Timeout counts as OrderNoAnswer.
type Call struct {
	ID      CallID
	Start   *zinniasill.StartOrder
	Stop    *zinniasill.StopOrder
	Renew    *zinniasill.RenewOrder
	Timeout time.Duration
	// look marks a hold that only looks for the fate of runs.
	look bool
}

// Bounds of the time for the answer to an order. Orders are answered on the agent's own
// machine within a few milliseconds, but later while the machine is slow or busy.
const (
	minOrderTimeout = 30 * time.Millisecond
	maxOrderTimeout = 200 * time.Millisecond
	// answerAllowance times the usual time of an answer is waited for.
	answerAllowance = 6
	// newAnswerShare is the weight of one answer in the usual time.
	newAnswerShare = 0.1
	// lostAnswerFactor is what one order without an answer does to the usual time.
	lostAnswerFactor = 1.05
)

// orderTimes follows how long the endpoint takes to answer orders.
type orderTimes struct {
	usual time.Duration
}

// note takes the time of one answer. An order without an answer only makes the usual
// time a little longer: a slow machine gets more time when all its answers are late,
// while answers that get lost do not make the others wait.
func (o *orderTimes) note(took time.Duration, outcome zinniasill.OrderOutcome) {
	if outcome == zinniasill.OrderNoAnswer {
		usual := max(o.usual, minOrderTimeout/answerAllowance)
		o.usual = min(time.Duration(float64(usual)*lostAnswerFactor), maxOrderTimeout/answerAllowance)
		return
	}
	o.usual += time.Duration(float64(took-o.usual) * newAnswerShare)
}

func (o *orderTimes) timeout() time.Duration {
	return min(max(o.usual*answerAllowance, minOrderTimeout), maxOrderTimeout)
}

// pendingCall is an order without an answer.
type pendingCall struct {
	call   Call
	task   *task
	issued time.Time
	life   zinniasill.EndpointIncarnation
}

func (s *Supervisor) issue(now time.Time, call Call, t *task) {
	s.lastCall++
	call.ID = s.lastCall
	s.waiting[call.ID] = pendingCall{call: call, task: t, issued: now, life: s.life}
	s.calls = append(s.calls, call)
}

// order orders the start of a task that has left the queue.
func (s *Supervisor) order(now time.Time, t *task) {
	t.step(eventOrder)
	t.run = max(t.attempt, t.run, s.runs[t.id].run+1)
	t.ordered = now
	s.active[t.id] = t
	s.setUsed(s.used.Add(t.need))
	s.noteRun(now, t.id, t.run)
	s.issue(now, Call{
		Start: &zinniasill.StartOrder{
			Incarnation: s.life, Task: t.id, Run: t.run, Spec: t.spec, Fence: s.fence,
			Deadline: s.endpointClock(now) + startDeadline,
		},
		Timeout: s.orders.timeout(),
	}, t)
}

// noteRun remembers the highest number of a run, so that a later one is higher.
func (s *Supervisor) noteRun(now time.Time, id zinniasill.TaskID, run zinniasill.Attempt) {
	s.runs[id] = lastRun{run: max(run, s.runs[id].run), at: now}
}

// Answered handles the answer to a start or stop.
func (s *Supervisor) Answered(now time.Time, id CallID, result zinniasill.OrderResult) {
	pending, ok := s.waiting[id]
	if !ok {
		return
	}
	delete(s.waiting, id)
	if pending.life == s.life {
		s.orders.note(now.Sub(pending.issued), result.Outcome)
		s.noteAnswer(now, result)
		if pending.call.Start != nil {
			s.startAnswered(now, pending, result)
		} else {
			s.stopAnswered(pending, result)
		}
	}
	s.step(now)
}

// noteAnswer takes what any answer, or its absence, says about the endpoint. It answers
// endpoints that announce themselves and answer no orders: they get no new work until one
// is answered.
func (s *Supervisor) noteAnswer(now time.Time, result zinniasill.OrderResult) {
	if result.Outcome == zinniasill.OrderNoAnswer || result.Outcome == zinniasill.OrderUnreachable {
		s.unanswered++
		if s.unanswered == suspectFrom {
			s.record("endpoint-suspect", slog.Int("unanswered", s.unanswered), slog.Int("running", len(s.active)))
			s.roomVersion++
			s.returnQueue(zinniasill.ReasonNoEndpoint)
		}
		return
	}
	if s.suspect() {
		s.record("endpoint-answers", slog.Int("unanswered", s.unanswered))
		s.roomVersion++
	}
	s.unanswered = 0
	if result.Outcome != zinniasill.OrderOtherIncarnation {
		s.contact = now
		s.syncClock(now, result.Clock)
	}
}

// suspect reports whether the endpoint has left too many orders in a row unanswered.
func (s *Supervisor) suspect() bool {
	return s.unanswered >= suspectFrom
}

func (s *Supervisor) startAnswered(now time.Time, pending pendingCall, result zinniasill.OrderResult) {
	t := pending.task
	if s.active[t.id] != t || t.state != stateStarting {
		return
	}
	if result.Outcome != zinniasill.OrderAccepted {
		s.record("start-refused", slog.String("job", t.id.Job), slog.String("task", t.id.String()),
			slog.String("outcome", string(result.Outcome)), slog.Int64("used", s.used.MilliCPU),
			slog.Duration("after", now.Sub(pending.issued)))
	}
	switch result.Outcome {
	case zinniasill.OrderAccepted:
		s.accepted(now, t)
	case zinniasill.OrderNoCapacity:
		s.blocked = now.Add(roomRetry)
		s.requeue(t)
	case zinniasill.OrderOldRun, zinniasill.OrderLate, zinniasill.OrderFenced:
		s.retry(now, t, result)
	case zinniasill.OrderInvalid:
		s.close(t, eventEnd, message.RunFailed, zinniasill.ReasonBadRequest)
	case zinniasill.OrderUnhealthy:
		s.speed.failed(now)
		s.close(t, eventEnd, message.RunReturned, zinniasill.ReasonBusy)
	case zinniasill.OrderOtherIncarnation:
		s.gone("endpoint-replaced")
	case zinniasill.OrderUnreachable:
		s.blocked = now.Add(unreachableRetry)
		s.speed.failed(now)
		s.close(t, eventEnd, message.RunReturned, zinniasill.ReasonNoEndpoint)
	default:
		t.step(eventDoubt)
		t.doubted = now
	}
}

// accepted notes that a run has begun.
func (s *Supervisor) accepted(now time.Time, t *task) {
	if !t.step(eventAccept) {
		return
	}
	t.started = now
	t.ran = true
	s.record("task-started", slog.String("job", t.id.Job), slog.String("task", t.id.String()),
		slog.Int("run", int(t.run)), slog.Duration("waited", now.Sub(t.queued)),
		slog.Duration("order", now.Sub(t.ordered)), slog.Int64("used", s.used.MilliCPU),
		slog.Int("queued", len(s.queue)))
}

// requeue puts a task that was not started back into the queue.
func (s *Supervisor) requeue(t *task) {
	delete(s.active, t.id)
	s.setUsed(s.used.Sub(t.need))
	t.step(eventWait)
	s.queue = append([]*task{t}, s.queue...)
}

// retry orders a start again whose number, deadline or token was refused.
func (s *Supervisor) retry(now time.Time, t *task, result zinniasill.OrderResult) {
	t.oldRuns++
	if t.oldRuns > maxOldRuns {
		s.close(t, eventEnd, message.RunReturned, zinniasill.ReasonBusy)
		return
	}
	if result.Outcome == zinniasill.OrderFenced {
		s.fence = max(s.fence+1, uint64(result.Clock/time.Millisecond))
	}
	if result.Outcome == zinniasill.OrderOldRun {
		s.noteRun(now, t.id, t.run<<1)
	}
	s.requeue(t)
}

// stopRun ends a run that is no longer wanted. Its room stays in use until the end is
// known.
func (s *Supervisor) stopRun(t *task, reason zinniasill.Reason) {
	if t.step(eventStop) {
		t.reason = reason
		t.stopSent = time.Time{}
	}
}

// stopAgain sends the stops that are due.
func (s *Supervisor) stopAgain(now time.Time) {
	for _, t := range s.sortedActive() {
		// A doubtful run is looked for first: it may just have begun.
		due := t.state == stateStopping && !t.stopAcked || t.state == stateDoubtful && !t.stopSent.IsZero()
		if due && !t.stopAsked && now.Sub(t.stopSent) >= stopRetry {
			s.sendStop(now, t)
		}
	}
}

func (s *Supervisor) sendStop(now time.Time, t *task) {
	t.stopSent = now
	t.stopAsked = true
	s.issue(now, Call{
		Stop:    &zinniasill.StopOrder{Incarnation: s.life, Task: t.id, Run: t.run, Fence: s.fence},
		Timeout: s.orders.timeout(),
	}, t)
}

// stopAnswered handles the answer to a stop. A stop that was carried out keeps the
// run from starting later; if it was running, its end is listed.
func (s *Supervisor) stopAnswered(pending pendingCall, result zinniasill.OrderResult) {
	t := pending.task
	if t == nil {
		return
	}
	t.stopAsked = false
	if s.active[t.id] != t {
		return
	}
	switch {
	case result.Outcome == zinniasill.OrderOtherIncarnation:
		s.gone("endpoint-replaced")
	case result.Outcome != zinniasill.OrderAccepted:
	case t.state == stateDoubtful:
		// The run may have begun just before the stop: the next look shows its end.
		t.stopAcked = true
		t.step(eventStop)
		t.reason = zinniasill.ReasonBusy
	default:
		t.stopAcked = true
	}
}
