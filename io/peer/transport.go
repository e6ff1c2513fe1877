package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/core/message"
)

// Default values of the fields of Config.
const (
	DefaultPingInterval        = 500 * time.Millisecond
	DefaultUnresponsiveTimeout = 1500 * time.Millisecond
	DefaultUnreachableTimeout  = 10 * time.Second
	DefaultProbeTimeout        = 250 * time.Millisecond
	DefaultMaxPending          = 256
)

// LinkState is the state of a link that this process opens.
type LinkState string

// Values of LinkState.
const (
	StateUp   LinkState = "up"
	StateDown LinkState = "down"
)

// LinkEvent reports that a link of this process to a peer is up, has ended or could not
// be opened, or that an accepted connection was refused. In the last case Peer is empty.
// Err is nil if the link is up.
type LinkEvent struct {
	Peer    zinniasill.NodeID
	Address string
	State   LinkState
	Err     error
}

// Config configures a Transport. Self, Resolve, Deliver and Clock are required.
type Config struct {
	// Self returns the id and the current incarnation of this process.
	Self func() zinniasill.Node
	// Cluster returns the id of the cluster, empty until the process has joined one. If
	// nil, the id is always empty. Envelopes from another cluster are dropped.
	Cluster func() zinniasill.ClusterID
	// Listen is the TCP address to accept links on. If empty, none are accepted.
	Listen string
	// Listener, if set, is used instead of Listen. The transport closes it.
	Listener net.Listener
	// Advertise is the address sent to peers for their links to this process, by default
	// that of the listener. A peer uses it if its Resolve returns no address.
	Advertise string
	// Resolve returns the address of a node, and false if there is none.
	Resolve func(zinniasill.NodeID) (address string, ok bool)
	// Route, if set, returns the node to which envelopes for an incarnation of a node are
	// sent. It is another node after that incarnation has handed over its records. The
	// envelopes keep their To.
	Route func(to zinniasill.Node) zinniasill.NodeID
	// Deliver is called with the envelopes received on all links, concurrently. It must
	// not block.
	Deliver func(message.Envelope)
	// Notify, if set, is called with each link event. It must not block.
	Notify func(LinkEvent)
	Clock  zinniasill.Clock
	// Counters receives the metrics. It may be nil.
	Counters zinniasill.Counters
	// Codec encodes and decodes messages. If nil, it supports the core types only.
	Codec *Codec
	// Security, if set, enables TLS on all links.
	Security Security
	// Seed seeds the random jitter of the back-off.
	Seed uint64
	// PingInterval is the interval between pings on a link, DefaultPingInterval if 0.
	PingInterval time.Duration
	// UnresponsiveTimeout is the time without received data, or without progress of a
	// write, after which a connection is closed. DefaultUnresponsiveTimeout if 0.
	UnresponsiveTimeout time.Duration
	// HelloTimeout limits the time from a connection to the hello, UnresponsiveTimeout if
	// 0.
	HelloTimeout time.Duration
	// ProbeTimeout is the time without received data after a call of Probe after which
	// the link is closed, DefaultProbeTimeout if 0.
	ProbeTimeout time.Duration
	// UnreachableTimeout is the time without a link to a peer after which the queued
	// envelopes for it are dropped, DefaultUnreachableTimeout if 0.
	UnreachableTimeout time.Duration
	// Budget, if set, is charged with the accepted connections and the messages that they
	// have received in part.
	Budget *budget.Budget
	// MaxPending is the maximum number of accepted connections whose hello has not been
	// received, DefaultMaxPending if 0. MaxInbound is that of all accepted connections, 0 for
	// no limit. At a limit, a connection of the address with most of them is closed.
	MaxPending, MaxInbound int
}

// Stats has the traffic since the start: envelopes sent and received, frames of
// envelopes sent, and bytes on TCP connections in each direction, including those of
// TLS and pings.
type Stats struct {
	Sent          uint64
	Received      uint64
	Frames        uint64
	SentBytes     uint64
	ReceivedBytes uint64
}

// Transport manages the links of one process. It is created by New.
type Transport struct {
	cfg      Config
	encoding encoding
	random   *jitter
	workers  conc.WaitGroup

	mu         sync.RWMutex
	ctx        context.Context //nolint:containedctx // Ends the goroutines that Send starts for new peers.
	peers      map[zinniasill.NodeID]*outbound
	advertised map[zinniasill.NodeID]string // addresses from received hellos

	connMu sync.Mutex
	conns  map[*conn]struct{}
	// inbound holds the accepted connections.
	inbound *inboundSet

	sent, received, frames atomic.Uint64
	traffic                traffic
}

// New validates the configuration and listens. It returns an error if a required field
// is missing or the address cannot be bound.
func New(cfg Config) (*Transport, error) {
	if cfg.Self == nil || cfg.Resolve == nil || cfg.Deliver == nil || cfg.Clock == nil {
		return nil, eris.New("peer transport: Self, Resolve, Deliver and Clock are required")
	}
	setDefaults(&cfg)
	if cfg.Codec == nil {
		codec, err := NewCodec()
		if err != nil {
			return nil, err
		}
		cfg.Codec = codec
	}
	if cfg.Listener == nil && cfg.Listen != "" {
		listener, err := net.Listen("tcp", cfg.Listen)
		if err != nil {
			return nil, eris.Wrapf(err, "listen for peers on %s", cfg.Listen)
		}
		cfg.Listener = listener
	}
	if cfg.Advertise == "" && cfg.Listener != nil {
		cfg.Advertise = cfg.Listener.Addr().String()
	}
	return &Transport{
		cfg:        cfg,
		encoding:   encoding{codec: cfg.Codec},
		random:     &jitter{source: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))},
		peers:      map[zinniasill.NodeID]*outbound{},
		advertised: map[zinniasill.NodeID]string{},
		conns:      map[*conn]struct{}{},
		inbound:    newInboundSet(cfg.MaxPending, cfg.MaxInbound),
	}, nil
}

// setDefaults sets optional fields that are unset to their defaults.
func setDefaults(cfg *Config) {
	if cfg.PingInterval == 0 {
		cfg.PingInterval = DefaultPingInterval
	}
	if cfg.UnresponsiveTimeout == 0 {
		cfg.UnresponsiveTimeout = DefaultUnresponsiveTimeout
	}
	if cfg.HelloTimeout == 0 {
		cfg.HelloTimeout = cfg.UnresponsiveTimeout
	}
	if cfg.ProbeTimeout == 0 {
		cfg.ProbeTimeout = DefaultProbeTimeout
	}
	if cfg.UnreachableTimeout == 0 {
		cfg.UnreachableTimeout = DefaultUnreachableTimeout
	}
	if cfg.MaxPending == 0 {
		cfg.MaxPending = DefaultMaxPending
	}
	if cfg.Counters == nil {
		cfg.Counters = noCounters{}
	}
	if cfg.Cluster == nil {
		cfg.Cluster = func() zinniasill.ClusterID { return "" }
	}
	if cfg.Notify == nil {
		cfg.Notify = func(LinkEvent) {}
	}
}

// Address returns the address on which links are accepted, empty if none are.
func (t *Transport) Address() string {
	if t.cfg.Listener == nil {
		return ""
	}
	return t.cfg.Listener.Addr().String()
}

// Stats returns the traffic since the start.
func (t *Transport) Stats() Stats {
	return Stats{
		Sent: t.sent.Load(), Received: t.received.Load(), Frames: t.frames.Load(),
		SentBytes: t.traffic.sent.Load(), ReceivedBytes: t.traffic.received.Load(),
	}
}

// Start accepts and opens links in the background until ctx ends or the listener fails.
// After all goroutines have ended, the returned channel delivers the error of the
// listener, if any, and is closed.
func (t *Transport) Start(ctx context.Context) <-chan error {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	accepted := make(chan error, 1)
	t.workers.Go(func() { t.monitorConns(ctx) })
	t.workers.Go(func() {
		defer cancel()
		accepted <- t.accept(ctx)
	})
	go func() {
		defer close(ended)
		<-ctx.Done()
		t.mu.Lock()
		t.ctx = nil
		t.mu.Unlock()
		t.workers.Wait()
		if err := <-accepted; err != nil {
			ended <- err
		}
	}()
	return ended
}

// route returns the node to which envelopes for a node are sent.
func (t *Transport) route(to zinniasill.Node) zinniasill.NodeID {
	if t.cfg.Route == nil {
		return to.ID
	}
	return t.cfg.Route(to)
}

// Send queues env for its receiver. It sets the version, and the sender and the cluster
// if they are empty. It never blocks: envelopes are dropped if the queue is full, the
// transport is not running or the type of the body is not registered.
func (t *Transport) Send(env message.Envelope) {
	class, ok := t.cfg.Codec.class(env.Body)
	if !ok {
		t.countDropped(reasonUnregistered)
		return
	}
	env.Version = message.Version
	if env.From == (zinniasill.Node{}) {
		env.From = t.cfg.Self()
	}
	if env.Cluster == "" {
		env.Cluster = t.cfg.Cluster()
	}
	id := t.route(env.To)
	t.mu.RLock()
	to := t.peers[id]
	if to != nil {
		t.push(to, class, env)
	}
	t.mu.RUnlock()
	if to == nil {
		t.sendToNewPeer(id, class, env)
	}
}

// sendToNewPeer queues an envelope after creating the outbound peer for it.
func (t *Transport) sendToNewPeer(id zinniasill.NodeID, class Class, env message.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil {
		t.countDropped(reasonUnreachable)
		return
	}
	to := t.peers[id]
	if to == nil {
		to = &outbound{transport: t, id: id, queue: newQueue(), reachable: make(chan struct{}, 1)}
		t.peers[id] = to
		ctx := t.ctx
		t.workers.Go(func() { to.run(ctx) })
	}
	t.push(to, class, env)
}

// push queues an envelope for a peer, or drops it if the queue is full.
func (t *Transport) push(to *outbound, class Class, env message.Envelope) {
	if !to.queue.push(class, env) {
		t.countDropped(reasonQueueFull)
	}
}

// removeIfIdle removes an outbound peer. It returns false, and keeps the peer, if
// envelopes are queued for it.
func (t *Transport) removeIfIdle(out *outbound) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if out.queue.size() > 0 {
		return false
	}
	delete(t.peers, out.id)
	return true
}

// resolve returns the address of a node from Config.Resolve, or else the one that the
// node has advertised.
func (t *Transport) resolve(id zinniasill.NodeID) (string, bool) {
	if address, ok := t.cfg.Resolve(id); ok {
		return address, true
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	address, ok := t.advertised[id]
	return address, ok
}

// recordHello stores the address advertised in a received hello, and opens the link to its
// sender at once if an attempt has failed.
func (t *Transport) recordHello(received hello) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if received.Address != "" {
		t.advertised[received.From.ID] = received.Address
	}
	if out := t.peers[received.From.ID]; out != nil {
		out.contact()
	}
}

// countDropped counts a dropped envelope.
func (t *Transport) countDropped(reason zinniasill.Reason) {
	t.cfg.Counters.Inc("peer_dropped_total", reason)
}

// noCounters discards all counts.
type noCounters struct{}

// Inc implements zinniasill.Counters.
func (noCounters) Inc(string, zinniasill.Reason) {}

// jitter is a seeded source of random durations, safe for concurrent use.
type jitter struct {
	mu     sync.Mutex
	source *rand.Rand
}

// between returns a random duration from low to high, both included.
func (j *jitter) between(low, high time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return low + time.Duration(j.source.Int64N(int64(high-low)+1))
}
