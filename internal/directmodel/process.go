package directmodel

import (
	"time"

	"zinniasill"
	"zinniasill/core/dispatch"
)

// KillEntry ends an entry's process. Later messages to it are lost.
func (s *Simulation) KillEntry(i int) { s.Entries[i].dead = true }

// KillAgent ends an agent's process. Later messages to it are lost.
func (s *Simulation) KillAgent(i int) { s.Agents[i].dead = true }

// Announce makes the endpoint of an agent announce itself now, as it does when its agent has
// started.
func (s *Simulation) Announce(i int) {
	a := s.Agents[i]
	s.runOnAgent(a, a.incarnation, func() { a.Announce(a.now(s), a.Endpoint.announcement()) })
}

// FreezeAgent suspends or resumes an agent's process. Events that arrive while it is
// suspended are handled after it resumes.
func (s *Simulation) FreezeAgent(i int, frozen bool) { s.Agents[i].frozen = frozen }

// SuspendAgent suspends the host of an agent for a time that its clock does not count. Its
// endpoint runs on.
func (s *Simulation) SuspendAgent(i int, length time.Duration) {
	a := s.Agents[i]
	a.frozen = true
	s.After(length, func() {
		a.frozen = false
		a.lag += length
	})
}

// FreezeEntry suspends or resumes an entry's process, as FreezeAgent does an agent's.
func (s *Simulation) FreezeEntry(i int, frozen bool) { s.Entries[i].frozen = frozen }

// SetDomainOut takes a failure domain out of service or returns it. All processes learn it
// at once.
func (s *Simulation) SetDomainOut(domain zinniasill.Domain, out bool) {
	s.members.DomainsOut = map[zinniasill.Domain]bool{domain: out}
	for _, e := range s.Entries {
		s.runOnEntry(e, e.incarnation, func() { e.SetMembers(s.Now, s.members) })
	}
	for i, a := range s.Agents {
		if s.Domain(i) == domain {
			s.runOnAgent(a, a.incarnation, func() { a.SetDomainOut(a.now(s), out) })
		}
	}
}

// Ended reports whether the incarnation of an entry that dispatcher belongs to has ended.
func (s *Simulation) Ended(entry int, dispatcher *dispatch.Dispatcher) bool {
	e := s.Entries[entry]
	return e.dead || e.Dispatcher != dispatcher
}
