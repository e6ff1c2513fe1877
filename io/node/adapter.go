package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
	"zinniasill/core/route"
	"zinniasill/io/daemon"
	"zinniasill/io/httpserver"
	"zinniasill/io/peer"
)

// Adapter connects the roles of a process to an external protocol that differs from
// this project's own interfaces. It only translates requests and responses; all
// decisions are made by the roles.
type Adapter struct {
	// Control, Dispatcher and Supervisor return the servers to open for a role.
	Control    func(*Control) []AdapterServer
	Dispatcher func(*Dispatcher) []AdapterServer
	Supervisor func(*Supervisor) []AdapterServer
	// Executor calls the endpoint that runs beside a supervisor.
	Executor zinniasill.Executor
	// Compile builds the routing table from the content of a configuration document.
	Compile func(content []byte) (*route.Table, error)
	// Recorder receives the decisions that the roles make.
	Recorder zinniasill.Recorder
}

// AdapterServer is an HTTP server and the address that it listens on.
type AdapterServer struct {
	Address string
	// Server is the configuration of the server: its handler, class and timeouts, and how it
	// responds to a request that is refused for want of memory.
	Server httpserver.Config
}

// The links between dispatchers and supervisors are numerous, and their state machines
// notice within a lease that the other side does not answer. So links are pinged rarely,
// and probed when an answer is missing.
const (
	linkPingInterval        = time.Second
	linkUnresponsiveTimeout = 3 * time.Second
	linkHelloTimeout        = 600 * time.Millisecond
)

// serveAdapter opens the servers that the adapter provides for a role. It does nothing
// if no adapter is configured.
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

// DirectConfig holds the settings common to Dispatcher and Supervisor, which are the
// entry and the agent for direct jobs.
type DirectConfig struct {
	LeaseRenewer *LeaseRenewer
	// Report is the initial state that the role reports to control.
	Report     catalog.NodeEntry
	Sender     peer.Sender
	Clock      zinniasill.Clock
	Counters   zinniasill.Counters
	Histograms zinniasill.Histograms
	Log        logrus.FieldLogger
	Recorder   zinniasill.Recorder
}

// newLoop returns the event loop of a role. The caller starts it. A new catalog starts an
// iteration: an idle loop ticks every 100 ms only, and an entry that has just started waits
// for its first configuration.
func (c DirectConfig) newLoop(machine daemon.Machine, after func(now time.Time)) *daemon.Loop {
	loop := daemon.New(daemon.Config{
		Machine: machine, Sender: c.Sender, Clock: c.Clock, AfterIteration: after,
		Dropped: func() { c.Counters.Inc("mailbox_dropped", "") },
	})
	c.LeaseRenewer.NotifyCatalog(func() { loop.Post(func(time.Time) {}) })
	return loop
}

func (p *Process) buildDispatcher() error {
	cfg, link := p.directConfig(catalog.RoleEntry)
	role := NewDispatcher(DispatcherConfig{
		DirectConfig: cfg, Compile: p.cfg.Adapter.Compile, Overload: p.cfg.Settings.Overload,
	})
	p.addDirectRole(cfg, role, role.Start)
	if err := p.serveAdapter(func(a *Adapter) []AdapterServer { return a.Dispatcher(role) }); err != nil {
		return err
	}
	return p.openDirectTransport(link, cfg.LeaseRenewer, role.Deliver)
}

func (p *Process) buildSupervisor() error {
	cfg, link := p.directConfig(catalog.RoleAgent)
	role := NewSupervisor(SupervisorConfig{DirectConfig: cfg, Executor: p.cfg.Adapter.Executor})
	p.addDirectRole(cfg, role, role.Start)
	if err := p.serveAdapter(func(a *Adapter) []AdapterServer { return a.Supervisor(role) }); err != nil {
		return err
	}
	return p.openDirectTransport(link, cfg.LeaseRenewer, role.Deliver)
}

// directConfig returns the configuration of a role and its link. The link reaches other
// processes only after openDirectTransport.
func (p *Process) directConfig(kind catalog.Role) (DirectConfig, *peer.Loopback) {
	link := p.newLink()
	report := p.report(p.cfg.Settings.Name, p.address())
	report.Role = kind
	report.State = catalog.Serving
	renewer := NewLeaseRenewer(LeaseRenewerConfig{
		Entry: report, Replicas: shuffled(newRand(), p.memberNames()), Sender: link,
		Clock: p.clock, Log: p.log,
	})
	return DirectConfig{
		LeaseRenewer: renewer, Report: report, Sender: link, Clock: p.clock, Counters: p.metrics,
		Histograms: p.metrics, Log: p.log, Recorder: p.cfg.Adapter.Recorder,
	}, link
}

// addDirectRole registers a dispatcher or supervisor with the process.
func (p *Process) addDirectRole(cfg DirectConfig, r role, start func(context.Context) <-chan struct{}) {
	p.addRole(r, func(ctx context.Context) <-chan error { return infallible(start(ctx)) })
	p.addLocal(cfg.Report.Node.ID, r.Deliver)
	p.registerLeaseGauges(cfg.LeaseRenewer, "")
}

func (p *Process) openDirectTransport(link *peer.Loopback, renewer *LeaseRenewer, deliver func(message.Envelope)) error {
	return p.openTransport(link, peer.Config{
		Listen: p.cfg.Settings.Listen, Advertise: p.cfg.Settings.Advertise,
		Self: renewer.Node, Cluster: renewer.Cluster, Deliver: deliver, Resolve: p.resolver(renewer),
		PingInterval: linkPingInterval, UnresponsiveTimeout: linkUnresponsiveTimeout,
		HelloTimeout: linkHelloTimeout,
	})
}
