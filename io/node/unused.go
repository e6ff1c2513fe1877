package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedGrace is how long a graceful stop waits for the first request of a
// connection that is already open. http.Server.Shutdown alone waits 5 s for each
// connection that a client has opened in advance and not used.
const unusedGrace = 500 * time.Millisecond

// unusedConns are the connections of a server that have not sent a request.
type unusedConns struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// watchUnused has the server's unused connections tracked.
func watchUnused(serve *http.Server) *unusedConns {
	unused := &unusedConns{open: map[net.Conn]struct{}{}}
	serve.ConnState = unused.changed
	return unused
}

func (u *unusedConns) changed(conn net.Conn, state http.ConnState) {
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
// connections without a request are closed after unusedGrace.
func (s server) shutdown(ctx context.Context) error {
	timer := time.AfterFunc(unusedGrace, s.unused.close)
	defer timer.Stop()
	return s.Shutdown(ctx)
}
