// Package placement tracks the load and health of the agents at an entry, and chooses
// agents for tasks.
//
//	views := placement.New(placement.Config{Picker: &placement.BetterOfTwo{Rand: random}})
//	views.Update(now, lease.Catalog())
//	views.Report(now, node, reply.Load)
//	agent, ok := views.Pick(now, placement.Request{Profile: profile})
//	views.AddUnanswered(agent, 1, expected)
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

// maxTotalsAge is how long the totals of a profile are cached. Summing over 1,400
// agents for each job would cost more than the rest of its admission.
const maxTotalsAge = 5 * time.Millisecond

const (
	// unresponsiveTimeout is the time without an answer to an offer after which an agent
	// gets no further offers. Agents delay replies by up to 150 ms to batch them.
	// Control takes 3 s to declare an agent dead, and the outcome of every task that is
	// offered to a dead agent until then is unknown.
	unresponsiveTimeout = 300 * time.Millisecond
	// unresponsiveRetryInterval is the time between offers to an unresponsive agent. It
	// is as long as control takes to declare a dead agent dead. Without these offers,
	// an agent whose answers were lost with jobs that have ended would never get another.
	unresponsiveRetryInterval = 3 * time.Second
)

// Config configures Views.
type Config struct {
	Picker zinniasill.Picker
}

// Request describes the agent that is needed for one task.
type Request struct {
	Profile catalog.Profile
	// Exclude, if set, reports whether an agent must not be chosen.
	Exclude func(node zinniasill.Node) bool
	// Allowed, if not nil, lists the only agents that may be chosen.
	Allowed []zinniasill.Node
}

// Totals are the sums over the agents that are eligible for a profile.
type Totals struct {
	Agents int
	Slots  int
	// Free is the number of slots not in use.
	Free int
	// Backlog is the queued work of all agents, as the sum of expected run times.
	Backlog time.Duration
}

// Views holds the views that an entry has of all agents. Use New.
type Views struct {
	cfg       Config
	revision  zinniasill.Revision
	catalog   *catalog.Catalog
	agents    map[zinniasill.NodeID]*agent
	byProfile map[zinniasill.ProfileName]*profileAgents
}

// agent is the view of one agent with its health state.
type agent struct {
	zinniasill.AgentView
	entry    catalog.NodeEntry
	serving  bool
	outcomes map[zinniasill.ProfileName]*outcomeCounts
	// probeAt is the earliest time of the next task while the agent is failing.
	probeAt time.Time
	// probing is set while the outcome of a probe is pending, and failedProbes counts
	// the probes that failed since the last success.
	probing      bool
	failedProbes int
	// firstOfferAt is the time of the first offer since the agent's last load report,
	// and retryAt the earliest time of the next offer while the agent is unresponsive.
	firstOfferAt, retryAt time.Time
}

// profileAgents lists the agents that are eligible for one revision of a profile.
type profileAgents struct {
	profile catalog.Profile
	agents  []*zinniasill.AgentView
	// members are the agents of which agents holds the views, nil after a new catalog.
	members  []*agent
	totals   Totals
	totalsAt time.Time
}

// New returns views without agents.
func New(cfg Config) *Views {
	return &Views{
		cfg:       cfg,
		agents:    map[zinniasill.NodeID]*agent{},
		byProfile: map[zinniasill.ProfileName]*profileAgents{},
	}
}

// Update applies a catalog. It returns at once if the revision has not changed.
func (v *Views) Update(now time.Time, cat *catalog.Catalog) {
	if v.catalog != nil && v.revision == cat.Revision {
		v.catalog = cat
		return
	}
	initial := v.catalog == nil
	v.catalog = cat
	v.revision = cat.Revision
	for id := range v.agents {
		if entry, ok := cat.Nodes[id]; !ok || entry.Node != v.agents[id].Node {
			delete(v.agents, id)
		}
	}
	for id, entry := range cat.Nodes {
		if entry.Role == catalog.RoleAgent {
			v.updateAgent(now, id, entry, initial)
		}
	}
	for _, g := range v.byProfile {
		g.members = nil
	}
}

func (v *Views) updateAgent(now time.Time, id zinniasill.NodeID, entry catalog.NodeEntry, initial bool) {
	a := v.agents[id]
	if a == nil {
		a = &agent{outcomes: map[zinniasill.ProfileName]*outcomeCounts{}}
		a.Node = entry.Node
		v.agents[id] = a
	}
	serving := v.catalog.Serving(entry)
	// Agents in the first catalog are exempt from slow start. Otherwise an entry that
	// has just started would refuse work although the agents have free capacity.
	if serving && !a.serving && !initial {
		a.Joined = now
	}
	a.entry = entry
	a.serving = serving
	a.Slots = boundedSlots(entry.Slots)
	a.Domain = entry.Domain
}

// Report applies a load report of an agent.
func (v *Views) Report(now time.Time, node zinniasill.Node, load message.Load) {
	a := v.agent(node)
	if a == nil {
		return
	}
	if load.Slots > 0 {
		a.Slots = boundedSlots(load.Slots)
	}
	a.Busy = boundedTasks(load.Busy)
	a.Queued = boundedTasks(load.Queued)
	a.QueuedWork = boundedWork(load.QueuedWork)
	a.RunningWork = boundedWork(load.RunningWork)
	a.Reported = now
	a.firstOfferAt = time.Time{}
}

// AddUnanswered adds tasks and their work to the load of an agent. They count until
// RemoveUnanswered, since the agent's next load report may not include them.
func (v *Views) AddUnanswered(node zinniasill.Node, tasks int, work time.Duration) {
	a := v.agent(node)
	if a == nil {
		return
	}
	a.Unanswered += tasks
	a.UnansweredWork += work
}

// RemoveUnanswered removes tasks and work that were added with AddUnanswered.
func (v *Views) RemoveUnanswered(node zinniasill.Node, tasks int, work time.Duration) {
	a := v.agent(node)
	if a == nil {
		return
	}
	a.Unanswered = max(0, a.Unanswered-tasks)
	a.UnansweredWork = max(0, a.UnansweredWork-work)
}

// RecordOffer records that a task was offered to an agent. At a failing agent the task
// is a probe, and no other is offered until its outcome is known or probeTimeout has
// passed. Without the timeout, a lost outcome would end all probes.
func (v *Views) RecordOffer(now time.Time, node zinniasill.Node) {
	a := v.agent(node)
	if a == nil {
		return
	}
	if a.Failing {
		a.probeAt = now.Add(probeTimeout)
		a.probing = true
	}
	if a.firstOfferAt.IsZero() {
		a.firstOfferAt = now
		a.retryAt = now.Add(unresponsiveRetryInterval)
	} else if a.unresponsive(now) {
		a.retryAt = now.Add(unresponsiveRetryInterval)
	}
}

// Available reports whether an agent may be offered a task: it is serving, and it is
// neither failing nor unresponsive, or its next probe or retry is due.
func (v *Views) Available(now time.Time, node zinniasill.Node) bool {
	a := v.agent(node)
	switch {
	case a == nil || !a.serving:
		return false
	case a.unresponsive(now) && now.Before(a.retryAt):
		return false
	default:
		return !a.Failing || !now.Before(a.probeAt)
	}
}

// unresponsive reports whether an offer to the agent has had no answer for
// unresponsiveTimeout.
func (a *agent) unresponsive(now time.Time) bool {
	return !a.firstOfferAt.IsZero() && now.Sub(a.firstOfferAt) >= unresponsiveTimeout
}

// Pick chooses an agent for one task. It returns false when no agent is eligible
// or all of them are excluded.
func (v *Views) Pick(now time.Time, request Request) (zinniasill.Node, bool) {
	g := v.profileAgents(request.Profile)
	agents := g.agents
	if request.Allowed != nil {
		agents = v.allowed(g, request.Allowed)
	}
	usable := func(view *zinniasill.AgentView) bool {
		if view.Failing && view.Unanswered > 0 || !v.Available(now, view.Node) {
			return false
		}
		return request.Exclude == nil || !request.Exclude(view.Node)
	}
	i := v.cfg.Picker.Pick(now, agents, usable)
	if i < 0 {
		return zinniasill.Node{}, false
	}
	return agents[i].Node, true
}

// allowed returns the agents in nodes that are eligible for the profile of g.
func (v *Views) allowed(g *profileAgents, nodes []zinniasill.Node) []*zinniasill.AgentView {
	var agents []*zinniasill.AgentView
	for _, node := range nodes {
		if a := v.agent(node); a != nil && v.eligible(a, g.profile) {
			agents = append(agents, &a.AgentView)
		}
	}
	return agents
}

// Totals returns the sums over the agents that are eligible for a profile. They
// are up to maxTotalsAge old.
func (v *Views) Totals(now time.Time, profile catalog.Profile) Totals {
	g := v.profileAgents(profile)
	if !g.totalsAt.IsZero() && now.Sub(g.totalsAt) < maxTotalsAge {
		return g.totals
	}
	g.totalsAt = now
	g.totals = Totals{Agents: len(g.agents)}
	for _, a := range g.agents {
		g.totals.Slots += a.Slots
		tasks, _ := estimateLoad(now, a)
		g.totals.Free += max(0, a.Slots-tasks)
		work := a.QueuedWork + a.UnansweredWork
		if !a.Reported.IsZero() {
			work -= reportAge(now, a) * time.Duration(a.Slots)
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

// agent returns the view of an agent, or nil if this incarnation is not in the catalog.
func (v *Views) agent(node zinniasill.Node) *agent {
	a := v.agents[node.ID]
	if a == nil || a.Node != node {
		return nil
	}
	return a
}

// eligible reports whether an agent is serving and may run tasks of a profile.
func (v *Views) eligible(a *agent, profile catalog.Profile) bool {
	if !a.serving || !slices.Contains(a.entry.Kinds, profile.Kind) {
		return false
	}
	return len(profile.Domains) == 0 || slices.Contains(profile.Domains, a.Domain)
}

// profileAgents returns the eligible agents of a profile, sorted by id so that the
// choices are reproducible with a seed.
func (v *Views) profileAgents(profile catalog.Profile) *profileAgents {
	g := v.byProfile[profile.Name]
	if g == nil {
		g = &profileAgents{}
		v.byProfile[profile.Name] = g
	}
	if g.members != nil && g.profile.Revision == profile.Revision {
		return g
	}
	g.profile = profile
	g.members = make([]*agent, 0, len(v.agents))
	for _, a := range v.agents {
		if v.eligible(a, profile) {
			g.members = append(g.members, a)
		}
	}
	slices.SortFunc(g.members, func(a, b *agent) int {
		if a.Node.ID < b.Node.ID {
			return -1
		}
		return 1
	})
	g.agents = make([]*zinniasill.AgentView, 0, len(g.members))
	for _, a := range g.members {
		g.agents = append(g.agents, &a.AgentView)
	}
	g.totalsAt = time.Time{}
	return g
}
