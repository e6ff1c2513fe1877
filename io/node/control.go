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

// compactInterval is the number of entries applied between two snapshots. It bounds the
// length of the log that a restart reads.
const compactInterval = 4096

// transferTimeout bounds the wait for another replica to take over leadership from a
// leader that stops.
const transferTimeout = 2 * time.Second

// ControlConfig configures a Control.
type ControlConfig struct {
	Name zinniasill.NodeID
	// Peers are the replicas named in the settings, including this one.
	Peers      []consensus.Member
	DataFolder string
	NewCluster bool
	// Open allows replicas that are not named in Peers to join.
	Open bool
	// FirstStart states that the whole cluster starts for the first time.
	FirstStart      bool
	Sender          daemon.Sender
	Clock           zinniasill.Clock
	Counters        zinniasill.Counters
	Log             logrus.FieldLogger
	Rand            *rand.Rand
	BackgroundTasks control.LeaderTasksConfig
	Lease           time.Duration
}

// store persists the writes of a replica.
type store interface {
	Save(ready consensus.Ready) error
	Close()
}

// Control is the role of a control replica. Use NewControl.
type Control struct {
	cfg     ControlConfig
	self    zinniasill.Node
	storage store
	replica *consensus.Replica
	machine *control.Machine
	server  *control.Server
	loop    *daemon.Loop
	status  atomic.Pointer[consensus.Status]
	applied atomic.Uint64

	proposal  consensus.ProposalID
	compacted consensus.Index
	// unsavedReady is the Ready whose write failed because the disk was full. While it
	// is set, the replica neither handles nor sends messages, as if partitioned.
	unsavedReady *consensus.Ready
	failures     chan error
	fault        error
}

// NewControl opens the data folder, recovers the replica's state and returns the
// replica. Call Start to run it.
func NewControl(cfg ControlConfig) (*Control, error) {
	storage, found, err := disk.Open(disk.Config{Path: cfg.DataFolder})
	if err != nil {
		return nil, eris.Wrap(err, "open the data folder of the control replica")
	}
	for _, torn := range found.Torn {
		cfg.Log.WithField("finding", torn.String()).Warn("discarded an incomplete write found during recovery")
	}
	c := &Control{cfg: cfg, storage: storage, machine: control.New(), failures: make(chan error, 1)}
	c.self = zinniasill.Node{ID: cfg.Name, Incarnation: found.Instance}
	c.replica, err = consensus.New(consensus.Config{
		Self:       c.member(found.Instance),
		Peers:      cfg.Peers,
		NewCluster: cfg.NewCluster,
		Open:       cfg.Open,
		FirstStart: cfg.FirstStart,
		Rand:       cfg.Rand,
	}, found.Recovered)
	if err != nil {
		storage.Close()
		return nil, eris.Wrap(err, "recover the control replica")
	}
	status := c.replica.Status()
	c.status.Store(&status)
	c.server = control.NewServer(control.ServerConfig{
		Self: c.self, Cluster: status.Cluster, Machine: c.machine,
		LeaseLength: cfg.Lease, LeaderTasks: cfg.BackgroundTasks, Counters: cfg.Counters,
	})
	c.loop = daemon.New(daemon.Config{
		Machine: c, Sender: cfg.Sender, Clock: cfg.Clock, AfterIteration: c.processReady,
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

// Address returns the address of a member of the control group, and false if it is
// unknown.
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

// Handler returns the HTTP handler for operators.
func (c *Control) Handler() http.Handler {
	return operator.New(operator.Config{
		Configuration: operator.Replica{Loop: c.loop, Server: c.server},
		Membership:    c,
	})
}

// Start starts the replica's goroutines, which run until ctx is done or the replica
// fails. The returned channel delivers the error of a failed replica, if any, and is
// then closed.
func (c *Control) Start(ctx context.Context) <-chan error {
	ctx, cancel := context.WithCancel(ctx)
	ended := c.loop.Start(ctx)
	done := make(chan error, 1)
	go func() {
		defer close(done)
		defer c.storage.Close()
		defer func() { <-ended }()
		defer cancel()
		select {
		case err := <-c.failures:
			done <- err
		case <-ended:
		}
	}()
	return done
}

// Deliver passes a message to the replica.
func (c *Control) Deliver(env message.Envelope) {
	c.loop.Deliver(env)
}

// Receive implements daemon.Machine.
func (c *Control) Receive(now time.Time, env message.Envelope) {
	if c.unsavedReady != nil {
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
	if c.unsavedReady != nil {
		c.retrySave(now)
	} else {
		c.replica.Tick(now)
	}
	c.server.Tick(now)
}

// Outbox implements daemon.Machine.
func (c *Control) Outbox() []message.Envelope {
	if c.fault != nil || c.unsavedReady != nil {
		c.server.Outbox()
		return nil
	}
	return append(c.replica.Outbox(), c.server.Outbox()...)
}

// processReady carries out the pending output of the server and the replica until
// there is none left.
func (c *Control) processReady(now time.Time) {
	for c.fault == nil && c.unsavedReady == nil {
		worked := c.proposeAndRead(now)
		ready := c.replica.Ready()
		if ready.Empty() && !worked {
			break
		}
		c.handleReady(now, ready)
	}
	c.compact()
}

// proposeAndRead passes the server's proposals and read requests to the replicated log.
// It reports whether there were any.
func (c *Control) proposeAndRead(now time.Time) bool {
	if c.replica.Status().Role != consensus.Leader {
		// The successor must not be sent proposals of this replica's tasks.
		c.server.StepDown(now)
	}
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

// handleReady saves the writes of a Ready and then handles the rest of it.
func (c *Control) handleReady(now time.Time, ready consensus.Ready) {
	if ready.Writes() {
		// Entries are sent before the local write, so that followers write them in
		// parallel.
		for _, env := range c.replica.Outbox() {
			c.cfg.Sender.Send(env)
		}
		if !c.save(now, ready) {
			return
		}
	}
	c.finishReady(now, ready)
}

// save persists the writes of a Ready and reports whether it succeeded. If the disk is
// full, it keeps the Ready for retrySave; any other error stops the replica.
func (c *Control) save(now time.Time, ready consensus.Ready) bool {
	err := c.storage.Save(ready)
	if errors.Is(err, disk.ErrFull) {
		c.suspend(now, ready, err)
		return false
	}
	if err != nil {
		c.fail(eris.Wrap(err, "write to the data folder"))
		return false
	}
	c.replica.Persisted()
	return true
}

// suspend suspends the replica because its disk is full. It stops the leader's tasks: a
// leader that receives no renewals must not declare the nodes dead that sent them.
func (c *Control) suspend(now time.Time, ready consensus.Ready, cause error) {
	if c.unsavedReady == nil {
		c.cfg.Log.WithError(cause).Warn("disk is full; the control replica is suspended until its write succeeds")
		c.server.SetLeader(now, zinniasill.Node{})
	}
	c.unsavedReady = &ready
}

// retrySave retries the write that failed because the disk was full, and resumes the
// replica if it succeeds.
func (c *Control) retrySave(now time.Time) {
	ready := *c.unsavedReady
	if c.fault != nil || !c.save(now, ready) {
		return
	}
	c.unsavedReady = nil
	c.server.SetLeader(now, c.Status().Leader)
	c.cfg.Log.Info("disk has free space again; the control replica resumes")
	c.finishReady(now, ready)
}

// finishReady handles the parts of a Ready that require its writes to be durable.
func (c *Control) finishReady(now time.Time, ready consensus.Ready) {
	if ready.Status != nil {
		c.applyStatus(now, *ready.Status)
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

// apply applies committed entries to the control state.
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

// fail stops this replica because of an unrecoverable error.
func (c *Control) fail(err error) {
	if c.fault != nil {
		return
	}
	c.fault = err
	c.failures <- err
}

// compact takes a snapshot and compacts the log once compactInterval entries have been
// applied since the last snapshot.
func (c *Control) compact() {
	applied := consensus.Index(c.machine.Applied())
	if c.fault != nil || c.unsavedReady != nil || applied < c.compacted+compactInterval {
		return
	}
	if c.replica.Compact(applied, c.machine.Snapshot()) {
		c.compacted = applied
	}
}
