package consensus

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"unicode/utf8"

	"zinniasill"
)

// clusterIDBytes is the length of a cluster id in bytes before hex encoding.
const clusterIDBytes = 16

// Member identifies one replica. A replica that lost its disk gets a new instance and is
// therefore a new member.
type Member struct {
	Name     zinniasill.NodeID      `cbor:"1,keyasint"`
	Instance zinniasill.Incarnation `cbor:"2,keyasint"`
	Address  string                 `cbor:"3,keyasint"`
}

// maxMemberText is the maximum length of a member's name or address in bytes.
const maxMemberText = 256

// valid reports whether a member can be part of the membership, which all members store.
func (m Member) valid() bool {
	return m.Name != "" && len(m.Name) <= maxMemberText && utf8.ValidString(string(m.Name)) &&
		len(m.Address) <= maxMemberText && utf8.ValidString(m.Address)
}

// Node returns the member's name and instance as a node.
func (m Member) Node() zinniasill.Node {
	return zinniasill.Node{ID: m.Name, Incarnation: m.Instance}
}

// Membership lists the replicas of a cluster. Values are never modified in place.
type Membership struct {
	Voters []Member `cbor:"1,keyasint"`
	// Learners receive the log but do not vote.
	Learners []Member `cbor:"2,keyasint,omitempty"`
	// Size is the number of replicas that the cluster is meant to have. While there are more
	// voters, those that are gone are removed. It is 0 in logs that do not have it yet.
	Size int `cbor:"3,keyasint,omitempty"`
}

// surplus returns the number of voters above the intended size.
func (m Membership) surplus() int {
	if m.Size == 0 {
		return 0
	}
	return max(len(m.Voters)-m.Size, 0)
}

// IsVoter reports whether node is a voter.
func (m Membership) IsVoter(node zinniasill.Node) bool {
	return indexNode(m.Voters, node) >= 0
}

// IsLearner reports whether node is a learner.
func (m Membership) IsLearner(node zinniasill.Node) bool {
	return indexNode(m.Learners, node) >= 0
}

// HasName reports whether any instance of name is a voter or learner.
func (m Membership) HasName(name zinniasill.NodeID) bool {
	return indexName(m.Voters, name) >= 0 || indexName(m.Learners, name) >= 0
}

// peers returns all members except self.
func (m Membership) peers(self zinniasill.Node) []Member {
	var peers []Member
	for _, member := range m.Voters {
		if member.Node() != self {
			peers = append(peers, member)
		}
	}
	for _, member := range m.Learners {
		if member.Node() != self {
			peers = append(peers, member)
		}
	}
	return peers
}

// withLearner returns the membership with learner added. It replaces an earlier learner
// of the same name.
func (m Membership) withLearner(learner Member) Membership {
	return Membership{
		Voters:   m.Voters,
		Learners: append(without(m.Learners, learner.Name), learner),
		Size:     m.Size,
	}
}

// withVoter returns the membership with a learner promoted to voter.
func (m Membership) withVoter(voter Member) Membership {
	voters := append(without(m.Voters, voter.Name), voter)
	sortMembers(voters)
	return Membership{Voters: voters, Learners: without(m.Learners, voter.Name), Size: m.Size}
}

// withoutVoter returns the membership without the voter called name.
func (m Membership) withoutVoter(name zinniasill.NodeID) Membership {
	return Membership{Voters: without(m.Voters, name), Learners: m.Learners, Size: m.Size}
}

// without returns the members whose name is not name.
func without(members []Member, name zinniasill.NodeID) []Member {
	var remaining []Member
	for _, member := range members {
		if member.Name != name {
			remaining = append(remaining, member)
		}
	}
	return remaining
}

func indexNode(members []Member, node zinniasill.Node) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.Node() == node })
}

func indexName(members []Member, name zinniasill.NodeID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.Name == name })
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Instance, b.Instance))
	})
}

// clusterID returns the id of the cluster that the members form. It covers the addresses,
// because all members must write the same first entry.
func clusterID(members []Member) zinniasill.ClusterID {
	sorted := slices.Clone(members)
	sortMembers(sorted)
	var identities []byte
	for _, member := range sorted {
		identities = fmt.Appendf(identities, "%q %016x %q\n", member.Name, uint64(member.Instance), member.Address)
	}
	hash := sha256.Sum256(identities)
	return zinniasill.ClusterID(hex.EncodeToString(hash[:clusterIDBytes]))
}
