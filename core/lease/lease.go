// Package lease is the node side of the configuration lease.
//
// A Holder renews the lease of an entry or agent with the control replicas and
// keeps the node's catalog. It is a state machine for its own daemon loop, so
// that renewals never wait for other work; Valid, Current and Catalog may be
// called by other goroutines at any time:
//
//	holder := lease.New(lease.Config{Entry: self, Replicas: replicas})
//	loop := daemon.New(daemon.Config{Machine: holder, Sender: link, Clock: clock})
//	...
//	if copy, ok := holder.Current(clock.Now()); ok && copy.DomainIn(self.Domain) {
//		start()
//	}
package lease

import (
	"slices"
	"sync"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

const (
	// RenewInterval is the time between two renewals.
	RenewInterval = 500 * time.Millisecond
	// ReplyTimeout is the time without an answer after which the next replica is
	// asked. It leaves room for three further attempts within a lease of 2 s.
	ReplyTimeout = 400 * time.Millisecond
	// NoLeaseReplyTimeout is the ReplyTimeout of a node without a lease. It has nothing to
	// lose by asking others soon, and much to win after a restart of all processes.
	NoLeaseReplyTimeout = 150 * time.Millisecond
	// MinRenewInterval is the least time between two renewals, so that frequent updates of
	// the node's entry do not load the replicas.
	MinRenewInterval = 50 * time.Millisecond
	// maxSent bounds the renewals whose answers are still accepted. Sent every
	// 50 ms, they cover 12 s, more than the longest lease in use.
	maxSent = 256
)

// A clock may be slow by up to 2% against the replicas' clocks, so a lease is
// used for 100/102 of its length.
const (
	clockRateNumerator   = 100
	clockRateDenominator = 102
)

// Config configures a Holder.
type Config struct {
	// Entry is what the node reports about itself. Its Node and Role never change.
	Entry catalog.NodeEntry
	// Replicas are the control replicas, in the order in which they are asked.
	Replicas []zinniasill.NodeID
	// Cluster is the node's cluster. If empty, it is learned from the first reply.
	Cluster zinniasill.ClusterID
}

// Holder is the lease and the catalog of one node. All methods are safe for
// concurrent use. Use New.
type Holder struct {
	mu       sync.Mutex
	entry    catalog.NodeEntry
	replicas []zinniasill.NodeID
	cluster  zinniasill.ClusterID
	catalog  *catalog.Catalog
	expiry   time.Time
	length   time.Duration
	dead     bool

	sequence uint64
	sent     []renewal
	// unanswered is the first renewal since the last answer or change of replica,
	// 0 when there is none. Its age, not that of the last renewal, decides on the
	// next replica: updates must not put that off.
	unanswered renewal
	changed    bool
	replica    int
	outbox     []message.Envelope
}

// renewal is one renewal that was sent.
type renewal struct {
	sequence uint64
	at       time.Time
}

// New returns a holder without a lease. The first Tick sends the first renewal.
func New(cfg Config) *Holder {
	return &Holder{
		entry:    cfg.Entry,
		replicas: slices.Clone(cfg.Replicas),
		cluster:  cfg.Cluster,
		catalog:  catalog.New(),
	}
}

// Valid reports whether the node holds a lease at now. A caller that also reads
// the catalog calls Valid first, or uses Current: a catalog that was read before
// a renewal must not be combined with the lease of that renewal.
func (h *Holder) Valid(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.valid(now)
}

func (h *Holder) valid(now time.Time) bool {
	return !h.dead && now.Before(h.expiry)
}

// Current returns the catalog together with the validity of the lease at now.
func (h *Holder) Current(now time.Time) (*catalog.Catalog, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog, h.valid(now)
}

// Catalog returns the node's catalog, which must not be modified. It is replaced,
// never changed, by a later renewal, and its revision never decreases.
func (h *Holder) Catalog() *catalog.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog
}

// Dead reports whether control has declared this incarnation dead. The node must
// then discard its state and take a new incarnation and a new Holder.
func (h *Holder) Dead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// Length returns the length of the last lease, 0 before the first one. All nodes
// get leases of the same length.
func (h *Holder) Length() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.length
}

// Cluster returns the node's cluster, empty while it is unknown.
func (h *Holder) Cluster() zinniasill.ClusterID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cluster
}

// Update changes what the node reports about itself. A difference is sent with
// the next Tick.
func (h *Holder) Update(change func(entry *catalog.NodeEntry)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.entry
	entry.Kinds = slices.Clone(entry.Kinds)
	change(&entry)
	entry.Node = h.entry.Node
	entry.Role = h.entry.Role
	if entry.Equal(h.entry) {
		return
	}
	h.entry = entry
	h.changed = true
}

// RenewSoon makes the next Tick send a renewal, but for MinGap after the last one.
// A node calls it when it learns that its catalog is behind.
func (h *Holder) RenewSoon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed = true
}

// Tick sends a renewal when one is due.
func (h *Holder) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead || len(h.replicas) == 0 {
		return
	}
	if len(h.sent) == 0 {
		h.renew(now)
		return
	}
	timeout := ReplyTimeout
	if !h.valid(now) {
		timeout = NoLeaseReplyTimeout
	}
	since := now.Sub(h.sent[len(h.sent)-1].at)
	switch {
	case h.unanswered.sequence != 0 && now.Sub(h.unanswered.at) >= timeout:
		h.replica = (h.replica + 1) % len(h.replicas)
		h.unanswered = renewal{}
		h.renew(now)
	case since >= RenewInterval, h.changed && since >= MinRenewInterval:
		h.renew(now)
	}
}

func (h *Holder) renew(now time.Time) {
	h.sequence++
	h.sent = append(h.sent, renewal{sequence: h.sequence, at: now})
	if len(h.sent) > maxSent {
		h.sent = slices.Clone(h.sent[1:])
	}
	if h.unanswered.sequence == 0 {
		h.unanswered = h.sent[len(h.sent)-1]
	}
	h.changed = false
	h.outbox = append(h.outbox, message.Envelope{
		Version: message.Version,
		Cluster: h.cluster,
		From:    h.entry.Node,
		To:      zinniasill.Node{ID: h.replicas[h.replica]},
		Body:    message.Renew{Sequence: h.sequence, Entry: h.entry, Known: h.catalog.Revision},
	})
}

// Outbox returns and clears the messages to send.
func (h *Holder) Outbox() []message.Envelope {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.outbox
	h.outbox = nil
	return out
}

// Receive handles a reply. Messages that are no answer to a renewal of this
// incarnation, or that come from another cluster, are ignored.
func (h *Holder) Receive(_ time.Time, env message.Envelope) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply, ok := env.Body.(message.RenewReply)
	if !ok || !h.accepts(env) {
		return
	}
	at, ok := h.sentAt(reply.Sequence)
	if !ok {
		return
	}
	h.cluster = env.Cluster
	if reply.Sequence >= h.unanswered.sequence {
		h.unanswered = renewal{}
	}
	h.follow(reply)
	if reply.Dead {
		h.dead = true
		return
	}
	// A catalog that is older than the reply would not hold the changes that the
	// lease vouches for.
	if h.catalog.Revision < reply.Revision {
		return
	}
	if reply.Length == 0 {
		// The configuration came before the registration of the node.
		return
	}
	h.length = reply.Length
	expiry := at.Add(reply.Length * clockRateNumerator / clockRateDenominator)
	if expiry.After(h.expiry) {
		h.expiry = expiry
	}
}

func (h *Holder) accepts(env message.Envelope) bool {
	return env.Version == message.Version &&
		env.To == h.entry.Node &&
		env.Cluster != "" &&
		(h.cluster == "" || env.Cluster == h.cluster) &&
		slices.Contains(h.replicas, env.From.ID)
}

func (h *Holder) sentAt(sequence uint64) (time.Time, bool) {
	for _, sent := range h.sent {
		if sent.sequence == sequence {
			return sent.at, true
		}
	}
	return time.Time{}, false
}

// follow brings the catalog up to the reply's revision. Readers keep the catalog
// that they have, so it is copied before a change.
func (h *Holder) follow(reply message.RenewReply) {
	if reply.Revision <= h.catalog.Revision {
		return
	}
	if reply.Full != nil {
		if reply.Full.Revision > h.catalog.Revision && reply.Full.Complete() {
			h.catalog = reply.Full
		}
		return
	}
	next := h.catalog.Clone()
	for _, change := range reply.Changes {
		if change.Revision > next.Revision+1 {
			return
		}
		next.Apply(change)
	}
	h.catalog = next
}
