// Package lease implements the node's side of the configuration lease.
//
// A Holder renews the lease of an entry or agent with the control replicas and keeps
// the node's catalog up to date. It runs on a daemon loop of its own, so that renewals
// are not delayed by other work; Valid, Current and Catalog may be called by other
// goroutines at any time:
//
//	holder := lease.New(lease.Config{Entry: self, Replicas: replicas})
//	loop := daemon.New(daemon.Config{Machine: holder, Sender: link, Clock: clock})
//	...
//	if current, ok := holder.Current(clock.Now()); ok && current.DomainInService(self.Domain) {
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
	// ReplyTimeout is the time without a reply after which renewals go to the next
	// replica. It allows three further attempts within a lease of 2 s.
	ReplyTimeout = 400 * time.Millisecond
	// NoLeaseReplyTimeout is the ReplyTimeout of a node without a valid lease. Such a
	// node cannot lose a lease by trying other replicas early, and gets its first one
	// much sooner after a restart of all processes.
	NoLeaseReplyTimeout = 150 * time.Millisecond
	// FirstReplyTimeout is the ReplyTimeout of an entry without a configuration, which holds
	// the requests of callers, until it has asked each replica once. A reply takes about
	// 10 ms; the limit keeps entries from loading busy replicas with renewals.
	FirstReplyTimeout = 50 * time.Millisecond
	// minFullTimeout is the time without a full catalog after which it is requested again,
	// perhaps from another replica. The time doubles with each request up to
	// maxFullTimeout: copies that share a slow link delay each other and everything else.
	minFullTimeout = time.Second
	maxFullTimeout = 8 * time.Second
	// MinRenewInterval is the minimum time between two renewals. It protects the
	// replicas from frequent updates of the node's entry.
	MinRenewInterval = 50 * time.Millisecond
	// maxSentRenewals is the number of renewals whose replies are still accepted. At one
	// per 50 ms they cover 12 s, which is more than the longest lease in use.
	maxSentRenewals = 256
)

// The node's clock may be up to 2% slower than the replicas' clocks, so a lease expires
// at the node after 100/102 of its length.
const (
	clockRateNumerator   = 100
	clockRateDenominator = 102
)

// Config configures a Holder.
type Config struct {
	// Entry is the node's entry, which its renewals report to control. Its Node and
	// Role never change.
	Entry catalog.NodeEntry
	// Replicas are the control replicas, in the order in which they are tried.
	Replicas []zinniasill.NodeID
	// Known are the replicas that an earlier incarnation was told about.
	Known []message.Replica
	// Cluster is the node's cluster. If empty, it is set by the first reply.
	Cluster zinniasill.ClusterID
}

// Holder holds the lease and the catalog of one node. All methods are safe for
// concurrent use. Use New.
type Holder struct {
	mu    sync.Mutex
	entry catalog.NodeEntry
	// configured are the replicas of the settings. replicas are these and those known from
	// control, in the order in which they are tried.
	configured []zinniasill.NodeID
	replicas   []zinniasill.NodeID
	known      []message.Replica
	cluster    zinniasill.ClusterID
	catalog    *catalog.Catalog
	expiry     time.Time
	length     time.Duration
	dead       bool

	sequence uint64
	sent     []renewal
	// firstUnanswered is the first renewal since the last reply or change of replica,
	// the zero renewal when there is none. The reply timeout is measured from it and not
	// from the last renewal, so that updates of the entry do not postpone it.
	firstUnanswered renewal
	renewRequested  bool
	// fullWanted is set if a replica has a full catalog for the node, which was last
	// requested at fullRequestedAt, and is requested again after fullTimeout.
	fullWanted      bool
	fullRequestedAt time.Time
	fullTimeout     time.Duration
	currentReplica  int
	outbox          []message.Envelope
}

// renewal is a renewal that was sent.
type renewal struct {
	sequence uint64
	sentAt   time.Time
}

// New returns a holder without a lease. The first Tick sends the first renewal.
func New(cfg Config) *Holder {
	h := &Holder{
		entry:      cfg.Entry,
		configured: slices.Clone(cfg.Replicas),
		replicas:   slices.Clone(cfg.Replicas),
		cluster:    cfg.Cluster,
		catalog:    catalog.New(),
	}
	if len(cfg.Known) > 0 {
		h.setKnown(cfg.Known)
	}
	return h
}

// Valid reports whether the node's lease is valid at now. A caller that also reads the
// catalog must call Valid first, or use Current: a catalog that was read before a renewal
// must not be combined with the lease of that renewal.
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

// Catalog returns the node's catalog, which the caller must not modify. A later renewal
// replaces it instead of changing it, and its revision never decreases.
func (h *Holder) Catalog() *catalog.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog
}

// Dead reports whether control has declared this incarnation dead. The node must then
// discard its state and start a new incarnation with a new Holder.
func (h *Holder) Dead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// Length returns the length of the last lease, 0 before the first one. All nodes get
// leases of the same length.
func (h *Holder) Length() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.length
}

// Cluster returns the node's cluster, which is empty while it is unknown.
func (h *Holder) Cluster() zinniasill.ClusterID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cluster
}

// Update changes the node's entry, except for its Node and Role. If the entry differs
// afterwards, the next Tick that is at least MinRenewInterval after the last renewal
// sends it.
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
	h.renewRequested = true
}

// RenewSoon makes the next Tick that is at least MinRenewInterval after the last renewal
// send another one. A node calls it when it learns that its catalog is out of date.
func (h *Holder) RenewSoon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewRequested = true
}

// Tick sends a renewal if one is due. After a reply timeout it goes to the next replica.
func (h *Holder) Tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead || len(h.replicas) == 0 {
		return
	}
	if len(h.sent) == 0 {
		h.sendRenewal(now)
		return
	}
	since := now.Sub(h.sent[len(h.sent)-1].sentAt)
	switch {
	case h.firstUnanswered.sequence != 0 && now.Sub(h.firstUnanswered.sentAt) >= h.replyTimeout(now):
		h.currentReplica = (h.currentReplica + 1) % len(h.replicas)
		h.firstUnanswered = renewal{}
		h.sendRenewal(now)
	case since >= RenewInterval, h.renewRequested && since >= MinRenewInterval:
		h.sendRenewal(now)
	}
}

func (h *Holder) sendRenewal(now time.Time) {
	h.sequence++
	h.sent = append(h.sent, renewal{sequence: h.sequence, sentAt: now})
	if len(h.sent) > maxSentRenewals {
		h.sent = slices.Clone(h.sent[1:])
	}
	if h.firstUnanswered.sequence == 0 {
		h.firstUnanswered = h.sent[len(h.sent)-1]
	}
	h.renewRequested = false
	h.outbox = append(h.outbox, message.Envelope{
		Version: message.Version,
		Cluster: h.cluster,
		From:    h.entry.Node,
		To:      zinniasill.Node{ID: h.replicas[h.currentReplica]},
		Body: message.Renew{
			Sequence: h.sequence, Entry: h.entry, Known: h.catalog.Revision, NoFull: !h.requestFull(now),
			Replicas: h.knownDigest(),
		},
	})
}

// requestFull reports whether a renewal that is sent now requests the full catalog. Only a
// replica that has just answered is asked for it, and only one at a time.
func (h *Holder) requestFull(now time.Time) bool {
	if !h.fullWanted || !h.fullDue(now) {
		return false
	}
	h.fullWanted = false
	h.fullRequestedAt = now
	h.fullTimeout = min(max(2*h.fullTimeout, minFullTimeout), maxFullTimeout)
	return true
}

// fullDue reports whether no requested full catalog is expected any more.
func (h *Holder) fullDue(now time.Time) bool {
	return now.Sub(h.fullRequestedAt) >= h.fullTimeout
}

// Outbox returns and clears the messages to send.
func (h *Holder) Outbox() []message.Envelope {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.outbox
	h.outbox = nil
	return out
}

// Receive handles a reply. It ignores messages that are not replies to a renewal of this
// incarnation, or that come from another cluster.
func (h *Holder) Receive(now time.Time, env message.Envelope) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply, ok := env.Body.(message.RenewReply)
	if !ok || !h.accepts(env) {
		return
	}
	at, ok := h.sendTime(reply.Sequence)
	if !ok {
		return
	}
	h.cluster = env.Cluster
	if reply.Sequence >= h.firstUnanswered.sequence {
		h.firstUnanswered = renewal{}
	}
	if len(reply.Replicas) > 0 {
		h.setKnown(reply.Replicas)
	}
	first := h.catalog.Revision == 0
	h.updateCatalog(reply)
	if reply.Dead {
		h.dead = true
		return
	}
	if reply.FullOmitted {
		h.handleOmission(now, env.From.ID)
		return
	}
	// The lease guarantees that the catalog has all changes up to the reply's revision,
	// so an older catalog must not be used with it.
	if h.catalog.Revision < reply.Revision {
		return
	}
	if reply.Length == 0 {
		// The node is not registered yet: the reply carries the configuration without a
		// lease. A renewal that names it shows that the node is later than the incarnation
		// that is listed in it.
		h.renewRequested = h.renewRequested || first && h.catalog.Revision > 0
		return
	}
	h.length = reply.Length
	expiry := at.Add(reply.Length * clockRateNumerator / clockRateDenominator)
	if expiry.After(h.expiry) {
		h.expiry = expiry
	}
}

// handleOmission handles a reply from a replica that has a full catalog for the node. The
// same reply may tell that this replica has left the group; another one is asked then.
func (h *Holder) handleOmission(now time.Time, replica zinniasill.NodeID) {
	h.fullWanted = true
	if h.fullDue(now) {
		if at := slices.Index(h.replicas, replica); at >= 0 {
			h.currentReplica = at
		}
		h.firstUnanswered = renewal{}
		h.sendRenewal(now)
	}
}

// sendTime returns the time at which a renewal was sent, or false if it is not retained.
func (h *Holder) sendTime(sequence uint64) (time.Time, bool) {
	for _, sent := range h.sent {
		if sent.sequence == sequence {
			return sent.sentAt, true
		}
	}
	return time.Time{}, false
}

// updateCatalog brings the catalog up to the reply's revision. It applies changes to a
// copy, because readers may still use the current catalog. If changes are missing, the
// catalog stays as it is.
func (h *Holder) updateCatalog(reply message.RenewReply) {
	if reply.Revision <= h.catalog.Revision {
		return
	}
	if reply.Full != nil {
		if reply.Full.Revision > h.catalog.Revision && reply.Full.Complete() {
			h.catalog = reply.Full
			h.fullRequestedAt = time.Time{}
			h.fullTimeout = 0
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
