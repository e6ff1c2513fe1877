package directmodel

import (
	"slices"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/message"
)

func (w *World) send(from zinniasill.NodeID, env message.Envelope) {
	if w.Cut(from, env.To.ID) {
		return
	}
	env.From.ID = from
	w.After(linkDelay, func() {
		for _, a := range w.Agents {
			if a.id == env.To.ID {
				w.toAgent(a, a.life, func() { a.Receive(w.Now, env) })
			}
		}
		for _, e := range w.Entries {
			if e.id == env.To.ID {
				w.toEntry(e, e.life, func() { e.Receive(w.Now, env) })
			}
		}
	})
}

// call carries an order to the endpoint and its answer back.
func (w *World) call(a *Agent, call executor.Call) {
	life := a.life
	e := a.Endpoint
	unanswered := e.Faults.Silent || e.Faults.Unanswered != nil && e.Faults.Unanswered(call)
	if unanswered {
		if late := e.Faults.Late; late > 0 && call.Renew == nil {
			w.After(late, func() { e.order(call) })
		}
		timeout := call.Timeout
		if e.Faults.Closes {
			timeout = callDelay
		}
		w.After(timeout, func() { w.noAnswer(a, life, call) })
		return
	}
	w.After(callDelay, func() {
		if call.Renew != nil {
			if call.Renew.Incarnation == e.Life {
				e.extend(call.Renew.Deadline)
			}
			a.holds = append(a.holds, heldCall{call: call, until: w.Now.Add(call.Renew.Wait)})
			w.answerHolds(a)
			return
		}
		result := e.order(call)
		w.After(callDelay, func() {
			w.toAgent(a, life, func() { a.Answered(w.Now, call.ID, result) })
		})
	})
}

func (w *World) noAnswer(a *Agent, life zinniasill.Incarnation, call executor.Call) {
	none := zinniasill.OrderResult{Outcome: zinniasill.OrderNoAnswer}
	w.toAgent(a, life, func() {
		if call.Renew != nil {
			a.Renewed(w.Now, call.ID, zinniasill.RenewResult{OrderResult: none})
			return
		}
		a.Answered(w.Now, call.ID, none)
	})
}

// answerHolds answers the holds whose wait is over or that have an end to report.
func (w *World) answerHolds(a *Agent) {
	life := a.life
	waiting := a.holds
	a.holds = nil
	for _, held := range waiting {
		fresh := slices.ContainsFunc(a.Endpoint.ends, func(end zinniasill.Completion) bool {
			return end.Number > held.call.Renew.Cursor
		})
		if !fresh && w.Now.Before(held.until) {
			a.holds = append(a.holds, held)
			continue
		}
		result := a.Endpoint.hold(*held.call.Renew)
		w.After(callDelay, func() {
			w.toAgent(a, life, func() { a.Renewed(w.Now, held.call.ID, result) })
		})
	}
}
