package startspec

import "strconv"

type addStep func(name string, to *State)

// entrySteps adds the steps that an entry takes by itself.
func (s *State) entrySteps(e int, add addStep) {
	name := func(what string) string { return "entry " + strconv.Itoa(e+1) + " " + what }
	add(name("takes the submission"), s.submit(e))
	add(name("crashes"), s.crashEntry(e))
	add(name("finds fencing complete"), s.finishFencing(e))
	for a := range agents {
		add(name("offers to agent "+strconv.Itoa(a+1)), s.offer(e, a))
		add(name("counts agent "+strconv.Itoa(a+1)+" as missing"), s.countMissing(e, a))
	}
	add(name("moves the queued task"), s.moveQueued(e))
	add(name("gives up a task in doubt"), s.giveUpDoubt(e))
	add(name("refuses the job"), s.refuse(e))
}

// submit takes a submission at an idle entry: it claims term 1 or, after another
// owner, the next term. Whether the other owner is alive does not matter.
func (s *State) submit(e int) *State {
	if s.entries[e].phase != idle || s.submissions == 0 {
		return nil
	}
	term := uint8(1)
	for term <= maxTerms && s.registers[term].owner >= 0 {
		term++
	}
	if term > maxTerms {
		return nil
	}
	to := s.clone()
	claim := register{owner: int8(e)}
	for a := range agents {
		claim.candidates[a] = s.agents[a].incarnation
	}
	to.submissions--
	to.registers[term] = claim
	owner := entry{phase: fencing, term: term}
	if term == 1 || s.registers[term-1].tombstone || s.cfg.Fault == SkipFence {
		owner.phase = unplaced
	}
	to.entries[e] = owner
	if owner.phase == fencing {
		to.sendFences(term)
	}
	return to
}

// earlier calls visit for each candidate of the terms that a takeover must fence.
func (s *State) earlier(term uint8, visit func(t uint8, a int, incarnation uint8)) {
	for t := term - 1; t >= 1 && !s.registers[t].tombstone; t-- {
		for a := range agents {
			visit(t, a, s.registers[t].candidates[a])
		}
	}
}

func (s *State) sendFences(term uint8) {
	s.earlier(term, func(_ uint8, a int, incarnation uint8) {
		s.send(msg{kind: fenceMsg, agent: uint8(a), incarnation: incarnation, term: term})
	})
}

// countMissing notes that candidates of an agent have lost their memory.
func (s *State) countMissing(e, a int) *State {
	owner := s.entries[e]
	if owner.phase != fencing {
		return nil
	}
	missing := owner.missing
	s.earlier(owner.term, func(t uint8, candidate int, incarnation uint8) {
		if candidate == a && incarnation != s.agents[a].incarnation {
			missing |= bit(t, uint8(a))
		}
	})
	if missing == owner.missing {
		return nil
	}
	to := s.clone()
	to.entries[e].missing = missing
	return to
}

func (s *State) finishFencing(e int) *State {
	owner := s.entries[e]
	if owner.phase != fencing {
		return nil
	}
	done := true
	s.earlier(owner.term, func(t uint8, a int, _ uint8) {
		done = done && (owner.replied|owner.missing)&bit(t, uint8(a)) != 0
	})
	if !done {
		return nil
	}
	to := s.clone()
	to.entries[e].phase = unplaced
	if owner.missing != 0 && s.cfg.Fault != MissingMeansNotRun {
		to.answer(e, unknown)
	}
	return to
}

func (s *State) offer(e, a int) *State {
	owner := s.entries[e]
	again := s.cfg.Fault == ReofferUnanswered && owner.phase == offered
	if (owner.phase != unplaced && !again) || int(owner.attempt) >= s.cfg.Attempts {
		return nil
	}
	to := s.clone()
	to.entries[e].phase = offered
	to.entries[e].agent = uint8(a)
	to.entries[e].attempt++
	to.entries[e].granted = false
	to.send(msg{
		kind: offerMsg, agent: uint8(a), incarnation: s.registers[owner.term].candidates[a],
		term: owner.term, attempt: to.entries[e].attempt,
	})
	return to
}

// moveQueued takes a queued task back without asking the agent, which cannot
// start it without a grant.
func (s *State) moveQueued(e int) *State {
	if s.entries[e].phase != queued {
		return nil
	}
	to := s.clone()
	to.entries[e].phase = unplaced
	return to
}

// giveUpDoubt answers unknown for a task that may have started on an agent whose
// memory is lost.
func (s *State) giveUpDoubt(e int) *State {
	owner := s.entries[e]
	if owner.phase != offered && owner.phase != started {
		return nil
	}
	if s.registers[owner.term].candidates[owner.agent] == s.agents[owner.agent].incarnation {
		return nil
	}
	to := s.clone()
	to.answer(e, unknown)
	return to
}

// refuse answers not-run for a task that the owner knows not to have started. It
// first closes the next term; when that is taken, the owner is superseded.
func (s *State) refuse(e int) *State {
	owner := s.entries[e]
	if owner.phase != unplaced && owner.phase != queued || owner.term >= maxTerms {
		return nil
	}
	to := s.clone()
	if s.cfg.Fault != RefuseWithoutTombstone {
		next := &to.registers[owner.term+1]
		if next.owner >= 0 {
			to.entries[e] = entry{}
			return to
		}
		*next = register{owner: int8(e), tombstone: true}
	}
	to.refusedUpTo = max(to.refusedUpTo, owner.term)
	to.falseRefusal = to.falseRefusal || s.starts > 0
	to.answer(e, notRun)
	return to
}

func (s *State) answer(e int, what answer) {
	s.answered = what
	s.entries[e] = entry{}
}

func (s *State) crashEntry(e int) *State {
	if s.entryCrashes == 0 || s.entries[e].phase == idle {
		return nil
	}
	to := s.clone()
	to.entryCrashes--
	to.entries[e] = entry{}
	return to
}

// ownerOf returns the entry that acts as owner of a term, or -1.
func (s *State) ownerOf(term uint8) int {
	for e := range entries {
		if s.entries[e].phase != idle && s.entries[e].term == term {
			return e
		}
	}
	return -1
}
