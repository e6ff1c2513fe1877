package joblock

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

const (
	// holderTimeout is the time without a message from an entry after which its locks expire,
	// unless others still hear it. It covers a heartbeat, the entry's lease at agents, and the
	// time until runs that cannot be stopped have expired.
	holderTimeout = 1200 * time.Millisecond
	// inquiryTimeout is the time in which the other entries tell whether they still hear an
	// entry. An entry that does not answer has nothing to tell.
	inquiryTimeout = 200 * time.Millisecond
)

// table holds the locks that one entry grants as their home.
type table struct {
	self      zinniasill.Node
	locks     map[string]*lock // by job
	owners    map[zinniasill.Incarnation]*owner
	inquiries uint64 // number of the last inquiry
	cancelled tombstones
	recovery  recovery
}

// lock is the lock of one job. Its first claim is that of the holder; the others wait. During
// the recovery, the first one waits as well unless it is known to be granted.
type lock struct {
	claims []claim
}

// claim is the request of one entry for one lock.
type claim struct {
	owner  *owner
	number uint64
	// granted is set if it was, or may have been, granted by another home or before this one
	// has started.
	granted bool
}

// of reports whether the claim is the request of an owner with this number.
func (c claim) of(o *owner, number uint64) bool {
	return c.owner == o && c.number == number
}

// owner is one incarnation of an entry that wants locks.
type owner struct {
	id          zinniasill.NodeID
	incarnation zinniasill.Incarnation
	sequence    uint64 // of the newest message
	last        uint64 // number of its last request
	heardAt     time.Time
	// inquiry is the last one about this owner since it was heard, nil if there is none.
	inquiry *inquiry
	// recovered is set once the owner itself has told which locks it holds. What others know of
	// them is older then.
	recovered bool
	// known are the cancelled jobs of its newest message whose locks are wanted.
	known []string
}

// outgoing is a message to another entry.
type outgoing struct {
	to   zinniasill.NodeID
	body any
}

func newTable(self zinniasill.Node) *table {
	return &table{
		self: self, locks: map[string]*lock{}, owners: map[zinniasill.Incarnation]*owner{},
		cancelled: tombstones{until: map[string]time.Time{}},
		recovery:  recovery{asked: map[zinniasill.NodeID]time.Time{}},
	}
}

// owner returns the owner with this incarnation, which it creates if needed.
func (t *table) owner(now time.Time, id zinniasill.NodeID, incarnation zinniasill.Incarnation) *owner {
	o := t.owners[incarnation]
	if o == nil {
		o = &owner{id: id, incarnation: incarnation, heardAt: now}
		t.owners[incarnation] = o
	}
	return o
}

// update replaces the claims of an entry. It returns the answer, and messages to the entries
// that locks have passed to.
func (t *table) update(now time.Time, from zinniasill.NodeID, request message.LockRequest) []outgoing {
	o := t.owner(now, from, request.Entry)
	o.heardAt = now
	o.inquiry = nil
	if request.Sequence <= o.sequence {
		return nil // A later message has overtaken it.
	}
	o.sequence = request.Sequence
	o.last = request.Last
	passed := t.dropUnwanted(o, request.Wanted)
	for _, wanted := range request.Wanted {
		t.claim(o, wanted)
	}
	told, known := t.cancel(now, request.Cancelled)
	passed = append(passed, told...)
	o.known = known
	if !request.NoReply {
		passed = append(passed, o)
	}
	return t.replies(passed)
}

// dropUnwanted removes the claims of an owner that are not wanted any more, and returns the
// owners that locks have passed to.
func (t *table) dropUnwanted(o *owner, wanted []message.WantedLock) []*owner {
	numbers := make(map[uint64]bool, len(wanted))
	for _, w := range wanted {
		numbers[w.Number] = true
	}
	return t.drop(func(c claim) bool { return c.owner == o && !numbers[c.number] })
}

// drop removes the claims that match, and returns the owners that locks have passed to, in the
// order of the jobs.
func (t *table) drop(match func(c claim) bool) []*owner {
	var affected []string
	for job, k := range t.locks {
		if slices.ContainsFunc(k.claims, match) {
			affected = append(affected, job)
		}
	}
	slices.Sort(affected)
	var passed []*owner
	for _, job := range affected {
		k := t.locks[job]
		holder := k.claims[0]
		k.claims = slices.DeleteFunc(k.claims, match)
		switch {
		case len(k.claims) == 0:
			delete(t.locks, job)
		case k.claims[0] != holder:
			passed = append(passed, k.claims[0].owner)
		}
	}
	return passed
}

// lock returns the lock of a job, which it creates if needed.
func (t *table) lock(job string) *lock {
	k := t.locks[job]
	if k == nil {
		k = &lock{}
		t.locks[job] = k
	}
	return k
}

// claim adds a claim unless it is there.
func (t *table) claim(o *owner, wanted message.WantedLock) {
	k := t.lock(wanted.Job)
	if !slices.ContainsFunc(k.claims, func(c claim) bool { return c.of(o, wanted.Number) }) {
		k.claims = append(k.claims, claim{owner: o, number: wanted.Number})
	}
}

// replies returns one reply for each of the owners.
func (t *table) replies(owners []*owner) []outgoing {
	var messages []outgoing
	for i, o := range owners {
		if slices.Contains(owners[:i], o) {
			continue
		}
		messages = append(messages, outgoing{to: o.id, body: message.LockReply{
			Entry: o.incarnation, Sequence: o.sequence, Last: o.last, Granted: t.heldBy(o), Home: t.self.Incarnation,
			Cancelled: t.cancelledOf(o), Known: o.known, Recovering: t.recovering(),
		}})
	}
	return messages
}

// heldBy returns the numbers of the locks that an owner holds.
func (t *table) heldBy(o *owner) []uint64 {
	var held []uint64
	for _, k := range t.locks {
		if k.claims[0].owner == o && t.holds(k) {
			held = append(held, k.claims[0].number)
		}
	}
	slices.Sort(held)
	return held
}

// holds reports whether the first claim of a lock has been granted.
func (t *table) holds(k *lock) bool {
	return k.claims[0].granted || !t.recovering()
}
