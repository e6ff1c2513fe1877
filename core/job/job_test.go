package job

import (
	"testing"
	"time"
)

func (w *world) check(t *testing.T) {
	t.Helper()
	for _, failure := range w.failures {
		t.Error(failure)
	}
}

// Guards against a normal path that needs more than one round trip to claim, one
// to offer and the results.
func TestNormalPath(t *testing.T) {
	cases := map[string]struct{ tasks, agents, slots int }{
		"one task":        {1, 3, 10},
		"many tasks":      {530, 30, 10},
		"more than slots": {40, 3, 4},
		"one agent":       {5, 1, 2},
		"two agents":      {5, 2, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, c.agents, c.slots, 1)
			w.submit(w.entries[0], "a", "proof", c.tasks)
			w.settleAll(2 * time.Second)
			w.check(t)
			if len(w.answers) != 1 || !w.answers[0].Complete {
				t.Fatalf("answers %+v", w.answers)
			}
			w.submit(w.entries[0], "a", "proof", c.tasks)
			w.check(t)
			if len(w.answers) != 2 || !w.answers[1].Complete {
				t.Fatalf("the answer was not kept: %+v", w.answers)
			}
			if !w.entries[0].Idle() {
				t.Fatal("not idle after the answer")
			}
			if got := w.entries[0].quotas; !got.Allows("team", 1, 1, 1) {
				t.Fatal("the quota was not released")
			}
		})
	}
}
