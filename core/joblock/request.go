package joblock

import (
	"slices"
	"time"

	"zinniasill"
)

// request is a lock that this entry wants.
type request struct {
	job    string
	number uint64
	// homes are the entries that are told of the request. The first answers it.
	homes []*home
	since time.Time
	// granted is set once the job may begin, busy once the home has told that another entry
	// holds the lock.
	granted, busy bool
	// cancelled is set once a home has told that the job is cancelled.
	cancelled bool
}

// home is the state of the messages to one home.
type home struct {
	id       zinniasill.NodeID
	wanted   []*request // by number
	sequence uint64     // of the last message
	answered uint64     // highest sequence that was answered or needs no answer
	// askedAt is when the first unanswered message that needs an answer was sent, zero if none
	// is unanswered. Its sequence is asked.
	askedAt time.Time
	asked   uint64
	// dueAt is the time by which a message is due, zero if none is.
	dueAt  time.Time
	sentAt time.Time
	// heardAt is the time of the last answer. silent is set once a request has timed out, until
	// the next answer.
	heardAt time.Time
	silent  bool
	// replacedAt is the time from which a silent home is replaced by the next one. Holders of
	// locks there may notice its silence later than this entry, and tell the next one only then.
	replacedAt time.Time
	// incarnation is the one that answered last. A home that has restarted or was silent is
	// not used before trustedAt: it may not have been told of all locks that are held.
	incarnation zinniasill.Incarnation
	trustedAt   time.Time
}

// waits reports whether a home may still grant the lock.
func (r *request) waits() bool {
	return !r.granted && !r.cancelled
}

// assign adds a home to a request, nil for none.
func (r *request) assign(now time.Time, h *home) {
	if h == nil {
		return
	}
	r.homes = append(r.homes, h)
	h.wanted = append(h.wanted, r)
	h.dueAt = now
}

// unassign removes the homes of a request, which are told within releaseDelay.
func (r *request) unassign(now time.Time) {
	for _, h := range r.homes {
		h.wanted = slices.DeleteFunc(h.wanted, func(other *request) bool { return other == r })
		if due := now.Add(releaseDelay); h.dueAt.IsZero() || due.Before(h.dueAt) {
			h.dueAt = due
		}
	}
	r.homes = nil
}

// overdue reports whether an answer of the request's home is overdue. An entry that waits
// behind another holds on for as long as that one's lock lasts.
func (r *request) overdue(now time.Time, h *home) bool {
	switch {
	case r.granted:
		return !h.askedAt.IsZero() && now.Sub(h.askedAt) > answerTimeout
	case r.cancelled || r.homes[0] != h:
		return false
	case r.busy:
		return now.Sub(h.heardAt) > holderTimeout
	default:
		return now.Sub(r.since) > newAnswerTimeout
	}
}

// usable reports whether a home is asked for locks.
func (h *home) usable(now time.Time) bool {
	replaced := h.silent && !now.Before(h.replacedAt)
	return !replaced && !now.Before(h.trustedAt)
}

// unheard reports whether a home where locks are wanted has not answered since the last
// heartbeat, so that the next one asks it.
func (h *home) unheard(now time.Time) bool {
	return len(h.wanted) > 0 && now.Sub(h.heardAt) >= heartbeatInterval/2
}

// due reports whether a message to a home is due.
func (h *home) due(now time.Time) bool {
	if !h.dueAt.IsZero() && !now.Before(h.dueAt) {
		return true
	}
	unanswered := h.answered < h.sequence
	if !unanswered && len(h.wanted) == 0 {
		return false
	}
	silence := now.Sub(h.sentAt)
	return silence >= heartbeatInterval || unanswered && !h.silent && silence >= resendInterval
}
