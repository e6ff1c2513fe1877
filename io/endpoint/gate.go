package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"zinniasill"
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

// check returns errNotStarted if the run may not start. It is the gate of the run's request.
func (g *startGate) check(*gatedConn) error {
	if !g.allow() {
		return errNotStarted
	}
	return nil
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

// gate is called immediately before the first byte of a request is written to a connection. If
// it returns an error, nothing is written.
type gate func(conn *gatedConn) error

// withGate returns a context for a request that installs a gate on the connection that the
// transport picks. The transport may pick another one if nothing was written.
func withGate(ctx context.Context, check gate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.gate.Store(&check)
		}
	}})
}

// gatedConn is a connection to an endpoint whose next write is checked by its gate, if set.
type gatedConn struct {
	net.Conn
	// incarnation is the one at the other end, as far as it has been asked.
	incarnation zinniasill.EndpointIncarnation
	gate        atomic.Pointer[gate]
}

// Write implements net.Conn. If the gate refuses the first write after it was installed,
// nothing is written and the error is that of the gate.
func (c *gatedConn) Write(data []byte) (int, error) {
	if check := c.gate.Swap(nil); check != nil {
		if err := (*check)(c); err != nil {
			return 0, err
		}
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
