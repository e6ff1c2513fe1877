package lease

import (
	"time"

	"zinniasill/core/catalog"
)

// replyTimeout returns the time without a reply after which renewals go to the next replica.
func (h *Holder) replyTimeout(now time.Time) time.Duration {
	switch {
	case h.valid(now):
		return ReplyTimeout
	case h.entry.Role == catalog.RoleEntry && h.catalog.Revision == 0 && h.sequence <= uint64(len(h.replicas)):
		return FirstReplyTimeout
	default:
		return NoLeaseReplyTimeout
	}
}

// NextTick returns the time by which Tick is to be called again: when the next renewal, the
// next replica or the end of the lease is due. Later calls delay renewals, of which a lease
// leaves room for few.
func (h *Holder) NextTick(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead || len(h.replicas) == 0 {
		return now.Add(RenewInterval)
	}
	if len(h.sent) == 0 {
		return now
	}
	last := h.sent[len(h.sent)-1].sentAt
	due := last.Add(RenewInterval)
	if h.renewRequested {
		due = last.Add(MinRenewInterval)
	}
	if h.firstUnanswered.sequence != 0 {
		due = earlier(due, h.firstUnanswered.sentAt.Add(h.replyTimeout(now)))
	}
	if h.valid(now) {
		due = earlier(due, h.expiry)
	}
	return due
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
