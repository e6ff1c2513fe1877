package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedConnGrace is how long a graceful stop waits for the first request on a
// connection that is already open. http.Server.Shutdown alone waits 5 s for
// connections that a client has opened in advance and not used.
const unusedConnGrace = 500 * time.Millisecond

// unusedConns tracks the connections of a server that have not sent a request yet.
type unusedConns struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
	// next is the hook that the server had before.
	next func(net.Conn, http.ConnState)
}

// trackUnused starts tracking the unused connections of a server. It sets ConnState and calls
// the hook that was set before.
func trackUnused(serve *http.Server) *unusedConns {
	unused := &unusedConns{open: map[net.Conn]struct{}{}, next: serve.ConnState}
	serve.ConnState = unused.connStateChanged
	return unused
}

func (u *unusedConns) connStateChanged(conn net.Conn, state http.ConnState) {
	if u.next != nil {
		u.next(conn, state)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.open[conn] = struct{}{}
		return
	}
	delete(u.open, conn)
}

func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.open {
		_ = conn.Close()
	}
}

// shutdown stops the server gracefully: requests in flight are answered, and
// connections without a request are closed after unusedConnGrace. It returns ctx's
// error if ctx is done first.
func (s server) shutdown(ctx context.Context) error {
	timer := time.AfterFunc(unusedConnGrace, s.unused.close)
	defer timer.Stop()
	return s.Shutdown(ctx)
}
