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

// defaultChaosChecks is the number of random runs unless the command line sets another.
const defaultChaosChecks = "2000"

func TestMain(m *testing.M) {
	checks := flag.Lookup("rapid.checks")
	if err := checks.Value.Set(defaultChaosChecks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// keyCount is the number of job keys in a run.
const keyCount = 5

// chaos is a random run of a simulation.
type chaos struct {
	*simulation
	t *rapid.T
}

func (c *chaos) draw(n int, name string) int {
	return rapid.IntRange(0, n-1).Draw(c.t, name)
}

// runOperation runs one random operation.
func (c *chaos) runOperation() {
	switch pick := c.draw(100, "operation"); {
	case pick < 42:
		c.deliverRandomly()
	case pick < 55:
		c.advance(time.Duration(1+c.draw(60, "ms")) * time.Millisecond)
	case pick < 62:
		c.advance(time.Duration(100+c.draw(500, "ms")) * time.Millisecond)
	case pick < 75:
		c.submitRandom()
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
		c.dropAnswered(c.entries[c.draw(len(c.entries), "entry")])
	case pick < 93:
		c.runOperatorAction()
	default:
		c.injectFault()
	}
}

// deliverRandomly delivers, drops, duplicates or reorders a few messages.
func (c *chaos) deliverRandomly() {
	for range 1 + c.draw(6, "messages") {
		if len(c.inFlight) == 0 {
			return
		}
		at := 0
		if c.draw(3, "order") == 0 {
			at = c.draw(len(c.inFlight), "message")
		}
		switch c.draw(12, "fate") {
		case 0:
			c.inFlight = append(c.inFlight[:at:at], c.inFlight[at+1:]...)
		case 1:
			c.deliverEnvelope(c.inFlight[at])
		default:
			c.deliver(at)
		}
	}
}

// submitRandom submits a random job to a random entry.
func (c *chaos) submitRandom() {
	entry := c.entries[c.draw(len(c.entries), "entry")]
	if entry.crashed {
		return
	}
	number := c.draw(keyCount, "key")
	profile := testProfiles[number%len(testProfiles)].Name
	c.submit(entry, fmt.Sprintf("job-%d", number), profile, 1+number)
}

// dropAnswered drops an entry's records of answered jobs. Only the registers and the
// agents then hold a record that the jobs ran.
func (s *simulation) dropAnswered(entry *simEntry) {
	entry.archived = archive.Archive{}
	maps.DeleteFunc(entry.jobs, func(_ zinniasill.Key, r *record) bool { return r.answer != nil })
}

// runOperatorAction runs one random action of an operator or of control.
func (c *chaos) runOperatorAction() {
	switch c.draw(6, "operation") {
	case 0:
		domain := zinniasill.Domain(fmt.Sprintf("domain-%d", c.draw(3, "domain")))
		state := catalog.DomainOutOfService
		if c.versions[len(c.versions)-1].Domains[domain].State == catalog.DomainOutOfService {
			state = catalog.DomainInService
		}
		c.changeCatalog(func(cat *catalog.Catalog) { cat.Domains[domain] = catalog.DomainEntry{Name: domain, State: state} })
		for i, agent := range c.agents {
			if zinniasill.Domain(fmt.Sprintf("domain-%d", i%3)) == domain {
				agent.setOutOfService(state == catalog.DomainOutOfService)
			}
		}
	case 1:
		c.changeCatalog(c.newEpoch)
	case 2:
		c.changeCatalog(c.dropOldestEpoch)
	case 3:
		c.restart(c.entries[c.draw(len(c.entries), "entry")])
	case 4:
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.Cancel(c.now, zinniasill.Key{Team: "team", Client: fmt.Sprintf("job-%d", c.draw(keyCount, "key"))})
		c.collectOutputs(entry)
	default:
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.lease.valid = !entry.lease.valid
	}
}

// dropOldestEpoch ends the retention of the oldest epoch. Each agent may apply the change
// now or later.
func (c *chaos) dropOldestEpoch(cat *catalog.Catalog) {
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

// injectFault injects one random fault.
func (c *chaos) injectFault() {
	switch c.draw(7, "fault") {
	case 0:
		agent := c.agents[c.draw(len(c.agents), "agent")]
		agent.dead = true
		c.declareDead(agent.node)
	case 1:
		// An entry that has crashed and is not yet declared dead.
		c.entries[c.draw(len(c.entries), "entry")].crashed = true
	case 2:
		// An entry that is declared dead and still has the old catalog.
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.lease.valid = false
		c.declareDead(entry.cfg.Self)
	case 3:
		agent := c.agents[c.draw(len(c.agents), "agent")]
		agent.failsTasks = !agent.failsTasks
	case 4:
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.Disconnected(c.now, c.agents[c.draw(len(c.agents), "agent")].node.ID)
		c.collectOutputs(entry)
	case 5:
		entry := c.entries[c.draw(len(c.entries), "entry")]
		entry.partitioned = !entry.partitioned
	default:
		c.inFlight = c.inFlight[len(c.inFlight)/2:]
	}
}

// declareDead removes a node from the catalog, in some runs together with a new epoch.
func (c *chaos) declareDead(node zinniasill.Node) {
	c.changeCatalog(func(cat *catalog.Catalog) {
		delete(cat.Nodes, node.ID)
		if c.draw(2, "epoch") == 0 {
			c.newEpoch(cat)
		}
	})
}

// runChaos runs random operations, then restores the system and lets it answer every
// request.
func runChaos(t *rapid.T, fault func(r *rules)) *simulation {
	return runChaosWith(t, fault, func(*simulation) {})
}

// runChaosWith is runChaos with a function that prepares the simulation before it runs.
func runChaosWith(t *rapid.T, fault func(r *rules), prepare func(s *simulation)) *simulation {
	limits := Limits{MaxRecordBytes: rapid.SampledFrom([]int{0, 700, 2500}).Draw(t, "records"), MaxAnswerBytes: rapid.SampledFrom([]int{0, 200}).Draw(t, "bytes")}
	agents := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "agents")
	slots := rapid.SampledFrom([]int{1, 1, 2}).Draw(t, "slots")
	s := newLimitedSimulation(3, agents, slots, rapid.Uint64().Draw(t, "seed"), limits)
	c := &chaos{simulation: s, t: t}
	within := rapid.SampledFrom([]time.Duration{900 * time.Millisecond, 3 * time.Second}).Draw(t, "within")
	for name, profile := range s.versions[0].Profiles {
		profile.AnswerWithin = within
		s.versions[0].Profiles[name] = profile
	}
	for _, entry := range s.entries {
		if fault != nil {
			fault(&entry.rules)
		}
	}
	prepare(s)
	for range 40 + c.draw(160, "operations") {
		c.runOperation()
		if len(s.failures) > 0 {
			return s
		}
	}
	s.restore()
	return s
}

// restore ends all faults and checks that every caller gets an answer.
func (s *simulation) restore() {
	s.updateEntries()
	for _, entry := range s.entries {
		s.restart(entry)
		entry.lease.valid = !entry.crashed
		entry.partitioned = false
	}
	s.updateEntries()
	s.changeCatalog(func(cat *catalog.Catalog) { cat.Domains = map[zinniasill.Domain]catalog.DomainEntry{} })
	s.updateEntries()
	for _, agent := range s.agents {
		agent.setOutOfService(false)
		agent.failsTasks = false
	}
	s.runFor(8 * time.Second)
	for _, req := range s.openRequests {
		if !req.entry.crashed {
			s.fail("%s at %s has no answer: %+v", req.key, req.entry.cfg.Self, req.entry.Status(s.now, req.key))
		}
	}
}

// TestGuaranteesUnderFaults guards against tasks that start twice, partial or mixed
// answers, false not-run answers and callers without an answer. The faults are lost,
// duplicated and reordered messages, deaths of entries and agents, and resubmissions
// through other entries.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := runChaos(t, nil)
		for _, failure := range s.failures {
			t.Error(failure)
		}
		if n := s.counters[CounterUnexpected+"/job"]; n > 0 {
			t.Errorf("%d events are not valid in the state chart", n)
		}
	})
}
