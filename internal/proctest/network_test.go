package proctest_test

import (
	"bytes"
	"net"
	"sync"
	"testing"
)

// network is a set of TCP proxies, one before the listener of each process. It
// tells the connecting process by the name in the first bytes of a connection, and
// silently drops bytes from one process to another where told to.
type network struct {
	mu    sync.Mutex
	names []string

	blocked map[[2]string]bool
	closers []func() error
	closed  bool
}

func newNetwork(t *testing.T) *network {
	n := &network{blocked: map[[2]string]bool{}}
	t.Cleanup(n.close)
	return n
}

// through stands a proxy before a process and returns its address.
func (n *network) through(name, listen string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return listen // the cluster works, and the test that cuts the link fails
	}
	n.mu.Lock()
	n.names = append(n.names, name)
	n.mu.Unlock()
	n.keep(listener.Close)
	go n.accept(name, listen, listener)
	return listener.Addr().String()
}

func (n *network) accept(name, target string, listener net.Listener) {
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
		link := &proxied{network: n, listener: name}
		go link.copy(far, near, true)
		go link.copy(near, far, false)
	}
}

// keep has a socket closed at the end of the test.
func (n *network) keep(closer func() error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = closer()
		return
	}
	n.closers = append(n.closers, closer)
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, closer := range n.closers {
		_ = closer()
	}
}

// block drops everything that one process sends to another.
func (n *network) block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = true
}

// cut drops everything between a process and others, all others if none is given.
func (n *network) cut(name string, others ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(others) == 0 {
		others = n.names
	}
	for _, other := range others {
		n.blocked[[2]string{name, other}] = true
		n.blocked[[2]string{other, name}] = true
	}
}

// deafen drops everything that other processes send to a process.
func (n *network) deafen(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.names {
		n.blocked[[2]string{other, name}] = true
	}
}

// mute drops everything that a process sends to other processes.
func (n *network) mute(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.names {
		n.blocked[[2]string{name, other}] = true
	}
}

// heal ends all cuts. Connections that lost bytes stay silent.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}

func (n *network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]string{from, to}]
}

// caller finds the name of the process that connected.
func (n *network) caller(greeting []byte, listener string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range n.names {
		if name != listener && bytes.Contains(greeting, []byte(name)) {
			return name
		}
	}
	return ""
}

// proxied is one connection through a proxy.
type proxied struct {
	network  *network
	listener string

	mu       sync.Mutex
	greeting []byte
	dialer   string
}

func (p *proxied) observe(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialer == "" {
		p.greeting = append(p.greeting, data...)
		p.dialer = p.network.caller(p.greeting, p.listener)
	}
}

func (p *proxied) isBlocked(inward bool) bool {
	p.mu.Lock()
	dialer := p.dialer
	p.mu.Unlock()
	if inward {
		return p.network.isBlocked(dialer, p.listener)
	}
	return p.network.isBlocked(p.listener, dialer)
}

// copy passes bytes on until a side closes. Once it has dropped bytes it drops all
// further ones, so that no process sees a damaged stream.
func (p *proxied) copy(to, from net.Conn, inward bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 64<<10)
	silent := false
	for {
		size, err := from.Read(buf)
		if inward {
			p.observe(buf[:size])
		}
		silent = silent || p.isBlocked(inward)
		if !silent {
			if _, err := to.Write(buf[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
