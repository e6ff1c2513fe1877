package catalog_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/catalog"
)

func member(id, incarnation int, domain string) catalog.EpochMember {
	return catalog.EpochMember{
		Node: zinniasill.Node{
			ID:          zinniasill.NodeID(fmt.Sprintf("agent-%04d", id)),
			Incarnation: zinniasill.Incarnation(incarnation),
		},
		Domain: zinniasill.Domain(domain),
	}
}

// members draws a sorted list in which ids may occur with several incarnations.
func members(t *rapid.T) []catalog.EpochMember {
	var list []catalog.EpochMember
	for id := range 6 {
		for incarnation := 1; incarnation <= 2; incarnation++ {
			if rapid.Bool().Draw(t, "listed") {
				list = append(list, member(id, incarnation, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")))
			}
		}
	}
	return list
}

// TestEpochsRoundTrip guards against a difference that loses, adds or reorders
// members: nodes with different lists would use different claim groups.
func TestEpochsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var epochs catalog.Epochs
		for i := range rapid.IntRange(0, 6).Draw(t, "epochs") {
			epochs = append(epochs, catalog.EpochEntry{Number: zinniasill.Epoch(i + 3), Members: members(t)})
		}
		data, err := cbor.Marshal(epochs)
		if err != nil {
			t.Fatal(err)
		}
		var decoded catalog.Epochs
		if err := cbor.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		if len(decoded) != len(epochs) {
			t.Fatalf("%d epochs decoded, want %d", len(decoded), len(epochs))
		}
		for i := range epochs {
			if decoded[i].Number != epochs[i].Number || !slices.Equal(decoded[i].Members, epochs[i].Members) {
				t.Errorf("epoch %d decoded as %v, want %v", i, decoded[i], epochs[i])
			}
		}
	})
}

// TestEpochsOfEarlierVersions guards against snapshots and logs of earlier
// versions, which list all members of each epoch, being read as something else.
func TestEpochsOfEarlierVersions(t *testing.T) {
	type plain struct {
		Number  zinniasill.Epoch      `cbor:"1,keyasint"`
		Members []catalog.EpochMember `cbor:"2,keyasint"`
	}
	one := []catalog.EpochMember{member(1, 1, "a")}
	two := append(slices.Clone(one), member(2, 1, "b"))
	data, err := cbor.Marshal([]plain{{1, one}, {2, two}})
	if err != nil {
		t.Fatal(err)
	}
	var decoded catalog.Epochs
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	want := catalog.Epochs{{Number: 1, Members: one}, {Number: 2, Members: two}}
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded %v, want %v", decoded, want)
	}
	copied := catalog.New()
	copied.Apply(catalog.Change{Revision: 1, Epoch: &catalog.EpochEntry{Number: 1, Members: two}})
	if !slices.Equal(copied.Epochs[0].Members, two) {
		t.Errorf("a change with members gave %v, want %v", copied.Epochs[0].Members, two)
	}
}

// TestFirstEpochIsNoDifference guards against a list whose start is missing being
// read as epochs of a few members.
func TestFirstEpochIsNoDifference(t *testing.T) {
	data, err := cbor.Marshal([]map[int]any{{1: 7, 4: true}})
	if err != nil {
		t.Fatal(err)
	}
	var decoded catalog.Epochs
	if err := cbor.Unmarshal(data, &decoded); err == nil {
		t.Errorf("decoded %v, want an error", decoded)
	}
}

func largeCatalog(agents int) (*catalog.Catalog, zinniasill.Revision) {
	c := catalog.New()
	var revision zinniasill.Revision
	for i := range agents {
		m := member(i, 1<<60+i, fmt.Sprintf("zone-%d", i%5))
		revision++
		c.Apply(catalog.Change{Revision: revision, Node: &catalog.NodeEntry{
			Node: m.Node, Role: catalog.RoleAgent, Domain: m.Domain, Address: "10.0.0.1:7000",
			Slots: 3, Kinds: []zinniasill.Kind{"stub"}, State: catalog.Serving,
		}})
	}
	return c, revision
}

// TestEpochMembersFollow guards against an epoch change whose members differ
// between the nodes that apply it, and against its size growing with the cluster.
func TestEpochMembersFollow(t *testing.T) {
	c, revision := largeCatalog(1400)
	change := catalog.Change{Revision: revision + 1, Epoch: &catalog.EpochEntry{Number: 1}}
	data, err := cbor.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 64 {
		t.Errorf("an epoch of 1,400 agents takes %d bytes, want at most 64", len(data))
	}
	c.Apply(change)
	if got := c.Epochs[0].Members; len(got) != 1400 || !slices.Equal(got, c.EligibleAgents()) {
		t.Errorf("the epoch has %d members, want the 1400 that serve", len(got))
	}
}

// TestEpochsSize guards against a full catalog that carries all members of every
// retained epoch.
func TestEpochsSize(t *testing.T) {
	c, revision := largeCatalog(1400)
	sizes := map[int]int{}
	for number := range 64 {
		node := c.Nodes[member(number, 0, "").Node.ID]
		node.Node.Incarnation++
		c.Apply(catalog.Change{Revision: revision + 1, Node: &node})
		c.Apply(catalog.Change{Revision: revision + 2, Epoch: &catalog.EpochEntry{Number: zinniasill.Epoch(number + 1)}})
		revision += 2
		data, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		sizes[number+1] = len(data)
	}
	if grown := sizes[64] - sizes[1]; grown > 64*128 {
		t.Errorf("63 epochs that differ in one agent take %d bytes, want at most %d", grown, 64*128)
	}
}
