// Package homes determines the home node of a server: the node that manages the request
// queue, the connections and the load state of that server on behalf of all nodes in its
// zone. Every node computes the same home from the registered nodes, without communication.
// The package is pure: it has neither I/O nor a clock.
package homes

import (
	"cmp"
	"math"
	"slices"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/rendezvous"
)

// Node is a node that may be the home of servers.
type Node struct {
	Name, Zone, Address string
	// Share is the fraction of a CPU that the node has; it determines how many servers the
	// node is home to.
	Share float64
}

// Server is a server that has a home.
type Server struct {
	ID   discovery.ServerID
	Zone string
}

// RankFunc returns candidate nodes in a server's zone: first the home, then the nodes that
// replace it, in order, if it cannot be reached.
type RankFunc func(server Server, nodes []Node) []Node

// MaxRanked is how many nodes are ranked for a server. If all three are unreachable, the
// zone has a larger outage, and nodes send to the server directly.
const MaxRanked = 3

// Rank is a RankFunc based on weighted rendezvous hashing: each node is home to servers in
// proportion to the square of its share, and a node that joins or leaves moves only the
// servers that it gains or had.
func Rank(server Server, nodes []Node) []Node { return highest(server, nodes, MaxRanked) }

// highest returns the count nodes of a server's zone with the highest scores, best first, or
// all of them if there are fewer.
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

// score is the weighted rendezvous score: weight / -ln(u), where u is a hash of the server
// and node, uniform between 0 and 1. The weight is the square of the share: each node serves
// the same number of its own callers whatever its share, so a small node has
// disproportionately less capacity left for servers.
func score(server Server, node Node) float64 {
	const hashes = 1 << 53
	u := (float64(rendezvous.Score(string(server.ID), node.Name)>>11) + 0.5) / hashes
	return node.Share * node.Share / -math.Log(u)
}

// Ranks computes and caches the ranking of the nodes of one view for each server. It is not
// safe for concurrent use.
type Ranks struct {
	byZone map[string][]Node
	cached map[Server][]Node
}

// NewRanks returns the rankings among the given nodes.
func NewRanks(nodes []Node) *Ranks {
	r := &Ranks{byZone: make(map[string][]Node), cached: make(map[Server][]Node)}
	for _, node := range nodes {
		r.byZone[node.Zone] = append(r.byZone[node.Zone], node)
	}
	return r
}

// Of returns the ranked nodes of a server's zone. The caller must not modify the slice.
func (r *Ranks) Of(server Server) []Node {
	ranked, cached := r.cached[server]
	if !cached {
		ranked = Rank(server, r.byZone[server.Zone])
		r.cached[server] = ranked
	}
	return ranked
}
