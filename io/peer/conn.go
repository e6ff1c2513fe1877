package peer

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"zinniasill"
)

const (
	// helloBudget bounds the bytes read before the other side's hello, the TLS
	// handshake included.
	helloBudget = 64 << 10
	// writeChunk is the unit in which the progress of a write is observed, so that
	// a large frame on a slow link does not look stalled.
	writeChunk = 256 << 10
)

// traffic counts the bytes of all connections of a transport.
type traffic struct {
	sent, received atomic.Uint64
}

// conn observes the traffic of one TCP connection, below TLS.
type conn struct {
	net.Conn
	clock   zinniasill.Clock
	opened  time.Time
	traffic *traffic

	// readAt and writeAt are nanoseconds since opened. writeAt is 0 while no write
	// is in progress.
	readAt  atomic.Int64
	writeAt atomic.Int64
	greeted atomic.Bool
	read    atomic.Int64
	// onPing asks the owner to send a ping; nil on accepted connections.
	onPing func()
}

func newConn(raw net.Conn, clock zinniasill.Clock, counts *traffic) *conn {
	return &conn{Conn: raw, clock: clock, opened: clock.Now(), traffic: counts}
}

// elapsed is at least 1, so that it differs from the 0 of an idle writer.
func (c *conn) elapsed() int64 {
	return max(1, int64(c.clock.Now().Sub(c.opened)))
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.traffic.received.Add(uint64(n))
		c.readAt.Store(c.elapsed())
	}
	if !c.greeted.Load() && c.read.Add(int64(n)) > helloBudget {
		return 0, &ProtocolError{Reason: reasonNoHello, Message: "too many bytes before the hello"}
	}
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	defer c.writeAt.Store(0)
	for len(p) > 0 {
		c.writeAt.Store(c.elapsed())
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

// fault returns why the connection must be closed, or an empty reason.
func (c *conn) fault(silentAfter time.Duration) zinniasill.Reason {
	now := c.elapsed()
	limit := int64(silentAfter)
	writing := c.writeAt.Load()
	switch {
	case !c.greeted.Load() && now > limit:
		return reasonNoHello
	case now-c.readAt.Load() > limit:
		return reasonSilent
	case writing != 0 && now-writing > limit:
		return reasonStalled
	}
	return ""
}

// wire is the drpc transport of a connection. It closes the TCP connection
// directly, because closing TLS first writes to a peer that may not read.
type wire struct {
	io.Reader
	io.Writer
	io.Closer
}
