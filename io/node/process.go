// Package node runs the roles of the system as processes: the state machines of
// zinniasill/core with their links, interfaces and goroutines.
//
//	process, err := node.New(node.Config{Settings: s, Role: settings.RoleEntry})
//	if err != nil {
//		return err
//	}
//	err = process.Run(ctx) // until ctx ends, then a graceful stop
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
	"zinniasill/core/consensus"
	"zinniasill/core/control"
	"zinniasill/core/message"
	"zinniasill/io/identity"
	"zinniasill/io/metrics"
	"zinniasill/io/peer"
	"zinniasill/io/settings"
)

// role is what a process needs of each of its roles.
type role interface {
	Deliver(env message.Envelope)
	Ready() error
	// Stop ends the role's work gracefully; its goroutines end with their context.
	Stop(ctx context.Context) error
}

// Config configures a Process.
type Config struct {
	Settings settings.Settings
	Role     settings.Role
	Log      *logrus.Logger
	// Adapter connects the roles to an interface other than the product's own. It is
	// required for the roles that have none.
	Adapter *Adapter
	// Metrics is a new set if nil.
	Metrics *metrics.Set
}

// Process is one process of the system. Use New.
type Process struct {
	cfg     Config
	log     logrus.FieldLogger
	clock   zinniasill.Clock
	metrics *metrics.Set
	members []consensus.Member
	// links has the sender of each role, local the receivers.
	links      []*peer.Loopback
	local      map[zinniasill.NodeID]func(message.Envelope)
	transports []*peer.Transport
	// identity is nil without TLS.
	identity *identity.Source
	servers  []server
	roles    []role
	// stopping is set once the graceful stop has begun.
	stopping atomic.Bool
	// start starts the goroutines of the roles.
	start []func(ctx context.Context) <-chan error
}

// server is an HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
	unused   *unusedConns
}

// newRand returns a source that differs between processes.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(NewIncarnation()), uint64(NewIncarnation())))
}

// messageTypes are the message types besides those of package message. Numbers
// are never reused.
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

// listen opens a server for a handler. An empty address opens none.
func (p *Process) listen(address string, serve *http.Server) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	p.servers = append(p.servers, server{Server: serve, listener: listener, unused: watchUnused(serve)})
	return nil
}

// Ready returns an error that says why the process should get no work.
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

// Run runs the process until ctx ends or a part of it fails, and then stops it
// gracefully within the settings' time.
func (p *Process) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	failed := make(chan error, len(p.servers)+len(p.start)+len(p.transports))
	var ends []<-chan error
	for _, transport := range p.transports {
		ends = append(ends, transport.Start(life))
	}
	for _, start := range p.start {
		ends = append(ends, start(life))
	}
	for _, end := range ends {
		go func() { failed <- <-end }()
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
		p.log.WithError(fault).Error("stopping after a fault")
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	end()
	p.awaitEnds(ends)
	p.log.Info("stopped")
	return fault
}

// endTimeout bounds the wait for the goroutines of a process that ends.
const endTimeout = 5 * time.Second

func (p *Process) awaitEnds(ends []<-chan error) {
	timer := time.NewTimer(endTimeout)
	defer timer.Stop()
	for _, end := range ends {
		select {
		case err := <-end:
			if err != nil {
				p.log.WithError(err).Warn("a part ended with an error")
			}
		case <-timer.C:
			p.log.Warn("some goroutines have not ended in time")
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
			p.log.WithError(err).Warn("graceful stop was cut short")
		}
	}
	for _, s := range p.servers {
		if err := s.shutdown(ctx); err != nil {
			p.log.WithError(err).Warn("requests in flight were cut")
		}
	}
}

// newLink returns the sender of a role that is being built. It reaches the other
// roles of the process directly, and other processes once openTransport was called.
func (p *Process) newLink() *peer.Loopback {
	link := &peer.Loopback{}
	p.links = append(p.links, link)
	for id, deliver := range p.local {
		link.Register(id, deliver)
	}
	return link
}

// join makes a role reachable for the other roles of the process.
func (p *Process) join(id zinniasill.NodeID, deliver func(message.Envelope)) {
	p.local[id] = deliver
	for _, link := range p.links {
		link.Register(id, deliver)
	}
}

// openTransport completes the configuration of a role's links to other processes
// and opens their listener.
func (p *Process) openTransport(link *peer.Loopback, cfg peer.Config) error {
	codec, err := peer.NewCodec(messageTypes()...)
	if err != nil {
		return err
	}
	cfg.Codec = codec
	cfg.Clock = p.clock
	cfg.Counters = p.metrics
	cfg.Seed = uint64(NewIncarnation())
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

// countTraffic serves the traffic of all links of the process.
func (p *Process) countTraffic() {
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

// address returns the address that peers reach this process at.
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
