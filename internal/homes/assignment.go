package homes

import (
	"cmp"
	"slices"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// cpuSharePerSlot is the fraction of a CPU that a home node needs for each slot of its
	// servers: a slot serves about ten requests a second, each of which costs the home node
	// about a millisecond, and half is reserved for bursts.
	cpuSharePerSlot = 0.02
	// maxHomesPerService limits the number of home nodes of a service in a zone, and thereby
	// the cost of selecting them.
	maxHomesPerService = 12
	// preferredShareRatio is the fraction of the largest share in the zone from which a node
	// is preferred as a home of unsharded services.
	preferredShareRatio = 0.5
)

// Choose returns the home nodes of an unsharded service in a zone, ordered by rank: the
// smallest number of the zone's nodes that can handle the given number of slots. A node that
// joins or leaves changes few of them.
func Choose(service, zone string, slots int, nodes []Node) []Node {
	var chosen []Node
	needed := cpuSharePerSlot * float64(slots)
	for _, node := range largestFirst(Server{ID: discovery.ServerID(service), Zone: zone}, nodes) {
		chosen = append(chosen, node)
		if needed -= node.Share; needed <= 0 || len(chosen) == maxHomesPerService {
			break
		}
	}
	return chosen
}

// PickHome returns which of the chosen home nodes in its zone a server of an unsharded service
// is assigned to. chosen must not be empty.
func PickHome(server Server, chosen []Node) Node { return highest(server, chosen, 1)[0] }

// largestFirst returns the nodes of a server's zone ordered by rank, with the nodes that
// have a large share before the others.
func largestFirst(server Server, nodes []Node) []Node {
	ranked := highest(server, nodes, len(nodes))
	greatest := 0.0
	for _, node := range ranked {
		greatest = max(greatest, node.Share)
	}
	small := func(node Node) int {
		if node.Share < preferredShareRatio*greatest {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(ranked, func(a, b Node) int { return cmp.Compare(small(a), small(b)) })
	return ranked
}
