package node

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
	"zinniasill/core/route"
	"zinniasill/io/daemon"
	"zinniasill/io/peer"
)

// Adapter connects the roles of a process to an interface other than the product's
// own. It translates; the roles decide.
type Adapter struct {
	// Control, Dispatcher and Supervisor return the servers of a role.
	Control    func(*Control) []AdapterServer
	Dispatcher func(*Dispatcher) []AdapterServer
	Supervisor func(*Supervisor) []AdapterServer
	// Executor is the endpoint beside a supervisor.
	Executor zinniasill.Executor
	// Compile reads a document of the configuration.
	Compile func(content []byte) (*route.Table, error)
	// Recorder records the decisions of the roles.
	Recorder zinniasill.Recorder
}

// AdapterServer is a server and the address that it listens on.
type AdapterServer struct {
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
func (p *Process) serveAdapter(servers func(*Adapter) []AdapterServer) error {
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

// DirectConfig is what a Dispatcher and a Supervisor have in common: the roles of an
// entry and of an agent for jobs that are answered at their end.
type DirectConfig struct {
	LeaseRenewer *LeaseRenewer
	// Report is what the role reports to control.
	Report     catalog.NodeEntry
	Sender     daemon.Sender
	Clock      zinniasill.Clock
	Counters   zinniasill.Counters
	Histograms zinniasill.Histograms
	Log        logrus.FieldLogger
	Recorder   zinniasill.Recorder
}

// directTick is the time between ticks of the loops of these roles.
const directTick = 20 * time.Millisecond

// newLoop returns the loop of a role, which has not started.
func (c DirectConfig) newLoop(machine daemon.Machine, after func(now time.Time)) *daemon.Loop {
	return daemon.New(daemon.Config{
		Machine: machine, Sender: c.Sender, Clock: c.Clock, Tick: directTick, AfterIteration: after,
		Dropped: func() { c.Counters.Inc("mailbox_dropped", "") },
	})
}

func (p *Process) buildDispatcher() error {
	cfg, link := p.directConfig(catalog.RoleEntry)
	role := NewDispatcher(DispatcherConfig{DirectConfig: cfg, Compile: p.cfg.Adapter.Compile})
	p.addDirect(cfg, role, role.Start)
	if err := p.serveAdapter(func(a *Adapter) []AdapterServer { return a.Dispatcher(role) }); err != nil {
		return err
	}
	return p.openDirect(link, cfg.LeaseRenewer, role.Deliver)
}

func (p *Process) buildSupervisor() error {
	cfg, link := p.directConfig(catalog.RoleAgent)
	role := NewSupervisor(SupervisorConfig{DirectConfig: cfg, Executor: p.cfg.Adapter.Executor})
	p.addDirect(cfg, role, role.Start)
	if err := p.serveAdapter(func(a *Adapter) []AdapterServer { return a.Supervisor(role) }); err != nil {
		return err
	}
	return p.openDirect(link, cfg.LeaseRenewer, role.Deliver)
}

// directConfig returns the configuration of a role and its link, which is not open yet.
func (p *Process) directConfig(kind catalog.Role) (DirectConfig, *peer.Loopback) {
	link := p.newLink()
	report := p.report(p.cfg.Settings.Name, p.address())
	report.Role = kind
	report.State = catalog.Serving
	keeper := NewLeaseRenewer(LeaseRenewerConfig{
		Entry: report, Replicas: shuffled(newRand(), p.memberNames()), Sender: link,
		Clock: p.clock, Log: p.log,
	})
	return DirectConfig{
		LeaseRenewer: keeper, Report: report, Sender: link, Clock: p.clock, Counters: p.metrics,
		Histograms: p.metrics, Log: p.log, Recorder: p.cfg.Adapter.Recorder,
	}, link
}

// addDirect has the process run a role.
func (p *Process) addDirect(cfg DirectConfig, r role, start func(context.Context) <-chan struct{}) {
	p.addRole(r, func(ctx context.Context) <-chan error { return withoutFault(start(ctx)) })
	p.join(cfg.Report.Node.ID, r.Deliver)
	p.watchLease(cfg.LeaseRenewer, "")
}

func (p *Process) openDirect(link *peer.Loopback, keeper *LeaseRenewer, deliver func(message.Envelope)) error {
	return p.openTransport(link, peer.Config{
		Listen: p.cfg.Settings.Listen, Advertise: p.cfg.Settings.Advertise,
		Self: keeper.Node, Cluster: keeper.Cluster, Deliver: deliver, Resolve: p.resolver(keeper),
		PingInterval: linkPing, UnresponsiveTimeout: linkSilent,
	})
}
