package quota

import (
	"cmp"
	"slices"

	"github.com/micahaven/micahaven/internal/rendezvous"
)

// Node is a node that may be the home node of limits.
type Node struct {
	Name, Address string
	// Process identifies the node's process; it changes when the node restarts.
	Process string
	// Share is the share of a CPU that the node has.
	Share float64
}

// maxHomes is the number of nodes that act as home nodes. It is large enough that each of them
// receives the reports for a few tenants only, and small enough that a node's reports on
// several tenants are batched into few messages.
const maxHomes = 16

// largestByCPUShare returns the nodes with the largest CPU shares. Ties are broken by name, so
// that every node selects the same ones.
func largestByCPUShare(nodes []Node, count int) []Node {
	largest := make([]Node, 0, count+1)
	for _, node := range nodes {
		position, _ := slices.BinarySearchFunc(largest, node, func(a, b Node) int {
			return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name))
		})
		if position == count {
			continue
		}
		largest = slices.Insert(largest, position, node)
		largest = largest[:min(len(largest), count)]
	}
	return largest
}

// homeOf returns the home node of a limit, selected by rendezvous hashing of its name; false if
// there are no nodes.
func homeOf(name string, nodes []Node) (Node, bool) {
	var home Node
	best, found := uint64(0), false
	for _, node := range nodes {
		if score := rendezvous.Score(name, node.Name); !found || score > best {
			home, best, found = node, score, true
		}
	}
	return home, found
}
