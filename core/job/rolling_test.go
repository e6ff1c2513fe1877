package job

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// deliverToHost delivers a message for an agent that has stopped as planned to the host of
// its records, as the link does.
func (s *simulation) deliverToHost(host zinniasill.Node, env message.Envelope) {
	for _, a := range s.agents {
		if a.node == host && !a.dead {
			a.real.receive(env.From, env.To, env.Body)
		}
	}
}

// updateProcesses gives the latest catalog to all entries and agents.
func (s *simulation) updateProcesses() {
	s.updateEntries()
	for _, a := range s.agents {
		a.real.lease.version = len(s.versions) - 1
	}
}

// runUntil runs the simulation until a condition holds, for 5 s at most.
func (s *simulation) runUntil(t *rapid.T, what string, holds func() bool) {
	for range 500 {
		if holds() {
			return
		}
		s.runFor(10 * time.Millisecond)
	}
	t.Fatalf("%s not reached within 5 s", what)
}

// rollAgent stops an agent as planned and starts its next incarnation.
func (s *simulation) rollAgent(t *rapid.T, at, to int) {
	old, host := s.agents[at], s.agents[to].node
	old.real.Leave(s.now)
	old.real.flush()
	s.runUntil(t, "the end of the agent's work", old.real.Idle)
	if err := old.real.HandOver(s.now, host); err != nil {
		t.Fatal(err)
	}
	old.real.flush()
	s.runUntil(t, "the handover", func() bool { return old.real.HandoverState() == agent.HandoverAccepted })
	next := newFakeAgent(zinniasill.Node{ID: old.node.ID, Incarnation: old.node.Incarnation + 1}, old.slots)
	next.recordStart, next.send, next.now = s.recordStart, s.enqueue, old.now
	entry := s.versions[0].Nodes[old.node.ID]
	entry.Node = next.node
	s.changeCatalog(func(cat *catalog.Catalog) {
		cat.Hosts[old.node] = catalog.HostEntry{Node: old.node, Host: host, Until: cat.CurrentEpoch()}
		cat.Nodes[entry.Node.ID] = entry
		s.newEpoch(cat)
	})
	old.dead = true
	lease := &fixedLease{valid: true, simulation: s}
	machine := agent.New(agent.Config{Self: next.node, Domain: entry.Domain, Lease: lease, Counters: s.counters})
	machine.SetEndpoint(s.now, entry.Slots, entry.Kinds, true)
	next.real = &realAgent{Agent: machine, simulation: s, lease: lease}
	s.agents[at] = next
	s.updateProcesses()
}

// TestRollingRestart guards against registers and start records that are lost in a rolling
// restart of all agents. A resubmission after it would then start tasks twice or get no
// answer.
func TestRollingRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(3, 6).Draw(t, "agents")
		tasks := rapid.IntRange(1, 8).Draw(t, "tasks")
		s := newSimulation(2, agents, 2, rapid.Uint64().Draw(t, "seed"))
		s.useRealAgents(0)
		// The owner crashes before, during or after the job.
		s.submit(s.entries[0], "a", "pull", tasks)
		for range rapid.IntRange(0, 60).Draw(t, "before") {
			if len(s.inFlight) > 0 {
				s.deliver(0)
			}
		}
		if rapid.Bool().Draw(t, "answered") {
			s.runFor(2 * time.Second)
		}
		s.entries[0].crashed = true
		s.changeCatalog(func(cat *catalog.Catalog) { delete(cat.Nodes, entryNode(0).ID) })
		s.updateProcesses()
		for _, at := range rapid.Permutation(indices(agents)).Draw(t, "order") {
			to := (at + rapid.IntRange(1, agents-1).Draw(t, "host")) % agents
			s.rollAgent(t, at, to)
		}
		before := len(s.answers)
		s.submit(s.entries[1], "a", "pull", tasks)
		s.runFor(4 * time.Second)
		for _, failure := range s.failures {
			t.Error(failure)
		}
		if len(s.answers) != before+1 {
			t.Fatalf("%d answers to the resubmission", len(s.answers)-before)
		}
		if answer := s.answers[before]; !answer.Complete {
			t.Fatalf("the answer to the resubmission is %+v", answer)
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
