package dispatch

import (
	"fmt"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/resource"
	"zinniasill/core/subset"
)

// TestHeldJob guards against a job that gets the full time for its answer again after its
// request was held at the entry's start: its answer came when its caller had given up.
func TestHeldJob(t *testing.T) {
	// slack is that of the test's job; its answer is useful for 3 x (96 ms + 400 ms).
	const slack = 436 * time.Millisecond
	tests := map[string]struct {
		held   time.Duration
		slack  time.Duration
		result Result
	}{
		"not held":         {held: 0, slack: slack},
		"held":             {held: 300 * time.Millisecond, slack: slack - 300*time.Millisecond},
		"late":             {held: 600 * time.Millisecond, slack: 0},
		"no longer useful": {held: 1450 * time.Millisecond, result: Refused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemberTest()
			m.Submit(m.now, 1, Job{
				ID: "held", Kind: "text", Attempts: 1, Stretch: 1.6, Objective: 400 * time.Millisecond,
				ArrivedAt: m.now.Add(-tt.held),
				Steps:     []Step{{Count: 1, Need: resource.Amount{MilliCPU: 1000}, Estimate: 60 * time.Millisecond}},
			})
			m.Flush(m.now)
			if replies := m.Replies(); tt.result != "" {
				if len(replies) != 1 || replies[0].Result != tt.result {
					t.Fatalf("replies %+v, want %s", replies, tt.result)
				}
				return
			}
			for _, env := range m.Outbox() {
				if assign, ok := env.Body.(message.Assign); ok && len(assign.Commands) > 0 {
					if got := assign.Commands[0].Offer.Slack; got != tt.slack {
						t.Errorf("slack %s, want %s", got, tt.slack)
					}
					return
				}
			}
			t.Error("the job is not placed")
		})
	}
}

// TestHeldTooLong guards against a job that waits for its lock although its answer is no
// longer useful: it ends with an unknown outcome when the lock is not granted in time.
func TestHeldTooLong(t *testing.T) {
	d := New(Config{Self: zinniasill.Node{ID: "entry", Incarnation: 1}})
	now := time.Unix(1000, 0)
	d.SetMembers(now, subset.Membership{
		Entries: []subset.Member{{ID: "entry"}, {ID: "other-1"}, {ID: "other-2"}}, Agents: []subset.Member{{ID: "agent"}},
	})
	for i := range 20 {
		job := warmupJob(fmt.Sprint(i))
		job.ArrivedAt = now.Add(-470 * time.Millisecond)
		d.Submit(now, RequestID(i+1), job)
	}
	d.Tick(now.Add(time.Millisecond))
	d.Flush(now.Add(time.Millisecond))
	replies := d.Replies()
	for _, reply := range replies {
		if reply.Result != Refused {
			t.Errorf("reply %+v, want a refusal", reply)
		}
	}
	if len(replies) != 20 {
		t.Errorf("%d replies, want 20", len(replies))
	}
}
