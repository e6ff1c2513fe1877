package disk_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"zinniasill/core/consensus"
	"zinniasill/core/message"
	"zinniasill/io/daemon"
	"zinniasill/io/disk"
)

type noPeers struct{}

func (noPeers) Send(message.Envelope) {}

// node runs a replica with a folder on the daemon's loop.
type node struct {
	t       *testing.T
	replica *consensus.Replica
	folder  *disk.Folder
	applied chan string
	leads   chan struct{}
	stop    func()
}

func startNode(t *testing.T, path string) *node {
	folder, found, err := disk.Open(disk.Config{Path: path})
	if err != nil {
		t.Fatal(err)
	}
	self := consensus.Member{Name: "a", Instance: found.Instance}
	replica, err := consensus.New(consensus.Config{
		Self: self, Peers: []consensus.Member{self}, NewCluster: true, Rand: rand.New(rand.NewPCG(1, 1)),
		MinElectionTimeout: 20 * time.Millisecond, MaxElectionTimeout: 40 * time.Millisecond, HeartbeatInterval: 10 * time.Millisecond,
	}, found.Recovered)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{
		t: t, replica: replica, folder: folder,
		applied: make(chan string, 16), leads: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	loop := daemon.New(daemon.Config{
		Machine: replica, Sender: noPeers{}, Clock: daemon.SystemClock{}, AfterIteration: n.after,
	})
	done := loop.Start(ctx)
	<-n.leads
	err = loop.Do(ctx, func(now time.Time) { replica.Propose(now, 1, []byte("p")) })
	if err != nil {
		t.Fatal(err)
	}
	n.stop = func() {
		cancel()
		<-done
		folder.Close()
	}
	return n
}

func (n *node) after(time.Time) {
	for ready := n.replica.Ready(); !ready.Empty(); ready = n.replica.Ready() {
		if err := n.folder.Save(ready); err != nil {
			n.t.Error(err)
		}
		n.replica.Persisted()
		for _, entry := range ready.Committed {
			if entry.Kind == consensus.KindData {
				n.applied <- string(entry.Data)
			}
		}
		if ready.Status != nil && ready.Status.Role == consensus.Leader {
			select {
			case n.leads <- struct{}{}:
			default:
			}
		}
	}
}

// TestRestart guards against a replica that does not continue from its folder, or
// that cannot run on the daemon's loop.
func TestRestart(t *testing.T) {
	path := t.TempDir()
	for run := range 3 {
		n := startNode(t, path)
		for range run + 1 {
			<-n.applied
		}
		n.stop()
		if len(n.applied) > 0 {
			t.Fatalf("run %d: %d entries too many", run, len(n.applied))
		}
	}
}
