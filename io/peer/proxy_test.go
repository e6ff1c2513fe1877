package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// proxy forwards TCP connections to a target. It can drop the traffic of connections
// without closing them; new connections are not affected.
type proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup
	mu       sync.Mutex
	links    []*proxyLink
}

// proxyLink is one forwarded connection, from the client that opened it to the server.
// A stalled link no longer reads.
type proxyLink struct {
	client, server                      net.Conn
	dropToServer, dropToClient, stalled atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target}
	p.wg.Go(p.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		p.forEach(func(link *proxyLink) {
			_ = link.client.Close()
			_ = link.server.Close()
		})
		p.wg.Wait()
	})
	return p
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		link := &proxyLink{client: client, server: server}
		p.mu.Lock()
		p.links = append(p.links, link)
		p.mu.Unlock()
		p.wg.Go(func() { link.forward(server, client, &link.dropToServer) })
		p.wg.Go(func() { link.forward(client, server, &link.dropToClient) })
	}
}

// forward copies until either side is closed. If bytes are dropped, it does not close
// the other side, like a network that loses all packets.
func (l *proxyLink) forward(to, from net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for !l.stalled.Load() {
		n, err := from.Read(buf)
		if l.stalled.Load() {
			return
		}
		if drop.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, failed := to.Write(buf[:n]); err != nil || failed != nil {
			_ = to.Close()
			return
		}
	}
}

func (p *proxy) forEach(visit func(link *proxyLink)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, link := range p.links {
		visit(link)
	}
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}
