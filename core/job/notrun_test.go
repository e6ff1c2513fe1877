package job

import (
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/message"
)

// nextOffer delivers messages until the next one is an offer, which it removes from the
// network and returns. It returns false when there is none.
func (s *simulation) nextOffer() (message.Envelope, bool) {
	for len(s.inFlight) > 0 {
		if env := s.inFlight[0]; isOffer(env) {
			s.inFlight = s.inFlight[1:]
			return env, true
		}
		s.deliver(0)
	}
	return message.Envelope{}, false
}

func isOffer(env message.Envelope) bool {
	_, ok := env.Body.(message.Offer)
	return ok
}

// TestLateNotRunOutcome guards against a task that starts twice: an agent reports that it
// did not run the task, the task is offered to another agent, and a duplicate of the
// report closes the attempt of that agent.
func TestLateNotRunOutcome(t *testing.T) {
	s := newSimulation(1, 3, 2, 1)
	s.submit(s.entries[0], "a", "proof", 1)
	first, ok := s.nextOffer()
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
	s.deliverEnvelope(report)
	second, ok := s.nextOffer()
	for waited := 0; !ok && waited < 100; waited++ {
		s.advance(10 * time.Millisecond)
		second, ok = s.nextOffer()
	}
	if !ok || second.To == first.To {
		t.Fatalf("the task was not offered to another agent: %+v", second)
	}
	s.deliverEnvelope(second)
	s.inFlight = nil // the reply of the second agent is lost
	s.deliverEnvelope(report)
	for range 100 {
		s.advance(10 * time.Millisecond)
		if repeated, ok := s.nextOffer(); ok && repeated.To != second.To {
			t.Fatalf("offered to %s while %s may run it", repeated.To, second.To)
		}
	}
	s.runFor(2 * time.Second)
	s.requireComplete(t, 1)
}
