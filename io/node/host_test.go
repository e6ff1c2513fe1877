package node

import (
	"testing"

	"zinniasill"
	"zinniasill/core/catalog"
)

// TestChooseHost guards against records that go to an agent which takes no work,
// or leave the failure domain without need.
func TestChooseHost(t *testing.T) {
	agent := func(id zinniasill.NodeID, domain zinniasill.Domain, state catalog.ServeState) catalog.NodeEntry {
		return catalog.NodeEntry{
			Node: zinniasill.Node{ID: id, Incarnation: 1}, Role: catalog.RoleAgent, Domain: domain, State: state,
		}
	}
	entry := agent("b1", "a", catalog.Serving)
	entry.Role = catalog.RoleEntry
	tests := map[string]struct {
		nodes   []catalog.NodeEntry
		out     zinniasill.Domain
		refused zinniasill.NodeID
		want    zinniasill.NodeID
	}{
		"alone":             {nodes: []catalog.NodeEntry{entry}},
		"itself":            {nodes: []catalog.NodeEntry{agent("b", "a", catalog.Serving)}},
		"next in the order": {nodes: []catalog.NodeEntry{agent("a", "a", catalog.Serving), agent("d", "a", catalog.Serving), agent("c", "a", catalog.Serving)}, want: "c"},
		"first after last":  {nodes: []catalog.NodeEntry{agent("a", "a", catalog.Serving)}, want: "a"},
		"own domain":        {nodes: []catalog.NodeEntry{agent("c", "z", catalog.Serving), agent("a", "a", catalog.Serving)}, want: "a"},
		"other domain":      {nodes: []catalog.NodeEntry{agent("c", "z", catalog.Serving), agent("a", "a", catalog.Leaving)}, want: "c"},
		"domain out":        {nodes: []catalog.NodeEntry{agent("c", "z", catalog.Serving), agent("a", "a", catalog.Serving)}, out: "a", want: "c"},
		"refused":           {nodes: []catalog.NodeEntry{agent("c", "a", catalog.Serving), agent("d", "a", catalog.Serving)}, refused: "c", want: "d"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cat := catalog.New()
			for _, node := range test.nodes {
				cat.Nodes[node.Node.ID] = node
			}
			if test.out != "" {
				cat.Domains[test.out] = catalog.DomainEntry{Name: test.out, State: catalog.DomainOutOfService}
			}
			refused := map[zinniasill.Node]bool{{ID: test.refused, Incarnation: 1}: true}
			host, ok := chooseHost(cat, zinniasill.Node{ID: "b", Incarnation: 1}, "a", refused)
			if host.ID != test.want || ok != (test.want != "") {
				t.Errorf("chose %v, %t, want %q", host, ok, test.want)
			}
		})
	}
}
