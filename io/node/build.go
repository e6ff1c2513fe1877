package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/core/catalog"
	"zinniasill/core/consensus"
	"zinniasill/core/control"
	"zinniasill/core/job"
	"zinniasill/core/message"
	"zinniasill/core/placement"
	"zinniasill/io/caller"
	"zinniasill/io/daemon"
	"zinniasill/io/httpserver"
	"zinniasill/io/identity"
	"zinniasill/io/metrics"
	"zinniasill/io/peer"
	"zinniasill/io/settings"
)

// entrySuffix is appended to the process name to form the node ID of an entry that
// shares its process with another role.
const entrySuffix = "-entry"

// New builds a process and opens its sockets and files. Call Run to start its
// goroutines.
func New(cfg Config) (*Process, error) {
	p := &Process{
		cfg:     cfg,
		log:     cfg.Log.WithField("node", cfg.Settings.Name),
		clock:   daemon.SystemClock{},
		metrics: metrics.New(),
		local:   map[zinniasill.NodeID]func(message.Envelope){},
	}
	if cfg.Metrics != nil {
		p.metrics = cfg.Metrics
	}
	p.refusals = &refusalLog{log: p.log, clock: p.clock}
	if cfg.Adapter != nil {
		p.refusals.recorder = cfg.Adapter.Recorder
	}
	p.openLimits()
	p.members, _ = settings.ParseMembers(cfg.Settings.Members)
	build := map[settings.Role]func() error{
		settings.RoleControl:  p.buildControl,
		settings.RoleEntry:    p.buildEntry,
		settings.RoleAgent:    p.buildAgent,
		settings.RoleAllInOne: p.buildAllInOne,

		settings.RoleDispatcher: p.buildDispatcher,
		settings.RoleSupervisor: p.buildSupervisor,
	}[cfg.Role]
	if build == nil {
		return nil, eris.Errorf("role %q cannot run as a process", cfg.Role)
	}
	if err := p.openIdentity(); err != nil {
		return nil, err
	}
	if err := build(); err != nil {
		p.closeListeners()
		return nil, err
	}
	p.registerTrafficGauges()
	health := httpserver.Config{
		Handler: metrics.Handler(p.metrics, p.Ready), Class: budget.Monitoring,
		HeaderTimeout: headerTimeout, BodyTimeout: headerTimeout, IdleTimeout: monitoringIdleTimeout,
	}
	if err := p.listen(cfg.Settings.Metrics, health); err != nil {
		p.closeListeners()
		return nil, err
	}
	return p, nil
}

// headerTimeout bounds how long a slow client of the metrics and health server can
// hold a connection while it sends its request headers.
const headerTimeout = 5 * time.Second

// monitoringIdleTimeout is how long a connection for metrics stays open without a request.
// Metrics are commonly read every minute at least.
const monitoringIdleTimeout = 2 * time.Minute

// openIdentity loads the TLS files named in the settings, if there are any.
func (p *Process) openIdentity() error {
	files := p.cfg.Settings.Files()
	if !files.IsSet() {
		return nil
	}
	var err error
	p.identity, err = identity.Open(identity.Config{Files: files, Counters: p.metrics, Log: p.log})
	return err
}

// require wraps a handler so that it serves only clients with the given right. Without
// TLS every client is served.
func (p *Process) require(right identity.Right, handler http.Handler) http.Handler {
	if p.identity == nil {
		return handler
	}
	return p.identity.Require(right, handler)
}

// listenSecure opens a server that uses TLS if the settings name TLS files. An empty
// address opens none.
func (p *Process) listenSecure(address string, cfg httpserver.Config) error {
	if p.identity != nil {
		cfg.ErrorLog = p.identity.HTTPLog()
	}
	if err := p.listen(address, cfg); err != nil || address == "" {
		return err
	}
	if p.identity != nil {
		last := &p.servers[len(p.servers)-1]
		last.listener = tls.NewListener(last.listener, p.identity.Server())
	}
	return nil
}

func (p *Process) closeListeners() {
	for _, s := range p.servers {
		_ = s.listener.Close()
	}
}

// infallible converts the completion channel of a role that cannot fail to an error
// channel, which is closed without a value.
func infallible(ended <-chan struct{}) <-chan error {
	done := make(chan error)
	go func() {
		defer close(done)
		<-ended
	}()
	return done
}

// addRole registers a role and the function that starts its goroutines.
func (p *Process) addRole(r role, start func(ctx context.Context) <-chan error) {
	p.roles = append(p.roles, r)
	p.start = append(p.start, start)
}

func (p *Process) buildControl() error {
	s := p.cfg.Settings
	if s.WithEntry {
		// The entry is added first because roles are stopped in the order in which they
		// were added, and the entry needs control until its jobs have ended.
		if err := p.buildColocatedEntry(); err != nil {
			return err
		}
	}
	link := p.newLink()
	role, err := p.newControl(zinniasill.NodeID(s.Name), s.NewCluster, link)
	if err != nil {
		return err
	}
	if err := p.listenSecure(s.HTTP, caller.Server(p.require(identity.Operator, role.Handler()), budget.Operators)); err != nil {
		return err
	}
	if err := p.serveAdapter(func(a *Adapter) []AdapterServer { return a.Control(role) }); err != nil {
		return err
	}
	return p.openTransport(link, peer.Config{
		Listen: s.Listen, Advertise: s.Advertise,
		Self: role.Node, Deliver: role.Deliver, Resolve: p.controlResolver(role),
	})
}

// controlResolver returns a function that looks up the address of a control replica in
// the settings, or else in the current membership of the group.
func (p *Process) controlResolver(role *Control) func(zinniasill.NodeID) (string, bool) {
	return func(id zinniasill.NodeID) (string, bool) {
		if address, ok := p.memberAddress(id); ok {
			return address, true
		}
		return role.Address(id)
	}
}

func (p *Process) newControl(name zinniasill.NodeID, newCluster bool, link *peer.Loopback) (*Control, error) {
	s := p.cfg.Settings
	role, err := NewControl(ControlConfig{
		Name: name, Peers: p.members, DataFolder: s.DataFolder, NewCluster: newCluster,
		Sender: link, Clock: p.clock, Counters: p.metrics, Log: p.log, Rand: newRand(), Lease: s.Lease,
		Open:            s.OpenGroup,
		FirstStart:      s.FirstStart,
		BackgroundTasks: control.LeaderTasksConfig{ReplaceTimeout: s.ReplaceAfter},
	})
	if err != nil {
		return nil, err
	}
	p.addRole(role, role.Start)
	p.addLocal(name, role.Deliver)
	p.metrics.Gauge("control_term", func() float64 { return float64(role.Status().Term) })
	p.metrics.Gauge("control_leading", func() float64 {
		if role.Status().Role == consensus.Leader {
			return 1
		}
		return 0
	})
	p.metrics.Gauge("control_applied_index", func() float64 { return float64(role.Applied()) })
	return role, nil
}

// resolver returns a function that looks up the address of a node in the settings, or
// else in the catalog.
func (p *Process) resolver(renewer *LeaseRenewer) func(zinniasill.NodeID) (string, bool) {
	return func(id zinniasill.NodeID) (string, bool) {
		if address, ok := p.memberAddress(id); ok {
			return address, true
		}
		if address, ok := renewer.ReplicaAddress(id); ok {
			return address, true
		}
		entry, ok := renewer.Catalog().Nodes[id]
		return entry.Address, ok && entry.Address != ""
	}
}

// routeToHost returns a function that routes messages for an agent that has handed over
// its records to the host of these records.
func routeToHost(renewer *LeaseRenewer) func(zinniasill.Node) zinniasill.NodeID {
	return func(to zinniasill.Node) zinniasill.NodeID {
		if host, ok := renewer.Catalog().Host(to); ok {
			return host.ID
		}
		return to.ID
	}
}

// report returns the initial state that a role of this process reports to control.
func (p *Process) report(name, address string) catalog.NodeEntry {
	return catalog.NodeEntry{
		Node:    zinniasill.Node{ID: zinniasill.NodeID(name)},
		Domain:  zinniasill.Domain(p.cfg.Settings.Domain),
		Address: address,
	}
}

func (p *Process) buildEntry() error {
	s := p.cfg.Settings
	link := p.newLink()
	role := p.newEntry(p.report(s.Name, p.address()), link)
	p.registerLeaseGauges(role.LeaseRenewer(), "")
	if err := p.listenSecure(s.HTTP, caller.Server(p.callers(role), budget.Callers)); err != nil {
		return err
	}
	return p.openEntryTransport(role, link, s.Listen, s.Advertise)
}

// buildColocatedEntry adds an entry with separate listen addresses to a control process.
func (p *Process) buildColocatedEntry() error {
	s := p.cfg.Settings
	link := p.newLink()
	role := p.newEntry(p.report(s.Name+entrySuffix, s.EntryListen), link)
	p.registerLeaseGauges(role.LeaseRenewer(), "")
	if err := p.listenSecure(s.EntryHTTP, caller.Server(p.callers(role), budget.Callers)); err != nil {
		return err
	}
	return p.openEntryTransport(role, link, s.EntryListen, "")
}

func (p *Process) newEntry(report catalog.NodeEntry, link *peer.Loopback) *Entry {
	random := newRand()
	role := NewEntry(EntryConfig{
		Report: report, Replicas: shuffled(random, p.memberNames()), Sender: link,
		Clock: p.clock, Counters: p.metrics, Log: p.log,
		Picker: &placement.BetterOfTwo{Rand: random}, Rand: random,
		Limits: job.Limits{MaxRecordBytes: recordLimit(p.cfg.Settings, p.cfg.Settings.EntryRecords)},
	})
	p.metrics.Gauge("entry_record_bytes", func() float64 { return float64(role.records.Load()) })
	p.addRole(role, func(ctx context.Context) <-chan error { return infallible(role.Start(ctx)) })
	p.addLocal(report.Node.ID, role.Deliver)
	return role
}

// callers returns the HTTP handler for callers.
func (p *Process) callers(role *Entry) http.Handler {
	return p.require(identity.Caller, caller.New(caller.Config{
		Jobs: role, MaxRequests: p.cfg.Settings.MaxRequests, Counters: p.metrics,
	}))
}

func (p *Process) openEntryTransport(role *Entry, link *peer.Loopback, listen, advertise string) error {
	return p.openTransport(link, peer.Config{
		Listen: listen, Advertise: advertise,
		Self: role.LeaseRenewer().Node, Cluster: role.LeaseRenewer().Cluster, Deliver: role.Deliver,
		Resolve: p.resolver(role.LeaseRenewer()), Route: routeToHost(role.LeaseRenewer()),
		Notify: func(event peer.LinkEvent) {
			if event.State == peer.StateDown {
				role.LinkDown(event.Peer)
			}
		},
	})
}

func (p *Process) buildAgent() error {
	s := p.cfg.Settings
	link := p.newLink()
	role := p.newAgent(p.report(s.Name, p.address()), link)
	p.registerLeaseGauges(role.LeaseRenewer(), "")
	if err := p.listen(s.HTTP, caller.Server(role.Handler(), budget.Endpoint)); err != nil {
		return err
	}
	return p.openTransport(link, peer.Config{
		Listen: s.Listen, Advertise: s.Advertise,
		Self: role.LeaseRenewer().Node, Cluster: role.LeaseRenewer().Cluster, Deliver: role.Deliver,
		Resolve: p.resolver(role.LeaseRenewer()), Route: routeToHost(role.LeaseRenewer()),
	})
}

func (p *Process) newAgent(report catalog.NodeEntry, link *peer.Loopback) *Agent {
	role := NewAgent(AgentConfig{
		Report: report, Replicas: shuffled(newRand(), p.memberNames()), Sender: link,
		Clock: p.clock, Counters: p.metrics, Log: p.log,
		RecordLimit: recordLimit(p.cfg.Settings, p.cfg.Settings.AgentRecords),
	})
	p.metrics.Gauge("agent_record_bytes", func() float64 { return float64(role.records.Load()) })
	p.metrics.Gauge("agent_busy_slots", func() float64 { return float64(role.busy.Load()) })
	p.metrics.Gauge("agent_queued_tasks", func() float64 { return float64(role.queued.Load()) })
	p.addRole(role, func(ctx context.Context) <-chan error { return infallible(role.Start(ctx)) })
	p.addLocal(report.Node.ID, role.Deliver)
	return role
}

// registerLeaseGauges registers gauges for the state of a node's lease. A process that
// holds several leases passes the role, which becomes a label of the gauges.
func (p *Process) registerLeaseGauges(renewer *LeaseRenewer, role settings.Role) {
	label := ""
	if role != "" {
		label = `{role="` + string(role) + `"}`
	}
	p.metrics.Gauge("lease_valid"+label, func() float64 {
		if renewer.Valid(p.clock.Now()) {
			return 1
		}
		return 0
	})
	p.metrics.Gauge("catalog_revision"+label, func() float64 { return float64(renewer.Catalog().Revision) })
}

// shuffled shuffles names in place and returns them. Each node tries the control
// replicas in a different order, which spreads the load over the replicas.
func shuffled(random *rand.Rand, names []zinniasill.NodeID) []zinniasill.NodeID {
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}
