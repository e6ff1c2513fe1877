package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/lease"
	"zinniasill/core/message"
	"zinniasill/io/daemon"
)

// leaseTick is the time between ticks of the loop that renews the lease.
const leaseTick = 20 * time.Millisecond

// NewIncarnation draws the number of a new life of a process. It is never 0,
// which addresses any incarnation.
func NewIncarnation() zinniasill.Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand never returns an error
	return zinniasill.Incarnation(binary.LittleEndian.Uint64(random[:]) | 1)
}

// LeaseRenewerConfig configures a Keeper.
type LeaseRenewerConfig struct {
	// Entry is what the node reports about itself; the incarnation is drawn by the
	// keeper.
	Entry    catalog.NodeEntry
	Replicas []zinniasill.NodeID
	Sender   daemon.Sender
	Clock    zinniasill.Clock
	Log      logrus.FieldLogger
}

// LeaseRenewer renews a node's lease on a goroutine of its own, so that no other work
// can delay a renewal, and takes a new incarnation when control has declared the
// present one dead. Use NewKeeper.
type LeaseRenewer struct {
	cfg    LeaseRenewerConfig
	holder atomic.Pointer[lease.Holder]
	// used is the holder that the role sees. It is that of the dead incarnation
	// until the role has taken the new one over: with the empty catalog of the new
	// one it would take all nodes for dead and the records of its jobs for lost.
	used   atomic.Pointer[lease.Holder]
	node   atomic.Pointer[zinniasill.Node]
	report atomic.Pointer[catalog.NodeEntry]
	// restarted is the new incarnation until the role has taken it over.
	restarted atomic.Pointer[incarnation]
	loop      *daemon.Loop
	valid     bool
}

// incarnation is a life of the node and its lease.
type incarnation struct {
	node   zinniasill.Node
	holder *lease.Holder
}

// NewLeaseRenewer returns a keeper that has not started.
func NewLeaseRenewer(cfg LeaseRenewerConfig) *LeaseRenewer {
	k := &LeaseRenewer{cfg: cfg}
	k.report.Store(&cfg.Entry)
	k.used.Store(k.renew().holder)
	k.loop = daemon.New(daemon.Config{
		Machine: k, Sender: cfg.Sender, Clock: cfg.Clock, Tick: leaseTick, AfterIteration: k.after,
	})
	return k
}

// renew takes a new incarnation with a new holder. The cluster stays the same.
func (k *LeaseRenewer) renew() *incarnation {
	entry := *k.report.Load()
	entry.Node.Incarnation = NewIncarnation()
	cfg := lease.Config{Entry: entry, Replicas: k.cfg.Replicas}
	if holder := k.holder.Load(); holder != nil {
		cfg.Cluster = holder.Cluster()
	}
	taken := &incarnation{node: entry.Node, holder: lease.New(cfg)}
	k.holder.Store(taken.holder)
	k.node.Store(&taken.node)
	return taken
}

// Start starts the keeper's goroutine; the returned channel is closed at its end.
func (k *LeaseRenewer) Start(ctx context.Context) <-chan struct{} {
	return k.loop.Start(ctx)
}

// Deliver hands a renewal reply to the keeper.
func (k *LeaseRenewer) Deliver(env message.Envelope) {
	k.loop.Deliver(env)
}

// Node returns the present incarnation.
func (k *LeaseRenewer) Node() zinniasill.Node {
	return *k.node.Load()
}

// Cluster returns the node's cluster, empty while it is unknown.
func (k *LeaseRenewer) Cluster() zinniasill.ClusterID {
	return k.holder.Load().Cluster()
}

// LeaseLength returns the length of the leases that control grants.
func (k *LeaseRenewer) LeaseLength() time.Duration {
	return k.holder.Load().Length()
}

// Valid reports whether the role holds a lease at now. It does not from the death
// of its incarnation until TakeRestart.
func (k *LeaseRenewer) Valid(now time.Time) bool {
	return k.used.Load().Valid(now)
}

// Current returns the role's catalog together with the validity of its lease at now.
func (k *LeaseRenewer) Current(now time.Time) (*catalog.Catalog, bool) {
	return k.used.Load().Current(now)
}

// Catalog returns the role's catalog, which after the death of its incarnation is
// the last one of that incarnation until TakeRestart.
func (k *LeaseRenewer) Catalog() *catalog.Catalog {
	return k.used.Load().Catalog()
}

// TakeRestart returns the incarnation that the node has taken since the last call,
// because the one before was declared dead. The role must discard its state then.
func (k *LeaseRenewer) TakeRestart() (zinniasill.Node, bool) {
	taken := k.restarted.Swap(nil)
	if taken == nil {
		return zinniasill.Node{}, false
	}
	k.used.Store(taken.holder)
	return taken.node, true
}

// RenewSoon renews the lease before its time, to learn of changes.
func (k *LeaseRenewer) RenewSoon() {
	k.holder.Load().RenewSoon()
}

// UpdateReport changes what the node reports about itself.
func (k *LeaseRenewer) UpdateReport(change func(entry *catalog.NodeEntry)) {
	entry := *k.report.Load()
	change(&entry)
	k.report.Store(&entry)
	k.holder.Load().Update(change)
}

// HandedOver reports whether control has ended this incarnation after the report
// of a host for its records. Such a node takes no new incarnation: it stops.
func (k *LeaseRenewer) HandedOver() bool {
	return k.holder.Load().Dead() && k.report.Load().Host != (zinniasill.Node{})
}

// Receive implements daemon.Machine.
func (k *LeaseRenewer) Receive(now time.Time, env message.Envelope) {
	k.holder.Load().Receive(now, env)
}

// Tick implements daemon.Machine.
func (k *LeaseRenewer) Tick(now time.Time) {
	k.holder.Load().Tick(now)
}

// Outbox implements daemon.Machine.
func (k *LeaseRenewer) Outbox() []message.Envelope {
	return k.holder.Load().Outbox()
}

func (k *LeaseRenewer) after(now time.Time) {
	holder := k.holder.Load()
	if valid := holder.Valid(now); valid != k.valid {
		k.valid = valid
		k.cfg.Log.WithField("revision", holder.Catalog().Revision).Infof("lease valid: %t", valid)
	}
	if !holder.Dead() || k.HandedOver() {
		return
	}
	dead := k.Node()
	taken := k.renew()
	k.cfg.Log.WithField("dead", dead).WithField("node", taken.node).
		Warn("declared dead by control; continuing under a new incarnation")
	k.restarted.Store(taken)
}
