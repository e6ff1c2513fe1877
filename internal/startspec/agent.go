package startspec

import "strconv"

// agentSteps adds the steps that an agent takes by itself.
func (s *State) agentSteps(a int, add addStep) {
	name := func(what string) string { return "agent " + strconv.Itoa(a+1) + " " + what }
	add(name("crashes"), s.crashAgent(a))
	add(name("finishes the task"), s.finish(a))
	if s.cfg.Fault != StartQueued {
		return
	}
	for term := uint8(1); term <= maxTerms; term++ {
		for attempt := uint8(1); int(attempt) <= s.cfg.Attempts; attempt++ {
			if s.agents[a].queued&bit(term, attempt) != 0 {
				to := s.clone()
				to.start(a, term)
				add(name("starts a queued task"), to)
			}
		}
	}
}

func (s *State) crashAgent(a int) *State {
	if s.agentCrashes == 0 {
		return nil
	}
	to := s.clone()
	to.agentCrashes--
	to.agents[a] = agent{incarnation: s.agents[a].incarnation + 1}
	return to
}

func (s *State) finish(a int) *State {
	if s.agents[a].startedTerm == 0 || s.agents[a].finished {
		return nil
	}
	to := s.clone()
	to.agents[a].finished = true
	to.send(msg{kind: resultMsg, agent: uint8(a), incarnation: s.agents[a].incarnation})
	return to
}

// start starts the task unless this agent's record says that it has started.
func (s *State) start(a int, term uint8) {
	if s.agents[a].startedTerm != 0 {
		return
	}
	s.agents[a].startedTerm = term
	s.starts++
	s.lateStart = s.lateStart || term <= s.refusedUpTo
}

// deliver adds the steps in which a message arrives.
func (s *State) deliver(m msg, add addStep) {
	name := "deliver " + m.String()
	switch m.kind {
	case offerMsg, grantMsg, fenceMsg:
		if s.agents[m.agent].incarnation != m.incarnation && s.cfg.Fault != IgnoreIncarnation {
			return
		}
		s.deliverToAgent(m, name, add)
	default:
		for e := range entries {
			add(name+" to entry "+strconv.Itoa(e+1), s.deliverToEntry(e, m))
		}
	}
}

func (s *State) deliverToAgent(m msg, name string, add addStep) {
	switch m.kind {
	case offerMsg:
		s.deliverOffer(m, name, add)
	case grantMsg:
		record := s.agents[m.agent]
		if m.term < record.fenced || record.queued&bit(m.term, m.attempt) == 0 {
			return
		}
		to := s.clone()
		to.agents[m.agent].queued &^= bit(m.term, m.attempt)
		to.start(int(m.agent), m.term)
		to.send(reply(startedMsg, m))
		add(name, to)
	case fenceMsg:
		to := s.clone()
		record := &to.agents[m.agent]
		record.fenced = max(record.fenced, m.term)
		fenced := reply(fencedMsg, m)
		fenced.started = record.startedTerm != 0
		to.send(fenced)
		add(name, to)
	default:
		// the other kinds go to entries
	}
}

// deliverOffer adds one step for each way in which the agent may take an offer.
func (s *State) deliverOffer(m msg, name string, add addStep) {
	record := s.agents[m.agent]
	mark := bit(m.term, m.attempt)
	answer := func(what kind, how string, change func(to *State)) {
		to := s.clone()
		change(to)
		to.send(reply(what, m))
		add(name+" "+how, to)
	}
	switch {
	case record.closed&mark != 0:
		answer(closedMsg, "again", func(*State) {})
	case record.startedTerm != 0:
		answer(startedMsg, "after the start", func(*State) {})
	case m.term < record.fenced:
		answer(closedMsg, "and refuse it as superseded", func(to *State) { to.agents[m.agent].closed |= mark })
	case record.queued&mark != 0:
		answer(queuedMsg, "again", func(*State) {})
		answer(fetchMsg, "and fetch", func(*State) {})
	default:
		answer(startedMsg, "and start", func(to *State) { to.start(int(m.agent), m.term) })
		answer(queuedMsg, "and queue", func(to *State) { to.agents[m.agent].queued |= mark })
		answer(closedMsg, "and refuse", func(to *State) { to.agents[m.agent].closed |= mark })
	}
}

func reply(what kind, to msg) msg {
	return msg{kind: what, agent: to.agent, incarnation: to.incarnation, term: to.term, attempt: to.attempt}
}

// deliverToEntry returns the state after an entry took an agent's message, or nil
// when the message does not concern it.
func (s *State) deliverToEntry(e int, m msg) *State {
	owner := s.entries[e]
	if m.kind == resultMsg {
		return s.deliverResult(e, m)
	}
	if owner.phase == idle || owner.term != m.term {
		return nil
	}
	if m.kind == fencedMsg {
		return s.deliverFenced(e, m)
	}
	if owner.attempt != m.attempt || owner.agent != m.agent {
		return nil
	}
	to := s.clone()
	state := &to.entries[e]
	switch {
	case m.kind == queuedMsg && owner.phase == offered && (!owner.granted || s.cfg.Fault == ForgetGrant):
		state.phase = queued
	case m.kind == startedMsg && (owner.phase == offered || owner.phase == queued):
		state.phase = started
	case m.kind == closedMsg && owner.phase == offered:
		state.phase = unplaced
	case m.kind == fetchMsg && (owner.phase == queued || owner.phase == offered):
		state.phase = offered
		state.granted = true
		to.send(reply(grantMsg, m))
	default:
		return nil
	}
	return to
}

func (s *State) deliverFenced(e int, m msg) *State {
	owner := s.entries[e]
	if owner.phase != fencing {
		return nil
	}
	to := s.clone()
	s.earlier(owner.term, func(t uint8, a int, incarnation uint8) {
		if a == int(m.agent) && incarnation == m.incarnation {
			to.entries[e].replied |= bit(t, m.agent)
		}
	})
	if m.started {
		to.entries[e] = entry{phase: started, term: owner.term, agent: m.agent}
	}
	return to
}

func (s *State) deliverResult(e int, m msg) *State {
	owner := s.entries[e]
	if owner.phase != started || owner.agent != m.agent {
		return nil
	}
	to := s.clone()
	to.answer(e, complete)
	return to
}
