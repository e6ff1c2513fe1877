// Package subset assigns a bounded set of agents to each entry.
//
// If every entry worked with every agent, the cost of a deployment would grow with the
// product of both. Instead, each agent is used by a few entries, most of them in its own
// failure domain, chosen by rendezvous hashing. So each agent is used by equally many
// entries, no agent is left out, and a node that comes or goes changes few other pairs.
// Nothing is negotiated: all entries compute their sets from the same catalog.
//
//	members := subset.Membership{Entries: entries, Agents: agents}
//	for id := range members.AgentsOf(self) { ... }
package subset

import (
	"slices"

	"zinniasill"
	"zinniasill/core/rendezvous"
)

const (
	// targetAgents is the mean number of agents of an entry. It is large enough that the
	// free capacity of a set varies little from that of all agents, and that an entry
	// with several times the mean load still finds free capacity in it.
	targetAgents = 24
	// minEntries is the least number of entries that use an agent.
	minEntries = 3
	// remoteShare is the part of an agent's entries that are in other failure domains,
	// one in remoteShare. They keep an entry working whose own domain is full or lost.
	remoteShare = 4
)

// Member is an entry or an agent.
type Member struct {
	ID     zinniasill.NodeID
	Domain zinniasill.Domain
}

// Membership lists the nodes that the sets are computed from.
type Membership struct {
	Entries []Member
	Agents  []Member
	// DomainsOut are the failure domains that are out of service. Their agents are in
	// no set, and their entries work mainly with agents of another domain.
	DomainsOut map[zinniasill.Domain]bool
}

// candidate is an entry that may use an agent.
type candidate struct {
	id   zinniasill.NodeID
	home zinniasill.Domain
	hash uint64
}

// AgentsOf returns the agents that an entry works with. The entry need not be listed.
func (m Membership) AgentsOf(self Member) map[zinniasill.NodeID]bool {
	agents := m.agentsInService()
	entries := m.candidates(self, agents)
	own := slices.IndexFunc(entries, func(c candidate) bool { return c.id == self.ID })
	count := entriesPerAgent(len(entries), len(agents))
	local := count - (count+remoteShare-1)/remoteShare
	chosen := make(map[zinniasill.NodeID]bool)
	for _, agent := range agents {
		if count == len(entries) || uses(entries[own], agent, entries, count, local) {
			chosen[agent.ID] = true
		}
	}
	return chosen
}

// entriesPerAgent returns the number of entries that use each agent.
func entriesPerAgent(entries, agents int) int {
	if agents <= targetAgents {
		return entries
	}
	return min(max((targetAgents*entries+agents-1)/agents, minEntries), entries)
}

func (m Membership) agentsInService() []Member {
	var agents []Member
	for _, agent := range m.Agents {
		if !m.DomainsOut[agent.Domain] {
			agents = append(agents, agent)
		}
	}
	return agents
}

// candidates returns the entries with the domains that they count as local to. An entry
// of a domain without agents in service counts as local to another one.
func (m Membership) candidates(self Member, agents []Member) []candidate {
	var domains []zinniasill.Domain
	for _, agent := range agents {
		if !slices.Contains(domains, agent.Domain) {
			domains = append(domains, agent.Domain)
		}
	}
	entries := m.Entries
	if !slices.ContainsFunc(entries, func(e Member) bool { return e.ID == self.ID }) {
		entries = append(slices.Clone(entries), self)
	}
	candidates := make([]candidate, 0, len(entries))
	for _, entry := range entries {
		c := candidate{id: entry.ID, home: entry.Domain, hash: rendezvous.Hash(string(entry.ID))}
		if !slices.Contains(domains, entry.Domain) {
			c.home = substitute(c, domains)
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// substitute returns the domain that stands in for an entry's own.
func substitute(entry candidate, domains []zinniasill.Domain) zinniasill.Domain {
	var best zinniasill.Domain
	high := uint64(0)
	for _, domain := range domains {
		if score := rendezvous.Score(entry.hash, rendezvous.Hash(string(domain))); best == "" || score > high {
			best, high = domain, score
		}
	}
	return best
}

// uses reports whether an entry is among those that use an agent: the local entries with
// the highest scores, and the others with the highest scores. If there are too few of
// either, more of the other take their places.
func uses(self candidate, agent Member, entries []candidate, count, local int) bool {
	hash := rendezvous.Hash(string(agent.ID))
	score := rendezvous.Score(hash, self.hash)
	isLocal := self.home == agent.Domain
	locals, higher := 0, 0
	for _, entry := range entries {
		entryLocal := entry.home == agent.Domain
		if entryLocal {
			locals++
		}
		if entryLocal == isLocal && rendezvous.Score(hash, entry.hash) > score {
			higher++
		}
	}
	places := min(max(local, count-(len(entries)-locals)), locals)
	if !isLocal {
		places = count - places
	}
	return higher < places
}
