package lease

import (
	"cmp"
	"slices"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/rendezvous"
)

// Known returns the replicas that control has told the node about.
func (h *Holder) Known() []message.Replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.known)
}

func (h *Holder) knownDigest() uint64 {
	if len(h.known) == 0 {
		return 0
	}
	return message.ReplicasDigest(h.known)
}

// setKnown replaces the replicas known from control. Those that the node tries already keep
// their places. New ones follow in an order that differs between nodes, which spreads the
// renewals.
func (h *Holder) setKnown(known []message.Replica) {
	current := h.replicas[h.currentReplica]
	h.known = slices.Clone(known)
	isKnown := func(id zinniasill.NodeID) bool {
		return slices.ContainsFunc(known, func(r message.Replica) bool { return r.ID == id })
	}
	kept := slices.DeleteFunc(slices.Clone(h.replicas), func(id zinniasill.NodeID) bool {
		return !isKnown(id) && !slices.Contains(h.configured, id)
	})
	var added []zinniasill.NodeID
	for _, replica := range known {
		if !slices.Contains(kept, replica.ID) {
			added = append(added, replica.ID)
		}
	}
	self := rendezvous.Hash(string(h.entry.Node.ID))
	slices.SortFunc(added, func(a, b zinniasill.NodeID) int {
		return cmp.Compare(rendezvous.Score(self, rendezvous.Hash(string(b))), rendezvous.Score(self, rendezvous.Hash(string(a))))
	})
	h.replicas = slices.Concat(kept, added)
	h.currentReplica = max(slices.Index(h.replicas, current), 0)
}

// accepts reports whether a message is from a control replica of the node's cluster and
// to this incarnation.
func (h *Holder) accepts(env message.Envelope) bool {
	return env.Version == message.Version &&
		env.To == h.entry.Node &&
		env.Cluster != "" &&
		(h.cluster == "" || env.Cluster == h.cluster) &&
		slices.Contains(h.replicas, env.From.ID)
}
