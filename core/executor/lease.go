package executor

import (
	"log/slog"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// leaseState is the state of the endpoint's lease and of its list of completions.
type leaseState struct {
	// renewing is set while a regular renewal is unanswered, polling while a poll is.
	renewing    bool
	polling     bool
	lastPoll    time.Time
	cursor      uint64 // the last completion that was processed
	ackedCursor uint64 // the cursor of the last accepted renewal
	// extendedAt is when the last answered order that may have extended the lease was
	// issued.
	extendedAt time.Time
	retryAt    time.Time
	failures   int
}

// maxCompletions is the length from which a list of completions may be truncated.
const maxCompletions = 500

// renewLease sends a renewal if there are runs to cover or completions to fetch or
// acknowledge.
func (s *Supervisor) renewLease(now time.Time) {
	if !s.present || s.lease.renewing || now.Before(s.lease.retryAt) || s.clock == 0 {
		return
	}
	busy := len(s.active) > 0
	if s.adopted && !busy && !s.suspect() && s.lease.ackedCursor == s.lease.cursor {
		return
	}
	wait := time.Duration(0)
	if s.mayExtendLease() && busy && !s.suspect() {
		wait = renewalWait
	}
	s.lease.renewing = true
	s.issueRenewal(now, wait, false)
}

func (s *Supervisor) issueRenewal(now time.Time, wait time.Duration, poll bool) {
	deadline := time.Duration(0)
	if s.mayExtendLease() {
		deadline = s.endpointClock(now) + EndpointLease
	}
	s.issue(now, Call{
		Renew: &zinniasill.RenewOrder{
			Incarnation: s.incarnation, Fence: s.fence, Cursor: s.lease.cursor, Wait: wait, Deadline: deadline,
		},
		Timeout: wait + s.renewalTimeout(),
		poll:    poll,
	}, nil)
}

// maxRenewalTimeout is the longest timeout of a renewal without a wait. An endpoint that
// takes this long for each answer can still be heard within one lease.
const maxRenewalTimeout = 300 * time.Millisecond

// renewalTimeout returns the timeout of a renewal. It doubles with each failure, so that an
// endpoint whose answers are late is heard before its lease ends.
func (s *Supervisor) renewalTimeout() time.Duration {
	timeout := s.responses.timeout()
	for range s.lease.failures {
		if timeout >= maxRenewalTimeout {
			break
		}
		timeout *= 2
	}
	return min(timeout, maxRenewalTimeout)
}

// mayExtendLease reports whether renewals extend the lease. A renewal without an answer may
// still be carried out, so after a failure, renewals only ask for an answer: the lease must
// end if none arrives. Runs that another process started are left to expire.
func (s *Supervisor) mayExtendLease() bool {
	return s.adopted && s.lease.failures == 0
}

// poll requests the lists at once if the state of a run is to be read from them. A run
// whose order was not answered would make its job late if it waited for the next
// renewal, or for the answer to a stop of a run that never started.
func (s *Supervisor) poll(now time.Time) {
	if !s.present || s.suspect() || s.lease.polling || s.clock == 0 || now.Sub(s.lease.lastPoll) < pollInterval || !s.needsPoll() {
		return
	}
	s.lease.polling = true
	s.lease.lastPoll = now
	s.issueRenewal(now, 0, true)
}

// needsPoll reports whether the state of some run is to be read from the lists.
func (s *Supervisor) needsPoll() bool {
	for _, t := range s.active {
		if (t.state == stateStopping || t.state == stateDoubtful) && !t.stopPending {
			return true
		}
	}
	return false
}

// Renewed handles the answer to a renewal.
func (s *Supervisor) Renewed(now time.Time, id CallID, result zinniasill.RenewResult) {
	pending, ok := s.pendingCalls[id]
	if !ok {
		return
	}
	delete(s.pendingCalls, id)
	if pending.incarnation != s.incarnation {
		return
	}
	if pending.call.poll {
		s.lease.polling = false
	} else {
		s.lease.renewing = false
	}
	s.noteExtension(pending, result.Outcome)
	s.observeResponse(now, pending.issued, result.OrderResult)
	switch result.Outcome {
	case zinniasill.OrderAccepted:
		s.lease.ackedCursor = max(s.lease.ackedCursor, pending.call.Renew.Cursor)
		s.lease.failures = 0
		s.reconcile(now, pending.issued, result)
	case zinniasill.OrderOtherIncarnation:
		s.loseEndpoint(now, zinniasill.ReasonEndpointLost, "endpoint-replaced")
	case zinniasill.OrderFenced:
		s.fence = max(s.fence+1, uint64(result.Clock/time.Millisecond))
	default:
		s.handleRenewalFailure(now, pending.issued, result.Outcome)
	}
	s.advance(now)
}

// handleRenewalFailure handles a renewal without a usable answer.
func (s *Supervisor) handleRenewalFailure(now, issued time.Time, outcome zinniasill.OrderOutcome) {
	s.lease.failures++
	s.record("hold-failed", slog.String("outcome", string(outcome)), slog.Int("failed", s.lease.failures),
		slog.Duration("after", now.Sub(issued)), slog.Int("running", len(s.active)))
	pause := unreachableRetryDelay
	if outcome == zinniasill.OrderNoAnswer {
		// The first retries come sooner, because most renewals are lost one at a time.
		pause = min(time.Duration(s.lease.failures)*pollInterval, unreachableRetryDelay)
	}
	s.lease.retryAt = now.Add(pause)
	s.expireLease(now)
}

// expireLease closes all tasks if renewals fail and the lease has expired, because all runs
// at the endpoint have ended then.
func (s *Supervisor) expireLease(now time.Time) {
	if s.lease.failures > 0 && now.Sub(s.lastExtension()) > leaseExpiryTimeout {
		s.loseRuns(now, s.silenceReason(), "lease-expired")
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

// extendsLease reports whether the call extends the lease when it is carried out.
func (c Call) extendsLease() bool {
	return c.Start != nil || c.Renew != nil && c.Renew.Deadline > 0
}

// noteExtension records that an answered call may have extended the lease. A call was
// surely not carried out only if nothing listened at the endpoint's address.
func (s *Supervisor) noteExtension(pending pendingCall, outcome zinniasill.OrderOutcome) {
	if outcome != zinniasill.OrderUnreachable && pending.call.extendsLease() && pending.issued.After(s.lease.extendedAt) {
		s.lease.extendedAt = pending.issued
	}
}

// lastExtension returns the latest time at which an order that may have extended the lease
// was issued.
func (s *Supervisor) lastExtension() time.Time {
	last := s.lease.extendedAt
	for _, pending := range s.pendingCalls {
		if pending.incarnation == s.incarnation && pending.call.extendsLease() && pending.issued.After(last) {
			last = pending.issued
		}
	}
	return last
}

// reconcile compares the endpoint's lists with the recorded state of its runs.
func (s *Supervisor) reconcile(now, issued time.Time, result zinniasill.RenewResult) {
	for _, completion := range result.Completions {
		if completion.Number > s.lease.cursor {
			s.lease.cursor = completion.Number
			s.handleCompletion(now, completion)
		}
	}
	listed := make(map[zinniasill.TaskID]zinniasill.Attempt, len(result.Running))
	orphans := 0
	for _, running := range result.Running {
		listed[running.Task] = running.Run
		if !s.confirmRunning(now, running) {
			orphans++
			s.stopOrphan(now, running)
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
	s.recordRun(now, running.Task, running.Run)
	s.record("stray-run", slog.String("job", running.Task.Job), slog.String("task", running.Task.String()),
		slog.Int("run", int(running.Run)))
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
func (s *Supervisor) handleUnlisted(now, issued time.Time, listed map[zinniasill.TaskID]zinniasill.Attempt) {
	for _, t := range s.sortedActive() {
		if run, ok := listed[t.id]; ok && run == t.run {
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

// loseRuns closes all tasks at an endpoint whose incarnation or lease has ended. The
// recorded inputs tell a crash from a silence: connections are refused only where nothing
// listens, and a run that caused a crash was often ordered just before the last answer.
func (s *Supervisor) loseRuns(now time.Time, reason zinniasill.Reason, cause string) {
	if len(s.active) == 0 {
		return
	}
	s.record("runs-lost", slog.String("reason", cause), slog.Int("runs", len(s.active)),
		slog.Duration("silent", now.Sub(s.lastContact)), slog.Int("refused", s.refused))
	if s.announced.Draining {
		reason = zinniasill.ReasonEndpointLeft
	}
	if reason == zinniasill.ReasonEndpointLost {
		s.lastCrash++
	}
	for _, t := range s.sortedActive() {
		age := max(s.lastContact.Sub(t.orderedAt), 0)
		s.record("run-lost", slog.String("job", t.id.Job), slog.String("task", t.id.String()),
			slog.Int("run", int(t.run)), slog.Duration("age-at-last-answer", age))
		if !t.ran {
			// The start was not answered and may have been carried out.
			t.ran = true
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
