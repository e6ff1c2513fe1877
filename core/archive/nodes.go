package archive

import "zinniasill"

// NodeTable assigns small numbers to nodes, by which encodings refer to them. Nodes are
// never removed: the table holds the nodes of a cluster and takes about 60 B more for
// each incarnation that replaces another. The zero value is an empty table.
type NodeTable struct {
	numbers map[zinniasill.Node]uint64
	nodes   []zinniasill.Node
}

// Number returns the number of a node. It assigns one to a new node.
func (n *NodeTable) Number(node zinniasill.Node) uint64 {
	number, ok := n.numbers[node]
	if !ok {
		if n.numbers == nil {
			n.numbers = map[zinniasill.Node]uint64{}
		}
		number = uint64(len(n.nodes))
		n.numbers[node] = number
		n.nodes = append(n.nodes, node)
	}
	return number
}

// Node returns the node with a number that Number has returned.
func (n *NodeTable) Node(number uint64) zinniasill.Node { return n.nodes[number] }
