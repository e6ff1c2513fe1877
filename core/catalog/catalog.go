// Package catalog holds the configuration that every node keeps a copy of:
// profiles, failure domains, endpoints, teams, live nodes and epochs.
//
// The control state machine owns the authoritative catalog and produces the
// changes. Entries and agents hold copies that follow it:
//
//	copy := catalog.New()
//	for _, change := range reply.Changes {
//		copy.Apply(change)
//	}
//	profile, ok := copy.Profiles["proof"]
//
// A catalog validates nothing; changes are checked before they are accepted.
package catalog

import (
	"maps"
	"slices"
	"time"

	"zinniasill"
)

// RepeatPolicy says what a caller may do after an outcome that is not known.
type RepeatPolicy string

// Values of Repeat.
const (
	// RepeatNever requires an epoch stamp on every submission, so that a
	// resubmission is recognised for as long as the caller sends it.
	RepeatNever RepeatPolicy = "never"
	// RepeatResubmit lets the caller submit the work again under a new key.
	RepeatResubmit RepeatPolicy = "resubmit"
)

// DomainState says whether a failure domain is in service.
type DomainState string

// Values of DomainState.
const (
	DomainInService  DomainState = "in"
	DomainOutOfService DomainState = "out"
)

// ServeState says whether an endpoint takes new work.
type ServeState string

// Values of ServeState.
const (
	Serving ServeState = "serving"
	Leaving ServeState = "leaving"
)

// Role is the part that a node plays.
type Role string

// Values of Role.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
)

// Profile states what a kind of request is owed.
type Profile struct {
	Name            zinniasill.ProfileName `cbor:"1,keyasint" json:"name" yaml:"name"`
	Kind            zinniasill.Kind        `cbor:"2,keyasint" json:"kind" yaml:"kind"`
	AnswerWithin    time.Duration          `cbor:"3,keyasint" json:"answer-within" yaml:"answer-within"`
	ExpectedRunTime time.Duration          `cbor:"4,keyasint" json:"expected-run-time" yaml:"expected-run-time"`
	Repeat          RepeatPolicy                 `cbor:"5,keyasint" json:"repeat" yaml:"repeat"`
	Domains         []zinniasill.Domain    `cbor:"6,keyasint" json:"domains" yaml:"domains"`
	MaxTasks        int                    `cbor:"7,keyasint" json:"max-tasks" yaml:"max-tasks"`
	Revision        zinniasill.Revision    `cbor:"8,keyasint" json:"revision" yaml:"-"`
}

// DomainEntry is the state of one failure domain. A domain without an entry is
// in service.
type DomainEntry struct {
	Name     zinniasill.Domain   `cbor:"1,keyasint" json:"name"`
	State    DomainState         `cbor:"2,keyasint" json:"state"`
	Revision zinniasill.Revision `cbor:"3,keyasint" json:"revision"`
}

// EndpointEntry is what operators decided on the endpoint beside one agent. An
// endpoint without an entry serves.
type EndpointEntry struct {
	Name     zinniasill.NodeID   `cbor:"1,keyasint" json:"name"`
	State    ServeState          `cbor:"2,keyasint" json:"state"`
	Revision zinniasill.Revision `cbor:"3,keyasint" json:"revision"`
}

// TeamEntry limits the tasks of one team in flight over the whole system. A
// quota of 0 means no limit.
type TeamEntry struct {
	Name     zinniasill.Team     `cbor:"1,keyasint" json:"name"`
	Quota    int                 `cbor:"2,keyasint" json:"quota"`
	Revision zinniasill.Revision `cbor:"3,keyasint" json:"revision"`
}

// NodeEntry is a live entry or agent.
type NodeEntry struct {
	Node    zinniasill.Node   `cbor:"1,keyasint" json:"node"`
	Role    Role              `cbor:"2,keyasint" json:"role"`
	Domain  zinniasill.Domain `cbor:"3,keyasint" json:"domain"`
	Address string            `cbor:"4,keyasint" json:"address"`
	Slots   int               `cbor:"5,keyasint" json:"slots"`
	Kinds   []zinniasill.Kind `cbor:"6,keyasint" json:"kinds"`
	State   ServeState        `cbor:"7,keyasint" json:"state"`
	// Host is the agent that has taken over this agent's records at a planned
	// stop. It is reported with the last renewals and is the zero Node before.
	Host zinniasill.Node `cbor:"8,keyasint,omitzero" json:"-"`
}

// Equal reports whether two entries are the same.
func (n NodeEntry) Equal(other NodeEntry) bool {
	return n.Node == other.Node && n.Role == other.Role && n.Domain == other.Domain &&
		n.Address == other.Address && n.Slots == other.Slots &&
		slices.Equal(n.Kinds, other.Kinds) && n.State == other.State && n.Host == other.Host
}

// HostEntry says which agent holds the records of an agent that has stopped as
// planned.
type HostEntry struct {
	Node zinniasill.Node `cbor:"1,keyasint" json:"node"`
	Host zinniasill.Node `cbor:"2,keyasint" json:"host"`
	// Until is the epoch that was current at the handover. No record of Node
	// belongs to a later one, so the entry is dropped together with it.
	Until zinniasill.Epoch `cbor:"3,keyasint" json:"until"`
}

// EpochMember is one agent that claim groups of an epoch are chosen from.
type EpochMember struct {
	Node   zinniasill.Node   `cbor:"1,keyasint" json:"node"`
	Domain zinniasill.Domain `cbor:"2,keyasint" json:"domain"`
}

// EpochEntry is the list of agents of one epoch, sorted by node id.
type EpochEntry struct {
	Number  zinniasill.Epoch `cbor:"1,keyasint" json:"number"`
	Members []EpochMember    `cbor:"2,keyasint,omitempty" json:"members"`
}

// Document is a whole configuration that its writers keep under versions of their own,
// beside the objects with a revision each. The catalog does not interpret it.
type Document struct {
	Version  zinniasill.DocumentVersion `cbor:"1,keyasint"`
	Content  []byte                     `cbor:"2,keyasint"`
	Revision zinniasill.Revision        `cbor:"3,keyasint"`
}

// Change is one accepted change. Exactly one of the pointers is set; the Delete
// fields name what is removed.
type Change struct {
	Revision zinniasill.Revision `cbor:"1,keyasint"`
	Profile  *Profile            `cbor:"2,keyasint,omitempty"`
	Domain   *DomainEntry        `cbor:"3,keyasint,omitempty"`
	Endpoint *EndpointEntry      `cbor:"4,keyasint,omitempty"`
	Team     *TeamEntry          `cbor:"5,keyasint,omitempty"`
	Node     *NodeEntry          `cbor:"6,keyasint,omitempty"`
	DeadNode *zinniasill.Node    `cbor:"7,keyasint,omitempty"`
	// Epoch without members stands for the agents that serve in the catalog that
	// the change is applied to.
	Epoch      *EpochEntry            `cbor:"8,keyasint,omitempty"`
	DropEpochs zinniasill.Epoch       `cbor:"9,keyasint,omitempty"`
	DeletedProfile   zinniasill.ProfileName `cbor:"10,keyasint,omitempty"`
	Document   *Document              `cbor:"12,keyasint,omitempty"`
	// Handover also removes the stopped agent from the live nodes.
	Handover *HostEntry `cbor:"11,keyasint,omitempty"`
}

// Catalog is one revision of the configuration. Use New.
type Catalog struct {
	Revision  zinniasill.Revision                 `cbor:"1,keyasint"`
	Profiles  map[zinniasill.ProfileName]Profile  `cbor:"2,keyasint"`
	Domains   map[zinniasill.Domain]DomainEntry   `cbor:"3,keyasint"`
	Endpoints map[zinniasill.NodeID]EndpointEntry `cbor:"4,keyasint"`
	Teams     map[zinniasill.Team]TeamEntry       `cbor:"5,keyasint"`
	Nodes     map[zinniasill.NodeID]NodeEntry     `cbor:"6,keyasint"`
	// Epochs are the epochs of the retention window, oldest first.
	Epochs Epochs `cbor:"7,keyasint"`
	// Hosts are the handovers of the retention window, by the stopped agent.
	Hosts map[zinniasill.Node]HostEntry `cbor:"8,keyasint" json:"-"`
	// Document has version 0 before the first one was stored.
	Document Document `cbor:"9,keyasint,omitzero" json:"-"`
}

// New returns an empty catalog at revision 0.
func New() *Catalog {
	return &Catalog{
		Profiles:  map[zinniasill.ProfileName]Profile{},
		Domains:   map[zinniasill.Domain]DomainEntry{},
		Endpoints: map[zinniasill.NodeID]EndpointEntry{},
		Teams:     map[zinniasill.Team]TeamEntry{},
		Nodes:     map[zinniasill.NodeID]NodeEntry{},
		Hosts:     map[zinniasill.Node]HostEntry{},
	}
}

// Complete reports whether a decoded catalog has all its parts, so that changes
// can be applied to it.
func (c *Catalog) Complete() bool {
	return c.Profiles != nil && c.Domains != nil && c.Endpoints != nil &&
		c.Teams != nil && c.Nodes != nil && c.Hosts != nil
}

// Clone returns a copy that shares no mutable state with the catalog. Slices in
// the entries are never modified after a change was accepted and are shared.
func (c *Catalog) Clone() *Catalog {
	return &Catalog{
		Revision:  c.Revision,
		Profiles:  maps.Clone(c.Profiles),
		Domains:   maps.Clone(c.Domains),
		Endpoints: maps.Clone(c.Endpoints),
		Teams:     maps.Clone(c.Teams),
		Nodes:     maps.Clone(c.Nodes),
		Epochs:    slices.Clone(c.Epochs),
		Hosts:     maps.Clone(c.Hosts),
		Document:  c.Document,
	}
}

// Apply applies a change. Changes that are not newer than the catalog are
// ignored, so that a repeated change has no effect.
func (c *Catalog) Apply(change Change) {
	if change.Revision <= c.Revision {
		return
	}
	c.Revision = change.Revision
	switch {
	case change.Profile != nil:
		c.Profiles[change.Profile.Name] = *change.Profile
	case change.Domain != nil:
		c.Domains[change.Domain.Name] = *change.Domain
	case change.Endpoint != nil:
		c.Endpoints[change.Endpoint.Name] = *change.Endpoint
	case change.Team != nil:
		c.Teams[change.Team.Name] = *change.Team
	case change.Node != nil:
		c.Nodes[change.Node.Node.ID] = *change.Node
	case change.DeadNode != nil:
		c.removeNode(*change.DeadNode)
	case change.Epoch != nil:
		c.addEpoch(*change.Epoch)
	case change.DropEpochs != 0:
		c.dropEpochs(change.DropEpochs)
	case change.DeletedProfile != "":
		delete(c.Profiles, change.DeletedProfile)
	case change.Document != nil:
		c.Document = *change.Document
	case change.Handover != nil:
		c.Hosts[change.Handover.Node] = *change.Handover
		c.removeNode(change.Handover.Node)
	}
}

// removeNode removes a node unless a later incarnation has taken its place.
func (c *Catalog) removeNode(node zinniasill.Node) {
	if c.Nodes[node.ID].Node == node {
		delete(c.Nodes, node.ID)
	}
}

func (c *Catalog) dropEpochs(upTo zinniasill.Epoch) {
	first := 0
	for first < len(c.Epochs) && c.Epochs[first].Number <= upTo {
		first++
	}
	c.Epochs = c.Epochs[first:]
	maps.DeleteFunc(c.Hosts, func(_ zinniasill.Node, host HostEntry) bool {
		return host.Until <= upTo
	})
}

// Host returns the agent that holds the records of a stopped agent. It follows
// later handovers of the host itself. The host may have died since; Alive tells.
func (c *Catalog) Host(node zinniasill.Node) (zinniasill.Node, bool) {
	host, ok := c.Hosts[node]
	if !ok {
		return zinniasill.Node{}, false
	}
	// Every handover goes to a node that is alive at that moment and ends its
	// giver, so that the handovers form no cycle.
	for {
		next, ok := c.Hosts[host.Host]
		if !ok {
			return host.Host, true
		}
		host = next
	}
}

// DomainInService reports whether a failure domain is in service.
func (c *Catalog) DomainInService(domain zinniasill.Domain) bool {
	return c.Domains[domain].State != DomainOutOfService
}

// Serving reports whether a node may be given new work: it announces itself as
// serving, operators have not told it to leave, and its domain is in service.
func (c *Catalog) Serving(node NodeEntry) bool {
	return node.State != Leaving &&
		c.Endpoints[node.Node.ID].State != Leaving &&
		c.DomainInService(node.Domain)
}

// Alive reports whether a node is listed with the same incarnation.
func (c *Catalog) Alive(node zinniasill.Node) bool {
	entry, ok := c.Nodes[node.ID]
	return ok && entry.Node == node
}

// RecordsReachable reports whether the records of a node can be asked for: it is alive, or
// it has stopped as planned and the host of its records is alive.
func (c *Catalog) RecordsReachable(node zinniasill.Node) bool {
	if c.Alive(node) {
		return true
	}
	host, ok := c.Host(node)
	return ok && c.Alive(host)
}

// CurrentEpoch returns the newest epoch, or 0 when there is none.
func (c *Catalog) CurrentEpoch() zinniasill.Epoch {
	if len(c.Epochs) == 0 {
		return 0
	}
	return c.Epochs[len(c.Epochs)-1].Number
}
