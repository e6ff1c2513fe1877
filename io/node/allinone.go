package node

import (
	"net/http"
	"strings"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/core/consensus"
	"zinniasill/io/caller"
	"zinniasill/io/identity"
	"zinniasill/io/settings"
)

// Suffixes appended to the process name to form the node IDs of the roles in an
// all-in-one process.
const (
	controlSuffix = "-control"
	agentSuffix   = "-agent"
)

// buildAllInOne adds a single control replica, an entry and an agent, which exchange
// messages in memory. With an empty data folder it always forms a new cluster, since
// there is no other replica that could hold the state of an existing one.
func (p *Process) buildAllInOne() error {
	s := p.cfg.Settings
	name := zinniasill.NodeID(s.Name + controlSuffix)
	p.members = []consensus.Member{{Name: name, Address: s.HTTP}}
	entryLink, agentLink, controlLink := p.newLink(), p.newLink(), p.newLink()
	// Roles are stopped in the order of their creation: the entry needs the agent and
	// control until its jobs have ended, and the agent needs control.
	entry := p.newEntry(p.report(s.Name+entrySuffix, s.HTTP), entryLink)
	agent := p.newAgent(p.report(s.Name+agentSuffix, s.HTTP), agentLink)
	control, err := p.newControl(name, true, controlLink)
	if err != nil {
		return err
	}
	p.registerLeaseGauges(entry.LeaseRenewer(), settings.RoleEntry)
	p.registerLeaseGauges(agent.LeaseRenewer(), settings.RoleAgent)
	mux := http.NewServeMux()
	callers := p.callers(entry)
	mux.Handle("/v1/jobs", callers)
	mux.Handle("/v1/jobs/", callers)
	mux.Handle("/v1/epoch", callers)
	mux.Handle("/", p.require(identity.Operator, control.Handler()))
	if s.EndpointHTTP == "" {
		mux.Handle("/v1/endpoint", agent.Handler())
	} else if err := p.listen(s.EndpointHTTP, caller.Server(agent.Handler(), budget.Endpoint)); err != nil {
		return err
	}
	cfg := caller.Server(mux, budget.Callers)
	cfg.Classify = classify
	return p.listenSecure(s.HTTP, cfg)
}

// classify returns the class of a request to the address that all roles share.
func classify(r *http.Request) budget.Class {
	switch path := r.URL.Path; {
	case path == "/v1/jobs", path == "/v1/epoch", strings.HasPrefix(path, "/v1/jobs/"):
		return budget.Callers
	case path == "/v1/endpoint":
		return budget.Endpoint
	default:
		return budget.Operators
	}
}
