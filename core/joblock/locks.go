package joblock

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/rendezvous"
)

const (
	// answerTimeout is the time without an answer after which a home counts as silent. It
	// covers the time to connect again. Entries that hold locks there notice it up to one and a
	// half heartbeats later than others, so these wait for longer.
	answerTimeout    = 300 * time.Millisecond
	newAnswerTimeout = answerTimeout + 250*time.Millisecond
	// resendInterval is the time without an answer after which a message is resent.
	resendInterval = 40 * time.Millisecond
	// heartbeatInterval is the maximum time between two messages to a home where locks are
	// wanted.
	heartbeatInterval = 150 * time.Millisecond
	// returnDelay is the time in which entries tell a home that answers again of the locks
	// that they hold.
	returnDelay = 400 * time.Millisecond
	// releaseDelay is how long a release may wait for a message that it can share.
	releaseDelay = 100 * time.Millisecond
)

// Event is a change of a lock that was requested.
type Event struct {
	Job string
	// Granted is set if the job may begin. Otherwise another entry works on it, and the lock
	// is granted later.
	Granted bool
	// Cancelled is set if the job was cancelled at another entry. It must not begin, or end.
	Cancelled bool
}

// Config configures Locks.
type Config struct {
	// Self is this incarnation of the entry.
	Self     zinniasill.Node
	Recorder zinniasill.Recorder
}

// Locks holds the locks that one entry wants, and those that it grants as their home. It is
// not safe for concurrent use. Use New.
type Locks struct {
	cfg     Config
	entries []candidate         // without an entry, jobs begin at once
	wanted  map[string]*request // by job
	homes   []*home             // by id
	last    uint64              // number of the last request
	table   *table
	events  []Event
	outbox  []message.Envelope
	// cancelling are the cancelled jobs whose homes have not all confirmed.
	cancelling    map[string]*cancellation
	confirmations []Confirmation
}

// candidate is an entry that may be the home of a job.
type candidate struct {
	id   zinniasill.NodeID
	hash uint64
}

// New returns Locks without entries.
func New(cfg Config) *Locks {
	return &Locks{
		cfg: cfg, wanted: map[string]*request{}, table: newTable(cfg.Self),
		cancelling: map[string]*cancellation{},
	}
}

// SetEntries replaces the list of all entries. The homes that are in charge then are told of
// the locks that are held. A home that is new to the list is not used at once, since others
// may not know of it yet.
func (l *Locks) SetEntries(now time.Time, entries []zinniasill.NodeID) {
	first := len(l.entries) == 0
	known := l.entries
	l.entries = nil
	for _, id := range entries {
		l.entries = append(l.entries, candidate{id: id, hash: rendezvous.Hash(string(id))})
		listed := slices.ContainsFunc(known, func(c candidate) bool { return c.id == id })
		if h := l.home(id); !first && !listed {
			h.trustedAt = now.Add(returnDelay)
		}
	}
	for _, h := range l.homes {
		l.tellNextHomes(now, h)
	}
	l.homes = slices.DeleteFunc(l.homes, func(h *home) bool {
		return len(h.wanted) == 0 && !slices.Contains(entries, h.id)
	})
	l.recover(now)
}

// tellNextHomes tells the homes that are in charge, or will be once they are trusted, of the
// locks held at a home.
func (l *Locks) tellNextHomes(now time.Time, h *home) {
	for _, r := range slices.Clone(h.wanted) {
		if !r.granted {
			continue
		}
		for _, at := range []time.Time{now, now.Add(holderTimeout)} {
			if next := l.homeOf(at, r.job, nil); next != nil && !slices.Contains(r.homes, next) {
				r.assign(now, next)
			}
		}
	}
}

// homeOf returns the home of a job: the first in its ranking of entries that is neither
// silent nor untrusted nor except. It returns nil if there is none.
func (l *Locks) homeOf(now time.Time, job string, except *home) *home {
	hash := rendezvous.Hash(job)
	var best *home
	bestScore := uint64(0)
	for _, c := range l.entries {
		score := rendezvous.Score(hash, c.hash)
		if h := l.home(c.id); h != except && h.usable(now) && (best == nil || score > bestScore) {
			best, bestScore = h, score
		}
	}
	return best
}

// Acquire requests the lock of a job. An event tells when it is granted. An entry that is the
// home of its own job also tells the next home, which grants the lock if this entry ends.
func (l *Locks) Acquire(now time.Time, job string) {
	if l.wanted[job] != nil {
		return
	}
	l.last++
	r := &request{job: job, number: l.last, since: now}
	l.wanted[job] = r
	r.assign(now, l.homeOf(now, job, nil))
	if len(r.homes) == 0 {
		l.grant(r)
		return
	}
	if first := r.homes[0]; first.id == l.cfg.Self.ID {
		r.assign(now, l.homeOf(now, job, first))
		l.request(now, first)
	}
}

// home returns the home with this id, which it creates if needed.
func (l *Locks) home(id zinniasill.NodeID) *home {
	at, found := slices.BinarySearchFunc(l.homes, id, func(h *home, id zinniasill.NodeID) int { return cmp.Compare(h.id, id) })
	if !found {
		l.homes = slices.Insert(l.homes, at, &home{id: id})
	}
	return l.homes[at]
}

// grant lets a job begin.
func (l *Locks) grant(r *request) {
	if !r.granted {
		r.granted = true
		l.events = append(l.events, Event{Job: r.job, Granted: true})
	}
}

// Release gives the lock of a job back, or withdraws the request for it.
func (l *Locks) Release(now time.Time, job string) {
	if r := l.wanted[job]; r != nil {
		delete(l.wanted, job)
		l.events = slices.DeleteFunc(l.events, func(e Event) bool { return e.Job == job })
		r.unassign(now)
	}
}

// Receive handles a message from another entry. It returns false if the message does not
// concern locks.
func (l *Locks) Receive(now time.Time, env message.Envelope) bool {
	switch body := env.Body.(type) {
	case message.LockRequest:
		l.answer(now, env.From.ID, body)
	case message.LockReply:
		if body.Entry == l.cfg.Self.Incarnation {
			l.handleReply(now, env.From.ID, body)
		}
	case message.LockInquiry:
		l.answerInquiry(now, env.From.ID, body)
	case message.LockInquiryReply:
		l.table.handleInquiryReply(env.From.ID, body)
	case message.LockRecovery:
		l.answerRecovery(now, env.From.ID, body)
	case message.LockRecoveryReply:
		l.handleRecoveryReply(now, env.From.ID, body)
	default:
		return false
	}
	return true
}

// answer answers a request as the home of locks.
func (l *Locks) answer(now time.Time, from zinniasill.NodeID, body message.LockRequest) {
	for _, reply := range l.table.update(now, from, body) {
		l.send(now, reply.to, reply.body)
	}
}

// send sends a message, or handles it at once if it is for this entry itself.
func (l *Locks) send(now time.Time, to zinniasill.NodeID, body any) {
	if to == l.cfg.Self.ID {
		l.Receive(now, message.Envelope{From: l.cfg.Self, Body: body})
		return
	}
	l.outbox = append(l.outbox, message.Envelope{
		Version: message.Version, To: zinniasill.Node{ID: to}, Body: body,
	})
}

// handleReply handles the answer of a home. Requests after the one that it answers are not
// in it.
func (l *Locks) handleReply(now time.Time, from zinniasill.NodeID, reply message.LockReply) {
	h := l.home(from)
	l.noteHeard(now, h, reply.Home, reply.Recovering)
	h.answered = max(h.answered, reply.Sequence)
	if h.answered >= h.asked {
		h.askedAt = time.Time{}
	}
	l.confirmCancelled(now, h, reply)
	l.notifyCancelled(h, reply)
	if reply.Recovering {
		return
	}
	for _, r := range h.wanted {
		switch {
		case r.cancelled || r.granted || r.homes[0] != h || r.number > reply.Last:
		case slices.Contains(reply.Granted, r.number):
			l.grant(r)
		case !r.busy:
			r.busy = true
			l.record("lock-busy", slog.String("job", r.job), slog.String("home", string(h.id)))
			l.events = append(l.events, Event{Job: r.job})
		}
	}
}

// noteHeard records that an incarnation of a home runs, which has just started if it says so.
// One that was silent is not used at once: it may not have been told of all locks that are held.
// One that has restarted asks for them itself before it grants any. It is used at once, so that
// all entries ask the same home.
func (l *Locks) noteHeard(now time.Time, h *home, incarnation zinniasill.Incarnation, started bool) {
	known := h.silent || h.incarnation != 0
	returned := h.silent
	restarted := h.incarnation != incarnation && (started || h.incarnation != 0)
	switch {
	case restarted && known:
		// No answer of the former incarnation will come.
		h.dueAt, h.askedAt, h.trustedAt = now, time.Time{}, time.Time{}
	case returned:
		h.trustedAt = now.Add(returnDelay)
		if ended := h.heardAt.Add(holderTimeout); ended.After(h.trustedAt) {
			h.trustedAt = ended // Its own runs have ended by then.
		}
	}
	h.silent = false
	h.heardAt = now
	h.incarnation = incarnation
	if returned || restarted {
		l.tellReturned(now, h)
	}
}

// tellReturned tells a home that answers again which locks of its jobs are held. Requests that
// are not granted go to other homes until it can be trusted.
func (l *Locks) tellReturned(now time.Time, h *home) {
	for _, job := range slices.Sorted(maps.Keys(l.wanted)) {
		r := l.wanted[job]
		switch {
		case r.waits():
			l.move(now, r)
		case r.granted && !slices.Contains(r.homes, h):
			r.assign(now, h)
		}
	}
}

// move sends a request that is not granted to the home that is in charge now, if that is
// another one. Without any home, the job begins.
func (l *Locks) move(now time.Time, r *request) {
	h := l.homeOf(now, r.job, nil)
	if h != nil && r.homes[0] == h {
		return
	}
	r.unassign(now)
	r.since, r.busy = now, false
	r.assign(now, h)
	if h == nil {
		l.grant(r)
	}
}

// Tick performs the work that is due at the given time.
func (l *Locks) Tick(now time.Time) {
	l.completeRecovery(now)
	for _, reply := range l.table.expire(now, l.others) {
		l.send(now, reply.to, reply.body)
	}
	for _, h := range l.homes {
		l.checkAnswer(now, h)
	}
	for _, r := range l.waiting() {
		l.move(now, r)
	}
	l.endCancellations(now)
}

// waiting returns the requests that wait for their lock, by number.
func (l *Locks) waiting() []*request {
	var waiting []*request
	for _, r := range l.wanted {
		if r.waits() {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.number, b.number) })
	return waiting
}

// checkAnswer detects a home that does not answer. Its requests go to their next homes once
// other entries have noticed as well; if there is none, the jobs begin without a lock.
func (l *Locks) checkAnswer(now time.Time, h *home) {
	overdue := slices.ContainsFunc(h.wanted, func(r *request) bool { return r.overdue(now, h) })
	if h.silent || !overdue {
		return
	}
	h.silent = true
	if !h.askedAt.IsZero() && !h.heardAt.IsZero() {
		h.replacedAt = h.askedAt.Add(newAnswerTimeout)
	}
	l.record("lock-home-silent", slog.String("home", string(h.id)), slog.Int("jobs", len(h.wanted)),
		slog.Duration("silent", now.Sub(h.heardAt)))
	l.tellOthers(now, h)
	for _, r := range slices.Clone(h.wanted) {
		if r.waits() {
			l.move(now, r)
		}
	}
}

// tellOthers tells all entries that answer of the locks held at a silent home. If only this
// entry cannot reach the home, the home asks them before it grants the locks to others.
func (l *Locks) tellOthers(now time.Time, h *home) {
	for _, r := range slices.Clone(h.wanted) {
		if !r.granted {
			continue
		}
		for _, c := range l.entries {
			if other := l.home(c.id); !other.silent && !slices.Contains(r.homes, other) {
				r.assign(now, other)
			}
		}
	}
}

// Flush prepares the messages that are due.
func (l *Locks) Flush(now time.Time) {
	for _, id := range l.table.recovery.due(now) {
		l.send(now, id, message.LockRecovery{Home: l.cfg.Self.Incarnation})
	}
	for _, h := range l.homes {
		if h.due(now) {
			l.request(now, h)
		}
	}
}

// request tells a home all locks that are wanted there. An answer is needed if some are not
// granted, and from time to time, to detect a silent home.
func (l *Locks) request(now time.Time, h *home) {
	body := message.LockRequest{Entry: l.cfg.Self.Incarnation, Sequence: h.sequence + 1, Last: l.last, NoReply: true}
	for _, r := range h.wanted {
		body.Wanted = append(body.Wanted, message.WantedLock{Job: r.job, Number: r.number})
		body.NoReply = body.NoReply && (r.granted || r.homes[0] != h)
	}
	body.Cancelled = l.cancelledAt(h, body.Sequence)
	body.NoReply = body.NoReply && len(body.Cancelled) == 0
	if h.silent || h.unheard(now) {
		body.NoReply = false
	}
	h.sequence++
	h.sentAt = now
	h.dueAt = time.Time{}
	switch {
	case body.NoReply && h.askedAt.IsZero():
		h.answered = h.sequence
	case !body.NoReply && h.askedAt.IsZero():
		h.askedAt, h.asked = now, h.sequence
	}
	l.send(now, h.id, body)
}

// Events returns and clears the changes of locks.
func (l *Locks) Events() []Event {
	events := l.events
	l.events = nil
	return events
}

// Outbox returns and clears the messages to send.
func (l *Locks) Outbox() []message.Envelope {
	out := l.outbox
	l.outbox = nil
	return out
}

func (l *Locks) record(decision string, inputs ...slog.Attr) {
	if l.cfg.Recorder != nil {
		l.cfg.Recorder.Record(decision, inputs...)
	}
}
