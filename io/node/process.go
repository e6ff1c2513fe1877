// Package node runs the roles of the system as processes. It connects the state
// machines of zinniasill/core to peers, HTTP interfaces and goroutines.
//
//	process, err := node.New(node.Config{Settings: s, Role: settings.RoleEntry})
//	if err != nil {
//		return err
//	}
//	err = process.Run(ctx) // until ctx is done, then stops gracefully
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/core/consensus"
	"zinniasill/core/control"
	"zinniasill/core/message"
	"zinniasill/io/httpserver"
	"zinniasill/io/identity"
	"zinniasill/io/metrics"
	"zinniasill/io/peer"
	"zinniasill/io/settings"
)

// role is a part of the system that a process runs.
type role interface {
	Deliver(env message.Envelope)
	Ready() error
	// Stop stops the role's work gracefully. It doesn't stop the role's goroutines, which
	// run until the context given to Start is done.
	Stop(ctx context.Context) error
}

// Config configures a Process.
type Config struct {
	Settings settings.Settings
	Role     settings.Role
	Log      *logrus.Logger
	// Adapter connects the roles to an external protocol. It is required for
	// settings.RoleDispatcher and settings.RoleSupervisor, which have no interface of
	// their own.
	Adapter *Adapter
	// Metrics is the set to register metrics in. If nil, New creates one.
	Metrics *metrics.Set
}

// Process is one process of the system. Use New.
type Process struct {
	cfg     Config
	log     logrus.FieldLogger
	clock   zinniasill.Clock
	metrics *metrics.Set
	// budget and connections bound what clients can occupy, and refusals reports those that
	// are refused.
	budget      *budget.Budget
	connections *httpserver.Connections
	refusals    *refusalLog
	members     []consensus.Member
	// links are the senders of the roles, local the receive functions of the roles by
	// node ID.
	links      []*peer.Loopback
	local      map[zinniasill.NodeID]func(message.Envelope)
	transports []*peer.Transport
	// identity is nil without TLS.
	identity *identity.Source
	servers  []server
	roles    []role
	// stopping is set once the graceful stop has begun.
	stopping atomic.Bool
	// start holds the functions that start the goroutines of the roles.
	start []func(ctx context.Context) <-chan error
}

// server is an HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
	unused   *unusedConns
}

// newRand returns a random source with a random seed.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(NewIncarnation()), uint64(NewIncarnation())))
}

// messageTypes returns the message types that are not defined in package message. Type
// numbers are never reused.
func messageTypes() []peer.MessageType {
	return []peer.MessageType{
		{Number: 64, Sample: consensus.PreVote{}},
		{Number: 65, Sample: consensus.PreVoteReply{}},
		{Number: 66, Sample: consensus.Vote{}},
		{Number: 67, Sample: consensus.VoteReply{}},
		{Number: 68, Sample: consensus.Append{}},
		{Number: 69, Sample: consensus.AppendReply{}},
		{Number: 70, Sample: consensus.InstallSnapshot{}, Class: peer.ClassBulk},
		{Number: 71, Sample: consensus.TimeoutNow{}},
		{Number: 72, Sample: consensus.Forward{}},
		{Number: 73, Sample: consensus.ForwardReply{}},
		{Number: 74, Sample: consensus.ReadRequest{}},
		{Number: 75, Sample: consensus.ReadReply{}},
		{Number: 76, Sample: consensus.Hello{}},
		{Number: 77, Sample: consensus.JoinRequest{}},
		{Number: 78, Sample: consensus.JoinReply{}},
		{Number: 79, Sample: control.ForwardedRenewals{}},
	}
}

// listen opens a listener for a server. An empty address opens none.
func (p *Process) listen(address string, cfg httpserver.Config) error {
	if address == "" {
		return nil
	}
	serve := httpserver.New(p.serverConfig(cfg))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	p.servers = append(p.servers, server{
		Server: serve, listener: p.connections.Listen(listener, cfg.Class), unused: trackUnused(serve),
	})
	return nil
}

// Ready returns nil if the process can receive work, and otherwise an error with all
// reasons why it can't.
func (p *Process) Ready() error {
	var problems []error
	if p.stopping.Load() {
		problems = append(problems, eris.New("the process is stopping"))
	}
	for _, r := range p.roles {
		problems = append(problems, r.Ready())
	}
	return errors.Join(problems...)
}

// Run runs the process until ctx is done or one of its components fails. When ctx is
// done, it stops the process gracefully within Settings.StopTimeout and returns nil.
// After a failure it stops at once and returns the error.
func (p *Process) Run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRun()
	failed := make(chan error, len(p.servers)+len(p.start)+len(p.transports))
	var done []<-chan error
	for _, transport := range p.transports {
		done = append(done, transport.Start(runCtx))
	}
	for _, start := range p.start {
		done = append(done, start(runCtx))
	}
	for _, ended := range done {
		go func() { failed <- <-ended }()
	}
	for _, s := range p.servers {
		go func() {
			if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- eris.Wrapf(err, "serve on %s", s.listener.Addr())
			}
		}()
	}
	p.log.Info("started")
	var fault error
	select {
	case <-ctx.Done():
		p.log.Info("stopping")
		p.stopping.Store(true)
		p.stop()
	case fault = <-failed:
		p.log.WithError(fault).Error("stopping after a failure")
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	cancelRun()
	p.awaitGoroutines(done)
	p.log.Info("stopped")
	return fault
}

// shutdownTimeout bounds the wait for the goroutines of a process that exits.
const shutdownTimeout = 5 * time.Second

func (p *Process) awaitGoroutines(done []<-chan error) {
	timer := time.NewTimer(shutdownTimeout)
	defer timer.Stop()
	for _, ended := range done {
		select {
		case err := <-ended:
			if err != nil {
				p.log.WithError(err).Warn("a component ended with an error")
			}
		case <-timer.C:
			p.log.Warn("some goroutines did not end before the shutdown timeout")
			return
		}
	}
}

// stop stops the roles gracefully. Requests in flight are answered before the
// servers are closed.
func (p *Process) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Settings.StopTimeout)
	defer cancel()
	for _, r := range p.roles {
		if err := r.Stop(ctx); err != nil {
			p.log.WithError(err).Warn("graceful stop of a role did not complete")
		}
	}
	for _, s := range p.servers {
		if err := s.shutdown(ctx); err != nil {
			p.log.WithError(err).Warn("requests in progress were aborted")
		}
	}
}

// newLink returns a sender for a role. It delivers to the other roles of the process
// directly, and to other processes once openTransport has been called.
func (p *Process) newLink() *peer.Loopback {
	link := &peer.Loopback{}
	p.links = append(p.links, link)
	for id, deliver := range p.local {
		link.Register(id, deliver)
	}
	return link
}

// addLocal makes a role reachable from the other roles of the process.
func (p *Process) addLocal(id zinniasill.NodeID, deliver func(message.Envelope)) {
	p.local[id] = deliver
	for _, link := range p.links {
		link.Register(id, deliver)
	}
}

// openTransport completes the configuration of a role's transport to other processes,
// opens its listener and connects it to the role's link.
func (p *Process) openTransport(link *peer.Loopback, cfg peer.Config) error {
	codec, err := peer.NewCodec(messageTypes()...)
	if err != nil {
		return err
	}
	cfg.Codec = codec
	cfg.Clock = p.clock
	cfg.Counters = p.metrics
	cfg.Seed = uint64(NewIncarnation())
	cfg.Budget = p.budget
	cfg.MaxPending, cfg.MaxInbound = linkLimits(p.cfg.Settings)
	if p.identity != nil {
		cfg.Security = p.identity
	}
	transport, err := peer.New(cfg)
	if err != nil {
		return err
	}
	link.Next = transport
	p.transports = append(p.transports, transport)
	return nil
}

// registerTrafficGauges registers gauges for the total traffic of the process's
// transports.
func (p *Process) registerTrafficGauges() {
	gauge := func(name string, read func(stats peer.Stats) uint64) {
		p.metrics.Gauge(name, func() float64 {
			sum := uint64(0)
			for _, transport := range p.transports {
				sum += read(transport.Stats())
			}
			return float64(sum)
		})
	}
	gauge("peer_sent_bytes", func(stats peer.Stats) uint64 { return stats.SentBytes })
	gauge("peer_received_bytes", func(stats peer.Stats) uint64 { return stats.ReceivedBytes })
	gauge("peer_sent_envelopes", func(stats peer.Stats) uint64 { return stats.Sent })
	gauge("peer_received_envelopes", func(stats peer.Stats) uint64 { return stats.Received })
}

// address returns the address at which peers reach this process.
func (p *Process) address() string {
	if p.cfg.Settings.Advertise != "" {
		return p.cfg.Settings.Advertise
	}
	return p.cfg.Settings.Listen
}

func (p *Process) memberAddress(id zinniasill.NodeID) (string, bool) {
	for _, member := range p.members {
		if member.Name == id {
			return member.Address, true
		}
	}
	return "", false
}

func (p *Process) memberNames() []zinniasill.NodeID {
	names := make([]zinniasill.NodeID, len(p.members))
	for i, member := range p.members {
		names[i] = member.Name
	}
	return names
}
