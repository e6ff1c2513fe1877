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
	"zinniasill/core/message"
)

// Defaults of Config.
const (
	DefaultPingInterval        = 500 * time.Millisecond
	DefaultUnresponsiveTimeout      = 1500 * time.Millisecond
	DefaultUnreachableTimeout = 10 * time.Second
)

// watchFraction is the part of SilentAfter between two looks at the connections.
const watchFraction = 15

// LinkState is the state of a link that this process opened.
type LinkState string

// Values of State.
const (
	StateUp   LinkState = "up"
	StateDown LinkState = "down"
)

// LinkEvent is a change of a link that this process opened, or a connection that was
// refused. Err is nil when the link went up.
type LinkEvent struct {
	Peer    zinniasill.NodeID
	Address string
	State   LinkState
	Err     error
}

// Config configures a Transport. Self, Resolve and Deliver are required.
type Config struct {
	// Self returns the current life of this process.
	Self func() zinniasill.Node
	// Cluster returns the cluster's id, empty before it is formed. Nil stands for
	// an id that is always empty. Envelopes of another cluster are dropped.
	Cluster func() zinniasill.ClusterID
	// Listen is the TCP address to accept links on, empty for none.
	Listen string
	// Listener, if set, is used instead of Listen. The transport closes it.
	Listener net.Listener
	// Advertise is the address given to peers for their links to this process, the
	// listener's address if empty. A peer uses it where its Resolve knows none.
	Advertise string
	// Resolve returns the address of a node.
	Resolve func(zinniasill.NodeID) (address string, ok bool)
	// Route, if set, returns the process that answers for a node. It is another one
	// once the node has handed over its records; envelopes keep their To.
	Route func(to zinniasill.Node) zinniasill.NodeID
	// Deliver receives the envelopes of all links. It must not block.
	Deliver func(message.Envelope)
	// Notify, if set, is called on changes of links. It must not block.
	Notify func(LinkEvent)
	Clock  zinniasill.Clock
	// Counters may be nil.
	Counters zinniasill.Counters
	// Codec is the codec of the core types if nil.
	Codec *Codec
	// Security enables TLS on all links if set.
	Security Security
	// Seed seeds the jitter of the back-off.
	Seed uint64
	// PingInterval, SilentAfter and UnreachableAfter are the defaults if 0.
	PingInterval   time.Duration
	UnresponsiveTimeout time.Duration
	// UnreachableTimeout is the time after which the envelopes that wait for a peer
	// without a link are dropped.
	UnreachableTimeout time.Duration
}

// Stats counts the traffic since the start: envelopes, frames, and the bytes on
// TCP connections in both directions, those of TLS and pings included.
type Stats struct {
	Sent          uint64
	Received      uint64
	Frames        uint64
	SentBytes     uint64
	ReceivedBytes uint64
}

// Transport holds the links of one process. Use New.
type Transport struct {
	cfg      Config
	encoding encoding
	random   *jitter
	tasks    conc.WaitGroup

	mu      sync.RWMutex
	ctx     context.Context //nolint:containedctx // The life of the peers that Send creates.
	peers   map[zinniasill.NodeID]*outbound
	learned map[zinniasill.NodeID]string

	connMu sync.Mutex
	conns  map[*conn]struct{}

	sent, received, frames atomic.Uint64
	traffic                traffic
}

// New checks the configuration and listens. It returns an error when a required
// field is missing or the address cannot be bound.
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
		cfg:      cfg,
		encoding: encoding{codec: cfg.Codec},
		random:   &jitter{source: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))},
		peers:    map[zinniasill.NodeID]*outbound{},
		learned:  map[zinniasill.NodeID]string{},
		conns:    map[*conn]struct{}{},
	}, nil
}

func setDefaults(cfg *Config) {
	if cfg.PingInterval == 0 {
		cfg.PingInterval = DefaultPingInterval
	}
	if cfg.UnresponsiveTimeout == 0 {
		cfg.UnresponsiveTimeout = DefaultUnresponsiveTimeout
	}
	if cfg.UnreachableTimeout == 0 {
		cfg.UnreachableTimeout = DefaultUnreachableTimeout
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

// Address returns the address that links are accepted on, empty if none.
func (t *Transport) Address() string {
	if t.cfg.Listener == nil {
		return ""
	}
	return t.cfg.Listener.Addr().String()
}

// Stats returns the traffic so far.
func (t *Transport) Stats() Stats {
	return Stats{
		Sent: t.sent.Load(), Received: t.received.Load(), Frames: t.frames.Load(),
		SentBytes: t.traffic.sent.Load(), ReceivedBytes: t.traffic.received.Load(),
	}
}

// Start accepts and opens links until ctx ends. When all goroutines have ended,
// the returned channel delivers the error that stopped the listener, if one did,
// and is closed.
func (t *Transport) Start(ctx context.Context) <-chan error {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	accepted := make(chan error, 1)
	t.tasks.Go(func() { t.watch(ctx) })
	t.tasks.Go(func() {
		defer cancel()
		accepted <- t.accept(ctx)
	})
	go func() {
		defer close(ended)
		<-ctx.Done()
		t.mu.Lock()
		t.ctx = nil
		t.mu.Unlock()
		t.tasks.Wait()
		if err := <-accepted; err != nil {
			ended <- err
		}
	}()
	return ended
}

// route returns the process that answers for a node.
func (t *Transport) route(to zinniasill.Node) zinniasill.NodeID {
	if t.cfg.Route == nil {
		return to.ID
	}
	return t.cfg.Route(to)
}

// Send queues env for its receiver. It fills in the version, and the sender and
// the cluster where they are empty. It never blocks; envelopes that find their
// queue full or a transport that is not running are dropped.
func (t *Transport) Send(env message.Envelope) {
	class, ok := t.cfg.Codec.class(env.Body)
	if !ok {
		t.drop(reasonUnregistered)
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
		t.sendFirst(id, class, env)
	}
}

// sendFirst creates the peer of an envelope.
func (t *Transport) sendFirst(id zinniasill.NodeID, class Class, env message.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil {
		t.drop(reasonUnreachable)
		return
	}
	to := t.peers[id]
	if to == nil {
		to = &outbound{transport: t, id: id, queue: newQueue()}
		t.peers[id] = to
		ctx := t.ctx
		t.tasks.Go(func() { to.run(ctx) })
	}
	t.push(to, class, env)
}

func (t *Transport) push(to *outbound, class Class, env message.Envelope) {
	if !to.queue.push(class, env) {
		t.drop(reasonQueueFull)
	}
}

// remove ends an outbound peer. It reports false when an envelope has come that
// keeps it alive.
func (t *Transport) remove(out *outbound) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if out.queue.size() > 0 {
		return false
	}
	delete(t.peers, out.id)
	return true
}

func (t *Transport) resolve(id zinniasill.NodeID) (string, bool) {
	if address, ok := t.cfg.Resolve(id); ok {
		return address, true
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	address, ok := t.learned[id]
	return address, ok
}

func (t *Transport) learn(greeting hello) {
	if greeting.Address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learned[greeting.From.ID] = greeting.Address
}

func (t *Transport) drop(reason zinniasill.Reason) {
	t.cfg.Counters.Inc("peer_dropped_total", reason)
}

// watch closes connections that are silent or stalled and has pings sent.
func (t *Transport) watch(ctx context.Context) {
	ticks, stop := t.cfg.Clock.NewTicker(t.cfg.UnresponsiveTimeout / watchFraction)
	defer stop()
	pinged := t.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			t.inspect(func(c *conn) { _ = c.Close() })
			return
		case <-ticks:
		}
		now := t.cfg.Clock.Now()
		pingDue := now.Sub(pinged) >= t.cfg.PingInterval
		if pingDue {
			pinged = now
		}
		t.inspect(func(c *conn) { t.check(c, pingDue) })
	}
}

func (t *Transport) check(c *conn, pingDue bool) {
	if reason := c.fault(t.cfg.UnresponsiveTimeout); reason != "" {
		if reason != reasonNoHello {
			t.cfg.Counters.Inc("peer_closed_total", reason)
		}
		t.forget(c)
		_ = c.Close()
		return
	}
	if pingDue && c.onPing != nil {
		c.onPing()
	}
}

func (t *Transport) inspect(visit func(c *conn)) {
	t.connMu.Lock()
	open := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.connMu.Unlock()
	for _, c := range open {
		visit(c)
	}
}

// track has the connection watched. It reports false, and closes the connection,
// when the transport has ended.
func (t *Transport) track(ctx context.Context, c *conn) bool {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	if ctx.Err() != nil {
		_ = c.Close()
		return false
	}
	t.conns[c] = struct{}{}
	return true
}

func (t *Transport) forget(c *conn) {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	delete(t.conns, c)
}

// noCounters counts nothing.
type noCounters struct{}

// Inc implements zinniasill.Counters.
func (noCounters) Inc(string, zinniasill.Reason) {}

// jitter is a seeded random source for several goroutines.
type jitter struct {
	mu     sync.Mutex
	source *rand.Rand
}

// between returns a duration from low to high.
func (j *jitter) between(low, high time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return low + time.Duration(j.source.Int64N(int64(high-low)+1))
}
