package executor

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/stream"
)

// session holds what one incarnation of an entry has assigned since it last abandoned
// its assignments.
type session struct {
	entry        zinniasill.Node // recipient of messages, without an incarnation
	incarnation  zinniasill.Incarnation
	number       uint64
	in           stream.Receiver
	out          stream.Sender[message.TaskUpdate]
	leaseEnd     time.Time // the entry's tasks are stopped after this time
	lastReceived time.Time
	// replyAt is the time by which the entry is to be sent a message, zero if none is due.
	replyAt         time.Time
	lastSent        time.Time
	reportedVersion uint64 // loadVersion of the last report
	expired         bool
	// superseded is set once the session of another incarnation of the entry has
	// replaced this one.
	superseded bool
	// newestSentAt is the SentAt of the newest message. waiting is from message.Assign.
	newestSentAt time.Duration
	waiting      []int64
	// reportInterval is the minimum time between two messages that report only a changed
	// load.
	reportInterval time.Duration
	// echoAt is the time of the newest report that the entry has echoed, suspected is set
	// once it has become too old.
	echoAt    time.Time
	suspected bool
}

const (
	// SessionRetention is how long the session of an unresponsive entry is kept.
	SessionRetention = time.Minute
	// replyDelay is how long the reply to a message may wait for an update or a load
	// report that carries it. Entries resend commands after three times as long.
	replyDelay = stream.ResendTimeout / 3
)

// Receive handles a message from an entry.
func (s *Supervisor) Receive(now time.Time, env message.Envelope) {
	s.markStarted(now)
	assign, ok := env.Body.(message.Assign)
	if !ok || env.Version != message.Version {
		return
	}
	sess := s.session(now, env.From.ID, assign)
	if sess == nil {
		return
	}
	sess.lastReceived = now
	s.requestReply(now, sess, assign)
	sess.newestSentAt = max(sess.newestSentAt, assign.SentAt)
	sess.waiting = assign.Waiting
	sess.reportInterval = assign.ReportInterval
	if !s.reporting {
		// The reply is sent with the first report. The entry sends the next heartbeat to
		// an idle agent 350 ms later.
		return
	}
	if assign.Agent == s.cfg.Self.Incarnation {
		s.handleCommands(now, sess, assign)
	}
	s.advance(now)
}

// requestReply requests the reply to a message. While there are runs, it waits for an
// update or a load report that it can share a message with, unless the entry has not been
// told of this incarnation of the agent, or of a valid lease, since when it cannot assign
// tasks.
func (s *Supervisor) requestReply(now time.Time, sess *session, assign message.Assign) {
	due := now
	canWait := len(s.active) > 0 || len(assign.Commands) > 0
	if canWait && assign.Agent == s.cfg.Self.Incarnation && now.Before(sess.leaseEnd) {
		due = now.Add(replyDelay)
	}
	if sess.replyAt.IsZero() || due.Before(sess.replyAt) {
		sess.replyAt = due
	}
}

// replyDue reports whether a reply has been requested and is due.
func (sess *session) replyDue(now time.Time) bool {
	return !sess.replyAt.IsZero() && !now.Before(sess.replyAt)
}

// session returns the session that a message belongs to and creates it if needed. It
// returns nil if the message belongs to an earlier session or to a superseded
// incarnation of the entry.
func (s *Supervisor) session(now time.Time, from zinniasill.NodeID, assign message.Assign) *session {
	sess := s.sessions[assign.Entry]
	if sess != nil {
		if sess.superseded || assign.Session < sess.number {
			return nil
		}
		if assign.Session == sess.number {
			return sess
		}
		s.record("session-replaced", slog.String("entry", string(from)), slog.Uint64("session", assign.Session))
		s.endSession(sess, zinniasill.ReasonSuperseded)
	}
	sess = &session{
		entry: zinniasill.Node{ID: from}, incarnation: assign.Entry, number: assign.Session, leaseEnd: now,
	}
	s.reportCrashes(sess)
	s.sessions[assign.Entry] = sess
	return sess
}

// supersedeOlder ends the sessions of the entry's earlier incarnations, which are those
// whose lease ends before that of sess. A delayed message cannot extend a lease.
func (s *Supervisor) supersedeOlder(sess *session) {
	for _, incarnation := range s.sortedSessions() {
		other := s.sessions[incarnation]
		if other.entry.ID != sess.entry.ID || other.superseded || !other.leaseEnd.Before(sess.leaseEnd) {
			continue
		}
		s.record("session-replaced", slog.String("entry", string(sess.entry.ID)),
			slog.Uint64("life", uint64(sess.incarnation)))
		s.endSession(other, zinniasill.ReasonSuperseded)
		other.superseded = true
	}
}

// handleCommands handles the content of a message that is addressed to this incarnation
// of the agent. Commands are accepted only while the entry's lease is valid, so that a
// message delayed by a partition starts nothing.
func (s *Supervisor) handleCommands(now time.Time, sess *session, assign message.Assign) {
	sess.out.Ack(now, assign.Received)
	if assign.Echo > 0 && assign.Echo >= s.firstEcho && assign.Echo <= now.Sub(s.startedAt) {
		echoAt := s.startedAt.Add(assign.Echo)
		if leaseEnd := echoAt.Add(EntryLease); leaseEnd.After(sess.leaseEnd) {
			sess.leaseEnd = leaseEnd
			sess.echoAt = echoAt
			sess.suspected = false
			s.supersedeOlder(sess)
		}
	}
	s.detectLostReports(now, sess)
	if !now.Before(sess.leaseEnd) {
		return
	}
	sess.expired = false
	for _, command := range stream.Accept(&sess.in, assign.First, assign.Commands) {
		if command.Offer != nil {
			s.enqueue(now, sess, *command.Offer)
		}
		if command.Withdraw != "" {
			s.withdraw(sess, command.Withdraw)
		}
	}
}

// lostReportTimeout is the age of the newest echoed report from which an entry that sends
// messages is taken not to receive reports. It exceeds the longest time between two
// heartbeats and the delay of a reply.
const lostReportTimeout = 550 * time.Millisecond

// detectLostReports suspects the link to an entry that sends messages, but echoes no
// recent report.
func (s *Supervisor) detectLostReports(now time.Time, sess *session) {
	if sess.suspected || sess.echoAt.IsZero() || now.Sub(sess.echoAt) < lostReportTimeout {
		return
	}
	sess.suspected = true
	s.suspects = append(s.suspects, sess.entry.ID)
	s.record("reports-lost", slog.String("entry", string(sess.entry.ID)), slog.Duration("age", now.Sub(sess.echoAt)))
}

// withdraw ends the tasks of a job that its entry has withdrawn.
func (s *Supervisor) withdraw(sess *session, job string) {
	s.dropTasks(func(t *task) bool { return t.owner == sess && t.id.Job == job }, zinniasill.ReasonWithdrawn)
}

// endSession ends all tasks of a session.
func (s *Supervisor) endSession(sess *session, reason zinniasill.Reason) {
	s.dropTasks(func(t *task) bool { return t.owner == sess }, reason)
}

// dropTasks removes the matching tasks from the queue and stops those that are running.
// Their entry gets an update for each.
func (s *Supervisor) dropTasks(match func(t *task) bool, reason zinniasill.Reason) {
	s.queue = slices.DeleteFunc(s.queue, func(t *task) bool {
		if match(t) {
			s.close(t, eventDrop, message.RunReturned, reason)
			return true
		}
		return false
	})
	for _, t := range s.sortedActive() {
		if match(t) {
			s.requestStop(t, reason)
		}
	}
}

// expireSessions ends the tasks of entries whose lease has expired.
func (s *Supervisor) expireSessions(now time.Time) {
	for _, incarnation := range s.sortedSessions() {
		sess := s.sessions[incarnation]
		if now.Sub(sess.lastReceived) > SessionRetention {
			delete(s.sessions, incarnation)
			continue
		}
		if sess.expired || sess.superseded || now.Before(sess.leaseEnd) {
			continue
		}
		sess.expired = true
		if s.hasTasks(sess) {
			s.record("entry-lease-ended", slog.String("entry", string(sess.entry.ID)),
				slog.Duration("silent", now.Sub(sess.lastReceived)))
			s.endSession(sess, zinniasill.ReasonLeaseExpired)
		}
	}
}

func (s *Supervisor) hasTasks(sess *session) bool {
	for _, t := range s.queue {
		if t.owner == sess {
			return true
		}
	}
	for _, t := range s.active {
		if t.owner == sess {
			return true
		}
	}
	return false
}

// Flush sends each entry its outstanding updates, the answer to its heartbeat, or a
// changed load. The daemon loop calls it after each event.
func (s *Supervisor) Flush(now time.Time) {
	if !s.reporting {
		return
	}
	for _, incarnation := range s.sortedSessions() {
		sess := s.sessions[incarnation]
		if sess.superseded {
			continue
		}
		loadChanged := sess.reportedVersion != s.loadVersion &&
			now.Sub(sess.lastSent) >= sess.reportInterval && now.Before(sess.leaseEnd)
		if !sess.replyDue(now) && !sess.out.Due(now) && !loadChanged {
			continue
		}
		sess.replyAt = time.Time{}
		sess.lastSent = now
		sess.reportedVersion = s.loadVersion
		first, updates := sess.out.Batch(now)
		s.outbox = append(s.outbox, message.Envelope{
			Version: message.Version,
			To:      sess.entry,
			Body: message.Progress{
				Agent: s.cfg.Self.Incarnation, Entry: sess.incarnation, Session: sess.number,
				First: first, Updates: updates, Received: sess.in.Last(),
				SentAt: now.Sub(s.startedAt), Load: s.loadFor(now, sess), Echo: sess.newestSentAt,
				Started: s.startedAssignments(sess),
			},
		})
	}
}

// startedAssignments returns the assignments of a session whose runs are known to have
// started.
func (s *Supervisor) startedAssignments(sess *session) []uint64 {
	var started []uint64
	for _, t := range s.active {
		if t.owner == sess && t.ran {
			started = append(started, t.assignment)
		}
	}
	return started
}

// loadFor returns the load report for one entry, including the tasks that wait at other
// entries.
func (s *Supervisor) loadFor(now time.Time, sess *session) message.EndpointLoad {
	load := s.load(now)
	for _, other := range s.sessions {
		if other == sess || other.superseded || len(other.waiting) != message.Priorities || now.Sub(other.lastReceived) > EntryLease {
			continue
		}
		if load.Waiting == nil {
			load.Waiting = make([]int64, message.Priorities)
		}
		for level, milliCPU := range other.waiting {
			load.Waiting[level] += milliCPU
		}
	}
	return load
}

func (s *Supervisor) sortedSessions() []zinniasill.Incarnation {
	return slices.Sorted(maps.Keys(s.sessions))
}
