package control

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// trackedNode is the leader's state of one incarnation.
type trackedNode struct {
	entry catalog.NodeEntry
	// sequence is the sequence number of the renewal that reported the entry, and known
	// the revision that the node knew.
	sequence uint64
	known    zinniasill.Revision
	// renewed is set if the incarnation has renewed since the election of this leader.
	renewed bool
	// listedAt is a revision at which the incarnation was listed, 0 before that.
	listedAt   zinniasill.Revision
	renewedAt  time.Time
	proposedAt time.Time
}

// RecordRenewal records a renewal by a node and proposes the commands that it requires. A
// renewal that a later one has overtaken is ignored: it may have been delayed by seconds in
// a replica that was paused. The sequence number 0 is that of a renewal in unknown order.
func (l *LeaderTasks) RecordRenewal(now time.Time, renewal message.Renew) {
	entry := renewal.Entry
	if !l.leading || l.machine.Dead(entry.Node) {
		return
	}
	t, ok := l.tracked[entry.Node]
	if !ok {
		t = &trackedNode{}
		l.tracked[entry.Node] = t
	}
	if renewal.Sequence != 0 && renewal.Sequence < t.sequence {
		return
	}
	t.sequence = max(t.sequence, renewal.Sequence)
	t.known = max(t.known, renewal.Known)
	t.renewed = true
	if !t.entry.Equal(entry) {
		// The last proposal was for another entry.
		t.proposedAt = time.Time{}
	}
	t.entry = entry
	t.renewedAt = now
	l.reconcileNode(now, t)
}

// resetRenewalTimes treats all tracked nodes as renewed now.
func (l *LeaderTasks) resetRenewalTimes(now time.Time) {
	for _, t := range l.tracked {
		t.renewedAt = now
	}
}

// checkNodes proposes to declare unresponsive nodes dead and reconciles the others. It
// also tracks nodes of the catalog that have not renewed since the election.
func (l *LeaderTasks) checkNodes(now time.Time) {
	current := l.machine.catalog
	for _, listed := range current.Nodes {
		t, ok := l.tracked[listed.Node]
		if !ok {
			t = &trackedNode{entry: listed, renewedAt: now}
			l.tracked[listed.Node] = t
		}
		if t.listedAt == 0 {
			t.listedAt = current.Revision
		}
	}
	nodes := make([]zinniasill.Node, 0, len(l.tracked))
	for node := range l.tracked {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, zinniasill.Node.Compare)
	for _, node := range nodes {
		t := l.tracked[node]
		unresponsive := now.Sub(t.renewedAt) >= l.cfg.DeadTimeout
		switch {
		case l.machine.Dead(node), unresponsive && !current.Alive(node):
			delete(l.tracked, node)
		case unresponsive:
			l.proposeFor(now, t, Command{Dead: &DeclareDead{Node: node}})
		default:
			l.reconcileNode(now, t)
		}
	}
}

// reconcileNode proposes to register a node whose last renewal differs from the
// catalog, or to list the host that it reported. While another incarnation of the node
// still renews, it proposes nothing.
func (l *LeaderTasks) reconcileNode(now time.Time, t *trackedNode) {
	entry := t.entry
	host := entry.Host
	entry.Host = zinniasill.Node{}
	listed, ok := l.machine.catalog.Nodes[entry.Node.ID]
	if ok && listed.Node != entry.Node {
		if other, ok := l.tracked[listed.Node]; !ok || now.Sub(other.renewedAt) < l.replaceTimeout(t, other) {
			return
		}
	}
	switch {
	case !ok || !listed.Equal(entry):
		l.proposeFor(now, t, Command{Register: &RegisterNode{Entry: entry}})
	case host != zinniasill.Node{}:
		l.proposeFor(now, t, Command{Handover: &Handover{Node: entry.Node, Host: host}})
	}
}

// replaceTimeout returns the time without a renewal after which a listed incarnation may be
// replaced by next. A node that does not know the revision by which the listed incarnation
// had been registered may have ended before that, and its renewal may be late.
func (l *LeaderTasks) replaceTimeout(next, listed *trackedNode) time.Duration {
	knows := listed.listedAt != 0 && next.known >= listed.listedAt
	if listed.renewed && !knows {
		return max(l.cfg.ReplaceTimeout, DefaultReplaceTimeout)
	}
	return l.cfg.ReplaceTimeout
}

// proposeFor proposes a command for a node, unless the last one is more recent than
// proposalRetryInterval.
func (l *LeaderTasks) proposeFor(now time.Time, t *trackedNode, command Command) {
	if !t.proposedAt.IsZero() && now.Sub(t.proposedAt) < proposalRetryInterval {
		return
	}
	t.proposedAt = now
	l.propose(command)
}
