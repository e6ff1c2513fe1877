package executor

import "time"

// Tick performs the work that is due at the given time.
func (s *Supervisor) Tick(now time.Time) {
	s.markStarted(now)
	if !s.reporting && now.Sub(s.startedAt) > leaseExpiryTimeout+startDeadline {
		// The leases of all runs that an earlier process started have expired.
		s.reporting = true
	}
	s.expireSessions(now)
	s.expireLease(now)
	s.expireRuns(now)
	s.advance(now)
}

// advance performs all actions that have become possible.
func (s *Supervisor) advance(now time.Time) {
	s.completeLeaving(now)
	s.sendDueStops(now)
	s.schedule(now)
	s.renewLease(now)
	s.poll(now)
}

// Limits of the time between ticks. A run whose state is not certain, or a failed renewal,
// needs the next order soon; sessions need replies that are due.
const (
	doubtTickInterval = 15 * time.Millisecond
	busyTickInterval  = 50 * time.Millisecond
	idleTickInterval  = 100 * time.Millisecond
)

// TickInterval returns the time until the next tick that the supervisor needs.
func (s *Supervisor) TickInterval() time.Duration {
	switch {
	case s.needsOrders():
		return doubtTickInterval
	case len(s.active) > 0 || len(s.queue) > 0 || s.replyPending():
		return busyTickInterval
	default:
		return idleTickInterval
	}
}

// needsOrders reports whether ticks order starts, stops or renewals.
func (s *Supervisor) needsOrders() bool {
	if s.present && !s.adopted || s.lease.failures > 0 {
		return true
	}
	for _, t := range s.active {
		if t.state == stateStopping || t.state == stateDoubtful {
			return true
		}
	}
	return false
}

// replyPending reports whether an entry waits for a reply or an update.
func (s *Supervisor) replyPending() bool {
	for _, sess := range s.sessions {
		if !sess.superseded && (!sess.replyAt.IsZero() || sess.out.Pending() > 0) {
			return true
		}
	}
	return false
}
