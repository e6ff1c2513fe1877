package localcluster

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	// copyBuffer is the size in bytes of the buffer for one read.
	copyBuffer = 64 << 10
	// maxHello is the number of bytes within which the connecting process must have
	// identified itself.
	maxHello = 4 << 10
	// maxDelayedChunks is the number of chunks in flight in one direction of a delayed
	// connection; at this limit the sender blocks.
	maxDelayedChunks = 1 << 12
)

// cborText is the initial byte of a CBOR text string of length 0. For strings shorter
// than 24 bytes, the length is added to it.
const cborText = 0x60

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	network  *Network
	listener string
	// near is the connection from the dialing process, far the one to the listener.
	near, far net.Conn

	mu         sync.Mutex
	firstBytes []byte
	// dialer is the name of the dialing process, empty until it is identified.
	dialer string
}

// identifyDialer searches the first bytes for the name of the dialing process. The
// encoded length before the name distinguishes agent-1 from agent-10.
func (p *proxiedConn) identifyDialer(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialer != "" || len(p.firstBytes) > maxHello {
		return
	}
	p.firstBytes = append(p.firstBytes, data...)
	for _, name := range p.network.otherNames(p.listener) {
		text := append([]byte{cborText + byte(len(name))}, name...)
		if bytes.Contains(p.firstBytes, text) {
			p.dialer = name
		}
	}
}

// senderAndReceiver returns the names of the sending and the receiving process of
// a direction; inward is the direction from the dialer to the listener.
func (p *proxiedConn) senderAndReceiver(inward bool) (from, to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inward {
		return p.dialer, p.listener
	}
	return p.listener, p.dialer
}

// reset closes both sides with a TCP reset instead of an orderly shutdown.
func (p *proxiedConn) reset() {
	for _, side := range []net.Conn{p.near, p.far} {
		if tcp, ok := side.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // if this fails, the shutdown is orderly, which also breaks the connection
		}
		_ = side.Close()
	}
}

// copy forwards bytes until a side closes. Once it has dropped bytes it drops all later
// ones, so that no process receives a stream with a gap.
func (p *proxiedConn) copy(to, from net.Conn, inward bool) {
	line := newDelayLine(to)
	defer func() {
		p.network.removeLink(p)
		line.close()
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, copyBuffer)
	dropping := false
	for {
		size, err := from.Read(buf)
		if inward {
			p.identifyDialer(buf[:size])
		}
		sender, receiver := p.senderAndReceiver(inward)
		dropping = dropping || !p.network.passes(sender, receiver, buf[:size])
		if !dropping {
			if err := line.write(buf[:size], p.network.delay(sender, receiver)); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delayLine writes to a connection, optionally after a delay.
type delayLine struct {
	to     net.Conn
	chunks chan delayedChunk
	done   chan struct{}
}

// delayedChunk is a chunk of a stream and the time at which to write it.
type delayedChunk struct {
	data []byte
	due  time.Time
}

func newDelayLine(to net.Conn) *delayLine {
	return &delayLine{to: to}
}

// write writes data immediately, or queues it to be written after delay. Once data was
// queued, all later data is queued behind it.
func (l *delayLine) write(data []byte, delay time.Duration) error {
	if delay <= 0 && l.chunks == nil {
		_, err := l.to.Write(data)
		return err
	}
	if l.chunks == nil {
		l.chunks = make(chan delayedChunk, maxDelayedChunks)
		l.done = make(chan struct{})
		go l.run()
	}
	l.chunks <- delayedChunk{data: bytes.Clone(data), due: time.Now().Add(delay)}
	return nil
}

// run writes the chunks when they are due. After an error it closes the connection,
// which ends the reads on it; writes of the remaining chunks fail.
func (l *delayLine) run() {
	defer close(l.done)
	for chunk := range l.chunks {
		time.Sleep(time.Until(chunk.due))
		if _, err := l.to.Write(chunk.data); err != nil {
			_ = l.to.Close()
		}
	}
}

// close waits until all queued data is written. The connection stays open.
func (l *delayLine) close() {
	if l.chunks != nil {
		close(l.chunks)
		<-l.done
	}
}
