package peer

import (
	"sync"

	"zinniasill"
	"zinniasill/core/message"
)

// Loopback delivers envelopes between roles in one process and hands all others
// to Next. The zero value works. Bodies are shared, not copied; a message must
// not be modified after it was sent.
type Loopback struct {
	// Next sends envelopes for nodes that have not joined. Nil drops them.
	Next interface{ Send(env message.Envelope) }

	mu    sync.RWMutex
	local map[zinniasill.NodeID]func(message.Envelope)
}

// Register delivers the envelopes addressed to id by calling deliver, which must not
// block. A second call for the same id replaces the first.
func (l *Loopback) Register(id zinniasill.NodeID, deliver func(message.Envelope)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local == nil {
		l.local = map[zinniasill.NodeID]func(message.Envelope){}
	}
	l.local[id] = deliver
}

// Unregister drops the envelopes addressed to id from now on.
func (l *Loopback) Unregister(id zinniasill.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.local, id)
}

// Send delivers or forwards env without blocking.
func (l *Loopback) Send(env message.Envelope) {
	l.mu.RLock()
	deliver := l.local[env.To.ID]
	l.mu.RUnlock()
	switch {
	case deliver != nil:
		deliver(env)
	case l.Next != nil:
		l.Next.Send(env)
	}
}
