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

// session is what one life of an entry has assigned, until the entry gives it up.
type session struct {
	entry   zinniasill.Node // To of messages, without an incarnation
	life    zinniasill.Incarnation
	number  uint64
	in      stream.Receiver
	out     stream.Sender[message.TaskUpdate]
	alive   time.Time // the entry's tasks live until then
	heard   time.Time
	reply   bool
	sent    time.Time
	version uint64 // of the room in the last report
	expired bool
	// superseded is set once another life of the entry has followed.
	superseded bool
	// newest is the SentAt of the newest message, waiting as in message.Assign.
	newest  time.Duration
	waiting []int64
	// newsEvery is the least time between two reports that only tell of changed room.
	newsEvery time.Duration
}

// sessionMemory is how long a silent entry is remembered.
const sessionMemory = time.Minute

// Receive handles a message of an entry.
func (s *Supervisor) Receive(now time.Time, env message.Envelope) {
	s.start(now)
	assign, ok := env.Body.(message.Assign)
	if !ok || env.Version != message.Version || !s.speaking {
		return
	}
	sess := s.session(now, env.From.ID, assign)
	if sess == nil {
		return
	}
	sess.heard = now
	sess.reply = true
	sess.newest = max(sess.newest, assign.SentAt)
	sess.waiting = assign.Waiting
	sess.newsEvery = assign.ReportInterval
	if assign.Agent == s.cfg.Self.Incarnation {
		s.take(now, sess, assign)
	}
	s.step(now)
}

// session returns the session of a message, or nil if the message is of an earlier
// session than the current one, or of a former life of the entry.
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
		entry: zinniasill.Node{ID: from}, life: assign.Entry, number: assign.Session, alive: now,
	}
	s.sessions[assign.Entry] = sess
	return sess
}

// supersede ends the sessions of an entry's former lives, which are those with a
// lease that ends before that of sess. A late message cannot extend a lease.
func (s *Supervisor) supersede(sess *session) {
	for _, life := range s.sortedSessions() {
		other := s.sessions[life]
		if other.entry.ID != sess.entry.ID || other.superseded || !other.alive.Before(sess.alive) {
			continue
		}
		s.record("session-replaced", slog.String("entry", string(sess.entry.ID)),
			slog.Uint64("life", uint64(sess.life)))
		s.endSession(other, zinniasill.ReasonSuperseded)
		other.superseded = true
	}
}

// take handles the content of a message that is addressed to this life of the agent.
// Commands are taken only while the entry's lease holds, so that a message which a
// partition has delayed starts nothing.
func (s *Supervisor) take(now time.Time, sess *session, assign message.Assign) {
	sess.out.Ack(now, assign.Received)
	if assign.Echo > 0 {
		alive := s.began.Add(assign.Echo + EntryLease)
		if alive.After(sess.alive) {
			sess.alive = alive
			s.supersede(sess)
		}
	}
	if !now.Before(sess.alive) {
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

// withdraw ends the tasks of a job that its entry no longer wants.
func (s *Supervisor) withdraw(sess *session, job string) {
	s.drop(func(t *task) bool { return t.owner == sess && t.id.Job == job }, zinniasill.ReasonWithdrawn)
}

// endSession ends all tasks of a session.
func (s *Supervisor) endSession(sess *session, reason zinniasill.Reason) {
	s.drop(func(t *task) bool { return t.owner == sess }, reason)
}

// drop removes the tasks that match from the queue and stops those that run. Their
// entry gets an update of each.
func (s *Supervisor) drop(match func(t *task) bool, reason zinniasill.Reason) {
	s.queue = slices.DeleteFunc(s.queue, func(t *task) bool {
		if match(t) {
			s.close(t, eventDrop, message.RunReturned, reason)
			return true
		}
		return false
	})
	for _, t := range s.sortedActive() {
		if match(t) {
			s.stopRun(t, reason)
		}
	}
}

// expireSessions ends the tasks of entries whose lease has ended.
func (s *Supervisor) expireSessions(now time.Time) {
	for _, life := range s.sortedSessions() {
		sess := s.sessions[life]
		if now.Sub(sess.heard) > sessionMemory {
			delete(s.sessions, life)
			continue
		}
		if sess.expired || sess.superseded || now.Before(sess.alive) {
			continue
		}
		sess.expired = true
		if s.owns(sess) {
			s.record("entry-lease-ended", slog.String("entry", string(sess.entry.ID)),
				slog.Duration("silent", now.Sub(sess.heard)))
			s.endSession(sess, zinniasill.ReasonLeaseExpired)
		}
	}
}

func (s *Supervisor) owns(sess *session) bool {
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

// Flush sends each entry the updates that it has not got, or an answer to its
// heartbeat. The loop calls it after each step.
func (s *Supervisor) Flush(now time.Time) {
	if !s.speaking {
		return
	}
	for _, life := range s.sortedSessions() {
		sess := s.sessions[life]
		if sess.superseded {
			continue
		}
		news := sess.version != s.roomVersion && now.Sub(sess.sent) >= sess.newsEvery && now.Before(sess.alive)
		if !sess.reply && !sess.out.Due(now) && !news {
			continue
		}
		sess.reply = false
		sess.sent = now
		sess.version = s.roomVersion
		first, updates := sess.out.Batch(now)
		s.outbox = append(s.outbox, message.Envelope{
			Version: message.Version,
			To:      sess.entry,
			Body: message.Progress{
				Agent: s.cfg.Self.Incarnation, Entry: sess.life, Session: sess.number,
				First: first, Updates: updates, Received: sess.in.Last(),
				SentAt: now.Sub(s.began), Load: s.roomFor(now, sess), Echo: sess.newest,
			},
		})
	}
}

// roomFor returns the report on the endpoint for one entry, with what waits at the
// others.
func (s *Supervisor) roomFor(now time.Time, sess *session) message.EndpointLoad {
	room := s.room(now)
	for _, other := range s.sessions {
		if other == sess || other.superseded || len(other.waiting) != message.Priorities || now.Sub(other.heard) > EntryLease {
			continue
		}
		if room.Waiting == nil {
			room.Waiting = make([]int64, message.Priorities)
		}
		for level, milliCPU := range other.waiting {
			room.Waiting[level] += milliCPU
		}
	}
	return room
}

func (s *Supervisor) sortedSessions() []zinniasill.Incarnation {
	return slices.Sorted(maps.Keys(s.sessions))
}
