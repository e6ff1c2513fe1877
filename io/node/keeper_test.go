package node

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
	"zinniasill/io/daemon"
)

// dropped is a sender that drops everything.
type dropped struct{}

// Send implements daemon.Sender.
func (dropped) Send(message.Envelope) {}

// TestDeathSeenWithRestart guards against a role that sees the empty catalog of its
// next incarnation while it still has the jobs of the dead one, and answers that
// their records are lost.
func TestDeathSeenWithRestart(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := NewLeaseRenewer(LeaseRenewerConfig{
		Entry:    catalog.NodeEntry{Node: zinniasill.Node{ID: "entry-1"}, Role: catalog.RoleEntry},
		Replicas: []zinniasill.NodeID{"control-1"}, Sender: dropped{}, Clock: daemon.SystemClock{}, Log: log,
	})
	now := time.Now()
	renewed := func(reply message.RenewReply) {
		t.Helper()
		k.Tick(now)
		for _, env := range k.Outbox() {
			if renew, ok := env.Body.(message.Renew); ok {
				reply.Sequence = renew.Sequence
			}
		}
		k.Receive(now, message.Envelope{Version: message.Version, From: zinniasill.Node{ID: "control-1", Incarnation: 1}, To: k.Node(), Cluster: "c", Body: reply})
		k.after(now)
	}
	first := k.Node()
	cat := catalog.New()
	cat.Revision = 7
	renewed(message.RenewReply{Revision: 7, Full: cat, Length: 2 * time.Second})
	if !k.Valid(now) || k.Catalog().Revision != 7 {
		t.Fatalf("lease valid %t at revision %d", k.Valid(now), k.Catalog().Revision)
	}
	now = now.Add(5 * time.Second)
	renewed(message.RenewReply{Dead: true})
	if k.Node() == first {
		t.Fatal("no new incarnation")
	}
	if k.Valid(now) || k.Catalog().Revision != 7 {
		t.Errorf("before the restart: lease valid %t, revision %d, want false, 7", k.Valid(now), k.Catalog().Revision)
	}
	if node, ok := k.TakeRestart(); !ok || node != k.Node() || k.Catalog().Revision != 0 {
		t.Errorf("restart %t as %v with revision %d", ok, node, k.Catalog().Revision)
	}
}
