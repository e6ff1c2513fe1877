package dispatch

import (
	"log/slog"
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/subset"
)

// unusedRetention is the time without a message to an agent that is not in use after
// which the agent is forgotten. Agents keep sessions for less time, so that a session
// with an agent that returns later can begin with number 1 again.
const unusedRetention = 2 * executor.SessionRetention

// SetMembers replaces the membership and recomputes the subset of agents that the
// dispatcher works with. An agent that is no longer listed at all remains in use while it
// sends reports, because control may have lost contact with it.
func (d *Dispatcher) SetMembers(now time.Time, members subset.Membership) {
	d.domainsOut = members.DomainsOut
	entries := make([]zinniasill.NodeID, 0, len(members.Entries))
	for _, entry := range members.Entries {
		entries = append(entries, entry.ID)
	}
	d.locks.SetEntries(now, entries)
	chosen := members.AgentsOf(subset.Member{ID: d.cfg.Self.ID, Domain: d.cfg.Domain})
	listed := make(map[zinniasill.NodeID]bool, len(members.Agents))
	for _, member := range members.Agents {
		listed[member.ID] = true
		if a := d.agents[member.ID]; a != nil {
			a.domain = member.Domain
		} else if chosen[member.ID] {
			d.addAgent(now, member)
		}
	}
	for _, a := range d.sortedAgents {
		a.listed = listed[a.id]
		inUse := chosen[a.id] || !a.listed && a.inUse && !a.unresponsive
		if inUse && !a.inUse {
			a.inUseSince = now
		}
		a.inUse = inUse
	}
	if len(members.Agents) > 0 {
		d.overload.entriesPerAgent = int64(len(members.Entries) * len(chosen) / len(members.Agents))
	}
	// Capacity may have been lost.
	d.overload.classifiedAt = time.Time{}
	if d.firstAgentAt.IsZero() && len(d.sortedAgents) > 0 {
		d.firstAgentAt = now
	}
}

func (d *Dispatcher) addAgent(now time.Time, member subset.Member) {
	a := newAgent(member, now)
	d.agents[member.ID] = a
	at, _ := slices.BinarySearchFunc(d.sortedAgents, a, compareAgents)
	d.sortedAgents = slices.Insert(d.sortedAgents, at, a)
	d.record("agent-learned", slog.String("agent", string(member.ID)))
}

// forgetUnused removes the agents that have not been in use for unusedRetention.
func (d *Dispatcher) forgetUnused(now time.Time) {
	d.sortedAgents = slices.DeleteFunc(d.sortedAgents, func(a *agent) bool {
		unused := !a.inUse && a.idle() && now.Sub(a.lastSent) > unusedRetention
		if unused {
			delete(d.agents, a.id)
		}
		return unused
	})
}
