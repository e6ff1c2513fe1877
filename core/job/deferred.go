package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/claim"
	"zinniasill/core/message"
)

const (
	// maxAckDelay bounds how long the acknowledgement of a result waits for another
	// message to the agent. Agents resend results after 600 ms.
	maxAckDelay = 300 * time.Millisecond
	// maxWithdrawDelay bounds how long the withdrawal of queued tasks waits. The delay is
	// harmless, since a task without a grant cannot start, and lets a burst of
	// cancellations send one message to each agent.
	maxWithdrawDelay = 5 * time.Millisecond
)

// deferredBatch holds the deferred messages to one process.
type deferredBatch struct {
	to     zinniasill.Node
	bodies []any
	due    time.Time
}

// deferred holds messages that wait for another message to the same process, or until
// they are due. The zero value is empty.
type deferred struct {
	byNode map[zinniasill.Node]*deferredBatch
	// order lists the batches in order of creation. Batches that were taken stay listed
	// until the next call of due.
	order []*deferredBatch
}

func (d *deferred) add(to zinniasill.Node, body any, due time.Time) {
	p := d.byNode[to]
	if p == nil {
		if d.byNode == nil {
			d.byNode = map[zinniasill.Node]*deferredBatch{}
		}
		p = &deferredBatch{to: to, due: due}
		d.byNode[to] = p
		d.order = append(d.order, p)
	}
	p.due = earliest(p.due, due)
	p.bodies = append(p.bodies, body)
}

// take removes and returns the messages to a process.
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

// due returns the processes whose messages are due and removes their batches from order.
func (d *deferred) due(now time.Time) []zinniasill.Node {
	var nodes []zinniasill.Node
	d.order = slices.DeleteFunc(d.order, func(p *deferredBatch) bool {
		if len(p.bodies) > 0 && !now.Before(p.due) {
			nodes = append(nodes, p.to)
			return true
		}
		return len(p.bodies) == 0
	})
	return nodes
}

// sendDeferred sends a message together with the next one to the same process, or after
// maxDelay.
func (c *Coordinator) sendDeferred(now time.Time, to zinniasill.Node, body any, maxDelay time.Duration) {
	if c.draining {
		c.send(to, body)
		return
	}
	c.deferred.add(to, body, now.Add(maxDelay))
}

// sendDueDeferred sends the deferred messages that are due.
func (c *Coordinator) sendDueDeferred(now time.Time) {
	for _, node := range c.deferred.due(now) {
		for _, body := range c.deferred.take(node) {
			c.send(node, body)
		}
	}
}

// Outbox returns and clears the messages to send.
func (c *Coordinator) Outbox() []message.Envelope {
	// The loop adds messages only for processes that are already in the outbox, so
	// ranging over the original slice reaches all receivers.
	for _, env := range c.outbox {
		for _, body := range c.deferred.take(env.To) {
			c.send(env.To, body)
		}
	}
	out := c.outbox
	c.outbox = nil
	return message.Join(claim.Batch(out))
}
