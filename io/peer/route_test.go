package peer

import (
	"testing"

	"zinniasill"
	"zinniasill/core/message"
)

// Guards against a message for a stopped agent, whose records another node hosts, that is
// sent to the next incarnation of the agent, or that reaches the host with another To.
func TestTransportRoutesToHost(t *testing.T) {
	stopped := zinniasill.Node{ID: "b", Incarnation: 7}
	book := &addressBook{}
	a := start(t, "a", book, func(cfg *Config) {
		cfg.Route = func(to zinniasill.Node) zinniasill.NodeID {
			if to == stopped {
				return "host"
			}
			return to.ID
		}
	})
	host := start(t, "host", book, nil)
	next := start(t, "b", book, nil)
	book.set("host", host.Address())
	book.set("b", next.Address())
	a.Send(message.Envelope{To: stopped, Body: message.Grant{Term: 1}})
	a.Send(message.Envelope{To: zinniasill.Node{ID: "b", Incarnation: 8}, Body: message.Grant{Term: 2}})
	if env := <-host.inbox; env.To != stopped || env.Body.(message.Grant).Term != 1 {
		t.Errorf("the host received %+v", env)
	}
	if env := <-next.inbox; env.To.Incarnation != 8 || env.Body.(message.Grant).Term != 2 {
		t.Errorf("the next incarnation received %+v", env)
	}
}
