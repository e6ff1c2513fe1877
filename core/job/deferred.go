package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

const (
	// ackWait bounds how long the acknowledgement of a result waits for another
	// message to the agent. Agents repeat results after 600 ms.
	ackWait = 300 * time.Millisecond
	// withdrawWait bounds how long the withdrawal of queued tasks waits. Nothing
	// depends on it, since a task without a grant can't start; a wave of
	// cancellations then sends one message to each agent.
	withdrawWait = 5 * time.Millisecond
)

// parcel holds the messages to one process that wait for another one to it.
type parcel struct {
	to     zinniasill.Node
	bodies []any
	due    time.Time
}

// deferred holds messages that can wait. The zero value is empty.
type deferred struct {
	byNode map[zinniasill.Node]*parcel
	// order lists the parcels by the time of their creation, and those taken since
	// the last look for due ones.
	order []*parcel
}

func (d *deferred) add(to zinniasill.Node, body any, due time.Time) {
	p := d.byNode[to]
	if p == nil {
		if d.byNode == nil {
			d.byNode = map[zinniasill.Node]*parcel{}
		}
		p = &parcel{to: to, due: due}
		d.byNode[to] = p
		d.order = append(d.order, p)
	}
	p.due = earliest(p.due, due)
	p.bodies = append(p.bodies, body)
}

// take removes and returns the messages that wait for a process.
func (d *deferred) take(to zinniasill.Node) []any {
	p := d.byNode[to]
	if p == nil {
		return nil
	}
	delete(d.byNode, to)
	bodies := p.bodies
	p.bodies = nil
	return bodies
}

// due removes and returns the receivers whose messages must leave now.
func (d *deferred) due(now time.Time) []zinniasill.Node {
	var nodes []zinniasill.Node
	d.order = slices.DeleteFunc(d.order, func(p *parcel) bool {
		if len(p.bodies) > 0 && !now.Before(p.due) {
			nodes = append(nodes, p.to)
			return true
		}
		return len(p.bodies) == 0
	})
	return nodes
}

// sendLater sends a message with the next one to the same process, or after a time.
func (c *Coordinator) sendLater(now time.Time, to zinniasill.Node, body any, wait time.Duration) {
	if c.draining {
		c.send(to, body)
		return
	}
	c.deferred.add(to, body, now.Add(wait))
}

// sendDue sends the messages whose wait has ended.
func (c *Coordinator) sendDue(now time.Time) {
	for _, node := range c.deferred.due(now) {
		for _, body := range c.deferred.take(node) {
			c.send(node, body)
		}
	}
}

// Outbox returns and clears the messages to send.
func (c *Coordinator) Outbox() []message.Envelope {
	// The loop adds messages only to nodes that are in the outbox already.
	for _, env := range c.outbox {
		for _, body := range c.deferred.take(env.To) {
			c.send(env.To, body)
		}
	}
	out := c.outbox
	c.outbox = nil
	return message.Join(claim.Batch(out))
}
