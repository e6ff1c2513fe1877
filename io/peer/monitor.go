package peer

import (
	"context"

	"zinniasill"
)

// checksPerTimeout is the number of times that the connections are checked in each
// UnresponsiveTimeout.
const checksPerTimeout = 15

// Probe checks the link to a node that should have answered by now. If the node does not
// respond to a ping within Config.ProbeTimeout, the link is closed, and the next envelope
// opens another one. Without a link, Probe does nothing.
func (t *Transport) Probe(id zinniasill.NodeID) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	to := t.peers[id]
	if t.ctx == nil || to == nil {
		return
	}
	c := to.conn.Load()
	if c == nil {
		return
	}
	c.probe()
	ctx := t.ctx
	t.workers.Go(func() {
		t.sleep(ctx, t.cfg.ProbeTimeout)
		t.checkConn(c, false)
	})
}

// monitorConns closes connections that are unresponsive or stalled, and requests pings.
// When ctx ends, it closes all connections.
func (t *Transport) monitorConns(ctx context.Context) {
	ticks, stop := t.cfg.Clock.NewTicker(t.cfg.UnresponsiveTimeout / checksPerTimeout)
	defer stop()
	lastPing := t.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			t.forEachConn(func(c *conn) { _ = c.Close() })
			return
		case <-ticks:
		}
		now := t.cfg.Clock.Now()
		pingDue := now.Sub(lastPing) >= t.cfg.PingInterval
		if pingDue {
			lastPing = now
		}
		t.forEachConn(func(c *conn) { t.checkConn(c, pingDue) })
	}
}

// checkConn closes a connection that is not healthy, and otherwise requests a ping if
// one is due.
func (t *Transport) checkConn(c *conn, pingDue bool) {
	timeout := t.cfg.UnresponsiveTimeout
	if !c.helloReceived.Load() {
		timeout = t.cfg.HelloTimeout
	}
	if reason := c.closeReason(timeout, t.cfg.ProbeTimeout); reason != "" {
		if reason != reasonNoHello {
			t.cfg.Counters.Inc("peer_closed_total", reason)
		}
		t.untrack(c)
		_ = c.Close()
		return
	}
	if pingDue && c.sendPing != nil {
		c.sendPing()
	}
}

// forEachConn calls visit for each open connection, without holding the lock.
func (t *Transport) forEachConn(visit func(c *conn)) {
	t.connMu.Lock()
	open := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.connMu.Unlock()
	for _, c := range open {
		visit(c)
	}
}

// track adds a connection to those that are monitored. If ctx has ended, it closes the
// connection and returns false.
func (t *Transport) track(ctx context.Context, c *conn) bool {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	if ctx.Err() != nil {
		_ = c.Close()
		return false
	}
	t.conns[c] = struct{}{}
	return true
}

// untrack stops the monitoring of a connection.
func (t *Transport) untrack(c *conn) {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	delete(t.conns, c)
}
