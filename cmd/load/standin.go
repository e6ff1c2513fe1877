package main

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
	"zinniasill/internal/localcluster"
	"zinniasill/io/daemon"
	"zinniasill/io/node"
	"zinniasill/io/peer"
)

// standIn is the lease side of an agent: it renews and keeps a catalog over links
// of its own, but runs no task.
type standIn struct {
	keeper    *node.LeaseRenewer
	transport *peer.Transport
	cancel    context.CancelFunc
	ended     <-chan error
}

// valid reports whether the stand-in holds a lease. It has no role with state to
// discard, so that it takes over a new incarnation here.
func (s *standIn) valid(now time.Time) bool {
	s.keeper.TakeRestart()
	return s.keeper.Valid(now)
}

// members are the listen addresses of the control replicas.
type members map[zinniasill.NodeID]string

// membersOf returns the replicas of a cluster.
func membersOf(ctx context.Context, cluster *localcluster.Cluster) (members, error) {
	listed, err := cluster.Operator().Members(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "list the control replicas")
	}
	found := members{}
	for _, m := range listed {
		found[zinniasill.NodeID(m.Name)] = m.Address
	}
	return found, nil
}

func startStandIn(ctx context.Context, i int, replicas members) (*standIn, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	names := make([]zinniasill.NodeID, 0, len(replicas))
	for n := range len(replicas) {
		names = append(names, zinniasill.NodeID(fmt.Sprintf("control-%d", (i+n)%len(replicas)+1)))
	}
	s := &standIn{}
	var transport atomic.Pointer[peer.Transport]
	s.keeper = node.NewLeaseRenewer(node.LeaseRenewerConfig{
		Entry: catalog.NodeEntry{
			Node: zinniasill.Node{ID: zinniasill.NodeID(fmt.Sprintf("stand-in-%04d", i))},
			Role: catalog.RoleAgent, Domain: zinniasill.Domain(fmt.Sprintf("zone-%d", i%5)),
			Address: "127.0.0.1:1", Slots: 3, Kinds: []zinniasill.Kind{localcluster.Kind}, State: catalog.Serving,
		},
		Replicas: names, Sender: sendThrough{&transport}, Clock: daemon.SystemClock{}, Log: log,
	})
	var err error
	s.transport, err = peer.New(peer.Config{
		Self: s.keeper.Node, Cluster: s.keeper.Cluster, Deliver: s.keeper.Deliver, Clock: daemon.SystemClock{},
		Resolve: func(id zinniasill.NodeID) (string, bool) { address, ok := replicas[id]; return address, ok },
		Listen:  "127.0.0.1:0",
		Seed:    uint64(i),
	})
	if err != nil {
		return nil, err
	}
	transport.Store(s.transport)
	life, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	s.ended = s.transport.Start(life)
	s.keeper.Start(life)
	return s, nil
}

// sendThrough lets the keeper be built before its transport.
type sendThrough struct {
	transport *atomic.Pointer[peer.Transport]
}

// Send implements daemon.Sender.
func (s sendThrough) Send(env message.Envelope) {
	s.transport.Load().Send(env)
}

func (s *standIn) stop() {
	s.cancel()
	s.awaitEnd()
}

func (s *standIn) awaitEnd() {
	if err := <-s.ended; err != nil {
		logrus.WithError(err).Warn("the links of a stand-in ended with an error")
	}
}

// fleet is a growing set of stand-ins.
type fleet struct {
	replicas members
	nodes    []*standIn
}

// startGap spreads the start, so that the renewals of the stand-ins do not come
// at the same moment.
const startGap = 2 * time.Millisecond

// grow starts stand-ins until there are n, and waits until all hold a lease.
func (f *fleet) grow(ctx context.Context, n int) error {
	for len(f.nodes) < n {
		s, err := startStandIn(ctx, len(f.nodes), f.replicas)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, s)
		time.Sleep(startGap)
	}
	return localcluster.Poll(ctx, fmt.Sprintf("%d stand-ins to hold a lease", n), func() bool {
		now := time.Now()
		for _, s := range f.nodes {
			if !s.valid(now) {
				return false
			}
		}
		return true
	})
}

// restart replaces a stand-in by a new incarnation, as a restarted process.
func (f *fleet) restart(ctx context.Context, i int) error {
	f.nodes[i].stop()
	s, err := startStandIn(ctx, i, f.replicas)
	if err != nil {
		return err
	}
	f.nodes[i] = s
	return nil
}

func (f *fleet) close() {
	for _, s := range f.nodes {
		s.cancel()
	}
	for _, s := range f.nodes {
		s.awaitEnd()
	}
}

// traffic returns the bytes sent and received by each stand-in.
func (f *fleet) traffic() (sent, received []float64) {
	for _, s := range f.nodes {
		stats := s.transport.Stats()
		sent = append(sent, float64(stats.SentBytes))
		received = append(received, float64(stats.ReceivedBytes))
	}
	return sent, received
}

// withoutLease counts the stand-ins that hold no valid lease.
func (f *fleet) withoutLease() int {
	count := 0
	now := time.Now()
	for _, s := range f.nodes {
		if !s.valid(now) {
			count++
		}
	}
	return count
}
