package dispatch

import (
	"testing"
	"time"

	"zinniasill/core/message"
	"zinniasill/core/resource"
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
