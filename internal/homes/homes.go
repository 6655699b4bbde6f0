// Package homes says which node is home to a server: the node that holds the queue, the
// connections and what is known of that server for all nodes of its zone. Every node
// finds the same home from the registered nodes, without a message. It is pure.
package homes

import (
	"cmp"
	"math"
	"slices"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/rendezvous"
)

// Node is a node that may be home to servers.
type Node struct {
	Name, Zone, Address string
	// Share is its part of a processor, by which it gets servers.
	Share float64
}

// Server is a server that has a home.
type Server struct {
	ID   discovery.ServerID
	Zone string
}

// Ranked returns the nodes of a server's zone, the home first and then those that take
// its place in turn if it cannot be reached.
type Ranked func(server Server, nodes []Node) []Node

// MaxRanked is how many nodes are ranked for a server: with three that cannot be reached
// the zone has other troubles, and nodes send to the server themselves.
const MaxRanked = 3

// Rank is a Ranked by weighted rendezvous hashing: each node is home to servers in
// proportion to the square of its share, and one that comes or goes moves only those servers that it
// gets or had.
func Rank(server Server, nodes []Node) []Node { return highest(server, nodes, MaxRanked) }

// highest returns the nodes of a server's zone with the greatest scores, the best first:
// count of them, or all if there are fewer.
func highest(server Server, nodes []Node, count int) []Node {
	type scored struct {
		node  Node
		score float64
	}
	best := make([]scored, 0, count+1)
	for _, node := range nodes {
		if node.Zone != server.Zone || node.Share <= 0 {
			continue
		}
		entry := scored{node, score(server, node)}
		at, _ := slices.BinarySearchFunc(best, entry, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node.Name, b.node.Name))
		})
		if at == count {
			continue
		}
		best = slices.Insert(best, at, entry)
		best = best[:min(len(best), count)]
	}
	ranked := make([]Node, 0, len(best))
	for _, entry := range best {
		ranked = append(ranked, entry.node)
	}
	return ranked
}

// score is the weighted rendezvous score: weight / -ln(u), where u is a hash of the pair
// between 0 and 1. The weight is the square of the share: each node serves as many callers
// of its own whatever its share, so that small ones have even less left.
func score(server Server, node Node) float64 {
	const hashes = 1 << 53
	u := (float64(rendezvous.Score(string(server.ID), node.Name)>>11) + 0.5) / hashes
	return node.Share * node.Share / -math.Log(u)
}

// Ranks ranks the nodes of one view, each server once. It is not safe for concurrent use.
type Ranks struct {
	byZone map[string][]Node
	known  map[Server][]Node
}

// NewRanks returns the ranks among some nodes.
func NewRanks(nodes []Node) *Ranks {
	r := &Ranks{byZone: make(map[string][]Node), known: make(map[Server][]Node)}
	for _, node := range nodes {
		r.byZone[node.Zone] = append(r.byZone[node.Zone], node)
	}
	return r
}

// Of returns the ranked nodes of a server's zone. The slice must not be changed.
func (r *Ranks) Of(server Server) []Node {
	ranked, known := r.known[server]
	if !known {
		ranked = Rank(server, r.byZone[server.Zone])
		r.known[server] = ranked
	}
	return ranked
}
