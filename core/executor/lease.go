package executor

import (
	"log/slog"
	"time"

	"zinniasill"
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

// retryPause returns the time until the next attempt after renewals without an answer. The
// first attempts come sooner, because most renewals are lost one at a time.
func (l *leaseState) retryPause() time.Duration {
	return min(time.Duration(l.failures)*pollInterval, unreachableRetryDelay)
}

// maxCompletions is the length from which a list of completions may be truncated.
const maxCompletions = 500

// renewLease sends a renewal if there are runs to cover or completions to fetch or
// acknowledge.
func (s *Supervisor) renewLease(now time.Time) {
	if !s.present || now.Before(s.lease.retryAt) || s.clock == 0 {
		return
	}
	busy := len(s.active) > 0
	if s.adopted && !busy && !s.suspect() && s.candidate == nil && s.lease.ackedCursor == s.lease.cursor {
		return
	}
	if s.lease.failures > 0 {
		s.probe(now)
		return
	}
	if s.lease.renewing {
		return
	}
	wait := time.Duration(0)
	if s.adopted && busy && !s.suspect() && s.candidate == nil {
		wait = renewalWait
	}
	s.lease.renewing = true
	s.issueRenewal(now, Call{Timeout: wait + s.responses.timeout()}, wait)
}

// probeTimeout is the timeout of a probe. An endpoint that takes this long for each answer
// can still be heard before its lease ends.
const probeTimeout = 300 * time.Millisecond

// probe asks for an answer after a failed renewal. Probes follow one another without waiting
// for the answer to the former, since that may be lost or only late.
func (s *Supervisor) probe(now time.Time) {
	pause := s.lease.retryPause()
	s.lease.failures++
	s.lease.retryAt = now.Add(s.responses.timeout() + pause)
	s.issueRenewal(now, Call{Timeout: probeTimeout, probe: true}, 0)
}

// issueRenewal issues a call with a renewal that waits for a completion for up to wait.
func (s *Supervisor) issueRenewal(now time.Time, call Call, wait time.Duration) {
	deadline := time.Duration(0)
	if lease := min(EndpointLease, s.maxLease(now)); lease > 0 && s.mayExtendLease() {
		deadline = s.endpointClock(now) + lease
	}
	cursor := s.lease.cursor
	if s.lease.failures > 0 {
		// The endpoint may have restarted. Its completions would be acknowledged unread.
		cursor = 0
	}
	call.Renew = &zinniasill.RenewOrder{
		Incarnation: s.incarnation, Fence: s.fence, Cursor: cursor, Wait: wait, Deadline: deadline,
	}
	s.issue(now, call, nil)
}

// mayExtendLease reports whether renewals extend the lease. A renewal without an answer may
// still be carried out, so after a failure, renewals only ask for an answer: the lease must
// end if none arrives. Runs that another process started, and those at an endpoint that
// leaves, are left to expire.
func (s *Supervisor) mayExtendLease() bool {
	return s.adopted && !s.left && s.lease.failures == 0
}

// maxLease returns how long the endpoint's lease may last from now on. It covers all runs, so
// it must end soon after the lease of each entry that has one: if the run cannot be stopped,
// it expires.
func (s *Supervisor) maxLease(now time.Time) time.Duration {
	limit := MaxLease
	for _, t := range s.active {
		limit = min(limit, t.owner.leaseEnd.Sub(now)+stopOverdueTimeout)
	}
	return limit
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
	s.issueRenewal(now, Call{Timeout: s.responses.timeout(), poll: true}, 0)
}

// needsPoll reports whether the state of some run, or the incarnation of the endpoint, is to
// be read from an answer.
func (s *Supervisor) needsPoll() bool {
	if s.candidate != nil {
		return true
	}
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
	switch {
	case pending.call.poll:
		s.lease.polling = false
	case !pending.call.probe:
		s.lease.renewing = false
	}
	s.noteExtension(pending, result.Outcome)
	s.fenceOff(pending.call, result.Outcome)
	if result.Outcome == zinniasill.OrderAccepted {
		s.confirmIncarnation(now, pending, result)
	}
	s.observeResponse(now, pending.issued, result.OrderResult)
	switch result.Outcome {
	case zinniasill.OrderAccepted:
		if pending.incarnation == s.incarnation {
			s.lease.ackedCursor = max(s.lease.ackedCursor, pending.call.Renew.Cursor)
		}
		s.lease.failures = 0
		s.lease.retryAt = time.Time{}
		s.reconcile(now, pending.issued, result)
	case zinniasill.OrderOtherIncarnation:
		s.loseEndpoint(now, zinniasill.ReasonEndpointLost, "endpoint-replaced")
	case zinniasill.OrderFenced:
		s.raiseFence(pending.call.Renew.Fence, result.Clock)
	case zinniasill.OrderNoAnswer:
		if pending.call.probe {
			s.handleProbeFailure(now)
			break
		}
		s.handleRenewalFailure(now, pending.issued, result.Outcome)
	default:
		s.handleRenewalFailure(now, pending.issued, result.Outcome)
	}
	s.detectShutdown(now, pending.issued, result.Outcome)
	s.advance(now)
}

// handleRenewalFailure handles a renewal without a usable answer.
func (s *Supervisor) handleRenewalFailure(now, issued time.Time, outcome zinniasill.OrderOutcome) {
	s.lease.failures = max(s.lease.failures, 1)
	s.record("hold-failed", slog.String("outcome", string(outcome)), slog.Int("failed", s.lease.failures),
		slog.Duration("after", now.Sub(issued)), slog.Int("running", len(s.active)))
	pause := unreachableRetryDelay
	if outcome == zinniasill.OrderNoAnswer {
		pause = s.lease.retryPause()
	}
	s.lease.retryAt = now.Add(pause)
	s.expireLease(now)
}

// handleProbeFailure handles a probe without an answer. Others may have followed it and have
// been answered. If none was due yet, the connection was reset, and the next is sent soon.
func (s *Supervisor) handleProbeFailure(now time.Time) {
	if next := now.Add(unreachableRetryDelay); s.lease.failures > 0 && next.Before(s.lease.retryAt) {
		s.lease.retryAt = next
	}
	s.expireLease(now)
}

// expireLease closes all tasks if renewals fail and the lease has expired, because all runs
// at the endpoint have ended then.
func (s *Supervisor) expireLease(now time.Time) {
	if s.lease.failures > 0 && now.Sub(s.lastExtension()) > leaseExpiryTimeout {
		s.loseRuns(now, s.sortedActive(), s.silenceReason(), "lease-expired")
	}
}

// extendsLease reports whether the call extends the lease when it is carried out.
func (c Call) extendsLease() bool {
	return c.Start != nil || c.Renew != nil && c.Renew.Deadline > 0
}

// noteExtension records that an answered call may have extended the lease. A call was
// surely not carried out only if it was not sent, or nothing listened at the endpoint's
// address.
func (s *Supervisor) noteExtension(pending pendingCall, outcome zinniasill.OrderOutcome) {
	if outcome != zinniasill.OrderUnreachable && outcome != zinniasill.OrderNotSent && pending.call.extendsLease() && pending.issued.After(s.lease.extendedAt) {
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

// maxDoubledFence is the fencing token up to which a refused one is doubled.
const maxDoubledFence = 1 << 48

// raiseFence raises the fencing token after an order with the given one was refused for it.
// The endpoint may have seen any higher one, so it is doubled.
func (s *Supervisor) raiseFence(refused uint64, clock time.Duration) {
	if refused < s.fence {
		return // It has been raised since.
	}
	if s.fence < maxDoubledFence {
		s.fence *= 2
	}
	s.advanceFence(clock)
}

// advanceFence raises the fencing token, at least to a reading of the endpoint's clock: it is
// then above those of earlier processes.
func (s *Supervisor) advanceFence(clock time.Duration) {
	s.fence = max(s.fence+1, uint64(clock/time.Millisecond))
}

// fenceOff raises the fencing token after a start or renewal without an answer. It may still
// be carried out, at any time: with the next order the endpoint refuses it.
func (s *Supervisor) fenceOff(call Call, outcome zinniasill.OrderOutcome) {
	if outcome == zinniasill.OrderNoAnswer && call.extendsLease() {
		s.fence++
	}
}
