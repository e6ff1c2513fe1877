package joblock

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// inquiry asks all other entries whether they hear an owner that this home no longer hears.
type inquiry struct {
	number  uint64
	sentAt  time.Time
	pending map[zinniasill.NodeID]bool // entries that have not answered
	wanted  map[string]bool            // jobs whose lock the owner wants, as an entry has told
}

// expire drops the claims of owners that are no longer heard. The locks of such an owner are
// kept while another entry hears it, since it may be cut off from this home only. It returns
// the messages to send.
func (t *table) expire(now time.Time, others func() []zinniasill.NodeID) []outgoing {
	t.cancelled.expire(now)
	var lost []*owner
	for _, o := range t.owners {
		if t.lost(now, o) {
			lost = append(lost, o)
		}
	}
	slices.SortFunc(lost, func(a, b *owner) int { return cmp.Compare(a.incarnation, b.incarnation) })
	var messages []outgoing
	for _, o := range lost {
		messages = append(messages, t.expireOwner(now, o, others())...)
	}
	return messages
}

// lost reports whether an owner is no longer heard.
func (t *table) lost(now time.Time, o *owner) bool {
	return now.Sub(o.heardAt) > holderTimeout
}

// expireOwner takes the next step in expiring the claims of an owner that is not heard: those
// that wait at once, and those that hold a lock when no entry has told that it is wanted.
func (t *table) expireOwner(now time.Time, o *owner, others []zinniasill.NodeID) []outgoing {
	if o.inquiry == nil {
		held := t.heldBy(o)
		t.drop(func(c claim) bool { return c.owner == o && !slices.Contains(held, c.number) })
		return t.inquire(now, o, others)
	}
	age := now.Sub(o.inquiry.sentAt)
	if len(o.inquiry.pending) > 0 && age <= inquiryTimeout {
		return nil
	}
	unwanted := map[uint64]bool{}
	for job, k := range t.locks {
		if c := k.claims[0]; c.owner == o && !o.inquiry.wanted[job] {
			unwanted[c.number] = true
		}
	}
	messages := t.replies(t.drop(func(c claim) bool { return c.owner == o && unwanted[c.number] }))
	if age >= heartbeatInterval {
		messages = append(messages, t.inquire(now, o, others)...)
	}
	return messages
}

// inquire begins an inquiry about the locks that an owner holds. Without any, it forgets the
// owner.
func (t *table) inquire(now time.Time, o *owner, others []zinniasill.NodeID) []outgoing {
	body := message.LockInquiry{Home: t.self.Incarnation, Owner: o.incarnation}
	for _, job := range slices.Sorted(maps.Keys(t.locks)) {
		if t.locks[job].claims[0].owner == o {
			body.Jobs = append(body.Jobs, job)
		}
	}
	if len(body.Jobs) == 0 {
		delete(t.owners, o.incarnation)
		return nil
	}
	t.inquiries++
	body.Number = t.inquiries
	o.inquiry = &inquiry{number: body.Number, sentAt: now, pending: map[zinniasill.NodeID]bool{}, wanted: map[string]bool{}}
	var messages []outgoing
	for _, id := range others {
		o.inquiry.pending[id] = true
		messages = append(messages, outgoing{to: id, body: body})
	}
	return messages
}

// handleInquiryReply records the answer of another entry.
func (t *table) handleInquiryReply(from zinniasill.NodeID, reply message.LockInquiryReply) {
	o := t.owners[reply.Owner]
	if reply.Home != t.self.Incarnation || o == nil || o.inquiry == nil || o.inquiry.number != reply.Number {
		return
	}
	delete(o.inquiry.pending, from)
	for _, job := range reply.Wanted {
		o.inquiry.wanted[job] = true
	}
}

// wantedBy returns which locks of some jobs an owner wants here, as far as it is heard.
func (t *table) wantedBy(now time.Time, incarnation zinniasill.Incarnation, jobs []string) []string {
	o := t.owners[incarnation]
	if o == nil || t.lost(now, o) {
		return nil
	}
	var wanted []string
	for _, job := range jobs {
		k := t.locks[job]
		if k != nil && slices.ContainsFunc(k.claims, func(c claim) bool { return c.owner == o }) {
			wanted = append(wanted, job)
		}
	}
	return wanted
}

// answerInquiry tells another entry which of the jobs its lost owner still wants, as far as
// this entry knows from the owner or is the owner itself.
func (l *Locks) answerInquiry(now time.Time, from zinniasill.NodeID, body message.LockInquiry) {
	reply := message.LockInquiryReply{Home: body.Home, Number: body.Number, Owner: body.Owner}
	reply.Wanted = l.table.wantedBy(now, body.Owner, body.Jobs)
	if body.Owner == l.cfg.Self.Incarnation {
		for _, job := range body.Jobs {
			if r := l.wanted[job]; r != nil && r.granted {
				reply.Wanted = append(reply.Wanted, job)
			}
		}
	}
	l.send(now, from, reply)
}

// others returns the other entries.
func (l *Locks) others() []zinniasill.NodeID {
	var ids []zinniasill.NodeID
	for _, c := range l.entries {
		if c.id != l.cfg.Self.ID {
			ids = append(ids, c.id)
		}
	}
	return ids
}
