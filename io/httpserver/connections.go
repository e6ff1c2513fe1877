package httpserver

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"zinniasill"
	"zinniasill/core/budget"
)

const (
	// ConnectionBytes is the memory of an idle connection: the stack of its goroutine and
	// the buffers of net/http.
	ConnectionBytes = 20 << 10
	// ownPart is the part of the connections that each class but the callers has, one in
	// ownPart, and minOwn the least number of them. The callers have the rest.
	ownPart = 24
	minOwn  = 4
	// clientPercent is the part of the callers' connections that one address can hold. All
	// callers share one address behind a proxy, so it is large.
	clientPercent = 90
	// headerGrace is how long a header that arrives keeps its connection from being closed
	// as idle.
	headerGrace = time.Second
	// admitCheck is how often a new connection that waits looks for one to close, and
	// admitBatch the number of stalled bodies that it ends at a time.
	admitCheck = 50 * time.Millisecond
	admitBatch = 8
	// localSocketBuffer is the least size in bytes of a buffer of a connection within this
	// machine. Its segments have up to 64 KiB, and with less than two of them in a buffer a
	// transfer stops for a delayed acknowledgement after each.
	localSocketBuffer = 128 << 10
	// tickInterval is the time between two ticks of the budget.
	tickInterval = 500 * time.Millisecond
)

// ConnectionsConfig configures the connections of a process. All fields but SocketBuffer
// and OnClose are required.
type ConnectionsConfig struct {
	// Limit is the maximum number of open connections.
	Limit int
	// SocketBuffer is the size of the kernel's buffers of a connection in bytes, the
	// system's default if 0. What they hold counts towards the memory of some machines.
	SocketBuffer int
	Budget       *budget.Budget
	Clock        zinniasill.Clock
	Counters     zinniasill.Counters
	// OnClose, if set, is called for each connection that is closed before its client does.
	OnClose func(closed ClosedConnection)
}

// ClosedConnection describes a connection that was closed before its client did.
type ClosedConnection struct {
	Reason zinniasill.Reason
	Class  budget.Class
	Client string
	// ClientOpen and ClassOpen are the open connections of the client, counted for callers
	// only, and of the class.
	ClientOpen, ClassOpen int
}

// Connections limits the open connections of the servers of a process. Use NewConnections.
type Connections struct {
	cfg ConnectionsConfig
	mu  sync.Mutex
	// open counts connections by class, clients those of callers by address.
	open    map[budget.Class]int
	clients map[string]int
	// idle lists the connections without a request in progress, the longest idle first.
	idle *list.List
	// changed is closed and replaced when a connection is closed or becomes idle.
	changed chan struct{}
}

// NewConnections returns a limiter without connections.
func NewConnections(cfg ConnectionsConfig) *Connections {
	return &Connections{
		cfg: cfg, open: map[budget.Class]int{}, clients: map[string]int{}, idle: list.New(), changed: make(chan struct{}),
	}
}

// Start starts the goroutine that tells the budget the time until ctx is done. The returned
// channel is closed when it has returned.
func (c *Connections) Start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticks, stop := c.cfg.Clock.NewTicker(tickInterval)
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
				c.cfg.Budget.Tick(c.cfg.Clock.Now())
			}
		}
	}()
	return done
}

// Open returns the number of open connections of a class.
func (c *Connections) Open(class budget.Class) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[class]
}

// Idle returns the number of open connections without a request in progress.
func (c *Connections) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle.Len()
}

// limit returns the maximum number of connections of a class.
func (c *Connections) limit(class budget.Class) int {
	own := max(c.cfg.Limit/ownPart, minOwn)
	if class != budget.Callers {
		return own
	}
	return max(c.cfg.Limit-3*own, minOwn)
}

// Listen wraps a listener. At the limit of the class it closes the connection that has been
// idle longest, and accepts no further one while there is none.
func (c *Connections) Listen(source net.Listener, class budget.Class) net.Listener {
	return &listener{Listener: source, owner: c, class: class, closed: make(chan struct{})}
}

// listener is a listener of a server of one class.
type listener struct {
	net.Listener
	owner     *Connections
	class     budget.Class
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		source, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := source.(*net.TCPConn); ok && l.owner.cfg.SocketBuffer > 0 {
			size := l.owner.cfg.SocketBuffer
			if onSameMachine(source) {
				size = max(size, localSocketBuffer)
			}
			_ = tcp.SetReadBuffer(size)
			_ = tcp.SetWriteBuffer(size)
		}
		c := &conn{Conn: source, owner: l.owner, class: l.class, client: clientAddress(source.RemoteAddr().String())}
		if l.owner.admit(c, l.closed) {
			return c, nil
		}
		_ = source.Close()
	}
}

// onSameMachine reports whether both ends of a connection are on this machine.
func onSameMachine(c net.Conn) bool {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return false
	}
	local, ok := c.LocalAddr().(*net.TCPAddr)
	return ok && (remote.IP.IsLoopback() || remote.IP.Equal(local.IP))
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit counts a new connection, for which it closes another one or waits if need be. It
// returns false if the connection is refused or the listener is closed.
func (c *Connections) admit(added *conn, closed <-chan struct{}) bool {
	for {
		c.mu.Lock()
		full, clientFull := c.full(added)
		if !full && !clientFull {
			c.add(added)
			c.mu.Unlock()
			return true
		}
		victim := c.longestIdle(func(other *conn) bool {
			return other.class == added.class && (!clientFull || other.client == added.client)
		})
		changed := c.changed
		c.mu.Unlock()
		switch {
		case victim != nil:
			c.report(victim, reasonIdle)
			_ = victim.close()
		case clientFull:
			c.report(added, reasonClientLimit)
			return false
		default:
			c.cfg.Budget.RevokeOldest(c.cfg.Clock.Now(), added.class, admitBatch)
			if !waitForChange(changed, closed) {
				return false
			}
		}
	}
}

// report counts and reports a connection that is closed before its client does.
func (c *Connections) report(on *conn, reason zinniasill.Reason) {
	c.cfg.Counters.Inc(CounterClosed, reason)
	if c.cfg.OnClose == nil {
		return
	}
	c.mu.Lock()
	closed := ClosedConnection{
		Reason: reason, Class: on.class, Client: on.client, ClientOpen: c.clients[on.client], ClassOpen: c.open[on.class],
	}
	c.mu.Unlock()
	c.cfg.OnClose(closed)
}

// waitForChange waits until a connection may have become free. It returns false if the
// listener is closed.
func waitForChange(changed, closed <-chan struct{}) bool {
	timer := time.NewTimer(admitCheck)
	defer timer.Stop()
	select {
	case <-closed:
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// full reports whether the class or the client of a new connection has as many as it may.
func (c *Connections) full(added *conn) (class, client bool) {
	limit := c.limit(added.class)
	class = c.open[added.class] >= limit
	client = added.class == budget.Callers && c.clients[added.client] >= max(limit*clientPercent/100, 1)
	return class, client
}

// longestIdle returns the matching connection that has been idle longest, nil if there is
// none. One on which a header has begun to arrive is chosen last, and not in headerGrace.
func (c *Connections) longestIdle(matches func(*conn) bool) *conn {
	var slow *conn
	now := c.cfg.Clock.Now()
	for element := c.idle.Front(); element != nil; element = element.Next() {
		other, ok := element.Value.(*conn)
		if !ok || !matches(other) {
			continue
		}
		if other.received.IsZero() {
			return other
		}
		if slow == nil && now.Sub(other.received) >= headerGrace {
			slow = other
		}
	}
	return slow
}

// add counts a connection as open and idle.
func (c *Connections) add(added *conn) {
	c.open[added.class]++
	if added.class == budget.Callers {
		c.clients[added.client]++
	}
	added.element = c.idle.PushBack(added)
}

// release counts a connection as closed.
func (c *Connections) release(closed *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closed.released {
		return
	}
	closed.released = true
	c.removeIdle(closed)
	c.open[closed.class]--
	if closed.class == budget.Callers {
		c.clients[closed.client]--
		if c.clients[closed.client] == 0 {
			delete(c.clients, closed.client)
		}
	}
	c.notify()
}

// stateChanged notes whether a request is in progress on a connection.
func (c *Connections) stateChanged(changed *conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.removeIdle(changed)
	case http.StateIdle:
		changed.inRequest.Store(false)
		if changed.element == nil && !changed.released {
			changed.received = time.Time{}
			changed.element = c.idle.PushBack(changed)
			c.notify()
		}
	default:
	}
}

// headerArrives notes that a header has begun to arrive on a connection.
func (c *Connections) headerArrives(on *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on.received.IsZero() {
		on.received = c.cfg.Clock.Now()
	}
}

// removeIdle removes a connection from the list of idle ones.
func (c *Connections) removeIdle(active *conn) {
	if active.element != nil {
		c.idle.Remove(active.element)
		active.element = nil
	}
}

// notify wakes the connections that wait for admission.
func (c *Connections) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}
