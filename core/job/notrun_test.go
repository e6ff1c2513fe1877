package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// nextOffer delivers messages until one is an offer, which it takes from the
// network. It returns false when there is none.
func (w *world) nextOffer() (message.Envelope, bool) {
	for len(w.flight) > 0 {
		if env := w.flight[0]; isOffer(env) {
			w.flight = w.flight[1:]
			return env, true
		}
		w.deliver(0)
	}
	return message.Envelope{}, false
}

func isOffer(env message.Envelope) bool {
	_, ok := env.Body.(message.Offer)
	return ok
}

// TestLateNotRunOutcome guards against a repeated report that an agent did not run
// a task, which closes the attempt of another agent and starts the task twice.
func TestLateNotRunOutcome(t *testing.T) {
	w := newWorld(1, 3, 2, 1)
	w.submit(w.entries[0], "a", "proof", 1)
	first, ok := w.nextOffer()
	if !ok {
		t.Fatal("no offer")
	}
	offer := first.Body.(message.Offer)
	report := message.Envelope{From: first.To, To: first.From, Body: message.Result{
		Key: offer.Key, Term: offer.Term, Tasks: []message.TaskStatus{{
			Ref: offer.Tasks[0].Ref, State: message.TaskFinished,
			Outcome: &zinniasill.Outcome{Error: "may not start", Ran: zinniasill.NotRun},
		}},
	}}
	w.handOver(report)
	second, ok := w.nextOffer()
	for waited := 0; !ok && waited < 100; waited++ {
		w.advance(10 * time.Millisecond)
		second, ok = w.nextOffer()
	}
	if !ok || second.To == first.To {
		t.Fatalf("the task was not offered to another agent: %+v", second)
	}
	w.handOver(second)
	w.flight = nil // the answer of the second agent is lost
	w.handOver(report)
	for range 100 {
		w.advance(10 * time.Millisecond)
		if again, ok := w.nextOffer(); ok && again.To != second.To {
			t.Fatalf("offered to %s while %s may run it", again.To, second.To)
		}
	}
	w.settleAll(2 * time.Second)
	w.complete(t, 1)
}
