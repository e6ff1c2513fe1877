package peer

import (
	"container/list"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"zinniasill"
)

const (
	// maxHelloBytes is the maximum number of bytes read up to and including the peer's
	// hello, with those of the TLS handshake.
	maxHelloBytes = 64 << 10
	// writeChunk is the size in bytes of the parts of a write whose progress is
	// tracked separately, so that a large frame on a slow link is not taken for a
	// stalled one.
	writeChunk = 256 << 10
)

// traffic counts the bytes sent and received on all connections of a transport.
type traffic struct {
	sent, received atomic.Uint64
}

// conn is a TCP connection, below TLS, that records its traffic and when it last made
// progress.
type conn struct {
	net.Conn
	clock   zinniasill.Clock
	opened  time.Time
	traffic *traffic

	// lastRead and writeStarted are nanoseconds since opened. writeStarted is that of
	// the current chunk, and 0 while no write is in progress.
	lastRead      atomic.Int64
	writeStarted  atomic.Int64
	helloReceived atomic.Bool
	helloBytes    atomic.Int64 // read before the peer's hello was accepted
	// sendPing requests a ping from the owner of the connection. It is nil on accepted
	// connections.
	sendPing func()
	// probedAt is when a probe was requested, in nanoseconds since opened. It is 0 if
	// something has been read since.
	probedAt atomic.Int64
	// account charges the received bytes of an accepted connection. It is nil on those that
	// this process opens, which only receive pongs.
	account *linkAccount
	// element is the place in the inboundSet, which guards it.
	element *list.Element
	// evicted is set if the connection is closed because of a limit.
	evicted   atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

func newConn(raw net.Conn, clock zinniasill.Clock, counts *traffic) *conn {
	return &conn{Conn: raw, clock: clock, opened: clock.Now(), traffic: counts, closed: make(chan struct{})}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// elapsed returns the nanoseconds since the connection was opened. It is at least 1,
// because a writeStarted of 0 means that no write is in progress.
func (c *conn) elapsed() int64 {
	return max(1, int64(c.clock.Now().Sub(c.opened)))
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.traffic.received.Add(uint64(n))
		c.lastRead.Store(c.elapsed())
		c.probedAt.Store(0)
	}
	if !c.helloReceived.Load() && c.helloBytes.Add(int64(n)) > maxHelloBytes {
		return 0, &ProtocolError{Reason: reasonNoHello, Message: "connection exceeds the byte limit before the hello"}
	}
	if charged := c.charge(n); charged != nil {
		return 0, charged
	}
	return n, err
}

// charge charges n received bytes. A connection without a hello is refused if the memory for
// them is exhausted. A link waits, and is closed as unresponsive if that takes too long.
func (c *conn) charge(n int) error {
	if c.account == nil || n <= 0 {
		return nil
	}
	err := c.account.received(n)
	if err == nil {
		return nil
	}
	if !c.helloReceived.Load() {
		return &ProtocolError{Reason: reasonMemory, Message: err.Error()}
	}
	ticks, stop := c.clock.NewTicker(grantRetryDelay)
	defer stop()
	for err != nil {
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-ticks:
			err = c.account.received(0)
		}
	}
	return nil
}

// Write implements io.Writer. It writes chunks of writeChunk bytes.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	defer c.writeStarted.Store(0)
	for len(p) > 0 {
		c.writeStarted.Store(c.elapsed())
		n, err := c.Conn.Write(p[:min(len(p), writeChunk)])
		written += n
		c.traffic.sent.Add(uint64(max(n, 0)))
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// probe requests a ping. The connection counts as unresponsive if nothing is read within
// the probe timeout.
func (c *conn) probe() {
	c.probedAt.CompareAndSwap(0, c.elapsed())
	c.sendPing()
}

// closeReason returns why the connection must be closed, or an empty reason if it is
// healthy.
func (c *conn) closeReason(timeout, probeTimeout time.Duration) zinniasill.Reason {
	now := c.elapsed()
	limit := int64(timeout)
	writing := c.writeStarted.Load()
	probed := c.probedAt.Load()
	switch {
	case !c.helloReceived.Load() && now > limit:
		return reasonNoHello
	case now-c.lastRead.Load() > limit, probed != 0 && now-probed >= int64(probeTimeout):
		return reasonUnresponsive
	case writing != 0 && now-writing > limit:
		return reasonStalled
	}
	return ""
}

// drpcTransport implements drpc.Transport on a connection. It closes the TCP connection
// directly: closing TLS first writes to the peer, which may not be reading.
type drpcTransport struct {
	io.Reader
	io.Writer
	io.Closer
}
