package executor

import (
	"log/slog"
	"time"

	"zinniasill"
)

// syncClock records a reading of the endpoint's clock that may have been delayed by up to
// delay. The newest reading always replaces the previous one, although a delayed reading
// makes the clock appear slow: the clock may really be slow, and a lease must not last
// longer than assumed.
func (s *Supervisor) syncClock(now time.Time, clock, delay time.Duration) {
	if clock == 0 {
		return
	}
	s.detectSuspension(now, clock)
	s.clock = clock
	s.clockAt = now
	s.clockDelay = delay
}

// syncAnnouncedClock records a reading in an announcement. Unlike the answer to a call, it
// may have been delayed for any time. One that is far behind the estimate is ignored.
func (s *Supervisor) syncAnnouncedClock(now time.Time, clock time.Duration) {
	if s.clock != 0 && s.endpointClock(now)-clock > maxClockLead {
		return
	}
	delay := maxClockLead
	if s.clock == 0 {
		delay = unknownClockDelay
	}
	s.syncClock(now, clock, delay)
}

// detectSuspension compares a reading of the endpoint's clock with its estimate, which may
// be behind by the delay of the reading that it is based on.
func (s *Supervisor) detectSuspension(now time.Time, clock time.Duration) {
	lead := clock - s.endpointClock(now)
	if s.clock != 0 && lead > maxClockLead+s.clockDelay {
		s.handleSuspension(now, lead)
	}
}

// handleSuspension handles a jump of the endpoint's clock. A host that was suspended does
// not count that time, so the leases of the entries may have expired although they appear
// valid here. All tasks are ended, and an entry must echo a later report before it may
// assign new ones.
func (s *Supervisor) handleSuspension(now time.Time, lead time.Duration) {
	s.record("clock-jumped", slog.Duration("lead", lead), slog.Int("running", len(s.active)),
		slog.Int("queued", len(s.queue)))
	s.firstEcho = now.Sub(s.startedAt)
	for _, sess := range s.sessions {
		sess.leaseEnd = now
	}
	s.dropTasks(func(*task) bool { return true }, zinniasill.ReasonLeaseExpired)
}

// endpointClock returns an estimate of the endpoint's clock that is not ahead of it.
func (s *Supervisor) endpointClock(now time.Time) time.Duration {
	if s.clock == 0 {
		return 0
	}
	return s.clock + now.Sub(s.clockAt)
}
