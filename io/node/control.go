package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/consensus"
	"zinniasill/core/control"
	"zinniasill/core/message"
	"zinniasill/io/daemon"
	"zinniasill/io/disk"
	"zinniasill/io/operator"
)

// compactEvery is the number of applied entries between two snapshots. It bounds
// the log that a restart reads.
const compactEvery = 4096

// transferTimeout bounds the wait for another replica to take over the
// leadership of one that stops.
const transferTimeout = 2 * time.Second

// ControlConfig configures a Control.
type ControlConfig struct {
	Name zinniasill.NodeID
	// Peers are the replicas named in the settings, this one included.
	Peers      []consensus.Member
	DataFolder     string
	NewCluster bool
	// Open lets replicas join that Peers does not name.
	Open     bool
	Sender   daemon.Sender
	Clock    zinniasill.Clock
	Counters zinniasill.Counters
	Log      logrus.FieldLogger
	Rand     *rand.Rand
	BackgroundTasks   control.LeaderTasksConfig
	Lease    time.Duration
}

// store makes the writes of a replica durable.
type store interface {
	Save(ready consensus.Ready) error
	Close()
}

// Control is the role of a control replica. Use NewControl.
type Control struct {
	cfg     ControlConfig
	self    zinniasill.Node
	folder  store
	replica *consensus.Replica
	machine *control.Machine
	server  *control.Server
	loop    *daemon.Loop
	status  atomic.Pointer[consensus.Status]
	applied atomic.Uint64

	proposal  consensus.ProposalID
	compacted consensus.Index
	// unsaved is the Ready that a full disk has refused. While it is set, the
	// replica is deaf and mute, like one that is cut off.
	unsaved *consensus.Ready
	failed  chan error
	fault   error
}

// NewControl opens the data folder and returns a replica that has not started.
func NewControl(cfg ControlConfig) (*Control, error) {
	folder, found, err := disk.Open(disk.Config{Path: cfg.DataFolder})
	if err != nil {
		return nil, eris.Wrap(err, "open the data folder of the control replica")
	}
	for _, torn := range found.Torn {
		cfg.Log.WithField("finding", torn.String()).Warn("dropped a write that was not finished")
	}
	c := &Control{cfg: cfg, folder: folder, machine: control.New(), failed: make(chan error, 1)}
	c.self = zinniasill.Node{ID: cfg.Name, Incarnation: found.Instance}
	c.replica, err = consensus.New(consensus.Config{
		Self:       c.member(found.Instance),
		Peers:      cfg.Peers,
		NewCluster: cfg.NewCluster,
		Open:       cfg.Open,
		Rand:       cfg.Rand,
	}, found.Recovered)
	if err != nil {
		folder.Close()
		return nil, eris.Wrap(err, "recover the control replica")
	}
	status := c.replica.Status()
	c.status.Store(&status)
	c.server = control.NewServer(control.ServerConfig{
		Self: c.self, Cluster: status.Cluster, Machine: c.machine,
		LeaseLength: cfg.Lease, LeaderTasks: cfg.BackgroundTasks, Counters: cfg.Counters,
	})
	c.loop = daemon.New(daemon.Config{
		Machine: c, Sender: cfg.Sender, Clock: cfg.Clock, AfterIteration: c.process,
		Dropped: func() { cfg.Counters.Inc("mailbox_dropped", "") },
	})
	return c, nil
}

func (c *Control) member(instance zinniasill.Incarnation) consensus.Member {
	self := consensus.Member{Name: c.cfg.Name, Instance: instance}
	for _, peer := range c.cfg.Peers {
		if peer.Name == self.Name {
			self.Address = peer.Address
		}
	}
	return self
}

// Node returns the replica's identity.
func (c *Control) Node() zinniasill.Node {
	return c.self
}

// Status returns the replica's latest status.
func (c *Control) Status() consensus.Status {
	return *c.status.Load()
}

// Address returns the address of a member of the group.
func (c *Control) Address(name zinniasill.NodeID) (string, bool) {
	membership := c.Status().Membership
	for _, list := range [][]consensus.Member{membership.Voters, membership.Learners, c.cfg.Peers} {
		for _, member := range list {
			if member.Name == name && member.Address != "" {
				return member.Address, true
			}
		}
	}
	return "", false
}

// Applied returns the index of the last entry that the replica has applied.
func (c *Control) Applied() uint64 {
	return c.applied.Load()
}

// Handler returns the HTTP interface for operators.
func (c *Control) Handler() http.Handler {
	return operator.New(operator.Config{
		Configuration: operator.Replica{Loop: c.loop, Server: c.server},
		Membership:    c,
	})
}

// Start starts the replica's goroutine. The returned channel delivers the fault
// that stopped the replica, if any, and is closed after ctx has ended.
func (c *Control) Start(ctx context.Context) <-chan error {
	ctx, cancel := context.WithCancel(ctx)
	ended := c.loop.Start(ctx)
	done := make(chan error, 1)
	go func() {
		defer close(done)
		defer c.folder.Close()
		defer func() { <-ended }()
		defer cancel()
		select {
		case err := <-c.failed:
			done <- err
		case <-ended:
		}
	}()
	return done
}

// Deliver hands a message to the replica.
func (c *Control) Deliver(env message.Envelope) {
	c.loop.Deliver(env)
}

// Receive implements daemon.Machine.
func (c *Control) Receive(now time.Time, env message.Envelope) {
	if c.unsaved != nil {
		return
	}
	switch env.Body.(type) {
	case message.Renew, control.ForwardedRenewals:
		c.server.Receive(now, env)
	default:
		c.replica.Receive(now, env)
	}
}

// Tick implements daemon.Machine.
func (c *Control) Tick(now time.Time) {
	if c.unsaved != nil {
		c.saveAgain(now)
	} else {
		c.replica.Tick(now)
	}
	c.server.Tick(now)
}

// Outbox implements daemon.Machine.
func (c *Control) Outbox() []message.Envelope {
	if c.fault != nil || c.unsaved != nil {
		c.server.Outbox()
		return nil
	}
	return append(c.replica.Outbox(), c.server.Outbox()...)
}

// process carries out everything that the replica and the server ask for.
func (c *Control) process(now time.Time) {
	for c.fault == nil && c.unsaved == nil {
		worked := c.forward(now)
		ready := c.replica.Ready()
		if ready.Empty() && !worked {
			break
		}
		c.carryOut(now, ready)
	}
	c.compact()
}

// forward hands the server's proposals and reads to the log.
func (c *Control) forward(now time.Time) bool {
	proposals := c.server.Proposals()
	for _, data := range proposals {
		c.proposal++
		c.replica.Propose(now, c.proposal, data)
	}
	reads := c.server.Reads(now)
	for _, id := range reads {
		c.replica.ReadIndex(now, consensus.ReadID(id))
	}
	return len(proposals)+len(reads) > 0
}

func (c *Control) carryOut(now time.Time, ready consensus.Ready) {
	if ready.Writes() {
		// Entries leave for the followers while they are written here.
		for _, env := range c.replica.Outbox() {
			c.cfg.Sender.Send(env)
		}
		if !c.save(ready) {
			return
		}
	}
	c.finish(now, ready)
}

// save makes the writes of a Ready durable and reports whether the replica may go
// on. After a full disk saveAgain repeats the call.
func (c *Control) save(ready consensus.Ready) bool {
	err := c.folder.Save(ready)
	if errors.Is(err, disk.ErrFull) {
		if c.unsaved == nil {
			c.cfg.Log.WithError(err).Warn("disk is full, the control replica is silent until it has room")
		}
		c.unsaved = &ready
		return false
	}
	if err != nil {
		c.fail(eris.Wrap(err, "write to the data folder"))
		return false
	}
	c.replica.Persisted()
	return true
}

// saveAgain repeats the write that a full disk has refused.
func (c *Control) saveAgain(now time.Time) {
	ready := *c.unsaved
	if c.fault != nil || !c.save(ready) {
		return
	}
	c.unsaved = nil
	c.cfg.Log.Info("disk has room again, the control replica goes on")
	c.finish(now, ready)
}

// finish carries out what may follow the writes of a Ready.
func (c *Control) finish(now time.Time, ready consensus.Ready) {
	if ready.Status != nil {
		c.follow(now, *ready.Status)
	}
	if ready.Restore != nil {
		c.compacted = ready.Restore.Index
		if err := c.server.Restore(ready.Restore.Data); err != nil {
			c.fail(eris.Wrapf(err, "restore the snapshot at index %d", ready.Restore.Index))
			return
		}
	}
	c.apply(ready.Committed)
	for _, read := range ready.Reads {
		if read.OK {
			c.server.ReadConfirmed(uint64(read.ID), uint64(read.Index))
		} else {
			c.server.ReadFailed(uint64(read.ID))
		}
	}
}

func (c *Control) apply(entries []consensus.Entry) {
	for _, entry := range entries {
		c.applied.Store(uint64(entry.Index))
		if entry.Kind != consensus.KindData {
			c.server.Advance(uint64(entry.Index))
			continue
		}
		if result := c.server.Apply(uint64(entry.Index), entry.Data); result.Err != nil {
			c.fail(eris.Wrapf(result.Err, "apply entry %d", entry.Index))
			return
		}
	}
}

// follow takes over a changed status.
func (c *Control) follow(now time.Time, status consensus.Status) {
	before := c.Status()
	c.status.Store(&status)
	if status.Cluster != before.Cluster {
		c.server.SetCluster(status.Cluster)
	}
	c.server.SetLeader(now, status.Leader)
	if status.Role != before.Role || status.Leader != before.Leader || status.Phase != before.Phase {
		c.cfg.Log.WithFields(logrus.Fields{
			"role": status.Role.String(), "leader": status.Leader.ID, "term": uint64(status.Term),
			"phase": string(status.Phase), "cluster": status.Cluster,
		}).Info("control replica changed")
	}
	if status.Obstacle != "" && status.Obstacle != before.Obstacle {
		c.cfg.Log.WithField("obstacle", status.Obstacle).Warn("control replica cannot form or join a cluster")
	}
	if status.Fault != nil {
		c.fail(eris.Wrap(status.Fault, "replicated log"))
	}
}

// fail stops the replica. The others go on.
func (c *Control) fail(err error) {
	if c.fault != nil {
		return
	}
	c.fault = err
	c.failed <- err
}

func (c *Control) compact() {
	applied := consensus.Index(c.machine.Applied())
	if c.fault != nil || c.unsaved != nil || applied < c.compacted+compactEvery {
		return
	}
	if c.replica.Compact(applied, c.machine.Snapshot()) {
		c.compacted = applied
	}
}
