package joblock

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"zinniasill/core/message"
)

const (
	// cancelTimeout is the time in which another entry confirms that a job is cancelled. In the
	// second half of it all entries are asked.
	cancelTimeout = 500 * time.Millisecond
	// cancelRetention is how long a cancelled job is remembered. A duplicate of its submission
	// may arrive seconds after the answer.
	cancelRetention = time.Minute
)

// Confirmation is the outcome of Cancel.
type Confirmation struct {
	Job string
	// Known is set if an entry works on the job or waits for its lock, as far as its homes know.
	Known bool
	// OK is set if another entry, as a home of the job, remembers that it is cancelled, so that
	// none begins it and the one that works on it ends it.
	OK bool
}

// cancellation is a cancelled job whose homes are told of it.
type cancellation struct {
	job   string
	since time.Time
	// pending are the homes that have not confirmed, with the sequence number of the first
	// message that told them, 0 if none has.
	pending   map[*home]uint64
	confirmed bool
	known     bool
	widened   bool
}

// Cancel tells the home of a job, and the next one in its ranking, that it is cancelled. The
// entry that works on the job gets an event; others that request its lock get one as well, for
// cancelRetention. A confirmation tells the outcome.
func (l *Locks) Cancel(now time.Time, job string) {
	l.table.cancelled.add(now, job)
	if l.cancelling[job] != nil {
		return
	}
	c := &cancellation{job: job, since: now, pending: map[*home]uint64{}}
	l.cancelling[job] = c
	first := l.homeOf(now, job, nil)
	for _, h := range []*home{first, l.homeOf(now, job, first)} {
		if h != nil {
			c.pending[h] = 0
			h.dueAt = now
		}
	}
	c.confirmed = len(l.others()) == 0
}

// Cancelled reports whether this entry remembers that a job is cancelled.
func (l *Locks) Cancelled(job string) bool {
	return l.table.cancelled.has(job)
}

// Confirmations returns and clears the outcomes of Cancel.
func (l *Locks) Confirmations() []Confirmation {
	out := l.confirmations
	l.confirmations = nil
	return out
}

// cancelledAt returns the cancelled jobs that a home has not confirmed, and records that the
// message with this sequence number tells it.
func (l *Locks) cancelledAt(h *home, sequence uint64) []string {
	var jobs []string
	for _, job := range slices.Sorted(maps.Keys(l.cancelling)) {
		pending := l.cancelling[job].pending
		first, ok := pending[h]
		if !ok {
			continue
		}
		if first == 0 {
			pending[h] = sequence
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// confirmCancelled handles the part of a home's answer that concerns cancelled jobs.
func (l *Locks) confirmCancelled(now time.Time, h *home, reply message.LockReply) {
	for _, c := range l.cancelling {
		first, ok := c.pending[h]
		if !ok || first == 0 || reply.Sequence < first {
			continue
		}
		delete(c.pending, h)
		// This entry alone may be the home of all jobs since it reaches no other entry.
		c.confirmed = c.confirmed || h.id != l.cfg.Self.ID
		c.known = c.known || slices.Contains(reply.Known, c.job)
	}
	l.endCancellations(now)
}

// widen tells all other entries of a cancelled job that none of them has confirmed.
func (l *Locks) widen(now time.Time, c *cancellation) {
	c.widened = true
	for _, id := range l.others() {
		h := l.home(id)
		if _, ok := c.pending[h]; !ok {
			c.pending[h] = 0
			h.dueAt = now
		}
	}
}

// endCancellations ends those that all asked entries have confirmed, or that have timed out.
func (l *Locks) endCancellations(now time.Time) {
	for _, job := range slices.Sorted(maps.Keys(l.cancelling)) {
		c := l.cancelling[job]
		if !c.confirmed && !c.widened && now.Sub(c.since) >= cancelTimeout/2 {
			l.widen(now, c)
		}
		done := c.confirmed && len(c.pending) == 0
		if !done && now.Sub(c.since) < cancelTimeout {
			continue
		}
		delete(l.cancelling, job)
		l.confirmations = append(l.confirmations, Confirmation{Job: job, Known: c.known, OK: c.confirmed})
	}
}

// notifyCancelled emits the events of the requests that a home has told to be cancelled.
func (l *Locks) notifyCancelled(h *home, reply message.LockReply) {
	for _, r := range h.wanted {
		if r.cancelled || !slices.Contains(reply.Cancelled, r.number) {
			continue
		}
		r.cancelled = true
		l.record("job-cancelled-elsewhere", slog.String("job", r.job), slog.String("home", string(h.id)))
		l.events = append(l.events, Event{Job: r.job, Cancelled: true})
	}
}

// tombstones are the jobs that are remembered as cancelled.
type tombstones struct {
	until map[string]time.Time
	queue []tombstone // by time
}

type tombstone struct {
	job   string
	until time.Time
}

func (t *tombstones) add(now time.Time, job string) {
	until := now.Add(cancelRetention)
	t.until[job] = until
	t.queue = append(t.queue, tombstone{job: job, until: until})
}

func (t *tombstones) has(job string) bool {
	_, ok := t.until[job]
	return ok
}

// expire forgets the jobs whose retention is over.
func (t *tombstones) expire(now time.Time) {
	at := slices.IndexFunc(t.queue, func(s tombstone) bool { return now.Before(s.until) })
	if at < 0 {
		at = len(t.queue)
	}
	for _, s := range t.queue[:at] {
		// The job may have been cancelled again since.
		if t.until[s.job].Equal(s.until) {
			delete(t.until, s.job)
		}
	}
	t.queue = t.queue[at:]
}

// cancel records the jobs that an owner has told to be cancelled. It returns the owners of
// their locks and of requests for them, which have to be told, and the jobs that have any.
func (t *table) cancel(now time.Time, jobs []string) (owners []*owner, known []string) {
	for _, job := range jobs {
		if !t.cancelled.has(job) {
			t.cancelled.add(now, job)
		}
		k := t.locks[job]
		if k == nil {
			continue
		}
		known = append(known, job)
		for _, c := range k.claims {
			owners = append(owners, c.owner)
		}
	}
	return owners, known
}

// cancelledOf returns the numbers of the requests of an owner whose jobs are cancelled.
func (t *table) cancelledOf(o *owner) []uint64 {
	if len(t.cancelled.until) == 0 {
		return nil
	}
	var numbers []uint64
	for job, k := range t.locks {
		if !t.cancelled.has(job) {
			continue
		}
		for _, c := range k.claims {
			if c.owner == o {
				numbers = append(numbers, c.number)
			}
		}
	}
	slices.SortFunc(numbers, cmp.Compare[uint64])
	return numbers
}
