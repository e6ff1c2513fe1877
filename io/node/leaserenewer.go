package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/lease"
	"zinniasill/core/message"
	"zinniasill/io/daemon"
)

// minLeaseTickInterval is the minimum time between ticks of the loop that renews the lease.
const minLeaseTickInterval = 10 * time.Millisecond

// NewIncarnation returns a random incarnation number for a process. It is never 0,
// which stands for any incarnation in an address.
func NewIncarnation() zinniasill.Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand never returns an error
	return zinniasill.Incarnation(binary.LittleEndian.Uint64(random[:]) | 1)
}

// LeaseRenewerConfig configures a LeaseRenewer.
type LeaseRenewerConfig struct {
	// Entry is the initial state that the node reports to control. The renewer sets the
	// incarnation.
	Entry    catalog.NodeEntry
	Replicas []zinniasill.NodeID
	Sender   daemon.Sender
	Clock    zinniasill.Clock
	Log      logrus.FieldLogger
}

// LeaseRenewer renews a node's lease on a separate goroutine, so that no other work can
// delay a renewal. When control has declared the current incarnation dead, it starts a
// new one. Use NewLeaseRenewer.
type LeaseRenewer struct {
	cfg    LeaseRenewerConfig
	holder atomic.Pointer[lease.Holder]
	// roleHolder is the lease holder that the role uses. After the incarnation was
	// declared dead, it stays the old holder until the role calls TakeRestart. With the
	// new holder's empty catalog, the role would treat all nodes as dead and the
	// records of its jobs as lost.
	roleHolder atomic.Pointer[lease.Holder]
	node       atomic.Pointer[zinniasill.Node]
	// reportMu is held while report changes and while a new incarnation takes it over.
	// Otherwise one of two changes at the same time would be lost, or a change would reach
	// the former incarnation only.
	reportMu sync.Mutex
	report   atomic.Pointer[catalog.NodeEntry]
	// restarted is the new incarnation until the role calls TakeRestart, nil otherwise.
	restarted atomic.Pointer[incarnation]
	loop      *daemon.Loop
	// valid is the validity of the lease that was logged last.
	valid bool
	// tickInterval is the time from the last iteration of the loop to the next tick.
	tickInterval time.Duration
	// notify, if set, is called with each newer catalog, whose revision is notifiedRevision.
	notify           func()
	notifiedRevision zinniasill.Revision
}

// incarnation is one incarnation of the node, with the holder of its lease.
type incarnation struct {
	node   zinniasill.Node
	holder *lease.Holder
}

// NewLeaseRenewer returns a renewer. Call Start to run it.
func NewLeaseRenewer(cfg LeaseRenewerConfig) *LeaseRenewer {
	r := &LeaseRenewer{cfg: cfg, tickInterval: minLeaseTickInterval}
	r.report.Store(&cfg.Entry)
	r.roleHolder.Store(r.startIncarnation().holder)
	r.loop = daemon.New(daemon.Config{
		Machine: r, Sender: cfg.Sender, Clock: cfg.Clock, AfterIteration: r.afterIteration,
	})
	return r
}

// startIncarnation starts a new incarnation with a new lease holder, which keeps the
// cluster ID of the previous one.
func (r *LeaseRenewer) startIncarnation() *incarnation {
	r.reportMu.Lock()
	defer r.reportMu.Unlock()
	entry := *r.report.Load()
	entry.Node.Incarnation = NewIncarnation()
	cfg := lease.Config{Entry: entry, Replicas: r.cfg.Replicas}
	if holder := r.holder.Load(); holder != nil {
		cfg.Cluster = holder.Cluster()
		cfg.Known = holder.Known()
	}
	next := &incarnation{node: entry.Node, holder: lease.New(cfg)}
	r.holder.Store(next.holder)
	r.node.Store(&next.node)
	return next
}

// NotifyCatalog sets the function that is called on the renewer's goroutine when the catalog
// has changed. It is called before Start.
func (r *LeaseRenewer) NotifyCatalog(notify func()) {
	r.notify = notify
}

// Start starts the renewer's goroutine, which runs until ctx is done. The returned
// channel is closed when it has returned.
func (r *LeaseRenewer) Start(ctx context.Context) <-chan struct{} {
	return r.loop.Start(ctx)
}

// Deliver passes a renewal reply to the renewer.
func (r *LeaseRenewer) Deliver(env message.Envelope) {
	r.loop.Deliver(env)
}

// Node returns the node's ID and current incarnation.
func (r *LeaseRenewer) Node() zinniasill.Node {
	return *r.node.Load()
}

// Cluster returns the node's cluster ID, which is empty while it is unknown.
func (r *LeaseRenewer) Cluster() zinniasill.ClusterID {
	return r.holder.Load().Cluster()
}

// ReplicaAddress returns the address of a control replica that control has told the node
// about, and false if there is none.
func (r *LeaseRenewer) ReplicaAddress(id zinniasill.NodeID) (string, bool) {
	for _, replica := range r.holder.Load().Known() {
		if replica.ID == id {
			return replica.Address, true
		}
	}
	return "", false
}

// LeaseLength returns the length of the leases that control grants.
func (r *LeaseRenewer) LeaseLength() time.Duration {
	return r.holder.Load().Length()
}

// Valid reports whether the role holds a valid lease at now. After its incarnation was
// declared dead, it holds none until TakeRestart.
func (r *LeaseRenewer) Valid(now time.Time) bool {
	return r.roleHolder.Load().Valid(now)
}

// Current returns the role's catalog and whether its lease is valid at now.
func (r *LeaseRenewer) Current(now time.Time) (*catalog.Catalog, bool) {
	return r.roleHolder.Load().Current(now)
}

// Catalog returns the role's catalog. After its incarnation was declared dead, this is
// the last catalog of that incarnation until TakeRestart.
func (r *LeaseRenewer) Catalog() *catalog.Catalog {
	return r.roleHolder.Load().Catalog()
}

// TakeRestart returns the new incarnation if the previous one was declared dead since
// the last call, and false otherwise. On true, the role must discard its state.
func (r *LeaseRenewer) TakeRestart() (zinniasill.Node, bool) {
	next := r.restarted.Swap(nil)
	if next == nil {
		return zinniasill.Node{}, false
	}
	r.roleHolder.Store(next.holder)
	return next.node, true
}

// RenewSoon requests an early lease renewal, which fetches changes of the catalog.
func (r *LeaseRenewer) RenewSoon() {
	r.holder.Load().RenewSoon()
	r.loop.Post(r.Tick)
}

// UpdateReport changes the state that the node reports to control.
func (r *LeaseRenewer) UpdateReport(change func(entry *catalog.NodeEntry)) {
	r.changeReport(change)
	r.loop.Post(r.Tick)
}

func (r *LeaseRenewer) changeReport(change func(entry *catalog.NodeEntry)) {
	r.reportMu.Lock()
	defer r.reportMu.Unlock()
	entry := *r.report.Load()
	change(&entry)
	r.report.Store(&entry)
	r.holder.Load().Update(change)
}

// HandedOver reports whether control has ended this incarnation after the node reported
// a host for its records. Such a node is stopping and starts no new incarnation.
func (r *LeaseRenewer) HandedOver() bool {
	return r.holder.Load().Dead() && r.report.Load().Host != (zinniasill.Node{})
}

// Receive implements daemon.Machine.
func (r *LeaseRenewer) Receive(now time.Time, env message.Envelope) {
	r.holder.Load().Receive(now, env)
}

// Tick implements daemon.Machine.
func (r *LeaseRenewer) Tick(now time.Time) {
	r.holder.Load().Tick(now)
}

// TickInterval implements daemon.Pacer.
func (r *LeaseRenewer) TickInterval() time.Duration {
	return r.tickInterval
}

// Outbox implements daemon.Machine.
func (r *LeaseRenewer) Outbox() []message.Envelope {
	return r.holder.Load().Outbox()
}

func (r *LeaseRenewer) afterIteration(now time.Time) {
	holder := r.holder.Load()
	if valid := holder.Valid(now); valid != r.valid {
		r.valid = valid
		r.cfg.Log.WithField("revision", holder.Catalog().Revision).Infof("lease valid: %t", valid)
	}
	if holder.Dead() && !r.HandedOver() {
		holder = r.replaceDead()
	}
	if revision := holder.Catalog().Revision; revision != r.notifiedRevision {
		r.notifiedRevision = revision
		if r.notify != nil {
			r.notify()
		}
	}
	r.tickInterval = max(holder.NextTick(now).Sub(now), minLeaseTickInterval)
}

// replaceDead starts the next incarnation after one was declared dead, and returns its lease
// holder.
func (r *LeaseRenewer) replaceDead() *lease.Holder {
	dead := r.Node()
	next := r.startIncarnation()
	r.cfg.Log.WithField("dead", dead).WithField("node", next.node).
		Warn("declared dead by control; continuing under a new incarnation")
	r.restarted.Store(next)
	return next.holder
}
