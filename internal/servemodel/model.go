// Package servemodel is a model in virtual time of the endpoints that the system
// serves, with a generator of load. It drives the real state machines of entries
// and agents, so that their decisions are measured as they run in the daemons:
//
//	result := servemodel.Run(servemodel.Config{
//		Seed: 1, Domains: 3, Agents: 10, Slots: 10, Entries: 2,
//		Delay: 500 * time.Microsecond, Picker: servemodel.BetterOfTwo,
//		Load: servemodel.Load{Utilisation: 0.8, Duration: time.Minute, JobSizes: servemodel.DefaultSizes()},
//	})
//	fmt.Println(result.Ratio(0.99))
//
// The control replicas are replaced by a catalog that reaches each node within
// the renewal period.
package servemodel

import (
	"math/rand/v2"
	"strconv"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// Policy names the way in which entries choose agents.
type Policy string

// Values of Policy.
const (
	BetterOfTwo Policy = "better-of-two"
	Random      Policy = "random"
	RoundRobin  Policy = "round-robin"
)

const (
	tick         = 10 * time.Millisecond
	renewPeriod  = 500 * time.Millisecond
	localDelay   = 100 * time.Microsecond
	profileName  = "task"
	taskKind     = "any"
	drainTime    = 60 * time.Second
	callerDelay  = 500 * time.Microsecond
	deathNotice  = 3 * time.Second
	silentLink   = 1500 * time.Millisecond
	failFastTime = time.Millisecond
)

// Change takes a failure domain out of service, returns it, or stops an agent.
type Change struct {
	At     time.Duration
	Domain int
	Out    bool
	// Kill is the number of an agent that dies, from 1; 0 for a change of a domain.
	Kill int
}

// Config configures a run.
type Config struct {
	Seed    uint64
	Domains int
	// Agents are spread evenly over the domains. Slots is the number of each.
	Agents  int
	Slots   int
	Entries int
	// Delay is the one-way delay between failure domains.
	Delay  time.Duration
	Picker Policy
	Load   Load
	// AnswerWithin is the profile's limit, 30 s if 0.
	AnswerWithin time.Duration
	// DeclaredFactor is the declared run time divided by the true mean, 1 if 0.
	DeclaredFactor float64
	Changes        []Change
	// FailAll lists agents, from 1, whose endpoints fail every task at once.
	FailAll []int
}

// world is one run.
type world struct {
	cfg     Config
	random  *rand.Rand
	line    *timeline
	catalog *catalog.Catalog
	agents  []*agentNode
	entries []*entryNode
	byID    map[zinniasill.NodeID]receiver
	jobs    []*jobRecord
	result  *Result
	// answered counts the jobs with an answer.
	answered int
}

type receiver interface {
	receive(now time.Time, env message.Envelope)
	domainOf() int
}

// jobRecord is one submitted job.
type jobRecord struct {
	arrival
	key    zinniasill.Key
	answer *message.Answer
	done   time.Duration
	starts []int
	// cancelled is set when the caller has cancelled the job.
	cancelled bool
}

// copyOfCatalog is a node's lease, which the model keeps valid.
type copyOfCatalog struct {
	current *catalog.Catalog
}

// Valid implements the lease of entries and agents.
func (c *copyOfCatalog) Valid(time.Time) bool { return true }

// Catalog implements the lease of entries and agents.
func (c *copyOfCatalog) Catalog() *catalog.Catalog { return c.current }

// Run runs the model and returns what was observed.
func Run(cfg Config) *Result {
	return newWorld(cfg).run()
}

func (w *world) run() *Result {
	cfg := w.cfg
	jobs := cfg.Load.arrivals(w.random, cfg.Agents*cfg.Slots)
	for i, drawn := range jobs {
		record := &jobRecord{arrival: drawn, starts: make([]int, len(drawn.tasks))}
		record.key = zinniasill.Key{Team: zinniasill.Team("team-" + strconv.Itoa(drawn.team)), Client: strconv.Itoa(i)}
		w.jobs = append(w.jobs, record)
		w.line.after(warmUp+drawn.at, func(time.Time) { w.submit(i) })
	}
	for _, change := range cfg.Changes {
		w.line.after(warmUp+change.At, func(time.Time) { w.change(change) })
	}
	if cfg.Load.CancelWave > 0 {
		w.line.after(warmUp+cfg.Load.CancelAt, w.cancelWave)
	}
	w.line.until(w.line.now.Add(warmUp + cfg.Load.Duration))
	for range int(drainTime / renewPeriod) {
		if w.answered == len(w.jobs) {
			break
		}
		w.line.until(w.line.now.Add(renewPeriod))
	}
	w.result.collect(w)
	return w.result
}

// warmUp lets the slow start of new agents end before the load begins.
const warmUp = 3 * time.Second

func newWorld(cfg Config) *world {
	w := &world{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		line:    newTimeline(),
		catalog: catalog.New(),
		byID:    map[zinniasill.NodeID]receiver{},
		result:  newResult(cfg.Domains),
	}
	w.fillCatalog()
	for i := range cfg.Agents {
		w.addAgent(i)
	}
	for i := range cfg.Entries {
		w.addEntry(i)
	}
	return w
}

func (w *world) fillCatalog() {
	within := w.cfg.AnswerWithin
	if within == 0 {
		within = 30 * time.Second
	}
	factor := w.cfg.DeclaredFactor
	if factor == 0 {
		factor = 1
	}
	declared := time.Duration(w.cfg.Load.meanTask() * factor * float64(time.Second))
	w.apply(catalog.Change{Profile: &catalog.Profile{
		Name: profileName, Kind: taskKind, AnswerWithin: within, ExpectedRunTime: declared,
		Repeat: catalog.RepeatResubmit, MaxTasks: message.MaxTasks,
	}})
	var members []catalog.EpochMember
	for i := range w.cfg.Agents {
		entry := w.agentEntry(i)
		w.apply(catalog.Change{Node: &entry})
		members = append(members, catalog.EpochMember{Node: entry.Node, Domain: entry.Domain})
	}
	for i := range w.cfg.Entries {
		w.apply(catalog.Change{Node: &catalog.NodeEntry{
			Node: entryID(i), Role: catalog.RoleEntry, Domain: domainName(i % w.cfg.Domains), State: catalog.Serving,
		}})
	}
	w.apply(catalog.Change{Epoch: &catalog.EpochEntry{Number: 1, Members: members}})
}

func (w *world) agentEntry(i int) catalog.NodeEntry {
	return catalog.NodeEntry{
		Node: agentID(i), Role: catalog.RoleAgent, Domain: domainName(i % w.cfg.Domains),
		Slots: w.cfg.Slots, Kinds: []zinniasill.Kind{taskKind}, State: catalog.Serving,
	}
}

func (w *world) apply(change catalog.Change) {
	change.Revision = w.catalog.Revision + 1
	next := w.catalog.Clone()
	next.Apply(change)
	w.catalog = next
}

func domainName(i int) zinniasill.Domain {
	return zinniasill.Domain("domain-" + strconv.Itoa(i+1))
}

func agentID(i int) zinniasill.Node {
	// Zeros keep the ids in the order of the numbers.
	id := "agent-" + strconv.Itoa(10001+i)
	return zinniasill.Node{ID: zinniasill.NodeID(id), Incarnation: 1}
}

func entryID(i int) zinniasill.Node {
	return zinniasill.Node{ID: zinniasill.NodeID("entry-" + strconv.Itoa(i+1)), Incarnation: 1}
}

// send delivers messages after the delay between their nodes.
func (w *world) send(from receiver, out []message.Envelope) {
	if len(out) == 0 {
		return
	}
	sentTo := map[zinniasill.NodeID]bool{}
	for _, env := range out {
		to, ok := w.byID[env.To.ID]
		if !ok {
			continue
		}
		w.result.countMessage(env.Body)
		if !sentTo[env.To.ID] {
			sentTo[env.To.ID] = true
			w.result.Packets++
		}
		delay := localDelay
		if from.domainOf() != to.domainOf() {
			delay = w.cfg.Delay
		}
		w.line.after(delay, func(now time.Time) { to.receive(now, env) })
	}
}

// change applies a change of the configuration. Each node learns of it when it
// renews its lease next; an agent that dies is declared dead later.
func (w *world) change(change Change) {
	if change.Kill > 0 {
		node := w.agents[change.Kill-1]
		node.dead = true
		w.line.after(silentLink, func(now time.Time) {
			for _, entry := range w.entries {
				entry.jobs.Disconnected(now, node.id.ID)
				entry.flush(now)
			}
		})
		w.line.after(deathNotice, func(time.Time) { w.publish(catalog.Change{DeadNode: &node.id}) })
		return
	}
	state := catalog.DomainInService
	if change.Out {
		state = catalog.DomainOutOfService
		w.result.outAt[change.Domain] = w.line.now
	} else {
		delete(w.result.outAt, change.Domain)
	}
	w.publish(catalog.Change{Domain: &catalog.DomainEntry{Name: domainName(change.Domain), State: state}})
}

func (w *world) publish(change catalog.Change) {
	w.apply(change)
	current := w.catalog
	learn := func(lease *copyOfCatalog) {
		delay := time.Duration(w.random.Int64N(int64(renewPeriod)))
		w.line.after(delay, func(time.Time) {
			if lease.current.Revision < current.Revision {
				lease.current = current
			}
		})
	}
	for _, node := range w.agents {
		learn(node.lease)
	}
	for _, node := range w.entries {
		learn(node.lease)
	}
}
