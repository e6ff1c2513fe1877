package peer

import (
	"sync"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/io/daemon"
)

// Sender sends envelopes to other processes and checks the links to them. Transport and
// Loopback implement it.
type Sender interface {
	daemon.Sender
	// Probe checks the link to a node that should have answered by now.
	Probe(id zinniasill.NodeID)
}

// Loopback delivers envelopes between the roles in one process and forwards all others
// to Next. The zero value is ready to use. Bodies are shared, not copied: a message must
// not be modified after it was sent.
type Loopback struct {
	// Next sends envelopes to nodes that are not registered here. If nil, they are
	// dropped.
	Next Sender

	mu    sync.RWMutex
	local map[zinniasill.NodeID]func(message.Envelope)
}

// Register makes deliver receive the envelopes addressed to id. It must not block. A
// second call for the same id replaces the first.
func (l *Loopback) Register(id zinniasill.NodeID, deliver func(message.Envelope)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local == nil {
		l.local = map[zinniasill.NodeID]func(message.Envelope){}
	}
	l.local[id] = deliver
}

// Unregister removes the receiver for id. Envelopes to id then go to Next.
func (l *Loopback) Unregister(id zinniasill.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.local, id)
}

// Send delivers env to a registered receiver or forwards it to Next. It does not block.
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

// Probe checks the link to a node that should have answered by now, see Transport.Probe.
// A node in this process needs no link.
func (l *Loopback) Probe(id zinniasill.NodeID) {
	l.mu.RLock()
	local := l.local[id] != nil
	l.mu.RUnlock()
	if !local && l.Next != nil {
		l.Next.Probe(id)
	}
}
