package node

import (
	"context"
	"net/http"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
	"zinniasill/core/route"
	"zinniasill/io/peer"
)

// Adapter connects the roles of a process to an interface other than the product's
// own. It translates; the roles decide.
type Adapter struct {
	// Control, Dispatcher and Supervisor return the servers of a role.
	Control    func(*Control) []Served
	Dispatcher func(*Dispatcher) []Served
	Supervisor func(*Supervisor) []Served
	// Executor is the endpoint beside a supervisor.
	Executor zinniasill.Executor
	// Compile reads a document of the configuration.
	Compile func(content []byte) (*route.Table, error)
	// Recorder records the decisions of the roles.
	Recorder zinniasill.Recorder
}

// Served is a server and the address that it listens on.
type Served struct {
	Address string
	Server  *http.Server
}

// Links between the processes of these roles carry the leases of what runs, so a
// silent one is replaced well before a lease ends.
const (
	linkPing   = 200 * time.Millisecond
	linkSilent = 600 * time.Millisecond
)

// serveAdapter opens the servers that the adapter, if there is one, has for a role.
func (p *Process) serveAdapter(servers func(*Adapter) []Served) error {
	if p.cfg.Adapter == nil {
		return nil
	}
	for _, served := range servers(p.cfg.Adapter) {
		if err := p.listen(served.Address, served.Server); err != nil {
			return err
		}
	}
	return nil
}

func (p *Process) buildDispatcher() error {
	link := p.newLink()
	report := p.report(p.cfg.Settings.Name, p.address())
	report.Role = catalog.RoleEntry
	report.State = catalog.Serving
	keeper := p.newKeeper(report, link)
	role := NewDispatcher(DispatcherConfig{
		Keeper: keeper, Report: report, Sender: link, Clock: p.clock, Counters: p.metrics, Histograms: p.metrics, Log: p.log,
		Recorder: p.cfg.Adapter.Recorder, Compile: p.cfg.Adapter.Compile,
	})
	p.addRole(role, func(ctx context.Context) <-chan error { return withoutFault(role.Start(ctx)) })
	p.join(report.Node.ID, role.Deliver)
	p.watchLease(keeper, "")
	if err := p.serveAdapter(func(a *Adapter) []Served { return a.Dispatcher(role) }); err != nil {
		return err
	}
	return p.openDirect(link, keeper, role.Deliver)
}

func (p *Process) buildSupervisor() error {
	link := p.newLink()
	report := p.report(p.cfg.Settings.Name, p.address())
	report.Role = catalog.RoleAgent
	report.State = catalog.Serving
	keeper := p.newKeeper(report, link)
	role := NewSupervisor(SupervisorConfig{
		Keeper: keeper, Report: report, Sender: link, Clock: p.clock, Counters: p.metrics, Histograms: p.metrics, Log: p.log,
		Recorder: p.cfg.Adapter.Recorder, Executor: p.cfg.Adapter.Executor,
	})
	p.addRole(role, func(ctx context.Context) <-chan error { return withoutFault(role.Start(ctx)) })
	p.join(report.Node.ID, role.Deliver)
	p.watchLease(keeper, "")
	if err := p.serveAdapter(func(a *Adapter) []Served { return a.Supervisor(role) }); err != nil {
		return err
	}
	return p.openDirect(link, keeper, role.Deliver)
}

func (p *Process) newKeeper(report catalog.NodeEntry, link *peer.Loopback) *Keeper {
	return NewKeeper(KeeperConfig{
		Entry: report, Replicas: shuffled(newRand(), p.memberNames()), Sender: link,
		Clock: p.clock, Log: p.log,
	})
}

func (p *Process) openDirect(link *peer.Loopback, keeper *Keeper, deliver func(message.Envelope)) error {
	return p.openTransport(link, peer.Config{
		Listen: p.cfg.Settings.Listen, Advertise: p.cfg.Settings.Advertise,
		Self: keeper.Node, Cluster: keeper.Cluster, Deliver: deliver, Resolve: p.resolver(keeper),
		PingEvery: linkPing, SilentAfter: linkSilent,
	})
}
