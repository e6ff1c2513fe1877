package executor

import (
	"log/slog"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// Announce handles an announcement from the endpoint. Outdated announcements, and those that
// arrive after the endpoint has left, are ignored. One of another incarnation may have been
// delayed by a partition or come from another writer, so it takes effect only once an answer
// of the endpoint itself confirms it.
func (s *Supervisor) Announce(now time.Time, announcement Announcement) {
	s.markStarted(now)
	switch {
	case announcement.Incarnation == s.incarnation:
		s.applyAnnouncement(now, announcement)
	case s.present:
		s.record("endpoint-unconfirmed", slog.String("life", announcement.Incarnation.ID),
			slog.Int64("known", s.incarnation.StartedMillis), slog.Int64("born", announcement.Incarnation.StartedMillis))
		s.candidate = &announcement
		s.candidateAt = now
		s.advance(now)
	default:
		s.beginIncarnation(now, announcement)
	}
}

// applyAnnouncement applies an announcement of the current incarnation.
func (s *Supervisor) applyAnnouncement(now time.Time, announcement Announcement) {
	first := s.announced.Incarnation != s.incarnation
	if s.left || !first && s.outdated(announcement.Sequence) {
		return
	}
	if announcement.Draining != s.announced.Draining || !s.present || first {
		s.record("endpoint-announced", slog.Bool("draining", announcement.Draining),
			slog.Uint64("sequence", announcement.Sequence), slog.String("life", announcement.Incarnation.ID))
	}
	if !s.present || first || announcement.Draining != s.announced.Draining || !announcement.sameOffer(s.announced) {
		s.loadVersion++
	}
	s.announced = announcement
	s.present = true
	s.lastContact = now
	s.syncAnnouncedClock(now, announcement.Clock)
	s.returnMisfits()
	if announcement.Draining {
		s.returnQueue(zinniasill.ReasonLeaving)
	}
}

// outdated reports whether an announcement of the current incarnation is an earlier one. A
// number far below that of the last one shows that the last one was wrong.
func (s *Supervisor) outdated(sequence uint64) bool {
	last := s.announced.Sequence
	return sequence <= last && last != 0 && last-sequence <= maxSequenceLag
}

// sameOffer reports whether two announcements tell the same capacity and labels.
func (a Announcement) sameOffer(b Announcement) bool {
	return a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// returnMisfits returns the queued tasks that the endpoint cannot run: its capacity may shrink
// while it runs, and another incarnation may be of another kind.
func (s *Supervisor) returnMisfits() {
	s.queue = slices.DeleteFunc(s.queue, func(t *task) bool {
		reason := s.misfit(t)
		if reason == "" {
			return false
		}
		s.close(t, eventDrop, message.RunReturned, reason)
		return true
	})
}

// beginIncarnation begins to supervise an incarnation while no other is present.
func (s *Supervisor) beginIncarnation(now time.Time, announcement Announcement) {
	s.recordRestart(now, announcement.Incarnation)
	s.loseRuns(now, s.sortedActive(), zinniasill.ReasonEndpointLost, "endpoint-restarted")
	s.advanceFence(announcement.Clock)
	s.setIncarnation(announcement.Incarnation)
	s.announced = Announcement{}
	clear(s.runs)
	s.applyAnnouncement(now, announcement)
}

// setIncarnation resets what is known about the former incarnation.
func (s *Supervisor) setIncarnation(incarnation zinniasill.EndpointIncarnation) {
	s.incarnation = incarnation
	s.candidate = nil
	s.clock = 0
	s.lease = leaseState{}
	s.adopted = false
	s.left = false
	s.unanswered = 0
	s.refused = 0
	s.stats = stats{}
	s.loadVersion++
}

func (s *Supervisor) recordRestart(now time.Time, incarnation zinniasill.EndpointIncarnation) {
	if s.incarnation.ID == "" {
		return
	}
	s.record("endpoint-restarted", slog.String("life", incarnation.ID),
		slog.Int64("known", s.incarnation.StartedMillis), slog.Int64("born", incarnation.StartedMillis),
		slog.Duration("silent", now.Sub(s.lastContact)), slog.Int("running", len(s.active)))
}

// confirmIncarnation compares the incarnation that has answered a renewal with the recorded
// one. Only an answer tells which incarnation runs.
func (s *Supervisor) confirmIncarnation(now time.Time, pending pendingCall, result zinniasill.RenewResult) {
	started := result.StartedMillis
	if started == 0 {
		started = s.assumedStart()
	}
	if started != s.incarnation.StartedMillis {
		s.handleRestart(now, pending, started, result)
		return
	}
	if s.candidate != nil && pending.issued.After(s.candidateAt) {
		s.record("announcement-ignored", slog.Int64("born", s.candidate.Incarnation.StartedMillis),
			slog.Int64("known", started))
		s.candidate = nil
	}
}

// assumedStart returns the start time of the incarnation that has answered without telling
// it: the latest that was announced under the id that the call was addressed to.
func (s *Supervisor) assumedStart() int64 {
	if s.candidate != nil && s.candidate.Incarnation.ID == s.incarnation.ID {
		return max(s.incarnation.StartedMillis, s.candidate.Incarnation.StartedMillis)
	}
	return s.incarnation.StartedMillis
}

// handleRestart switches to another incarnation with the same id. Orders name only the id,
// so recorded runs may have been started at the new incarnation: only those that are surely
// not there are lost.
func (s *Supervisor) handleRestart(now time.Time, pending pendingCall, started int64, result zinniasill.RenewResult) {
	former := s.incarnation
	current := zinniasill.EndpointIncarnation{ID: former.ID, StartedMillis: started}
	s.recordRestart(now, current)
	s.loseRuns(now, s.runsNotIn(pending.issued, result), zinniasill.ReasonEndpointLost, "endpoint-restarted")
	candidate, extendedAt := s.candidate, s.lastExtension()
	s.advanceFence(result.Clock)
	s.setIncarnation(current)
	s.lease.extendedAt = extendedAt
	for id, call := range s.pendingCalls {
		if call.incarnation == former && call.call.Renew == nil {
			call.incarnation = current
			s.pendingCalls[id] = call
		}
	}
	for _, t := range s.active {
		// What the former incarnation has started or prevented is not known to this one.
		t.mayHaveRun = true
		t.stopAccepted = false
	}
	if candidate != nil && candidate.Incarnation == current {
		s.applyAnnouncement(now, *candidate)
	}
}

// runsNotIn returns the runs that had started before a renewal was issued and are not in its
// lists.
func (s *Supervisor) runsNotIn(issued time.Time, result zinniasill.RenewResult) []*task {
	return slices.DeleteFunc(s.sortedActive(), func(t *task) bool {
		listed := slices.Contains(result.Running, zinniasill.RunningTask{Task: t.id, Run: t.run})
		ended := slices.ContainsFunc(result.Completions, func(c zinniasill.Completion) bool {
			return c.Task == t.id && c.Run == t.run
		})
		listed = listed || slices.Contains(result.Unreadable, t.id)
		return !t.ran || listed || ended || !issued.After(t.startedAt)
	})
}

// EndpointLeft handles the notification that an endpoint is about to shut down. It names no
// incarnation. If the current one is not draining, the notification may be a delayed one of
// an earlier incarnation: the endpoint then gets no work until it announces itself again, and
// its runs end only with their lease.
//
// The notification does not say that the runs have ended: without an answer to it, the endpoint
// goes on for seconds. They are stopped, and closed once their ends are known.
func (s *Supervisor) EndpointLeft(now time.Time, id string) {
	s.markStarted(now)
	if id != s.incarnation.ID {
		return
	}
	s.record("endpoint-left", slog.String("life", id), slog.Bool("draining", s.announced.Draining),
		slog.Int("running", len(s.active)))
	if !s.announced.Draining {
		s.announced.Draining = true
		s.loadVersion++
		s.returnQueue(zinniasill.ReasonLeaving)
		return
	}
	if s.left {
		return
	}
	s.left = true
	s.leftAt = now
	s.returnQueue(zinniasill.ReasonEndpointLeft)
	for _, t := range s.sortedActive() {
		s.requestStop(t, zinniasill.ReasonEndpointLeft)
	}
	s.advance(now)
}

// detectShutdown handles an order that no process at the endpoint's address accepted. If it
// was issued after the endpoint notified that it leaves, the endpoint has ended with its runs.
func (s *Supervisor) detectShutdown(now, issued time.Time, outcome zinniasill.OrderOutcome) {
	if s.left && s.present && outcome == zinniasill.OrderUnreachable && issued.After(s.leftAt) {
		s.loseEndpoint(now, zinniasill.ReasonEndpointLeft, "endpoint-left")
	}
}

// completeLeaving treats an endpoint that leaves as absent once all of its runs have ended.
func (s *Supervisor) completeLeaving(now time.Time) {
	if s.left && s.present && len(s.active) == 0 {
		s.loseEndpoint(now, zinniasill.ReasonEndpointLeft, "endpoint-left")
	}
}

// loseEndpoint closes all tasks and treats the endpoint as absent until its next
// announcement. The cause is only recorded.
func (s *Supervisor) loseEndpoint(now time.Time, reason zinniasill.Reason, cause string) {
	s.loseRuns(now, s.sortedActive(), reason, cause)
	s.returnQueue(reason)
	s.present = false
	if s.candidate != nil {
		s.beginIncarnation(now, *s.candidate)
	}
}
