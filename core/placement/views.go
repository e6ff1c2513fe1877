// Package placement keeps an entry's view of the agents and chooses agents for
// tasks.
//
//	views := placement.New(placement.Config{Picker: &placement.BetterOfTwo{Rand: random}})
//	views.Update(now, lease.Catalog())
//	views.Report(now, node, reply.Load)
//	agent, ok := views.Pick(now, placement.Request{Profile: profile, RunTime: expected})
//	views.Offered(agent.Node, 1, expected)
//
// Views is not safe for concurrent use.
package placement

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// totalsAge is how long the totals of a profile are reused. Adding up 1,400
// agents for each job would cost more than the rest of its admission.
const totalsAge = 5 * time.Millisecond

const (
	// silentAfter is the time without an answer to an offer after which an agent gets
	// no further ones. Agents keep replies back for up to 150 ms. Control takes 3 s to
	// declare an agent dead, and every task offered until then is unknown.
	silentAfter = 300 * time.Millisecond
	// silentRetry is the time between offers to a silent agent, in which control would
	// declare a dead one dead. Without them an agent whose answers were lost with jobs
	// that have ended would be passed over for good.
	silentRetry = 3 * time.Second
)

// Config configures Views.
type Config struct {
	Picker zinniasill.Picker
}

// Request asks for an agent for one task.
type Request struct {
	Profile catalog.Profile
	// Exclude, if set, reports agents that must not be chosen.
	Exclude func(node zinniasill.Node) bool
	// Allowed, if not nil, restricts the choice to these agents.
	Allowed []zinniasill.Node
}

// Totals are the sums over the agents that are eligible for a profile.
type Totals struct {
	Agents int
	Slots  int
	// Free is the number of slots not in use.
	Free int
	// Backlog is the work that has to be done before a new task starts.
	Backlog time.Duration
}

// Views is an entry's knowledge of all agents. Use New.
type Views struct {
	cfg      Config
	revision zinniasill.Revision
	catalog  *catalog.Catalog
	agents   map[zinniasill.NodeID]*agent
	groups   map[zinniasill.ProfileName]*group
}

// agent is the view of one agent with its recent outcomes.
type agent struct {
	zinniasill.AgentView
	entry    catalog.NodeEntry
	serving  bool
	outcomes map[zinniasill.ProfileName]*record
	// probeAt is the earliest time of the next task while the agent is failing.
	probeAt time.Time
	// probing is set while the outcome of a probe is not known, and failedProbes
	// counts the probes that failed since the last success.
	probing      bool
	failedProbes int
	// offeredAt is the time of the first offer since the agent's last report, and
	// retryAt the earliest time of the next one while the agent is silent.
	offeredAt, retryAt time.Time
}

// group is the list of eligible agents of one profile at one revision.
type group struct {
	profile catalog.Profile
	agents  []*zinniasill.AgentView
	owners  []*agent
	totals  Totals
	summed  time.Time
}

// New returns views without agents.
func New(cfg Config) *Views {
	return &Views{
		cfg:    cfg,
		agents: map[zinniasill.NodeID]*agent{},
		groups: map[zinniasill.ProfileName]*group{},
	}
}

// Update takes over a catalog. It costs nothing while the revision is the same.
func (v *Views) Update(now time.Time, cat *catalog.Catalog) {
	if v.catalog != nil && v.revision == cat.Revision {
		v.catalog = cat
		return
	}
	first := v.catalog == nil
	v.catalog = cat
	v.revision = cat.Revision
	for id := range v.agents {
		if entry, ok := cat.Nodes[id]; !ok || entry.Node != v.agents[id].Node {
			delete(v.agents, id)
		}
	}
	for id, entry := range cat.Nodes {
		if entry.Role == catalog.RoleAgent {
			v.updateAgent(now, id, entry, first)
		}
	}
	for _, g := range v.groups {
		g.owners = nil
	}
}

func (v *Views) updateAgent(now time.Time, id zinniasill.NodeID, entry catalog.NodeEntry, first bool) {
	a := v.agents[id]
	if a == nil {
		a = &agent{outcomes: map[zinniasill.ProfileName]*record{}}
		a.Node = entry.Node
		v.agents[id] = a
	}
	serving := v.catalog.Serving(entry)
	// The agents known from the start need no slow start: an entry that has just
	// started would otherwise refuse work that the agents have room for.
	if serving && !a.serving && !first {
		a.Joined = now
	}
	a.entry = entry
	a.serving = serving
	a.Slots = entry.Slots
	a.Domain = entry.Domain
}

// Report takes over an agent's load report.
func (v *Views) Report(now time.Time, node zinniasill.Node, load message.Load) {
	a := v.agent(node)
	if a == nil {
		return
	}
	if load.Slots > 0 {
		a.Slots = load.Slots
	}
	a.Busy = load.Busy
	a.Queued = load.Queued
	a.QueuedWork = load.QueuedWork
	a.RunningWork = load.RunningWork
	a.Reported = now
	a.offeredAt = time.Time{}
}

// AddUnanswered counts tasks that were given to an agent and that its next report can't
// be assumed to include.
func (v *Views) AddUnanswered(node zinniasill.Node, tasks int, work time.Duration) {
	a := v.agent(node)
	if a == nil {
		return
	}
	a.Unanswered += tasks
	a.UnansweredWork += work
}

// RemoveUnanswered ends the count of tasks that were counted with Offered.
func (v *Views) RemoveUnanswered(node zinniasill.Node, tasks int, work time.Duration) {
	a := v.agent(node)
	if a == nil {
		return
	}
	a.Unanswered = max(0, a.Unanswered-tasks)
	a.UnansweredWork = max(0, a.UnansweredWork-work)
}

// RecordOffer tells that a task was offered to an agent. A failing agent gets no other
// until the outcome is known. The bound keeps a lost outcome from ending the probes.
func (v *Views) RecordOffer(now time.Time, node zinniasill.Node) {
	a := v.agent(node)
	if a == nil {
		return
	}
	if a.Failing {
		a.probeAt = now.Add(probeTimeout)
		a.probing = true
	}
	if a.offeredAt.IsZero() {
		a.offeredAt = now
		a.retryAt = now.Add(silentRetry)
	} else if a.silent(now) {
		a.retryAt = now.Add(silentRetry)
	}
}

// Available reports whether an agent may be offered a task: it serves, and it is neither
// failing nor silent or is due for a probe.
func (v *Views) Available(now time.Time, node zinniasill.Node) bool {
	a := v.agent(node)
	switch {
	case a == nil || !a.serving:
		return false
	case a.silent(now) && now.Before(a.retryAt):
		return false
	default:
		return !a.Failing || !now.Before(a.probeAt)
	}
}

// silent reports whether the agent has not answered for silentAfter.
func (a *agent) silent(now time.Time) bool {
	return !a.offeredAt.IsZero() && now.Sub(a.offeredAt) >= silentAfter
}

// Pick chooses an agent for one task. It returns false when no agent is eligible
// or all of them are excluded.
func (v *Views) Pick(now time.Time, request Request) (zinniasill.Node, bool) {
	g := v.group(request.Profile)
	agents := g.agents
	if request.Allowed != nil {
		agents = v.among(g, request.Allowed)
	}
	usable := func(view *zinniasill.AgentView) bool {
		if view.Failing && view.Unanswered > 0 || !v.Available(now, view.Node) {
			return false
		}
		return request.Exclude == nil || !request.Exclude(view.Node)
	}
	at := v.cfg.Picker.Pick(now, agents, usable)
	if at < 0 {
		return zinniasill.Node{}, false
	}
	return agents[at].Node, true
}

func (v *Views) among(g *group, nodes []zinniasill.Node) []*zinniasill.AgentView {
	var agents []*zinniasill.AgentView
	for _, node := range nodes {
		if a := v.agent(node); a != nil && v.eligible(a, g.profile) {
			agents = append(agents, &a.AgentView)
		}
	}
	return agents
}

// Totals returns the sums over the agents that are eligible for a profile. They
// are up to 5 ms old.
func (v *Views) Totals(now time.Time, profile catalog.Profile) Totals {
	g := v.group(profile)
	if !g.summed.IsZero() && now.Sub(g.summed) < totalsAge {
		return g.totals
	}
	g.summed = now
	g.totals = Totals{Agents: len(g.agents)}
	for _, a := range g.agents {
		g.totals.Slots += a.Slots
		tasks, _ := inUse(now, a)
		g.totals.Free += max(0, a.Slots-tasks)
		work := a.QueuedWork + a.UnansweredWork
		if !a.Reported.IsZero() {
			work -= now.Sub(a.Reported) * time.Duration(a.Slots)
		}
		g.totals.Backlog += max(0, work)
	}
	return g.totals
}

// Domain returns the failure domain of an agent.
func (v *Views) Domain(node zinniasill.Node) zinniasill.Domain {
	if a := v.agent(node); a != nil {
		return a.Domain
	}
	return ""
}

// agent returns the view of an agent, nil when its incarnation is gone.
func (v *Views) agent(node zinniasill.Node) *agent {
	a := v.agents[node.ID]
	if a == nil || a.Node != node {
		return nil
	}
	return a
}

func (v *Views) eligible(a *agent, profile catalog.Profile) bool {
	if !a.serving || !slices.Contains(a.entry.Kinds, profile.Kind) {
		return false
	}
	return len(profile.Domains) == 0 || slices.Contains(profile.Domains, a.Domain)
}

// group returns the eligible agents of a profile, in the order of their ids so
// that a seed determines the choices.
func (v *Views) group(profile catalog.Profile) *group {
	g := v.groups[profile.Name]
	if g == nil {
		g = &group{}
		v.groups[profile.Name] = g
	}
	if g.owners != nil && g.profile.Revision == profile.Revision {
		return g
	}
	g.profile = profile
	g.owners = make([]*agent, 0, len(v.agents))
	for _, a := range v.agents {
		if v.eligible(a, profile) {
			g.owners = append(g.owners, a)
		}
	}
	slices.SortFunc(g.owners, func(a, b *agent) int {
		if a.Node.ID < b.Node.ID {
			return -1
		}
		return 1
	})
	g.agents = make([]*zinniasill.AgentView, 0, len(g.owners))
	for _, a := range g.owners {
		g.agents = append(g.agents, &a.AgentView)
	}
	g.summed = time.Time{}
	return g
}
