package httpserver

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"zinniasill"
	"zinniasill/core/budget"
)

const (
	// writeTimeout is the maximum time for a client to take writePart bytes of a response,
	// 1.6 KiB a second. A part is also the least that counts as progress.
	writeTimeout = 10 * time.Second
	writePart    = 16 << 10
	// freeHeaderBytes is the memory of a header that is part of that of its connection. Only
	// a header that needs more is charged while it arrives.
	freeHeaderBytes = 4 << 10
	// lingerTime is how long a connection with an unread body stays half open after the
	// response. Closing it at once would reset it before the client has read the response.
	lingerTime = 500 * time.Millisecond
)

// Reasons for closing a connection.
const (
	reasonIdle         zinniasill.Reason = "idle"
	reasonClientLimit  zinniasill.Reason = "client-connections"
	reasonWriteTimeout zinniasill.Reason = "write-timeout"
	reasonHeader       zinniasill.Reason = "header-memory"
)

var (
	errHeaderMemory = errors.New("memory budget has no room for the header")
	// pastTime is a deadline that ends reads at once.
	pastTime = time.Unix(1, 0)
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	owner  *Connections
	class  budget.Class
	client string

	// The following fields are guarded by the mutex of owner. element is the place in the
	// list of idle connections, nil while a request is in progress. received is the time at
	// which a header began to arrive, zero if none has.
	element  *list.Element
	received time.Time
	released bool

	// inRequest is set from the end of a request's header until the connection is idle. In
	// between, net/http also reads what a handler has left of the body.
	inRequest atomic.Bool
	// account is that of the request in progress, nil if there is none.
	account atomic.Pointer[budget.Account]
	// responding is set while a charged response is written.
	responding atomic.Bool
	lingering  atomic.Bool
	closeOnce  sync.Once
	closeErr   error

	// headerMu guards the size and the account of a header that arrives.
	headerMu      sync.Mutex
	headerSize    int64
	headerAccount *budget.Account
}

// tracked returns the connection of this package that c is or wraps, or nil.
func tracked(c net.Conn) *conn {
	for c != nil {
		if t, ok := c.(*conn); ok {
			return t
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// connStateChanged implements the ConnState hook of http.Server.
func connStateChanged(c net.Conn, state http.ConnState) {
	if t := tracked(c); t != nil {
		t.owner.stateChanged(t, state)
	}
}

// Read implements net.Conn. Bytes that arrive outside a request belong to a header.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.inRequest.Load() {
		c.owner.headerArrives(c)
		if !c.chargeHeader(p[:n]) {
			c.owner.report(c, reasonHeader)
			_ = c.Close()
			return 0, errHeaderMemory
		}
	}
	return n, err
}

// chargeHeader charges part of a header to the budget. It returns false if it does not fit.
func (c *conn) chargeHeader(part []byte) bool {
	c.headerMu.Lock()
	defer c.headerMu.Unlock()
	n := int64(len(part) + headerLineBytes*bytes.Count(part, []byte{'\n'}))
	c.headerSize += n
	if c.headerSize <= freeHeaderBytes {
		return true
	}
	now := c.owner.cfg.Clock.Now()
	if c.headerAccount != nil {
		return c.headerAccount.Grow(now, n) == nil
	}
	account, err := c.owner.cfg.Budget.Open(now, budget.Request{
		Class: c.class, Client: c.client, Size: c.headerSize, OnRevoke: c.abort,
	})
	c.headerAccount = account
	return err == nil
}

// endHeader returns the bytes of a header.
func (c *conn) endHeader() {
	c.headerMu.Lock()
	defer c.headerMu.Unlock()
	c.headerSize = 0
	if c.headerAccount != nil {
		c.headerAccount.Close()
		c.headerAccount = nil
	}
}

// begin notes that a request is in progress. A nil connection is that of another listener.
func (c *conn) begin(account *budget.Account) {
	if c != nil {
		c.inRequest.Store(true)
		c.account.Store(account)
		c.endHeader()
	}
}

// end notes the end of the request in progress.
func (c *conn) end() {
	if c != nil {
		c.account.Store(nil)
		c.responding.Store(false)
	}
}

// Write implements net.Conn. It gives a client writeTimeout for each part of a response.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(written+writePart, len(p))]
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(part)
		written += n
		if account := c.account.Load(); account != nil && n > 0 {
			account.Progress(c.owner.cfg.Clock.Now(), int64(n))
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.owner.report(c, reasonWriteTimeout)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// abort ends the transfer of a body. It may be called at any time and does not block.
func (c *conn) abort() {
	switch {
	case c == nil:
	case c.responding.Load():
		_ = c.close()
	default:
		_ = c.SetReadDeadline(pastTime)
	}
}

// linger makes Close leave the connection half open for lingerTime.
func (c *conn) linger() {
	if c != nil {
		c.lingering.Store(true)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.lingering.CompareAndSwap(true, false) || half.CloseWrite() != nil {
		return c.close()
	}
	time.AfterFunc(lingerTime, func() { _ = c.close() })
	return nil
}

// close closes the connection at once.
func (c *conn) close() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.endHeader()
		c.owner.release(c)
	})
	return c.closeErr
}
