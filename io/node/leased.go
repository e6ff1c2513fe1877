package node

import (
	"zinniasill/core/message"
	"zinniasill/io/daemon"
)

// leasedRole is what an entry and an agent have in common: the loop of their state
// machine, and the keeper of the lease with a loop of its own.
type leasedRole struct {
	keeper *LeaseRenewer
	loop   *daemon.Loop
}

// LeaseRenewer returns the keeper of the role's lease.
func (l *leasedRole) LeaseRenewer() *LeaseRenewer {
	return l.keeper
}

// Deliver hands a message to the role.
func (l *leasedRole) Deliver(env message.Envelope) {
	if _, ok := env.Body.(message.RenewReply); ok {
		l.keeper.Deliver(env)
		return
	}
	l.loop.Deliver(env)
}
