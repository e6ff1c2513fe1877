package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/placement"
	"zinniasill/io/caller"
	"zinniasill/io/daemon"
	"zinniasill/io/metrics"
	"zinniasill/io/peer"
	"zinniasill/io/settings"
)

// New builds a process and opens its sockets and files. Its goroutines start with
// Run.
func New(cfg Config) (*Process, error) {
	p := &Process{
		cfg:     cfg,
		log:     cfg.Log.WithField("node", cfg.Settings.Name),
		clock:   daemon.SystemClock{},
		metrics: metrics.New(),
	}
	p.members, _ = settings.ParseMembers(cfg.Settings.Members)
	build := map[settings.Role]func() error{
		settings.RoleControl: p.buildControl,
		settings.RoleEntry:   p.buildEntry,
		settings.RoleAgent:   p.buildAgent,
	}[cfg.Role]
	if build == nil {
		return nil, eris.Errorf("role %q cannot run as a process of its own", cfg.Role)
	}
	if err := build(); err != nil {
		p.closeListeners()
		return nil, err
	}
	health := &http.Server{Handler: metrics.Handler(p.metrics, p.Ready), ReadHeaderTimeout: headerTimeout}
	if err := p.listen(cfg.Settings.Metrics, health); err != nil {
		p.closeListeners()
		return nil, err
	}
	return p, nil
}

// headerTimeout bounds what a slow client of an internal interface holds.
const headerTimeout = 5 * time.Second

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

func (p *Process) buildControl() error {
	s := p.cfg.Settings
	role, err := NewControl(ControlConfig{
		Name: zinniasill.NodeID(s.Name), Peers: p.members, Folder: s.DataFolder, NewCluster: s.NewCluster,
		Sender: lateSender{p}, Clock: p.clock, Counters: p.metrics, Log: p.log, Rand: newRand(), Lease: s.Lease,
	})
	if err != nil {
		return err
	}
	p.roles = append(p.roles, role)
	p.start = append(p.start, role.Start)
	p.metrics.Gauge("control_term", func() float64 { return float64(role.Status().Term) })
	p.metrics.Gauge("control_commit_index", func() float64 { return float64(role.Status().Commit) })
	if err := p.listen(s.HTTP, caller.Server(role.Handler())); err != nil {
		return err
	}
	return p.openTransport(peer.Config{
		Self: role.Node, Deliver: role.Deliver, Resolve: p.memberAddress,
	})
}

// resolver returns the address of a node from the settings or the catalog.
func (p *Process) resolver(keeper *Keeper) func(zinniasill.NodeID) (string, bool) {
	return func(id zinniasill.NodeID) (string, bool) {
		if address, ok := p.memberAddress(id); ok {
			return address, true
		}
		entry, ok := keeper.Catalog().Nodes[id]
		return entry.Address, ok && entry.Address != ""
	}
}

// routeToHost sends what is addressed to a stopped agent to the host of its records.
func routeToHost(keeper *Keeper) func(zinniasill.Node) zinniasill.NodeID {
	return func(to zinniasill.Node) zinniasill.NodeID {
		if host, ok := keeper.Catalog().Host(to); ok {
			return host.ID
		}
		return to.ID
	}
}

func (p *Process) report() catalog.NodeEntry {
	return catalog.NodeEntry{
		Node:    zinniasill.Node{ID: zinniasill.NodeID(p.cfg.Settings.Name)},
		Domain:  zinniasill.Domain(p.cfg.Settings.Domain),
		Address: p.address(),
	}
}

func (p *Process) buildEntry() error {
	s := p.cfg.Settings
	random := newRand()
	role := NewEntry(EntryConfig{
		Report: p.report(), Replicas: shuffled(random, p.memberNames()), Sender: lateSender{p},
		Clock: p.clock, Counters: p.metrics, Log: p.log,
		Picker: &placement.BetterOfTwo{Rand: random}, Rand: random,
	})
	p.roles = append(p.roles, role)
	p.start = append(p.start, func(ctx context.Context) <-chan error { return withoutFault(role.Start(ctx)) })
	p.watchLease(role.Keeper())
	handler := caller.New(caller.Config{Jobs: role, MaxRequests: s.MaxRequests, Counters: p.metrics})
	if err := p.listen(s.HTTP, caller.Server(handler)); err != nil {
		return err
	}
	return p.openTransport(peer.Config{
		Self: role.Keeper().Node, Cluster: role.Keeper().Cluster, Deliver: role.Deliver,
		Resolve: p.resolver(role.Keeper()), Route: routeToHost(role.Keeper()),
		Notify: func(event peer.Event) {
			if event.State == peer.Down {
				go role.LinkDown(context.Background(), event.Peer)
			}
		},
	})
}

func (p *Process) buildAgent() error {
	s := p.cfg.Settings
	role := NewAgent(AgentConfig{
		Report: p.report(), Replicas: shuffled(newRand(), p.memberNames()), Sender: lateSender{p},
		Clock: p.clock, Counters: p.metrics, Log: p.log,
	})
	p.roles = append(p.roles, role)
	p.start = append(p.start, func(ctx context.Context) <-chan error { return withoutFault(role.Start(ctx)) })
	p.watchLease(role.Keeper())
	if err := p.listen(s.HTTP, caller.Server(role.Handler())); err != nil {
		return err
	}
	return p.openTransport(peer.Config{
		Self: role.Keeper().Node, Cluster: role.Keeper().Cluster, Deliver: role.Deliver,
		Resolve: p.resolver(role.Keeper()), Route: routeToHost(role.Keeper()),
	})
}

// watchLease serves the state of a node's lease.
func (p *Process) watchLease(keeper *Keeper) {
	p.metrics.Gauge("lease_valid", func() float64 {
		if keeper.Valid(p.clock.Now()) {
			return 1
		}
		return 0
	})
	p.metrics.Gauge("catalog_revision", func() float64 { return float64(keeper.Catalog().Revision) })
}

// shuffled spreads the nodes over the control replicas.
func shuffled(random *rand.Rand, names []zinniasill.NodeID) []zinniasill.NodeID {
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}
