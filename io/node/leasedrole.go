package node

import (
	"zinniasill/core/message"
	"zinniasill/io/daemon"
)

// leasedRole holds what all roles with a lease have in common: the loop of their state
// machine, and the lease renewer, which runs its own loop.
type leasedRole struct {
	renewer *LeaseRenewer
	loop    *daemon.Loop
}

// LeaseRenewer returns the role's lease renewer.
func (l *leasedRole) LeaseRenewer() *LeaseRenewer {
	return l.renewer
}

// Deliver passes a message to the role. Replies to lease renewals go to the renewer.
func (l *leasedRole) Deliver(env message.Envelope) {
	if _, ok := env.Body.(message.RenewReply); ok {
		l.renewer.Deliver(env)
		return
	}
	l.loop.Deliver(env)
}
