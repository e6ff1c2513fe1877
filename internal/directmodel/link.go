package directmodel

import (
	"slices"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/message"
)

// send delivers a message after linkDelay unless Drop drops it.
func (s *Simulation) send(from zinniasill.NodeID, env message.Envelope) {
	if s.Sent != nil {
		s.Sent(from, env)
	}
	if s.Drop(from, env.To.ID) {
		return
	}
	if s.Rewrite != nil {
		env = s.Rewrite(env)
	}
	env.From.ID = from
	s.After(linkDelay, func() {
		if a := s.agentsByID[env.To.ID]; a != nil {
			s.runOnAgent(a, a.incarnation, func() { a.Receive(a.now(s), env) })
		}
		if e := s.entriesByID[env.To.ID]; e != nil {
			s.runOnEntry(e, e.incarnation, func() { e.Receive(s.Now, env) })
		}
	})
}

// call delivers a call to the agent's endpoint and the answer back to the agent.
func (s *Simulation) call(a *Agent, call executor.Call) {
	incarnation := a.incarnation
	e := a.Endpoint
	unanswered := e.Faults.Unresponsive || e.Faults.Unanswered != nil && e.Faults.Unanswered(call)
	if unanswered {
		if e.Faults.ExecutionDelay > 0 {
			e.executeLate(call)
		}
		timeout := call.Timeout
		if e.Faults.ResetConnections {
			timeout = callDelay
		}
		s.After(timeout, func() { s.reportOutcome(a, incarnation, call, zinniasill.OrderNoAnswer) })
		return
	}
	s.After(callDelay, func() {
		if e.down {
			s.After(callDelay, func() { s.reportOutcome(a, incarnation, call, zinniasill.OrderUnreachable) })
			return
		}
		if call.Renew != nil {
			a.renewals = append(a.renewals, pendingRenewal{
				call: call, until: s.Now.Add(call.Renew.Wait), outcome: e.execute(call).Outcome, incarnation: e.Incarnation,
			})
			s.answerRenewals(a)
			return
		}
		result := e.execute(call)
		s.answer(a, call, func() {
			s.runOnAgent(a, incarnation, func() { a.Answered(a.now(s), call.ID, result) })
		})
	})
}

// answer delivers the answer of an endpoint to a call, or none if it would be later than the
// timeout of the call.
func (s *Simulation) answer(a *Agent, call executor.Call, deliver func()) {
	late := a.Endpoint.Faults.AnswerDelay
	if late <= call.Timeout {
		s.After(callDelay+late, deliver)
		return
	}
	incarnation := a.incarnation
	s.After(call.Timeout, func() { s.reportOutcome(a, incarnation, call, zinniasill.OrderNoAnswer) })
}

// reportOutcome reports to the agent that a call got no answer of the endpoint.
func (s *Simulation) reportOutcome(
	a *Agent, incarnation zinniasill.Incarnation, call executor.Call, outcome zinniasill.OrderOutcome,
) {
	none := zinniasill.OrderResult{Outcome: outcome}
	s.runOnAgent(a, incarnation, func() {
		if call.Renew != nil {
			a.Renewed(a.now(s), call.ID, zinniasill.RenewResult{OrderResult: none})
			return
		}
		a.Answered(a.now(s), call.ID, none)
	})
}

// answerRenewals answers the lease renewals whose wait is over or that have completions
// to report.
func (s *Simulation) answerRenewals(a *Agent) {
	incarnation := a.incarnation
	pending := a.renewals
	a.renewals = nil
	for _, renewal := range pending {
		if a.Endpoint.down || a.Endpoint.Incarnation != renewal.incarnation {
			s.After(callDelay, func() { s.reportOutcome(a, incarnation, renewal.call, zinniasill.OrderNoAnswer) })
			continue
		}
		unreported := slices.ContainsFunc(a.Endpoint.completions, func(c zinniasill.Completion) bool {
			return c.Number > renewal.call.Renew.Cursor
		})
		if !unreported && renewal.outcome == zinniasill.OrderAccepted && s.Now.Before(renewal.until) {
			a.renewals = append(a.renewals, renewal)
			continue
		}
		result := a.Endpoint.renewLease(renewal.outcome)
		s.answer(a, renewal.call, func() {
			s.runOnAgent(a, incarnation, func() { a.Renewed(a.now(s), renewal.call.ID, result) })
		})
	}
}
