package executor

import (
	"log/slog"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// CallID numbers the calls to the endpoint.
type CallID uint64

// Call is an order to carry out at the endpoint. Exactly one of the pointers is set. If
// no answer arrives within Timeout, the outcome is OrderNoAnswer.
type Call struct {
	ID      CallID
	Start   *zinniasill.StartOrder
	Stop    *zinniasill.StopOrder
	Renew   *zinniasill.RenewOrder
	Timeout time.Duration
	// poll marks a renewal that is sent only to read the lists at once.
	poll bool
	// probe marks a renewal that asks for an answer after a failed one.
	probe bool
}

// Bounds of the timeout of an order. Orders are answered on the agent's own machine,
// usually within a few milliseconds, but later when the machine is slow or busy.
const (
	minOrderTimeout = 30 * time.Millisecond
	maxOrderTimeout = 200 * time.Millisecond
	// timeoutFactor is the ratio of the timeout to the mean response time.
	timeoutFactor = 6
	// responseTimeWeight is the weight of a new sample in the mean response time.
	responseTimeWeight = 0.1
	// missedResponseGrowth is the factor by which an order without an answer increases
	// the mean response time.
	missedResponseGrowth = 1.05
)

// responseTimes keeps an exponentially weighted mean of the endpoint's response times.
type responseTimes struct {
	mean time.Duration
}

// observe records the response time of an order. An order without an answer increases
// the mean only slightly: if all answers of a slow machine are late, the timeout grows
// until they arrive in time, while occasional lost answers do not delay the other calls.
func (r *responseTimes) observe(took time.Duration, outcome zinniasill.OrderOutcome) {
	if outcome == zinniasill.OrderNoAnswer || outcome == zinniasill.OrderNotSent {
		mean := max(r.mean, minOrderTimeout/timeoutFactor)
		r.mean = min(time.Duration(float64(mean)*missedResponseGrowth), maxOrderTimeout/timeoutFactor)
		return
	}
	r.mean += time.Duration(float64(took-r.mean) * responseTimeWeight)
}

func (r *responseTimes) timeout() time.Duration {
	return min(max(r.mean*timeoutFactor, minOrderTimeout), maxOrderTimeout)
}

// pendingCall is a call that has not been answered.
type pendingCall struct {
	call        Call
	task        *task
	issued      time.Time
	incarnation zinniasill.EndpointIncarnation
}

func (s *Supervisor) issue(now time.Time, call Call, t *task) {
	s.lastCall++
	call.ID = s.lastCall
	s.pendingCalls[call.ID] = pendingCall{call: call, task: t, issued: now, incarnation: s.incarnation}
	s.calls = append(s.calls, call)
}

// orderStart orders the start of a task that was removed from the queue.
func (s *Supervisor) orderStart(now time.Time, t *task) {
	t.apply(eventOrder)
	t.run = max(t.attempt, t.run, s.runs[t.id].run+1)
	t.orderedAt = now
	s.active[t.id] = t
	s.setUsed(s.used.Add(t.need))
	s.recordRun(now, t.id, t.run)
	s.issue(now, Call{
		Start: &zinniasill.StartOrder{
			Incarnation: s.incarnation, Task: t.id, Run: t.run, Spec: t.spec, Fence: s.fence,
			Deadline: s.endpointClock(now) + min(startDeadline, s.maxLease(now)),
		},
		Timeout: s.responses.timeout(),
	}, t)
}

// recordRun records the highest run number of a task, so that its next run gets a higher
// one.
func (s *Supervisor) recordRun(now time.Time, id zinniasill.TaskID, run zinniasill.Attempt) {
	s.runs[id] = lastRun{run: max(run, s.runs[id].run), at: now}
}

// Answered handles the answer to a start or stop order.
func (s *Supervisor) Answered(now time.Time, id CallID, result zinniasill.OrderResult) {
	pending, ok := s.pendingCalls[id]
	if !ok {
		return
	}
	delete(s.pendingCalls, id)
	if pending.incarnation == s.incarnation {
		s.noteExtension(pending, result.Outcome)
		s.fenceOff(pending.call, result.Outcome)
		s.responses.observe(now.Sub(pending.issued), result.Outcome)
		s.observeResponse(now, pending.issued, result)
		if pending.call.Start != nil {
			s.handleStartResult(now, pending, result)
		} else {
			s.handleStopResult(now, pending, result)
		}
		s.detectShutdown(now, pending.issued, result.Outcome)
	}
	s.advance(now)
}

// observeResponse updates the endpoint's health from the outcome of an order. It detects
// an endpoint that announces itself but answers no orders: such an endpoint gets no new
// work until it answers again.
func (s *Supervisor) observeResponse(now, issued time.Time, result zinniasill.OrderResult) {
	switch result.Outcome {
	case zinniasill.OrderNoAnswer, zinniasill.OrderUnreachable, zinniasill.OrderNotSent:
		s.unanswered++
		if result.Outcome == zinniasill.OrderUnreachable {
			s.refused++
		}
		if s.unanswered == suspectThreshold {
			s.record("endpoint-suspect", slog.Int("unanswered", s.unanswered), slog.Int("running", len(s.active)))
			s.loadVersion++
			s.returnQueue(zinniasill.ReasonNoEndpoint)
		}
		return
	default:
	}
	if s.suspect() {
		s.record("endpoint-answers", slog.Int("unanswered", s.unanswered))
		s.loadVersion++
	}
	s.unanswered = 0
	s.refused = 0
	if result.Outcome != zinniasill.OrderOtherIncarnation {
		s.lastContact = now
		s.syncClock(now, result.Clock, now.Sub(issued))
	}
}

// suspect reports whether too many consecutive orders remained unanswered.
func (s *Supervisor) suspect() bool {
	return s.unanswered >= suspectThreshold
}

func (s *Supervisor) handleStartResult(now time.Time, pending pendingCall, result zinniasill.OrderResult) {
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
		s.markRunning(now, t)
	case zinniasill.OrderNoCapacity:
		s.startsBlockedUntil = now.Add(capacityRetryDelay)
		s.requeue(t)
	case zinniasill.OrderOldRun, zinniasill.OrderLate, zinniasill.OrderFenced:
		s.retryStart(now, pending, result)
	case zinniasill.OrderInvalid:
		s.close(t, eventEnd, message.RunFailed, zinniasill.ReasonBadRequest)
	case zinniasill.OrderUnhealthy:
		s.stats.addFailure(now)
		s.close(t, eventEnd, message.RunReturned, zinniasill.ReasonBusy)
	case zinniasill.OrderOtherIncarnation:
		s.loseEndpoint(now, zinniasill.ReasonEndpointLost, "endpoint-replaced")
	case zinniasill.OrderUnreachable:
		s.startsBlockedUntil = now.Add(unreachableRetryDelay)
		s.stats.addFailure(now)
		s.close(t, eventEnd, message.RunReturned, zinniasill.ReasonNoEndpoint)
	case zinniasill.OrderNotSent:
		s.stats.addFailure(now)
		s.close(t, eventEnd, message.RunReturned, zinniasill.ReasonNoEndpoint)
	default:
		t.apply(eventDoubt)
		t.doubtfulSince = now
	}
}

// markRunning records that a run has started.
func (s *Supervisor) markRunning(now time.Time, t *task) {
	if !t.apply(eventAccept) {
		return
	}
	t.startedAt = now
	t.ran = true
	s.record("task-started", slog.String("job", t.id.Job), slog.String("task", t.id.String()),
		slog.Int("run", int(t.run)), slog.Duration("waited", now.Sub(t.queuedAt)),
		slog.Duration("order", now.Sub(t.orderedAt)), slog.Int64("used", s.used.MilliCPU),
		slog.Int("queued", len(s.queue)))
}

// requeue returns a task that was not started to the head of the queue.
func (s *Supervisor) requeue(t *task) {
	delete(s.active, t.id)
	s.setUsed(s.used.Sub(t.need))
	t.apply(eventWait)
	s.queue = append([]*task{t}, s.queue...)
}

// retryStart retries a start that was refused because of its run number, deadline or
// fencing token.
func (s *Supervisor) retryStart(now time.Time, pending pendingCall, result zinniasill.OrderResult) {
	t := pending.task
	t.staleRetries++
	if t.staleRetries > maxStaleRetries {
		s.close(t, eventEnd, message.RunReturned, zinniasill.ReasonBusy)
		return
	}
	if result.Outcome == zinniasill.OrderFenced {
		s.raiseFence(pending.call.Start.Fence, result.Clock)
	}
	if result.Outcome == zinniasill.OrderOldRun {
		s.recordRun(now, t.id, t.run<<1)
	}
	s.requeue(t)
}

// requestStop marks a run to be stopped. Its resources stay in use until its completion
// is listed.
func (s *Supervisor) requestStop(t *task, reason zinniasill.Reason) {
	if t.apply(eventStop) {
		t.reason = reason
		t.lastStop = time.Time{}
	}
}

// sendDueStops sends the stop orders that are due.
func (s *Supervisor) sendDueStops(now time.Time) {
	for _, t := range s.sortedActive() {
		// A doubtful run is first looked up in the lists, since it may have just
		// started.
		due := t.state == stateStopping && !t.stopAccepted || t.state == stateDoubtful && !t.lastStop.IsZero()
		if due && !t.stopPending && now.Sub(t.lastStop) >= stopRetryInterval {
			s.recordOverdueStop(now, t)
			s.sendStop(now, t)
		}
	}
}

// recordOverdueStop records once that a run has outlived the lease of its entry, because no
// stop order was answered.
func (s *Supervisor) recordOverdueStop(now time.Time, t *task) {
	overdue := now.Sub(t.owner.leaseEnd)
	if t.stopOverdue || overdue < stopOverdueTimeout {
		return
	}
	t.stopOverdue = true
	s.record("stop-overdue", slog.String("job", t.id.Job), slog.String("task", t.id.String()),
		slog.Int("run", int(t.run)), slog.Duration("after-lease", overdue))
}

func (s *Supervisor) sendStop(now time.Time, t *task) {
	t.lastStop = now
	t.stopPending = true
	s.issue(now, Call{
		Stop:    &zinniasill.StopOrder{Incarnation: s.incarnation, Task: t.id, Run: t.run, Fence: s.fence},
		Timeout: s.responses.timeout(),
	}, t)
}

// handleStopResult handles the answer to a stop order. An accepted stop prevents the run
// from starting later. If it was running, its completion will be listed.
func (s *Supervisor) handleStopResult(now time.Time, pending pendingCall, result zinniasill.OrderResult) {
	t := pending.task
	if t == nil {
		return
	}
	t.stopPending = false
	if s.active[t.id] != t {
		return
	}
	switch {
	case result.Outcome == zinniasill.OrderOtherIncarnation:
		s.loseEndpoint(now, zinniasill.ReasonEndpointLost, "endpoint-replaced")
	case result.Outcome != zinniasill.OrderAccepted:
	case t.state == stateDoubtful:
		// The run may have started just before the stop: the next poll lists its
		// completion.
		t.stopAccepted = true
		t.apply(eventStop)
		t.reason = zinniasill.ReasonBusy
	default:
		t.stopAccepted = true
	}
}
