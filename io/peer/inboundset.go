package peer

import (
	"container/list"
	"net"
	"sync"
)

// inboundSet bounds the accepted connections. At a limit it gives up a connection of the
// address that has most of them, the oldest first, because a stranger holds its connections
// while a peer completes its hello within a few round trips.
type inboundSet struct {
	maxPending, maxOpen int

	mu sync.Mutex
	// pending lists the connections whose hello has not been received, established the
	// others; both hold *conn, the oldest first.
	pending, established *list.List
}

// newInboundSet returns an empty set. maxOpen is 0 for no limit of all connections.
func newInboundSet(maxPending, maxOpen int) *inboundSet {
	return &inboundSet{maxPending: maxPending, maxOpen: maxOpen, pending: list.New(), established: list.New()}
}

// add adds a connection without a hello. It returns the connection that must be closed for
// it, nil if there is none; that one is removed.
func (s *inboundSet) add(c *conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victim *conn
	switch {
	case s.pending.Len() >= s.maxPending:
		victim = busiest(s.pending)
	case s.maxOpen > 0 && s.pending.Len()+s.established.Len() >= s.maxOpen:
		victim = busiest(s.pending, s.established)
	}
	if victim != nil {
		s.removeLocked(victim)
	}
	c.element = s.pending.PushBack(c)
	return victim
}

// establish records that the hello of a connection was received.
func (s *inboundSet) establish(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.element == nil {
		return
	}
	s.pending.Remove(c.element)
	c.element = s.established.PushBack(c)
}

// remove removes a connection.
func (s *inboundSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
}

func (s *inboundSet) removeLocked(c *conn) {
	if c.element == nil {
		return
	}
	// Remove does nothing in the list that does not hold the element.
	s.pending.Remove(c.element)
	s.established.Remove(c.element)
	c.element = nil
}

// busiest returns the oldest connection of the address with most connections, in the first
// list that has any.
func busiest(lists ...*list.List) *conn {
	for _, conns := range lists {
		count := map[string]int{}
		var victim *conn
		most := 0
		for element := conns.Back(); element != nil; element = element.Prev() {
			c, ok := element.Value.(*conn)
			if !ok {
				continue
			}
			address := hostOf(c)
			count[address]++
			if count[address] >= most {
				most, victim = count[address], c
			}
		}
		if victim != nil {
			return victim
		}
	}
	return nil
}

// hostOf returns the address of the other end of a connection without its port.
func hostOf(c *conn) string {
	address := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}
