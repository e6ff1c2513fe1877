package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// proxy forwards TCP connections and can make those that are open silent while it
// keeps them open; new ones work.
type proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup
	mu       sync.Mutex
	links    []*proxied
}

// proxied is one forwarded connection. Up is from the opener to the target.
type proxied struct {
	near, far              net.Conn
	dropUp, dropDown, stop atomic.Bool
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
		p.each(func(link *proxied) {
			_ = link.near.Close()
			_ = link.far.Close()
		})
		p.wg.Wait()
	})
	return p
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		link := &proxied{near: near, far: far}
		p.mu.Lock()
		p.links = append(p.links, link)
		p.mu.Unlock()
		p.wg.Go(func() { link.forward(far, near, &link.dropUp) })
		p.wg.Go(func() { link.forward(near, far, &link.dropDown) })
	}
}

// forward copies until an end. Once bytes are dropped it leaves the other side
// open, as a network that loses everything does.
func (l *proxied) forward(to, from net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for !l.stop.Load() {
		n, err := from.Read(buf)
		if l.stop.Load() {
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

func (p *proxy) each(visit func(link *proxied)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, link := range p.links {
		visit(link)
	}
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}
