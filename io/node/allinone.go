package node

import (
	"net/http"

	"zinniasill"
	"zinniasill/core/consensus"
	"zinniasill/io/caller"
	"zinniasill/io/identity"
	"zinniasill/io/settings"
)

// Suffixes of the names of the roles in an all-in-one process.
const (
	controlSuffix = "-control"
	agentSuffix   = "-agent"
)

// buildAllInOne adds a single control replica, an entry and an agent, which reach
// each other without sockets. An empty data folder becomes a new cluster: with one
// replica no other can hold the state of an older one.
func (p *Process) buildAllInOne() error {
	s := p.cfg.Settings
	name := zinniasill.NodeID(s.Name + controlSuffix)
	p.members = []consensus.Member{{Name: name, Address: s.HTTP}}
	entryLink, agentLink, controlLink := p.newLink(), p.newLink(), p.newLink()
	// Roles are stopped in this order: the entry needs the others until its jobs
	// have ended, and the agent needs control.
	entry := p.newEntry(p.report(s.Name+entrySuffix, s.HTTP), entryLink)
	agent := p.newAgent(p.report(s.Name+agentSuffix, s.HTTP), agentLink)
	control, err := p.newControl(name, true, controlLink)
	if err != nil {
		return err
	}
	p.watchLease(entry.LeaseRenewer(), settings.RoleEntry)
	p.watchLease(agent.LeaseRenewer(), settings.RoleAgent)
	mux := http.NewServeMux()
	callers := p.callers(entry)
	mux.Handle("/v1/jobs", callers)
	mux.Handle("/v1/jobs/", callers)
	mux.Handle("/v1/epoch", callers)
	mux.Handle("/", p.require(identity.Operator, control.Handler()))
	if s.EndpointHTTP == "" {
		mux.Handle("/v1/endpoint", agent.Handler())
	} else if err := p.listen(s.EndpointHTTP, caller.Server(agent.Handler())); err != nil {
		return err
	}
	return p.listenSecure(s.HTTP, mux)
}
