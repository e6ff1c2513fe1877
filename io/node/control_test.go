package node

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill/core/consensus"
	"zinniasill/core/control"
	"zinniasill/internal/countertest"
	"zinniasill/io/daemon"
	"zinniasill/io/disk"
)

// fullStore fails all writes with disk.ErrFull while full is set.
type fullStore struct {
	store
	full bool
}

func (f *fullStore) Save(ready consensus.Ready) error {
	if f.full {
		return disk.ErrFull
	}
	return f.store.Save(ready)
}

// TestFullDisk guards against a replica that, when its disk is full, stops, sends
// messages about entries that it has not saved, or loses such entries.
func TestFullDisk(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := NewControl(ControlConfig{
		Name: "control-1", Peers: []consensus.Member{{Name: "control-1", Address: "127.0.0.1:1"}},
		DataFolder: t.TempDir(), NewCluster: true, Sender: discardSender{}, Clock: daemon.SystemClock{},
		Counters: countertest.New(), Log: log, Rand: rand.New(rand.NewPCG(1, 1)), Lease: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	limited := &fullStore{store: c.storage}
	c.storage = limited
	defer limited.Close()
	now := time.Now()
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(daemon.DefaultTick) {
			c.Tick(now)
			c.processReady(now)
			if out := c.Outbox(); limited.full && len(out) > 0 {
				t.Fatalf("sent %d messages while the disk was full", len(out))
			}
		}
	}
	advance(2 * time.Second)
	if c.Status().Role != consensus.Leader {
		t.Fatalf("role of a single replica is %s, want leader", c.Status().Role)
	}
	limited.full = true
	stored := false
	c.server.Submit(now, control.Command{
		Request: "document-1", Document: &control.PutDocument{Version: 1, Content: []byte("{}")},
	}, func(_ control.Result, err error) { stored = err == nil })
	advance(time.Second)
	if c.fault != nil || stored {
		t.Fatalf("disk full: fault %v, acknowledged %t", c.fault, stored)
	}
	limited.full = false
	advance(time.Second)
	if !stored || c.machine.Catalog().Document.Version != 1 {
		t.Errorf("disk with free space: acknowledged %t, version %d", stored, c.machine.Catalog().Document.Version)
	}
}
