package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// errNotStarted is the error of a run whose gate refused the first write.
var errNotStarted = errors.New("the agent may not start tasks any more")

// startGate decides, right before the first byte of a run is written, whether the
// run may start.
type startGate struct {
	ctx      context.Context //nolint:containedctx // The context of the run.
	mayStart func() bool
	// refused is set for good: when nothing was written, the transport may try the
	// same run on another connection.
	refused atomic.Bool
}

// trace returns a context for the request that sets the gate on the connection that
// will carry it.
func (g *startGate) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.gate.Store(g)
		}
	}})
}

// open reports whether the run may start.
func (g *startGate) open() bool {
	if g.refused.Load() {
		return false
	}
	if g.ctx.Err() != nil || !g.mayStart() {
		g.refused.Store(true)
		return false
	}
	return true
}

// closed reports whether the gate refused the run.
func (g *startGate) closed() bool {
	return g.refused.Load()
}

// gatedConn is a connection to an endpoint whose next write passes a gate.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[startGate]
}

// Write implements net.Conn. The first write after a gate was set is refused with
// errNotStarted, and nothing is written, when the gate does not let it pass.
func (c *gatedConn) Write(data []byte) (int, error) {
	if gate := c.gate.Swap(nil); gate != nil && !gate.open() {
		return 0, errNotStarted
	}
	return c.Conn.Write(data)
}

func dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn}, nil
}
