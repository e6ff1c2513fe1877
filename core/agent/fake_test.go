package agent_test

import (
	"time"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

var (
	self  = zinniasill.Node{ID: "agent-1", Incarnation: 7}
	owner = zinniasill.Node{ID: "entry-1", Incarnation: 3}
	other = zinniasill.Node{ID: "entry-2", Incarnation: 4}
	start = time.Unix(1000, 0)
)

const (
	domain = zinniasill.Domain("a")
	kind   = zinniasill.Kind("press")
)

// lease is a lease that the test switches.
type lease struct {
	valid   bool
	catalog *catalog.Catalog
}

func (l *lease) Valid(time.Time) bool      { return l.valid }
func (l *lease) Catalog() *catalog.Catalog { return l.catalog }

func (l *lease) setDomain(state catalog.DomainState) {
	l.catalog.Domains[domain] = catalog.DomainEntry{Name: domain, State: state}
}

func newLease() *lease {
	l := &lease{valid: true, catalog: catalog.New()}
	for _, node := range []zinniasill.Node{owner, other} {
		l.catalog.Nodes[node.ID] = catalog.NodeEntry{Node: node, Role: catalog.RoleEntry}
	}
	l.catalog.Epochs = []catalog.EpochEntry{{Number: 5}}
	return l
}

// fixture is an agent with a lease that the test controls.
type fixture struct {
	agent *agent.Agent
	lease *lease
	now   time.Time
	runs  []zinniasill.Task
	out   []message.Envelope
}

func newFixture(slots int, change func(cfg *agent.Config)) *fixture {
	f := &fixture{lease: newLease(), now: start}
	cfg := agent.Config{Self: self, Domain: domain, Lease: f.lease}
	if change != nil {
		change(&cfg)
	}
	f.agent = agent.New(cfg)
	f.agent.SetEndpoint(f.now, slots, []zinniasill.Kind{kind}, true)
	return f
}

// drain does what the loop does after a step.
func (f *fixture) drain() {
	f.runs = append(f.runs, f.agent.StartPending(f.now)...)
	f.out = append(f.out, message.Split(f.agent.Outbox())...)
}

func (f *fixture) tick(after time.Duration) {
	f.now = f.now.Add(after)
	f.agent.Tick(f.now)
	f.drain()
}

func (f *fixture) finish(run zinniasill.Task, outcome zinniasill.Outcome) {
	f.agent.Finished(f.now, run, outcome)
	f.drain()
}

func key(client string) zinniasill.Key { return zinniasill.Key{Team: "team", Client: client} }

func offer(client string, term zinniasill.Term, refs ...message.TaskRef) message.Offer {
	o := message.Offer{
		Key: key(client), Term: term, Epoch: 5, Profile: "proof", Kind: kind,
		ExpectedRunTime: 100 * time.Millisecond,
	}
	for _, ref := range refs {
		o.Tasks = append(o.Tasks, message.TaskOffer{Ref: ref, Payload: []byte("p")})
	}
	return o
}

func ref(index zinniasill.TaskIndex, attempt zinniasill.Attempt) message.TaskRef {
	return message.TaskRef{Index: index, Attempt: attempt}
}
