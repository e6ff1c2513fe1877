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

// deliverToHost does what the link does with a message for an agent that has
// stopped as planned.
func (w *world) deliverToHost(host zinniasill.Node, env message.Envelope) {
	for _, a := range w.agents {
		if a.node == host && !a.dead {
			a.real.receive(env.From, env.To, env.Body)
		}
	}
}

// spreadAll brings the agents up to date, too.
func (w *world) spreadAll() {
	w.spread()
	for _, a := range w.agents {
		a.real.lease.version = len(w.versions) - 1
	}
}

// settleUntil lets time pass until a condition holds, for 5 s at most.
func (w *world) settleUntil(t *rapid.T, what string, holds func() bool) {
	for range 500 {
		if holds() {
			return
		}
		w.settleAll(10 * time.Millisecond)
	}
	t.Fatalf("%s has not come about", what)
}

// rollAgent stops an agent as planned and starts its next incarnation.
func (w *world) rollAgent(t *rapid.T, at, to int) {
	old, host := w.agents[at], w.agents[to].node
	old.real.Leave(w.now)
	old.real.flush()
	w.settleUntil(t, "the end of the agent's work", old.real.Idle)
	if err := old.real.HandOver(w.now, host); err != nil {
		t.Fatal(err)
	}
	old.real.flush()
	w.settleUntil(t, "the handover", func() bool { return old.real.HandoverState() == agent.HandoverAccepted })
	next := newFakeAgent(zinniasill.Node{ID: old.node.ID, Incarnation: old.node.Incarnation + 1}, old.slots)
	next.started, next.send, next.now = w.started, w.post, old.now
	entry := w.versions[0].Nodes[old.node.ID]
	entry.Node = next.node
	w.change(func(cat *catalog.Catalog) {
		cat.Hosts[old.node] = catalog.HostEntry{Node: old.node, Host: host, Until: cat.CurrentEpoch()}
		cat.Nodes[entry.Node.ID] = entry
		w.newEpoch(cat)
	})
	old.dead = true
	lease := &fixedLease{valid: true, world: w}
	machine := agent.New(agent.Config{Self: next.node, Domain: entry.Domain, Lease: lease, Counters: w.counts})
	machine.SetEndpoint(w.now, entry.Slots, entry.Kinds, true)
	next.real = &realAgent{Agent: machine, world: w, lease: lease}
	w.agents[at] = next
	w.spreadAll()
}

// TestRollingRestart guards against registers and start records that are lost in a
// rolling restart of all agents: a resubmission after it would start tasks twice,
// or would get no answer.
func TestRollingRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(3, 6).Draw(t, "agents")
		tasks := rapid.IntRange(1, 8).Draw(t, "tasks")
		w := newWorld(2, agents, 2, rapid.Uint64().Draw(t, "seed"))
		w.useRealAgents(0)
		// The owner dies before, during or after the job.
		w.submit(w.entries[0], "a", "pull", tasks)
		for range rapid.IntRange(0, 60).Draw(t, "before") {
			if len(w.flight) > 0 {
				w.deliver(0)
			}
		}
		if rapid.Bool().Draw(t, "answered") {
			w.settleAll(2 * time.Second)
		}
		w.entries[0].gone = true
		w.change(func(cat *catalog.Catalog) { delete(cat.Nodes, entryNode(0).ID) })
		w.spreadAll()
		for _, at := range rapid.Permutation(indices(agents)).Draw(t, "order") {
			to := (at + rapid.IntRange(1, agents-1).Draw(t, "host")) % agents
			w.rollAgent(t, at, to)
		}
		before := len(w.answers)
		w.submit(w.entries[1], "a", "pull", tasks)
		w.settleAll(4 * time.Second)
		for _, failure := range w.failures {
			t.Error(failure)
		}
		if len(w.answers) != before+1 {
			t.Fatalf("%d answers to the resubmission", len(w.answers)-before)
		}
		if answer := w.answers[before]; !answer.Complete {
			t.Fatalf("the resubmission is answered with %+v", answer)
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
