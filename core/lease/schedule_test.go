package lease_test

import (
	"slices"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/lease"
	"zinniasill/core/message"
)

// TestNextTick guards against ticks that come later than something is due: a renewal that
// slips to the next of a few ticks, or a late change to the next replica, lets leases lapse
// while the control replicas elect a leader.
func TestNextTick(t *testing.T) {
	type sent struct {
		at time.Duration
		to zinniasill.NodeID
	}
	tests := map[string]struct {
		answers func(id zinniasill.NodeID) bool
		want    []sent
	}{
		"answered": {
			func(zinniasill.NodeID) bool { return true },
			[]sent{{0, "control-0"}, {500 * time.Millisecond, "control-0"}, {time.Second, "control-0"}},
		},
		"first replica silent": {
			func(id zinniasill.NodeID) bool { return id != "control-0" },
			[]sent{
				{0, "control-0"},
				{lease.NoLeaseReplyTimeout, "control-1"},
				{lease.NoLeaseReplyTimeout + lease.RenewInterval, "control-1"},
			},
		},
		"all silent": {
			func(zinniasill.NodeID) bool { return false },
			[]sent{
				{0, "control-0"},
				{lease.NoLeaseReplyTimeout, "control-1"},
				{2 * lease.NoLeaseReplyTimeout, "control-0"},
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHolder()
			var got []sent
			now := start
			for ticks := 0; len(got) < len(tt.want) && ticks < 100; ticks++ {
				h.Tick(now)
				for _, env := range h.Outbox() {
					got = append(got, sent{now.Sub(start), env.To.ID})
					if tt.answers(env.To.ID) {
						h.Receive(now, reply(func(answer *message.Envelope, body *message.RenewReply) {
							answer.From, body.Sequence = env.To, env.Body.(message.Renew).Sequence
						}))
					}
				}
				next := h.NextTick(now)
				if !next.After(now) {
					t.Fatalf("the next tick is due %v after this one", next.Sub(now))
				}
				now = next
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("renewals %v, want %v", got, tt.want)
			}
		})
	}
}

// TestNextTickWithLease guards against a node with a lease that tries the next replica late
// or does not notice the end of its lease in time.
func TestNextTickWithLease(t *testing.T) {
	h := newHolder()
	h.Tick(start)
	h.Receive(start, reply(func(*message.Envelope, *message.RenewReply) {}))
	due := []time.Duration{
		lease.RenewInterval,
		lease.RenewInterval + lease.ReplyTimeout,
		lease.RenewInterval + 2*lease.ReplyTimeout,
		lease.RenewInterval + 3*lease.ReplyTimeout,
		2 * time.Second * 100 / 102, // the end of the lease
	}
	now := start
	for i, want := range due {
		now = h.NextTick(now)
		if now.Sub(start) != want {
			t.Fatalf("tick %d is due after %v, want %v", i, now.Sub(start), want)
		}
		h.Tick(now)
	}
}

// TestFirstReplyTimeout guards against an entry that holds requests while it waits for a
// replica that has not started, although another one has the configuration.
func TestFirstReplyTimeout(t *testing.T) {
	tests := map[string]struct {
		role       catalog.Role
		configured bool
		unanswered int // earlier renewals
		want       time.Duration
	}{
		"entry without a configuration":      {catalog.RoleEntry, false, 0, lease.FirstReplyTimeout},
		"entry that no replica has answered": {catalog.RoleEntry, false, 2, lease.NoLeaseReplyTimeout},
		"entry with one and without a lease": {catalog.RoleEntry, true, 0, lease.NoLeaseReplyTimeout},
		"agent without a configuration":      {catalog.RoleAgent, false, 0, lease.NoLeaseReplyTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := lease.New(lease.Config{
				Entry: catalog.NodeEntry{Node: node, Role: tt.role}, Replicas: []zinniasill.NodeID{"control-0", "control-1"},
			})
			now := start
			h.Tick(now)
			if tt.configured {
				h.Receive(now, reply(func(_ *message.Envelope, body *message.RenewReply) {
					body.Length, body.Revision, body.Full = 0, 1, catalog.New()
					body.Full.Revision = 1
				}))
				now = now.Add(lease.MinRenewInterval)
				h.Tick(now)
			}
			for range tt.unanswered {
				now = now.Add(lease.NoLeaseReplyTimeout)
				h.Tick(now)
			}
			h.Outbox()
			sentAt := now
			for now = now.Add(time.Millisecond); ; now = now.Add(time.Millisecond) {
				h.Tick(now)
				if out := h.Outbox(); len(out) > 0 {
					if out[0].To.ID != "control-1" || now.Sub(sentAt) != tt.want {
						t.Errorf("next renewal to %s after %s, want control-1 after %s", out[0].To.ID, now.Sub(sentAt), tt.want)
					}
					return
				}
			}
		})
	}
}
