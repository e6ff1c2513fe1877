package localcluster

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	// copyBuffer is the most that a proxy passes on at once.
	copyBuffer = 64 << 10
	// maxGreeting is the number of bytes in which the connecting process must have
	// named itself.
	maxGreeting = 4 << 10
	// maxDelayed is the number of pieces on their way in one direction of a delayed
	// connection; beyond it the sender has to wait.
	maxDelayed = 1 << 12
)

// cborText is the first byte of a CBOR text without its length, which is added for
// texts of less than 24 bytes.
const cborText = 0x60

// proxied is one connection through a proxy.
type proxied struct {
	network  *Network
	listener string
	// near is the connection of the process that connected, far that to the listener.
	near, far net.Conn

	mu       sync.Mutex
	greeting []byte
	// dialer is the process that connected, empty if it isn't known yet.
	dialer string
}

// observe finds the name of the process that connected in the first bytes. The
// encoded length before the name tells agent-1 from agent-10.
func (p *proxied) observe(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialer != "" || len(p.greeting) > maxGreeting {
		return
	}
	p.greeting = append(p.greeting, data...)
	for _, name := range p.network.others(p.listener) {
		text := append([]byte{cborText + byte(len(name))}, name...)
		if bytes.Contains(p.greeting, text) {
			p.dialer = name
		}
	}
}

// ends returns the sending and the receiving process of a direction.
func (p *proxied) ends(inward bool) (from, to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inward {
		return p.dialer, p.listener
	}
	return p.listener, p.dialer
}

// reset closes both sides so that the processes see a reset, not an orderly end.
func (p *proxied) reset() {
	for _, side := range []net.Conn{p.near, p.far} {
		if tcp, ok := side.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // without it the end is orderly, which is a fault too
		}
		_ = side.Close()
	}
}

// copy passes bytes on until a side closes. Once it has dropped bytes it drops all
// further ones, so that no process sees a damaged stream.
func (p *proxied) copy(to, from net.Conn, inward bool) {
	line := newDelayLine(to)
	defer func() {
		p.network.remove(p)
		line.close()
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, copyBuffer)
	silent := false
	for {
		size, err := from.Read(buf)
		if inward {
			p.observe(buf[:size])
		}
		sender, receiver := p.ends(inward)
		silent = silent || !p.network.passes(sender, receiver, buf[:size])
		if !silent {
			if err := line.write(buf[:size], p.network.delay(sender, receiver)); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delayLine writes to a connection, after a delay where one is asked for.
type delayLine struct {
	to     net.Conn
	pieces chan delayed
	done   chan struct{}
}

// delayed is a piece of a stream that is due at a time.
type delayed struct {
	data []byte
	due  time.Time
}

func newDelayLine(to net.Conn) *delayLine {
	return &delayLine{to: to}
}

// write writes data at once, or after a delay in order with earlier data.
func (l *delayLine) write(data []byte, delay time.Duration) error {
	if delay <= 0 && l.pieces == nil {
		_, err := l.to.Write(data)
		return err
	}
	if l.pieces == nil {
		l.pieces = make(chan delayed, maxDelayed)
		l.done = make(chan struct{})
		go l.run()
	}
	l.pieces <- delayed{data: bytes.Clone(data), due: time.Now().Add(delay)}
	return nil
}

// run writes the pieces when they are due. After an error it drops them and closes
// the connection, which ends the reads on its other side.
func (l *delayLine) run() {
	defer close(l.done)
	for piece := range l.pieces {
		time.Sleep(time.Until(piece.due))
		if _, err := l.to.Write(piece.data); err != nil {
			_ = l.to.Close()
		}
	}
}

// close waits until everything is written.
func (l *delayLine) close() {
	if l.pieces != nil {
		close(l.pieces)
		<-l.done
	}
}
