package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// errNotStarted is returned for the first write of a run that had no permission to start.
var errNotStarted = errors.New("the agent may not start tasks any more")

// startGate checks, immediately before the first byte of a run is written, whether the run
// has permission to start.
type startGate struct {
	ctx      context.Context //nolint:containedctx // The context of the run.
	mayStart func() bool
	// refused is never reset: the transport may retry a run of which nothing was written
	// on another connection, and that attempt must be refused too.
	refused atomic.Bool
}

// trace returns a context for the request that installs the gate on the connection that
// the transport picks.
func (g *startGate) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.gate.Store(g)
		}
	}})
}

// allow reports whether the run may start: it is neither cancelled nor refused by mayStart.
// Once it has returned false it always does.
func (g *startGate) allow() bool {
	if g.refused.Load() {
		return false
	}
	if g.ctx.Err() != nil || !g.mayStart() {
		g.refused.Store(true)
		return false
	}
	return true
}

// denied reports whether the gate has refused the run.
func (g *startGate) denied() bool {
	return g.refused.Load()
}

// gatedConn is a connection to an endpoint whose next write is checked by its gate, if set.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[startGate]
}

// Write implements net.Conn. If the gate refuses the first write after it was installed,
// nothing is written and the error is errNotStarted.
func (c *gatedConn) Write(data []byte) (int, error) {
	if gate := c.gate.Swap(nil); gate != nil && !gate.allow() {
		return 0, errNotStarted
	}
	return c.Conn.Write(data)
}

// dialGated opens a TCP connection that is wrapped in a gatedConn.
func dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn}, nil
}
