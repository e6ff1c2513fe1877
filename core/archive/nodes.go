package archive

import "zinniasill"

// NodeTable numbers nodes, so that an encoding names each by a small number. It keeps
// every node that it has numbered: those of a cluster, and about 60 B for each
// incarnation that replaces one. The zero value is empty.
type NodeTable struct {
	numbers map[zinniasill.Node]uint64
	nodes   []zinniasill.Node
}

// Number returns the number of a node.
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

// Node returns the node of a number.
func (n *NodeTable) Node(number uint64) zinniasill.Node { return n.nodes[number] }
