package job

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/archive"
	"zinniasill/core/catalog"
)

// chaosChecks is the number of random runs unless the command line sets another.
const chaosChecks = "2000"

func TestMain(m *testing.M) {
	checks := flag.Lookup("rapid.checks")
	if err := checks.Value.Set(chaosChecks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// jobs is the number of keys in a run.
const jobs = 5

// chaos is a random run of a world.
type chaos struct {
	*world
	t *rapid.T
}

func (c *chaos) draw(n int, name string) int {
	return rapid.IntRange(0, n-1).Draw(c.t, name)
}

// step does one random thing.
func (c *chaos) step() {
	switch pick := c.draw(100, "step"); {
	case pick < 42:
		c.network()
	case pick < 55:
		c.advance(time.Duration(1+c.draw(60, "ms")) * time.Millisecond)
	case pick < 62:
		c.advance(time.Duration(100+c.draw(500, "ms")) * time.Millisecond)
	case pick < 75:
		c.submitSome()
	case pick < 85:
		c.agents[c.draw(len(c.agents), "agent")].finish()
	case pick < 86:
		agent := c.agents[c.draw(len(c.agents), "agent")]
		if agent.real != nil && !agent.dead {
			agent.real.lease.version = len(c.versions) - 1
			agent.real.tick()
		}
	case pick < 88:
		c.entries[c.draw(len(c.entries), "entry")].lease.version = len(c.versions) - 1
	case pick < 89:
		c.forget(c.entries[c.draw(len(c.entries), "entry")])
	case pick < 93:
		c.operate()
	default:
		c.disturb()
	}
}

// network delivers, loses, repeats or reorders a message.
func (c *chaos) network() {
	for range 1 + c.draw(6, "messages") {
		if len(c.flight) == 0 {
			return
		}
		at := 0
		if c.draw(3, "order") == 0 {
			at = c.draw(len(c.flight), "message")
		}
		switch c.draw(12, "fate") {
		case 0:
			c.flight = append(c.flight[:at:at], c.flight[at+1:]...)
		case 1:
			c.handOver(c.flight[at])
		default:
			c.deliver(at)
		}
	}
}

func (c *chaos) submitSome() {
	entry := c.entries[c.draw(len(c.entries), "entry")]
	if entry.gone {
		return
	}
	number := c.draw(jobs, "key")
	profile := testProfiles[number%len(testProfiles)].Name
	c.submit(entry, fmt.Sprintf("job-%d", number), profile, 1+number)
}

// forget drops what an entry keeps of its answered jobs. Only the registers show
// then that they ran.
func (w *world) forget(entry *worldEntry) {
	entry.ended = archive.Archive{}
	maps.DeleteFunc(entry.jobs, func(_ zinniasill.Key, r *record) bool { return r.answer != nil })
}

// operate does what operators and control do.
func (c *chaos) operate() {
	switch c.draw(6, "operation") {
	case 0:
		domain := zinniasill.Domain(fmt.Sprintf("domain-%d", c.draw(3, "domain")))
		state := catalog.DomainOutOfService
		if c.versions[len(c.versions)-1].Domains[domain].State == catalog.DomainOutOfService {
			state = catalog.DomainInService
		}
		c.change(func(cat *catalog.Catalog) { cat.Domains[domain] = catalog.DomainEntry{Name: domain, State: state} })
		for i, agent := range c.agents {
			if zinniasill.Domain(fmt.Sprintf("domain-%d", i%3)) == domain {
				agent.takeOut(state == catalog.DomainOutOfService)
			}
		}
	case 1:
		c.change(c.newEpoch)
	case 2:
		c.change(c.dropEpoch)
	case 3:
		c.restart(c.entries[c.draw(len(c.entries), "entry")])
	case 4:
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.Cancel(c.now, zinniasill.Key{Team: "team", Client: fmt.Sprintf("job-%d", c.draw(jobs, "key"))})
		c.collect(entry)
	default:
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.lease.valid = !entry.lease.valid
	}
}

// dropEpoch ends the retention of the oldest epoch. The agents learn of it at
// different times.
func (c *chaos) dropEpoch(cat *catalog.Catalog) {
	if len(cat.Epochs) < 3 {
		return
	}
	cat.Epochs = cat.Epochs[1:]
	for _, agent := range c.agents {
		if c.draw(2, "drops") == 0 {
			agent.acceptor.SetOldestEpoch(cat.Epochs[0].Number)
		}
	}
}

// disturb makes something fail.
func (c *chaos) disturb() {
	switch c.draw(7, "fault") {
	case 0:
		agent := c.agents[c.draw(len(c.agents), "agent")]
		agent.dead = true
		c.declareDead(agent.node)
	case 1:
		// A process that is gone and not yet declared dead.
		c.entries[c.draw(len(c.entries), "entry")].gone = true
	case 2:
		// An entry that is declared dead and does not know it.
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.lease.valid = false
		c.declareDead(entry.cfg.Self)
	case 3:
		agent := c.agents[c.draw(len(c.agents), "agent")]
		agent.fails = !agent.fails
	case 4:
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.Disconnected(c.now, c.agents[c.draw(len(c.agents), "agent")].node.ID)
		c.collect(entry)
	case 5:
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.cut = !entry.cut
	default:
		c.flight = c.flight[len(c.flight)/2:]
	}
}

func (c *chaos) declareDead(node zinniasill.Node) {
	c.change(func(cat *catalog.Catalog) {
		delete(cat.Nodes, node.ID)
		if c.draw(2, "epoch") == 0 {
			c.newEpoch(cat)
		}
	})
}

// runChaos runs random steps and then lets a healthy network settle everything.
func runChaos(t *rapid.T, fault func(r *rules)) *world {
	return runChaosWith(t, fault, func(*world) {})
}

func runChaosWith(t *rapid.T, fault func(r *rules), prepare func(w *world)) *world {
	limits := Limits{MaxRecordBytes: rapid.SampledFrom([]int{0, 700, 2500}).Draw(t, "records"), MaxAnswerBytes: rapid.SampledFrom([]int{0, 200}).Draw(t, "bytes")}
	agents := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "agents")
	slots := rapid.SampledFrom([]int{1, 1, 2}).Draw(t, "slots")
	w := newLimitedWorld(3, agents, slots, rapid.Uint64().Draw(t, "seed"), limits)
	c := &chaos{world: w, t: t}
	within := rapid.SampledFrom([]time.Duration{900 * time.Millisecond, 3 * time.Second}).Draw(t, "within")
	for name, profile := range w.versions[0].Profiles {
		profile.AnswerWithin = within
		w.versions[0].Profiles[name] = profile
	}
	for _, entry := range w.entries {
		if fault != nil {
			fault(&entry.rules)
		}
	}
	prepare(w)
	for range 40 + c.draw(160, "steps") {
		c.step()
		if len(w.failures) > 0 {
			return w
		}
	}
	w.heal()
	return w
}

// heal ends all disturbances, and checks that every caller gets an answer.
func (w *world) heal() {
	w.spread()
	for _, entry := range w.entries {
		w.restart(entry)
		entry.lease.valid = !entry.gone
		entry.cut = false
	}
	w.spread()
	w.change(func(cat *catalog.Catalog) { cat.Domains = map[zinniasill.Domain]catalog.DomainEntry{} })
	w.spread()
	for _, agent := range w.agents {
		agent.takeOut(false)
		agent.fails = false
	}
	w.settleAll(8 * time.Second)
	for _, req := range w.open {
		if !req.entry.gone {
			w.fail("%s at %s has no answer: %+v", req.key, req.entry.cfg.Self, req.entry.Status(w.now, req.key))
		}
	}
}

// Guards against double starts, partial or mixed answers, untrue refusals and
// callers without an answer, under loss, repetition and reordering of messages,
// deaths of entries and agents, and resubmissions through other entries.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := runChaos(t, nil)
		for _, failure := range w.failures {
			t.Error(failure)
		}
		if n := w.counts[CounterUnexpected+"/job"]; n > 0 {
			t.Errorf("%d events that the state chart does not have", n)
		}
	})
}
