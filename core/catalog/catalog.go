// Package catalog defines the configuration that is replicated to every node:
// profiles, failure domains, endpoints, teams, live nodes and epochs.
//
// The control state machine holds the authoritative catalog and produces the changes.
// Entries and agents apply them to their copies:
//
//	local := catalog.New()
//	for _, change := range reply.Changes {
//		local.Apply(change)
//	}
//	profile, ok := local.Profiles["proof"]
//
// A catalog does not validate changes; control does so before it accepts them.
package catalog

import (
	"maps"
	"slices"
	"time"

	"zinniasill"
)

// RepeatPolicy determines what a caller may do after an unknown outcome.
type RepeatPolicy string

// Values of Repeat.
const (
	// RepeatNever requires an epoch stamp on every submission, so that a resubmission
	// is recognised for as long as the caller resends it.
	RepeatNever RepeatPolicy = "never"
	// RepeatResubmit lets the caller submit the work again under a new key.
	RepeatResubmit RepeatPolicy = "resubmit"
)

// DomainState is the state of a failure domain.
type DomainState string

// Values of DomainState.
const (
	// DomainInService means that nodes of the domain may be given new work.
	DomainInService DomainState = "in"
	// DomainOutOfService means that nodes of the domain are given no new work.
	DomainOutOfService DomainState = "out"
)

// ServeState is whether a node or endpoint takes new work.
type ServeState string

// Values of ServeState.
const (
	// Serving means that it takes new work.
	Serving ServeState = "serving"
	// Leaving means that it takes no new work.
	Leaving ServeState = "leaving"
)

// Role is the role of a node.
type Role string

// Values of Role.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
)

// Profile is the service level of one kind of request: its deadline, expected run time,
// repeat policy, failure domains and number of tasks.
type Profile struct {
	Name            zinniasill.ProfileName `cbor:"1,keyasint" json:"name" yaml:"name"`
	Kind            zinniasill.Kind        `cbor:"2,keyasint" json:"kind" yaml:"kind"`
	AnswerWithin    time.Duration          `cbor:"3,keyasint" json:"answer-within" yaml:"answer-within"`
	ExpectedRunTime time.Duration          `cbor:"4,keyasint" json:"expected-run-time" yaml:"expected-run-time"`
	Repeat          RepeatPolicy           `cbor:"5,keyasint" json:"repeat" yaml:"repeat"`
	Domains         []zinniasill.Domain    `cbor:"6,keyasint" json:"domains" yaml:"domains"`
	MaxTasks        int                    `cbor:"7,keyasint" json:"max-tasks" yaml:"max-tasks"`
	Revision        zinniasill.Revision    `cbor:"8,keyasint" json:"revision" yaml:"-"`
}

// DomainEntry holds the state of one failure domain. A domain without an entry is in
// service.
type DomainEntry struct {
	Name     zinniasill.Domain   `cbor:"1,keyasint" json:"name"`
	State    DomainState         `cbor:"2,keyasint" json:"state"`
	Revision zinniasill.Revision `cbor:"3,keyasint" json:"revision"`
}

// EndpointEntry holds the state that operators have set for the endpoint next to one
// agent. An endpoint without an entry is serving.
type EndpointEntry struct {
	Name     zinniasill.NodeID   `cbor:"1,keyasint" json:"name"`
	State    ServeState          `cbor:"2,keyasint" json:"state"`
	Revision zinniasill.Revision `cbor:"3,keyasint" json:"revision"`
}

// TeamEntry holds the quota of one team: the maximum number of its tasks in flight in
// the whole system. A quota of 0 means no limit.
type TeamEntry struct {
	Name     zinniasill.Team     `cbor:"1,keyasint" json:"name"`
	Quota    int                 `cbor:"2,keyasint" json:"quota"`
	Revision zinniasill.Revision `cbor:"3,keyasint" json:"revision"`
}

// NodeEntry describes a live entry or agent.
type NodeEntry struct {
	Node    zinniasill.Node   `cbor:"1,keyasint" json:"node"`
	Role    Role              `cbor:"2,keyasint" json:"role"`
	Domain  zinniasill.Domain `cbor:"3,keyasint" json:"domain"`
	Address string            `cbor:"4,keyasint" json:"address"`
	Slots   int               `cbor:"5,keyasint" json:"slots"`
	Kinds   []zinniasill.Kind `cbor:"6,keyasint" json:"kinds"`
	State   ServeState        `cbor:"7,keyasint" json:"state"`
	// Host is the agent that has taken over this agent's records at a planned stop.
	// The node reports it in its last renewals; before, it is the zero Node.
	Host zinniasill.Node `cbor:"8,keyasint,omitzero" json:"-"`
}

// Equal reports whether two entries are equal in all fields.
func (n NodeEntry) Equal(other NodeEntry) bool {
	return n.Node == other.Node && n.Role == other.Role && n.Domain == other.Domain &&
		n.Address == other.Address && n.Slots == other.Slots &&
		slices.Equal(n.Kinds, other.Kinds) && n.State == other.State && n.Host == other.Host
}

// HostEntry records which agent hosts the records of an agent after its planned stop.
type HostEntry struct {
	Node zinniasill.Node `cbor:"1,keyasint" json:"node"`
	Host zinniasill.Node `cbor:"2,keyasint" json:"host"`
	// Until is the epoch that was current at the handover. Node has no records of later
	// epochs, so the entry is dropped together with this epoch.
	Until zinniasill.Epoch `cbor:"3,keyasint" json:"until"`
}

// EpochMember is an agent from which the claim groups of an epoch are selected.
type EpochMember struct {
	Node   zinniasill.Node   `cbor:"1,keyasint" json:"node"`
	Domain zinniasill.Domain `cbor:"2,keyasint" json:"domain"`
}

// EpochEntry holds the members of one epoch, sorted by node id.
type EpochEntry struct {
	Number  zinniasill.Epoch `cbor:"1,keyasint" json:"number"`
	Members []EpochMember    `cbor:"2,keyasint,omitempty" json:"members"`
}

// Document is a whole configuration with a version that its writers assign, independent
// of the revisions of the other objects. The catalog does not interpret it.
type Document struct {
	Version  zinniasill.DocumentVersion `cbor:"1,keyasint"`
	Content  []byte                     `cbor:"2,keyasint"`
	Revision zinniasill.Revision        `cbor:"3,keyasint"`
}

// Change is one accepted change of the catalog. Apart from Revision, exactly one field
// is set.
type Change struct {
	Revision zinniasill.Revision `cbor:"1,keyasint"`
	Profile  *Profile            `cbor:"2,keyasint,omitempty"`
	Domain   *DomainEntry        `cbor:"3,keyasint,omitempty"`
	Endpoint *EndpointEntry      `cbor:"4,keyasint,omitempty"`
	Team     *TeamEntry          `cbor:"5,keyasint,omitempty"`
	Node     *NodeEntry          `cbor:"6,keyasint,omitempty"`
	DeadNode *zinniasill.Node    `cbor:"7,keyasint,omitempty"`
	// Epoch is the new epoch. Without members, it gets the eligible agents of the
	// catalog to which the change is applied.
	Epoch          *EpochEntry            `cbor:"8,keyasint,omitempty"`
	DropEpochs     zinniasill.Epoch       `cbor:"9,keyasint,omitempty"`
	DeletedProfile zinniasill.ProfileName `cbor:"10,keyasint,omitempty"`
	Document       *Document              `cbor:"12,keyasint,omitempty"`
	// Handover records the host of a stopped agent, which it also removes from the
	// live nodes.
	Handover *HostEntry `cbor:"11,keyasint,omitempty"`
}

// Catalog holds one revision of the configuration. Use New.
type Catalog struct {
	Revision  zinniasill.Revision                 `cbor:"1,keyasint"`
	Profiles  map[zinniasill.ProfileName]Profile  `cbor:"2,keyasint"`
	Domains   map[zinniasill.Domain]DomainEntry   `cbor:"3,keyasint"`
	Endpoints map[zinniasill.NodeID]EndpointEntry `cbor:"4,keyasint"`
	Teams     map[zinniasill.Team]TeamEntry       `cbor:"5,keyasint"`
	Nodes     map[zinniasill.NodeID]NodeEntry     `cbor:"6,keyasint"`
	// Epochs are the epochs of the retention window, oldest first.
	Epochs Epochs `cbor:"7,keyasint"`
	// Hosts are the handovers of the retention window, by stopped agent.
	Hosts map[zinniasill.Node]HostEntry `cbor:"8,keyasint" json:"-"`
	// Document has version 0 until the first one is stored.
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

// Complete reports whether a decoded catalog has all its maps, so that changes can be
// applied to it.
func (c *Catalog) Complete() bool {
	return c.Profiles != nil && c.Domains != nil && c.Endpoints != nil &&
		c.Teams != nil && c.Nodes != nil && c.Hosts != nil
}

// Clone returns a copy that shares no mutable state with the catalog. It shares the
// slices inside entries, which are never modified once a change is accepted.
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

// WithoutDocument returns a catalog whose document has a version but no content, for nodes
// that do not use it. The copy shares its maps with the catalog.
func (c *Catalog) WithoutDocument() *Catalog {
	trimmed := *c
	trimmed.Document.Content = nil
	return &trimmed
}

// WithoutDocument returns the change with the document's version but not its content.
func (c Change) WithoutDocument() Change {
	if c.Document != nil {
		trimmed := *c.Document
		trimmed.Content = nil
		c.Document = &trimmed
	}
	return c
}

// Apply applies a change. It ignores a change that is not newer than the catalog, so
// that a repeated change has no effect.
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

// removeNode removes a node unless another incarnation is listed in its place.
func (c *Catalog) removeNode(node zinniasill.Node) {
	if c.Nodes[node.ID].Node == node {
		delete(c.Nodes, node.ID)
	}
}

// dropEpochs removes the epochs up to and including upTo, and the handovers whose Until
// is among them.
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

// Host returns the agent that hosts the records of a stopped agent, or false if none is
// recorded. It follows later handovers by the host itself. The host may have been
// declared dead since; Alive reports whether it is still listed.
func (c *Catalog) Host(node zinniasill.Node) (zinniasill.Node, bool) {
	host, ok := c.Hosts[node]
	if !ok {
		return zinniasill.Node{}, false
	}
	// A handover requires that the host is alive and removes the stopped agent from the
	// live nodes, so the handovers form no cycle.
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

// Serving reports whether a node may be given new work: it reports itself as serving,
// operators have not set its endpoint to leave, and its domain is in service.
func (c *Catalog) Serving(node NodeEntry) bool {
	return node.State != Leaving &&
		c.Endpoints[node.Node.ID].State != Leaving &&
		c.DomainInService(node.Domain)
}

// Alive reports whether this incarnation of a node is listed as live.
func (c *Catalog) Alive(node zinniasill.Node) bool {
	entry, ok := c.Nodes[node.ID]
	return ok && entry.Node == node
}

// RecordsReachable reports whether a node's records can be requested: the node is alive,
// or it has stopped as planned and the host of its records is alive.
func (c *Catalog) RecordsReachable(node zinniasill.Node) bool {
	if c.Alive(node) {
		return true
	}
	host, ok := c.Host(node)
	return ok && c.Alive(host)
}

// CurrentEpoch returns the number of the newest epoch, or 0 if there is none.
func (c *Catalog) CurrentEpoch() zinniasill.Epoch {
	if len(c.Epochs) == 0 {
		return 0
	}
	return c.Epochs[len(c.Epochs)-1].Number
}
