package lease_test

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/lease"
	"zinniasill/core/message"
)

var (
	start = time.Unix(1_000, 0)
	node  = zinniasill.Node{ID: "agent-1", Incarnation: 7}
)

func newHolder() *lease.Holder {
	return lease.New(lease.Config{
		Entry:    catalog.NodeEntry{Node: node, Role: catalog.RoleAgent, State: catalog.Serving},
		Replicas: []zinniasill.NodeID{"control-0", "control-1"},
	})
}

// reply answers a renewal that was sent to control-0.
func reply(edit func(env *message.Envelope, body *message.RenewReply)) message.Envelope {
	env := message.Envelope{Version: message.Version, Cluster: "c1", From: zinniasill.Node{ID: "control-0", Incarnation: 1}, To: node}
	body := message.RenewReply{Sequence: 1, Length: 2 * time.Second}
	edit(&env, &body)
	env.Body = body
	return env
}

// TestReceive guards against a lease from a reply that vouches for nothing: of
// another cluster, process, renewal or incarnation, or with missing changes.
func TestReceive(t *testing.T) {
	domain := &catalog.DomainEntry{Name: "zone-a", State: catalog.DomainOutOfService}
	tests := map[string]struct {
		edit func(env *message.Envelope, body *message.RenewReply)
		want bool
	}{
		"accepted":            {func(*message.Envelope, *message.RenewReply) {}, true},
		"unknown sequence":    {func(_ *message.Envelope, r *message.RenewReply) { r.Sequence = 2 }, false},
		"foreign cluster":     {func(e *message.Envelope, _ *message.RenewReply) { e.Cluster = "c2" }, false},
		"no cluster":          {func(e *message.Envelope, _ *message.RenewReply) { e.Cluster = "" }, false},
		"no replica":          {func(e *message.Envelope, _ *message.RenewReply) { e.From.ID = "agent-2" }, false},
		"another incarnation": {func(e *message.Envelope, _ *message.RenewReply) { e.To.Incarnation = 6 }, false},
		"another version":     {func(e *message.Envelope, _ *message.RenewReply) { e.Version++ }, false},
		"missing changes":     {func(_ *message.Envelope, r *message.RenewReply) { r.Revision = 2 }, false},
		"gap in changes": {func(_ *message.Envelope, r *message.RenewReply) {
			r.Revision, r.Changes = 2, []catalog.Change{{Revision: 2, Domain: domain}}
		}, false},
		"incomplete catalog": {func(_ *message.Envelope, r *message.RenewReply) {
			r.Revision, r.Full = 1, &catalog.Catalog{Revision: 1}
		}, false},
		"with changes": {func(_ *message.Envelope, r *message.RenewReply) {
			r.Revision, r.Changes = 1, []catalog.Change{{Revision: 1, Domain: domain}}
		}, true},
		"dead": {func(_ *message.Envelope, r *message.RenewReply) { r.Dead = true }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := lease.New(lease.Config{
				Entry: catalog.NodeEntry{Node: node}, Replicas: []zinniasill.NodeID{"control-0"}, Cluster: "c1",
			})
			h.Tick(start)
			h.Receive(start, reply(tt.edit))
			if got := h.Valid(start); got != tt.want {
				t.Errorf("valid %t, want %t", got, tt.want)
			}
		})
	}
}

// TestLeaseLength guards against a lease that runs from the arrival of its reply,
// or that leaves out the allowance for clock rates.
func TestLeaseLength(t *testing.T) {
	h := newHolder()
	h.Tick(start)
	h.Receive(start.Add(time.Second), reply(func(*message.Envelope, *message.RenewReply) {}))
	end := start.Add(2 * time.Second * 100 / 102)
	if !h.Valid(end.Add(-1)) || h.Valid(end) {
		t.Error("the lease does not end 2 s / 1.02 after the renewal was sent")
	}
}

// TestClusterIsLearnedOnce guards against a node that follows two clusters.
func TestClusterIsLearnedOnce(t *testing.T) {
	h := newHolder()
	h.Tick(start)
	h.Receive(start, reply(func(*message.Envelope, *message.RenewReply) {}))
	h.Receive(start, reply(func(e *message.Envelope, r *message.RenewReply) {
		e.Cluster = "c2"
		r.Dead = true
	}))
	if h.Cluster() != "c1" || h.Dead() {
		t.Errorf("cluster %q, dead %t", h.Cluster(), h.Dead())
	}
}

// TestCatalogNeverGoesBack guards against an accepted change that is undone at a
// node by a late reply.
func TestCatalogNeverGoesBack(t *testing.T) {
	h := newHolder()
	h.Tick(start)
	full := func(revision zinniasill.Revision) message.Envelope {
		return reply(func(_ *message.Envelope, r *message.RenewReply) {
			r.Revision, r.Full = revision, catalog.New()
			r.Full.Revision = revision
		})
	}
	h.Receive(start, full(5))
	h.Receive(start, full(4))
	if got := h.Catalog().Revision; got != 5 {
		t.Errorf("revision %d, want 5", got)
	}
}

// TestNextReplica guards against a node that stays with a silent replica, also
// while its entry changes all the time.
func TestNextReplica(t *testing.T) {
	for name, update := range map[string]bool{"quiet": false, "with updates": true} {
		t.Run(name, func(t *testing.T) {
			h := newHolder()
			asked := map[zinniasill.NodeID]bool{}
			for i := range 45 {
				if update {
					h.Update(func(entry *catalog.NodeEntry) { entry.Slots = i + 1 })
				}
				h.Tick(start.Add(time.Duration(i) * 10 * time.Millisecond))
				for _, env := range h.Outbox() {
					asked[env.To.ID] = true
				}
			}
			if !asked["control-1"] {
				t.Error("the second replica is not asked within 450 ms")
			}
		})
	}
}

// TestUpdate guards against a change of state that waits for the next period, and
// against a change of the node's identity.
func TestUpdate(t *testing.T) {
	h := newHolder()
	h.Tick(start)
	h.Outbox()
	h.Update(func(entry *catalog.NodeEntry) {
		entry.State = catalog.Leaving
		entry.Node.Incarnation++
	})
	h.Tick(start.Add(lease.MinRenewInterval))
	out := h.Outbox()
	if len(out) != 1 {
		t.Fatalf("%d renewals, want 1", len(out))
	}
	entry := out[0].Body.(message.Renew).Entry
	if entry.State != catalog.Leaving || entry.Node != node {
		t.Errorf("renewed as %+v", entry)
	}
}

// TestRenewSoon guards against a node that knows its catalog to be behind and still
// waits for the renewal period, and against renewals without a gap.
func TestRenewSoon(t *testing.T) {
	h := newHolder()
	h.Tick(start)
	h.Receive(start, reply(func(*message.Envelope, *message.RenewReply) {}))
	h.Outbox()
	h.RenewSoon()
	h.Tick(start.Add(lease.MinRenewInterval / 2))
	if out := h.Outbox(); len(out) != 0 {
		t.Errorf("%d renewals before the gap", len(out))
	}
	h.Tick(start.Add(lease.MinRenewInterval))
	h.Tick(start.Add(lease.MinRenewInterval * 2))
	if out := h.Outbox(); len(out) != 1 {
		t.Errorf("%d renewals, want 1", len(out))
	}
}
