package control

import (
	"slices"
	"time"

	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// SetReplicas sets the voting replicas, which nodes are told about. A node that knows only
// those of its settings has no lease while these are partitioned from the others.
func (s *Server) SetReplicas(replicas []message.Replica) {
	s.replicas = replicas
	s.replicasDigest = message.ReplicasDigest(replicas)
}

// ready reports whether a request can get its reply. A node gets no lease before it is
// registered, because the leader would not detect its failure.
func (s *Server) ready(r pendingRequest) bool {
	if r.renewal == nil {
		return true
	}
	node := r.renewal.Entry.Node
	return s.machine.Dead(node) || s.machine.catalog.Alive(node)
}

// replyToReady replies to the requests whose read index is applied.
func (s *Server) replyToReady() {
	s.readQueue.replyEarly(s.machine.Applied(), s.replyWithoutLease)
	for _, r := range s.readQueue.takeReady(s.machine.Applied(), s.ready) {
		if r.renewal != nil {
			s.replyWithLease(*r.renewal)
		} else {
			r.readDone(s.machine.Catalog(), nil)
		}
	}
}

// replyWithoutLease sends the configuration without a lease to a node that is not
// registered yet. After a restart of all processes, entries can serve with it at once,
// whereas registration takes a commit and, for a node whose earlier incarnation is
// listed, ReplaceTimeout.
func (s *Server) replyWithoutLease(r pendingRequest) {
	if r.renewal == nil || s.ready(r) {
		return
	}
	s.reply(*r.renewal, 0)
	if !r.renewal.NoFull {
		// The later reply with the lease needs the changes since this one only.
		r.renewal.Known = s.machine.catalog.Revision
	}
}

// replyWithLease replies to a renewal. The read index must have been requested after
// the renewal arrived, and must be confirmed and applied: otherwise a replica that is
// partitioned from the others would extend leases without having the latest changes.
func (s *Server) replyWithLease(renewal message.Renew) {
	s.reply(renewal, s.cfg.LeaseLength)
}

func (s *Server) reply(renewal message.Renew, length time.Duration) {
	body := message.RenewReply{
		Sequence: renewal.Sequence,
		Length:   length,
		Revision: s.machine.catalog.Revision,
	}
	if s.machine.Dead(renewal.Entry.Node) {
		body.Dead = true
		body.Length = 0
	}
	if renewal.Replicas != s.replicasDigest {
		body.Replicas = s.replicas
	}
	changes, ok := s.machine.ChangesSince(renewal.Known)
	switch {
	case ok:
		body.Changes = changes
	case body.Dead:
	case renewal.NoFull:
		body.FullOmitted = true
	default:
		body.Full = s.machine.Catalog()
	}
	omitUnusedDocuments(&body, renewal.Entry.Role)
	s.send(renewal.Entry.Node, body)
}

// omitUnusedDocuments removes the content of the documents that the node does not use: for
// an agent all, for others all but the newest. It is most of what a change of the
// configuration sends to each node.
func omitUnusedDocuments(reply *message.RenewReply, role catalog.Role) {
	used := role != catalog.RoleAgent
	if reply.Full != nil && !used {
		reply.Full = reply.Full.WithoutDocument()
	}
	for i, change := range slices.Backward(reply.Changes) {
		if change.Document == nil {
			continue
		}
		if !used {
			reply.Changes[i] = change.WithoutDocument()
		}
		used = false
	}
}
