package localcluster

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// Network is a set of TCP proxies, one before the listener of each process, that
// can delay and silently drop what one process sends to another. A connection
// that lost bytes stays open and silent. The zero value works:
//
//	network := &localcluster.Network{}
//	defer network.Close()
//	cluster, err := localcluster.Start(ctx, localcluster.Config{Through: network.Through, ...})
//	network.Cut("agent-1", "control-1", "control-2")
//	network.Heal()
type Network struct {
	// Delay, if set, returns how long bytes from one process to another take. The
	// handshake of TCP itself isn't delayed.
	Delay func(from, to string) time.Duration
	// Pass, if set, reports whether bytes from one process to another are passed on.
	// They and what follows on their connection wait until it returns. A process
	// that hasn't named itself yet is empty.
	Pass func(from, to string, data []byte) bool

	mu      sync.Mutex
	names   []string
	blocked map[direction]int
	closers []func() error
	links   map[*proxied]struct{}
	closed  bool
	failed  error
}

// direction is the way from one process to another.
type direction struct {
	from, to string
}

// Through stands a proxy before a process and returns the proxy's address. If it
// cannot listen, it returns the given address, and Err the error.
func (n *Network) Through(name, listen string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	n.mu.Lock()
	if err != nil {
		n.failed = err
	}
	n.names = append(n.names, name)
	n.mu.Unlock()
	if err != nil {
		return listen // the cluster works, but its links can't be cut
	}
	n.keep(listener.Close)
	go n.accept(name, listen, listener)
	return listener.Addr().String()
}

// Err returns the error of a proxy that could not listen.
func (n *Network) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed
}

func (n *Network) accept(name, target string, listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", target)
		if err != nil {
			_ = near.Close()
			continue
		}
		n.keep(near.Close)
		n.keep(far.Close)
		link := &proxied{network: n, listener: name, near: near, far: far}
		n.add(link)
		go link.copy(far, near, true)
		go link.copy(near, far, false)
	}
}

func (n *Network) add(link *proxied) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = map[*proxied]struct{}{}
	}
	n.links[link] = struct{}{}
}

func (n *Network) remove(link *proxied) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, link)
}

// Reset resets the present connections of a process.
func (n *Network) Reset(name string) {
	n.mu.Lock()
	links := slices.Collect(maps.Keys(n.links))
	n.mu.Unlock()
	for _, link := range links {
		if from, to := link.ends(true); from == name || to == name {
			link.reset()
		}
	}
}

// keep has a socket closed by Close.
func (n *Network) keep(closer func() error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = closer()
		return
	}
	n.closers = append(n.closers, closer)
}

// Close closes all proxies and their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, closer := range n.closers {
		_ = closer()
	}
}

// Block drops everything that one process sends to another. Like the other cuts, it
// returns what ends this cut alone; Heal ends all.
func (n *Network) Block(from, to string) (heal func()) {
	return n.block([]direction{{from, to}})
}

// Cut drops everything between a process and others, all others if none is given.
func (n *Network) Cut(name string, others ...string) (heal func()) {
	if len(others) == 0 {
		others = n.all()
	}
	var ways []direction
	for _, other := range others {
		ways = append(ways, direction{name, other}, direction{other, name})
	}
	return n.block(ways)
}

// Deafen drops everything that other processes send to a process.
func (n *Network) Deafen(name string) (heal func()) {
	var ways []direction
	for _, other := range n.all() {
		ways = append(ways, direction{other, name})
	}
	return n.block(ways)
}

// Mute drops everything that a process sends to other processes.
func (n *Network) Mute(name string) (heal func()) {
	var ways []direction
	for _, other := range n.all() {
		ways = append(ways, direction{name, other})
	}
	return n.block(ways)
}

// block counts cuts, so that one that ends leaves others of the same direction.
func (n *Network) block(ways []direction) (heal func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked == nil {
		n.blocked = map[direction]int{}
	}
	blocked := n.blocked
	for _, way := range ways {
		blocked[way]++
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, way := range ways {
			blocked[way]--
		}
	}
}

// Heal ends all cuts. Connections that lost bytes stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	// What is blocked until now is counted in a map that is no longer looked at.
	n.blocked = nil
}

func (n *Network) all() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.names)
}

// passes reports whether bytes from one process to another are passed on.
func (n *Network) passes(from, to string, data []byte) bool {
	if n.Pass != nil && !n.Pass(from, to, data) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[direction{from, to}] == 0
}

func (n *Network) delay(from, to string) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(from, to)
}

// others returns the names of all processes but one.
func (n *Network) others(name string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others []string
	for _, other := range n.names {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}
