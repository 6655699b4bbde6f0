package homes

import (
	"cmp"
	"slices"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// sharePerSlot is the part of a processor that a home needs for each slot of its
	// servers: a slot serves some ten requests a second, each of which costs a home about
	// a millisecond, and half is left for bursts.
	sharePerSlot = 0.02
	// maxHomesPerService bounds the homes that a service has in a zone, and what it costs
	// to find them.
	maxHomesPerService = 12
	// strongPart is the part of the zone's greatest share from which nodes are preferred
	// as homes of undivided services.
	strongPart = 0.5
)

// Choose returns the homes of an undivided service in a zone, in the order of their rank:
// as few of the zone's nodes as bear a number of slots. A node that comes or goes moves few of
// them.
func Choose(service, zone string, slots int, nodes []Node) []Node {
	var chosen []Node
	needed := sharePerSlot * float64(slots)
	for _, node := range strongestFirst(Server{ID: discovery.ServerID(service), Zone: zone}, nodes) {
		chosen = append(chosen, node)
		if needed -= node.Share; needed <= 0 || len(chosen) == maxHomesPerService {
			break
		}
	}
	return chosen
}

// Among returns which of some homes of its zone, of which there is one at least, a server
// of an undivided service falls to.
func Among(server Server, chosen []Node) Node { return highest(server, chosen, 1)[0] }

// strongestFirst returns the nodes of a server's zone by their rank, those with a large
// share before the others.
func strongestFirst(server Server, nodes []Node) []Node {
	ranked := highest(server, nodes, len(nodes))
	greatest := 0.0
	for _, node := range ranked {
		greatest = max(greatest, node.Share)
	}
	weak := func(node Node) int {
		if node.Share < strongPart*greatest {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(ranked, func(a, b Node) int { return cmp.Compare(weak(a), weak(b)) })
	return ranked
}
