package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
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

// Guards against callers that get no answer when others of the same job leave or
// when the entry restarts.
func TestWaiters(t *testing.T) {
	t.Run("abandoned", func(t *testing.T) {
		w := newWorld(1, 3, 2, 1)
		w.submit(w.entries[0], "a", "proof", 2)
		w.submit(w.entries[0], "a", "proof", 2)
		w.entries[0].Abandon(w.now, w.open[0].id)
		w.open = w.open[1:]
		w.settleAll(time.Second)
		w.complete(t, 1)
	})
	t.Run("abandoned by all", func(t *testing.T) {
		w := newWorld(1, 3, 2, 1)
		w.submit(w.entries[0], "a", "proof", 2)
		w.entries[0].Abandon(w.now, w.open[0].id)
		w.open = nil
		w.settleAll(time.Second)
		w.submit(w.entries[0], "a", "proof", 2)
		w.complete(t, 1)
	})
	t.Run("restart", func(t *testing.T) {
		w := newWorld(1, 3, 2, 1)
		w.place("a", 2)
		w.change(func(cat *catalog.Catalog) { delete(cat.Nodes, entryNode(0).ID) })
		w.restart(w.entries[0])
		if got := w.answers[0]; got.Ran != zinniasill.RanUnknown || got.Retry != zinniasill.RetrySameKey {
			t.Fatalf("answer %+v", got)
		}
		w.answers = nil
		w.submit(w.entries[0], "a", "proof", 2)
		w.settleAll(time.Second)
		w.complete(t, 1)
	})
}

// Guards against a graceful stop that drops jobs in flight.
func TestDrain(t *testing.T) {
	w := newWorld(1, 3, 2, 1)
	w.place("a", 2)
	w.entries[0].Drain(w.now)
	w.submit(w.entries[0], "b", "proof", 2)
	w.deliverAll()
	if w.entries[0].Idle() || len(w.answers) != 1 || w.answers[0].Code != zinniasill.ReasonShuttingDown {
		t.Fatalf("answers %+v", w.answers)
	}
	w.answers = nil
	w.settleAll(time.Second)
	w.complete(t, 1)
	if !w.entries[0].Idle() {
		t.Fatal("not idle")
	}
}
