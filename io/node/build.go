package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/consensus"
	"zinniasill/core/control"
	"zinniasill/core/job"
	"zinniasill/core/message"
	"zinniasill/core/placement"
	"zinniasill/io/caller"
	"zinniasill/io/daemon"
	"zinniasill/io/identity"
	"zinniasill/io/metrics"
	"zinniasill/io/peer"
	"zinniasill/io/settings"
)

// entrySuffix follows the name of a process that runs an entry beside another role.
const entrySuffix = "-entry"

// New builds a process and opens its sockets and files. Its goroutines start with
// Run.
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
		return nil, eris.Errorf("role %q cannot run as a process of its own", cfg.Role)
	}
	if err := p.openIdentity(); err != nil {
		return nil, err
	}
	if err := build(); err != nil {
		p.closeListeners()
		return nil, err
	}
	p.countTraffic()
	health := &http.Server{Handler: metrics.Handler(p.metrics, p.Ready), ReadHeaderTimeout: headerTimeout}
	if err := p.listen(cfg.Settings.Metrics, health); err != nil {
		p.closeListeners()
		return nil, err
	}
	return p, nil
}

// headerTimeout bounds what a slow client of an internal interface holds.
const headerTimeout = 5 * time.Second

// openIdentity reads the TLS files if any are given.
func (p *Process) openIdentity() error {
	files := p.cfg.Settings.Files()
	if !files.IsSet() {
		return nil
	}
	var err error
	p.identity, err = identity.Open(identity.Config{Files: files, Counters: p.metrics, Log: p.log})
	return err
}

// require returns a handler for clients that have a right. Without TLS all have it.
func (p *Process) require(right identity.Right, handler http.Handler) http.Handler {
	if p.identity == nil {
		return handler
	}
	return p.identity.Require(right, handler)
}

// listenSecure opens a server that uses TLS if the settings name TLS files.
func (p *Process) listenSecure(address string, handler http.Handler) error {
	serve := caller.Server(handler)
	if p.identity != nil {
		serve.ErrorLog = p.identity.HTTPLog()
	}
	if err := p.listen(address, serve); err != nil || address == "" {
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

// withoutFault adapts the end of a role that cannot fail.
func withoutFault(ended <-chan struct{}) <-chan error {
	done := make(chan error)
	go func() {
		defer close(done)
		<-ended
	}()
	return done
}

// addRole has the process run a role.
func (p *Process) addRole(r role, start func(ctx context.Context) <-chan error) {
	p.roles = append(p.roles, r)
	p.start = append(p.start, start)
}

func (p *Process) buildControl() error {
	s := p.cfg.Settings
	if s.WithEntry {
		// The entry is stopped first: it needs control until its jobs have ended.
		if err := p.buildEntryBeside(); err != nil {
			return err
		}
	}
	link := p.newLink()
	role, err := p.newControl(zinniasill.NodeID(s.Name), s.NewCluster, link)
	if err != nil {
		return err
	}
	if err := p.listenSecure(s.HTTP, p.require(identity.Operator, role.Handler())); err != nil {
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

// controlResolver returns the address of a replica, which the settings need not name.
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
		Open:   s.OpenGroup,
		BackgroundTasks: control.LeaderTasksConfig{ReplaceTimeout: s.ReplaceAfter},
	})
	if err != nil {
		return nil, err
	}
	p.addRole(role, role.Start)
	p.join(name, role.Deliver)
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

// resolver returns the address of a node from the settings or the catalog.
func (p *Process) resolver(keeper *LeaseRenewer) func(zinniasill.NodeID) (string, bool) {
	return func(id zinniasill.NodeID) (string, bool) {
		if address, ok := p.memberAddress(id); ok {
			return address, true
		}
		entry, ok := keeper.Catalog().Nodes[id]
		return entry.Address, ok && entry.Address != ""
	}
}

// routeToHost sends what is addressed to a stopped agent to the host of its records.
func routeToHost(keeper *LeaseRenewer) func(zinniasill.Node) zinniasill.NodeID {
	return func(to zinniasill.Node) zinniasill.NodeID {
		if host, ok := keeper.Catalog().Host(to); ok {
			return host.ID
		}
		return to.ID
	}
}

// report returns what a role of this process reports to control.
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
	p.watchLease(role.LeaseRenewer(), "")
	if err := p.listenSecure(s.HTTP, p.callers(role)); err != nil {
		return err
	}
	return p.openEntry(role, link, s.Listen, s.Advertise)
}

// buildEntryBeside adds an entry with addresses of its own to a control process.
func (p *Process) buildEntryBeside() error {
	s := p.cfg.Settings
	link := p.newLink()
	role := p.newEntry(p.report(s.Name+entrySuffix, s.EntryListen), link)
	p.watchLease(role.LeaseRenewer(), "")
	if err := p.listenSecure(s.EntryHTTP, p.callers(role)); err != nil {
		return err
	}
	return p.openEntry(role, link, s.EntryListen, "")
}

func (p *Process) newEntry(report catalog.NodeEntry, link *peer.Loopback) *Entry {
	random := newRand()
	role := NewEntry(EntryConfig{
		Report: report, Replicas: shuffled(random, p.memberNames()), Sender: link,
		Clock: p.clock, Counters: p.metrics, Log: p.log,
		Picker: &placement.BetterOfTwo{Rand: random}, Rand: random,
		Limits: job.Limits{MaxRecordBytes: p.cfg.Settings.EntryRecords << 20},
	})
	p.metrics.Gauge("entry_record_bytes", func() float64 { return float64(role.records.Load()) })
	p.addRole(role, func(ctx context.Context) <-chan error { return withoutFault(role.Start(ctx)) })
	p.join(report.Node.ID, role.Deliver)
	return role
}

// callers returns the interface for callers.
func (p *Process) callers(role *Entry) http.Handler {
	return p.require(identity.Caller, caller.New(caller.Config{
		Jobs: role, MaxRequests: p.cfg.Settings.MaxRequests, Counters: p.metrics,
	}))
}

func (p *Process) openEntry(role *Entry, link *peer.Loopback, listen, advertise string) error {
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
	p.watchLease(role.LeaseRenewer(), "")
	if err := p.listen(s.HTTP, caller.Server(role.Handler())); err != nil {
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
		RecordLimit: p.cfg.Settings.AgentRecords << 20,
	})
	p.metrics.Gauge("agent_record_bytes", func() float64 { return float64(role.records.Load()) })
	p.metrics.Gauge("agent_busy_slots", func() float64 { return float64(role.busy.Load()) })
	p.metrics.Gauge("agent_queued_tasks", func() float64 { return float64(role.queued.Load()) })
	p.addRole(role, func(ctx context.Context) <-chan error { return withoutFault(role.Start(ctx)) })
	p.join(report.Node.ID, role.Deliver)
	return role
}

// watchLease serves the state of a node's lease. The role is part of the names in
// a process that holds several leases.
func (p *Process) watchLease(keeper *LeaseRenewer, role settings.Role) {
	label := ""
	if role != "" {
		label = `{role="` + string(role) + `"}`
	}
	p.metrics.Gauge("lease_valid"+label, func() float64 {
		if keeper.Valid(p.clock.Now()) {
			return 1
		}
		return 0
	})
	p.metrics.Gauge("catalog_revision"+label, func() float64 { return float64(keeper.Catalog().Revision) })
}

// shuffled spreads the nodes over the control replicas.
func shuffled(random *rand.Rand, names []zinniasill.NodeID) []zinniasill.NodeID {
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}
