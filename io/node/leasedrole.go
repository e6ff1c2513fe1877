package node

import (
	"zinniasill/core/message"
	"zinniasill/io/daemon"
)

// leased is what an entry and an agent have in common: the loop of their state
// machine, and the keeper of the lease with a loop of its own.
type leased struct {
	keeper *Keeper
	loop   *daemon.Loop
}

// Keeper returns the keeper of the role's lease.
func (l *leased) Keeper() *Keeper {
	return l.keeper
}

// Deliver hands a message to the role.
func (l *leased) Deliver(env message.Envelope) {
	if _, ok := env.Body.(message.RenewReply); ok {
		l.keeper.Deliver(env)
		return
	}
	l.loop.Deliver(env)
}
