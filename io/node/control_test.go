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

// fullStore refuses writes while full is set.
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

// TestFullDisk guards against a replica that stops when its disk is full, that
// speaks of what it has not saved, or that forgets it.
func TestFullDisk(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := NewControl(ControlConfig{
		Name: "control-1", Peers: []consensus.Member{{Name: "control-1", Address: "127.0.0.1:1"}},
		DataFolder: t.TempDir(), NewCluster: true, Sender: dropped{}, Clock: daemon.SystemClock{},
		Counters: countertest.New(), Log: log, Rand: rand.New(rand.NewPCG(1, 1)), Lease: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	limited := &fullStore{store: c.folder}
	c.folder = limited
	defer limited.Close()
	now := time.Now()
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(daemon.DefaultTick) {
			c.Tick(now)
			c.process(now)
			if out := c.Outbox(); limited.full && len(out) > 0 {
				t.Fatalf("sent %d messages while the disk was full", len(out))
			}
		}
	}
	pass(2 * time.Second)
	if c.Status().Role != consensus.Leader {
		t.Fatalf("a single replica is %s", c.Status().Role)
	}
	limited.full = true
	stored := false
	c.server.Submit(now, control.Command{
		Request: "document-1", Document: &control.PutDocument{Version: 1, Content: []byte("{}")},
	}, func(_ control.Result, err error) { stored = err == nil })
	pass(time.Second)
	if c.fault != nil || stored {
		t.Fatalf("disk full: fault %v, acknowledged %t", c.fault, stored)
	}
	limited.full = false
	pass(time.Second)
	if !stored || c.machine.Catalog().Document.Version != 1 {
		t.Errorf("disk with room: acknowledged %t, version %d", stored, c.machine.Catalog().Document.Version)
	}
}
