package control

import (
	"zinniasill"
	"zinniasill/core/catalog"
)

// conflict refuses a change whose base is not the object's current revision.
func conflict(base, current zinniasill.Revision) (Result, bool) {
	if base == current {
		return Result{}, false
	}
	return Result{Code: CodeConflict, Revision: current}, true
}

func (m *Machine) putProfile(put PutProfile) Result {
	profile := put.Profile
	if result, ok := conflict(put.Base, m.catalog.Profiles[profile.Name].Revision); ok {
		return result
	}
	profile.Revision = m.next()
	return m.accept(catalog.Change{Profile: &profile})
}

func (m *Machine) deleteProfile(del DeleteProfile) Result {
	current := m.catalog.Profiles[del.Name].Revision
	if result, ok := conflict(del.Base, current); ok {
		return result
	}
	if current != 0 {
		m.accept(catalog.Change{DeletedProfile: del.Name})
	}
	return Result{}
}

func (m *Machine) putDomain(put PutDomain) Result {
	if result, ok := conflict(put.Base, m.catalog.Domains[put.Name].Revision); ok {
		return result
	}
	entry := catalog.DomainEntry{Name: put.Name, State: put.State, Revision: m.next()}
	return m.accept(catalog.Change{Domain: &entry})
}

func (m *Machine) putEndpoint(put PutEndpoint) Result {
	if result, ok := conflict(put.Base, m.catalog.Endpoints[put.Name].Revision); ok {
		return result
	}
	entry := catalog.EndpointEntry{Name: put.Name, State: put.State, Revision: m.next()}
	return m.accept(catalog.Change{Endpoint: &entry})
}

func (m *Machine) putTeam(put PutTeam) Result {
	if result, ok := conflict(put.Base, m.catalog.Teams[put.Name].Revision); ok {
		return result
	}
	entry := catalog.TeamEntry{Name: put.Name, Quota: put.Quota, Revision: m.next()}
	return m.accept(catalog.Change{Team: &entry})
}

// putDocument stores a document of a higher version. Among documents of one version
// the first one stays.
func (m *Machine) putDocument(put PutDocument) Result {
	if current := m.catalog.Document; put.Version <= current.Version {
		return Result{Revision: current.Revision}
	}
	entry := catalog.Document{Version: put.Version, Content: put.Content, Revision: m.next()}
	return m.accept(catalog.Change{Document: &entry})
}

func (m *Machine) register(entry catalog.NodeEntry) Result {
	if m.Dead(entry.Node) {
		return Result{Code: CodeDeadIncarnation}
	}
	// Where the records go is listed by a handover only.
	entry.Host = zinniasill.Node{}
	listed, ok := m.catalog.Nodes[entry.Node.ID]
	if ok && listed.Equal(entry) {
		return Result{}
	}
	if ok && listed.Node != entry.Node {
		m.bury(listed.Node)
	}
	return m.accept(catalog.Change{Node: &entry})
}

func (m *Machine) declareDead(node zinniasill.Node) Result {
	if !m.catalog.Alive(node) {
		return Result{}
	}
	m.bury(node)
	return m.accept(catalog.Change{DeadNode: &node})
}

func (m *Machine) newEpoch(number zinniasill.Epoch) Result {
	// A claim group of no agents could not hold a claim, so the last epoch that
	// has members stays in force.
	if number != m.catalog.CurrentEpoch()+1 || len(m.eligible()) == 0 {
		return Result{Code: CodeEpochRefused}
	}
	return m.accept(catalog.Change{Epoch: &catalog.EpochEntry{Number: number}})
}

func (m *Machine) dropEpochs(upTo zinniasill.Epoch) Result {
	if upTo >= m.catalog.CurrentEpoch() {
		return Result{Code: CodeEpochRefused}
	}
	if len(m.catalog.Epochs) == 0 || m.catalog.Epochs[0].Number > upTo {
		return Result{}
	}
	return m.accept(catalog.Change{DropEpochs: upTo})
}

// handover ends the incarnation that has stopped. Its host must be alive, so that
// handovers form no cycle.
func (m *Machine) handover(move Handover) Result {
	if host, ok := m.catalog.Hosts[move.Node]; ok && host.Host == move.Host {
		return Result{}
	}
	if !m.catalog.Alive(move.Node) || m.catalog.Nodes[move.Node.ID].Role != catalog.RoleAgent {
		return Result{Code: CodeDeadIncarnation}
	}
	host := m.catalog.Nodes[move.Host.ID]
	if move.Host == move.Node || host.Node != move.Host || host.Role != catalog.RoleAgent {
		return Result{Code: CodeNoHost}
	}
	m.bury(move.Node)
	return m.accept(catalog.Change{Handover: &catalog.HostEntry{
		Node:  move.Node,
		Host:  move.Host,
		Until: m.catalog.CurrentEpoch(),
	}})
}
