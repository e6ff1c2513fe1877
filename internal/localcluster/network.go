package localcluster

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// Network is a set of TCP proxies, one in front of the listener of each process, that
// can delay or silently drop what one process sends to another. A connection that lost
// bytes stays open but forwards nothing more in that direction. The zero value is ready
// to use:
//
//	network := &localcluster.Network{}
//	defer network.Close()
//	cluster, err := localcluster.Start(ctx, localcluster.Config{Proxy: network.Proxy, ...})
//	network.Partition("agent-1", "control-1", "control-2")
//	network.RestoreAll()
type Network struct {
	// Delay, if set, returns the delay of bytes from one process to another. The TCP
	// handshake is not delayed.
	Delay func(from, to string) time.Duration
	// Pass, if set, reports whether bytes from one process to another are forwarded.
	// The bytes and all that follow on their connection wait until it returns. The name
	// of a process that has not identified itself yet is empty.
	Pass func(from, to string, data []byte) bool

	mu        sync.Mutex
	names     []string
	blocked   map[direction]int
	closers   []func() error
	links     map[*proxiedConn]struct{}
	closed    bool
	listenErr error
}

// direction identifies the traffic from one process to another.
type direction struct {
	from, to string
}

// Proxy starts a proxy for the process name, which listens on listen, and returns the
// proxy's address. If the proxy cannot listen, Proxy returns listen, and Err returns the
// error.
func (n *Network) Proxy(name, listen string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	n.mu.Lock()
	if err != nil {
		n.listenErr = err
	}
	n.names = append(n.names, name)
	n.mu.Unlock()
	if err != nil {
		return listen // the cluster works, but its links cannot be blocked
	}
	n.addCloser(listener.Close)
	go n.accept(name, listen, listener)
	return listener.Addr().String()
}

// Err returns the error of the last proxy that could not listen, or nil.
func (n *Network) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listenErr
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
		n.addCloser(near.Close)
		n.addCloser(far.Close)
		link := &proxiedConn{network: n, listener: name, near: near, far: far}
		n.addLink(link)
		go link.copy(far, near, true)
		go link.copy(near, far, false)
	}
}

func (n *Network) addLink(link *proxiedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = map[*proxiedConn]struct{}{}
	}
	n.links[link] = struct{}{}
}

func (n *Network) removeLink(link *proxiedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, link)
}

// Reset resets all open connections of a process.
func (n *Network) Reset(name string) {
	n.mu.Lock()
	links := slices.Collect(maps.Keys(n.links))
	n.mu.Unlock()
	for _, link := range links {
		if from, to := link.senderAndReceiver(true); from == name || to == name {
			link.reset()
		}
	}
}

// addCloser registers the close function of a socket with Close, or calls it at once if
// the network is already closed.
func (n *Network) addCloser(closer func() error) {
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

// Block drops everything that one process sends to another. Like the other methods that
// block traffic, it returns a function that ends this block alone; RestoreAll ends all.
func (n *Network) Block(from, to string) (restore func()) {
	return n.block([]direction{{from, to}})
}

// Partition drops everything between a process and others, in both directions. If no
// others are given, it drops everything between the process and all others.
func (n *Network) Partition(name string, others ...string) (restore func()) {
	if len(others) == 0 {
		others = n.processNames()
	}
	var directions []direction
	for _, other := range others {
		directions = append(directions, direction{name, other}, direction{other, name})
	}
	return n.block(directions)
}

// BlockInbound drops everything that other processes send to a process.
func (n *Network) BlockInbound(name string) (restore func()) {
	var directions []direction
	for _, other := range n.processNames() {
		directions = append(directions, direction{other, name})
	}
	return n.block(directions)
}

// BlockOutbound drops everything that a process sends to other processes.
func (n *Network) BlockOutbound(name string) (restore func()) {
	var directions []direction
	for _, other := range n.processNames() {
		directions = append(directions, direction{name, other})
	}
	return n.block(directions)
}

// block counts the blocks of each direction, so that ending one leaves the others in
// effect.
func (n *Network) block(directions []direction) (restore func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked == nil {
		n.blocked = map[direction]int{}
	}
	blocked := n.blocked
	for _, d := range directions {
		blocked[d]++
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, d := range directions {
			blocked[d]--
		}
	}
}

// RestoreAll ends all blocks. Connections that lost bytes still forward nothing.
func (n *Network) RestoreAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	// The restore functions of earlier blocks decrement the old map, so they cannot
	// end later blocks.
	n.blocked = nil
}

func (n *Network) processNames() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.names)
}

// passes reports whether bytes from one process to another are forwarded.
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

// otherNames returns the names of all processes except one.
func (n *Network) otherNames(name string) []string {
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
