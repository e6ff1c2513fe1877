package catalog

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"zinniasill"
)

// Epochs is a list of epochs, oldest first. Neighbouring epochs of a large
// cluster differ in a few members, so each is encoded as its difference to the
// one before it. A catalog with 100 epochs of 1,400 agents would otherwise take
// 4.6 MB for each node that starts.
type Epochs []EpochEntry

// encodedEpoch is one epoch of an encoded list. Without Differs, Members are all
// members, as in lists of earlier versions.
type encodedEpoch struct {
	Number  zinniasill.Epoch  `cbor:"1,keyasint"`
	Members []EpochMember     `cbor:"2,keyasint,omitempty"`
	Removed []zinniasill.Node `cbor:"3,keyasint,omitempty"`
	Differs bool              `cbor:"4,keyasint,omitempty"`
}

// MarshalCBOR implements cbor.Marshaler.
func (e Epochs) MarshalCBOR() ([]byte, error) {
	encoded := make([]encodedEpoch, len(e))
	for i, epoch := range e {
		encoded[i] = encodedEpoch{Number: epoch.Number, Members: epoch.Members}
		if i == 0 {
			continue
		}
		added, removed := difference(e[i-1].Members, epoch.Members)
		if len(added)+len(removed) < len(epoch.Members) {
			encoded[i] = encodedEpoch{Number: epoch.Number, Members: added, Removed: removed, Differs: true}
		}
	}
	data, err := cbor.Marshal(encoded)
	return data, eris.Wrap(err, "encode epochs")
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (e *Epochs) UnmarshalCBOR(data []byte) error {
	var encoded []encodedEpoch
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return eris.Wrap(err, "decode epochs")
	}
	decoded := make(Epochs, len(encoded))
	for i, epoch := range encoded {
		decoded[i] = EpochEntry{Number: epoch.Number, Members: epoch.Members}
		if !epoch.Differs {
			continue
		}
		if i == 0 {
			return eris.Errorf("epoch %d is a difference to an epoch that is not listed", epoch.Number)
		}
		decoded[i].Members = merge(decoded[i-1].Members, epoch.Members, epoch.Removed)
	}
	*e = decoded
	return nil
}

// difference returns the members of to that from does not have, and the nodes of
// the members of from that to does not have. Both lists are sorted. A member with
// another failure domain is removed and added.
func difference(from, to []EpochMember) (added []EpochMember, removed []zinniasill.Node) {
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(from) > 0 && len(to) > 0 && from[0] == to[0]:
			from, to = from[1:], to[1:]
		case len(to) == 0 || len(from) > 0 && compareMembers(from[0], to[0]) <= 0:
			removed = append(removed, from[0].Node)
			from = from[1:]
		default:
			added = append(added, to[0])
			to = to[1:]
		}
	}
	return added, removed
}

// merge applies a difference. Without a difference, the result shares the list.
func merge(from, added []EpochMember, removed []zinniasill.Node) []EpochMember {
	if len(added)+len(removed) == 0 {
		return from
	}
	gone := make(map[zinniasill.Node]struct{}, len(removed))
	for _, node := range removed {
		gone[node] = struct{}{}
	}
	members := make([]EpochMember, 0, len(from)+len(added))
	for _, member := range from {
		if _, ok := gone[member.Node]; !ok {
			members = append(members, member)
		}
	}
	members = append(members, added...)
	slices.SortFunc(members, compareMembers)
	return members
}

func compareMembers(a, b EpochMember) int {
	return a.Node.Compare(b.Node)
}

// EligibleAgents returns the agents that serve, sorted by id. The next epoch is made of
// them.
func (c *Catalog) EligibleAgents() []EpochMember {
	var members []EpochMember
	for _, node := range c.Nodes {
		if node.Role == RoleAgent && c.Serving(node) {
			members = append(members, EpochMember{Node: node.Node, Domain: node.Domain})
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// addEpoch appends an epoch. Its members follow from the nodes that are listed
// here already; sending them would cost about 46 KB for 1,400 agents.
func (c *Catalog) addEpoch(epoch EpochEntry) {
	if len(epoch.Members) == 0 {
		epoch.Members = c.EligibleAgents()
	}
	if n := len(c.Epochs); n > 0 && slices.Equal(epoch.Members, c.Epochs[n-1].Members) {
		epoch.Members = c.Epochs[n-1].Members
	}
	c.Epochs = append(c.Epochs[:len(c.Epochs):len(c.Epochs)], epoch)
}
