package joblock

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// recoveryTimeout is the time after which a home that has just started no longer waits for
// entries that do not tell it which locks are held.
const recoveryTimeout = answerTimeout

// recovery is the state of a home that has just started. It does not know which locks are held
// and which jobs are cancelled, and grants no lock until all other entries have told it.
type recovery struct {
	// beganAt is when the entry learned of the others, zero before.
	beganAt time.Time
	// asked are the entries that have not told which locks are held, with the time of the last
	// message that asked them, zero if none has.
	asked map[zinniasill.NodeID]time.Time
	done  bool
}

// recovering reports whether the home does not know yet which locks are held.
func (t *table) recovering() bool {
	return !t.recovery.done
}

// expectFrom sets the other entries that tell which locks are held.
func (r *recovery) expectFrom(now time.Time, others []zinniasill.NodeID) {
	for _, id := range others {
		if _, ok := r.asked[id]; !ok && r.beganAt.IsZero() {
			r.asked[id] = time.Time{}
		}
	}
	maps.DeleteFunc(r.asked, func(id zinniasill.NodeID, _ time.Time) bool { return !slices.Contains(others, id) })
	if r.beganAt.IsZero() {
		r.beganAt = now
	}
}

// due returns the entries that are to be asked now.
func (r *recovery) due(now time.Time) []zinniasill.NodeID {
	var ids []zinniasill.NodeID
	for id, at := range r.asked {
		if now.Sub(at) >= resendInterval {
			ids = append(ids, id)
			r.asked[id] = now
		}
	}
	slices.Sort(ids)
	return ids
}

// complete reports whether all entries have told which locks are held, or have timed out.
func (r *recovery) complete(now time.Time) bool {
	return !r.beganAt.IsZero() && (len(r.asked) == 0 || now.Sub(r.beganAt) >= recoveryTimeout)
}

// restore adds the locks that another entry has told to be held: its own, which replace what
// was known of them, and those that entries may hold which have not told themselves. It also
// adds the cancelled jobs.
func (t *table) restore(now time.Time, from zinniasill.NodeID, reply message.LockRecoveryReply) {
	own := t.owner(now, from, reply.Held.Owner)
	own.heardAt, own.inquiry, own.recovered = now, nil, true
	held := map[uint64]bool{}
	for _, wanted := range reply.Held.Locks {
		held[wanted.Number] = true
	}
	t.drop(func(c claim) bool { return c.owner == own && c.granted && !held[c.number] })
	t.restoreLocks(own, reply.Held.Locks, true)
	for _, other := range reply.Others {
		o := t.owner(now.Add(-max(other.Silence, 0)), other.Entry, other.Owner)
		if !o.recovered {
			t.restoreLocks(o, other.Locks, false)
		}
	}
	for _, job := range reply.Cancelled {
		if !t.cancelled.has(job) {
			t.cancelled.add(now, job)
		}
	}
}

// restoreLocks adds the claims of locks that an owner holds, before those of others that wait. If
// it is certain that the owner holds them, they also go before those that others may hold.
func (t *table) restoreLocks(o *owner, locks []message.WantedLock, certain bool) {
	for _, wanted := range locks {
		if !t.recovering() {
			t.claim(o, wanted)
			continue
		}
		k := t.lock(wanted.Job)
		k.claims = slices.DeleteFunc(k.claims, func(c claim) bool { return c.of(o, wanted.Number) })
		at := 0
		if !certain {
			at = k.granted()
		}
		k.claims = slices.Insert(k.claims, at, claim{owner: o, number: wanted.Number, granted: true})
	}
}

// granted returns the number of claims that are known to be granted, which come first.
func (k *lock) granted() int {
	at := slices.IndexFunc(k.claims, func(c claim) bool { return !c.granted })
	if at < 0 {
		return len(k.claims)
	}
	return at
}

// allOwners returns the owners in ascending order.
func (t *table) allOwners() []*owner {
	return slices.SortedFunc(maps.Values(t.owners), func(a, b *owner) int { return cmp.Compare(a.incarnation, b.incarnation) })
}

// claimsOfOthers returns the locks that others than self and except want or hold at this home,
// by owner. One that waits here may have been granted by another home.
func (t *table) claimsOfOthers(now time.Time, except zinniasill.Incarnation) []message.LockClaims {
	claims := map[*owner][]message.WantedLock{}
	for _, job := range slices.Sorted(maps.Keys(t.locks)) {
		for _, c := range t.locks[job].claims {
			claims[c.owner] = append(claims[c.owner], message.WantedLock{Job: job, Number: c.number})
		}
	}
	var all []message.LockClaims
	for _, o := range t.allOwners() {
		if len(claims[o]) == 0 || o.incarnation == t.self.Incarnation || o.incarnation == except {
			continue
		}
		all = append(all, message.LockClaims{
			Entry: o.id, Owner: o.incarnation, Locks: claims[o], Silence: now.Sub(o.heardAt),
		})
	}
	return all
}

// recover begins or continues the recovery of the locks that this entry grants, with the
// entries that are listed now.
func (l *Locks) recover(now time.Time) {
	if !l.table.recovering() || len(l.entries) == 0 {
		return
	}
	l.table.recovery.expectFrom(now, l.others())
	l.completeRecovery(now)
}

// completeRecovery grants the locks that are requested once the recovery is complete.
func (l *Locks) completeRecovery(now time.Time) {
	r := &l.table.recovery
	if r.done || !r.complete(now) {
		return
	}
	r.done = true
	l.record("locks-recovered", slog.Duration("after", now.Sub(r.beganAt)), slog.Int("locks", len(l.table.locks)),
		slog.Int("silent-entries", len(r.asked)))
	clear(r.asked)
	for _, reply := range l.table.replies(l.table.allOwners()) {
		l.send(now, reply.to, reply.body)
	}
}

// answerRecovery tells a home that has just started which locks are held, as far as this entry
// knows.
func (l *Locks) answerRecovery(now time.Time, from zinniasill.NodeID, body message.LockRecovery) {
	h := l.home(from)
	l.noteHeard(now, h, body.Home, true)
	l.tellReturned(now, h)
	reply := message.LockRecoveryReply{Home: body.Home, Held: message.LockClaims{Entry: l.cfg.Self.ID, Owner: l.cfg.Self.Incarnation}}
	for _, job := range slices.Sorted(maps.Keys(l.wanted)) {
		if r := l.wanted[job]; r.granted {
			reply.Held.Locks = append(reply.Held.Locks, message.WantedLock{Job: job, Number: r.number})
		}
	}
	reply.Others = l.table.claimsOfOthers(now, body.Home)
	reply.Cancelled = slices.Sorted(maps.Keys(l.table.cancelled.until))
	l.send(now, from, reply)
}

// handleRecoveryReply records which locks another entry has told to be held.
func (l *Locks) handleRecoveryReply(now time.Time, from zinniasill.NodeID, reply message.LockRecoveryReply) {
	if reply.Home != l.cfg.Self.Incarnation {
		return
	}
	l.table.restore(now, from, reply)
	delete(l.table.recovery.asked, from)
	l.completeRecovery(now)
}
