package quota

import (
	"cmp"
	"slices"

	"github.com/micahaven/micahaven/internal/rendezvous"
)

// Node is a node that may be home to tenants.
type Node struct {
	Name, Address string
	// Process differs between two lives of a node.
	Process string
	// Share is its part of a processor.
	Share float64
}

// mostHomes is how many nodes are homes: enough that one of them has the reports of a few
// tenants only, and few, so that what a node reports of several tenants goes in few messages.
const mostHomes = 16

// strongest returns the nodes with the greatest shares, which every node finds alike.
func strongest(nodes []Node, count int) []Node {
	best := make([]Node, 0, count+1)
	for _, node := range nodes {
		at, _ := slices.BinarySearchFunc(best, node, func(a, b Node) int {
			return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name))
		})
		if at == count {
			continue
		}
		best = slices.Insert(best, at, node)
		best = best[:min(len(best), count)]
	}
	return best
}

// homeOf returns the home of a tenant among some nodes; false if there is none.
func homeOf(tenant string, nodes []Node) (Node, bool) {
	var home Node
	best, found := uint64(0), false
	for _, node := range nodes {
		if score := rendezvous.Score(tenant, node.Name); !found || score > best {
			home, best, found = node, score, true
		}
	}
	return home, found
}
