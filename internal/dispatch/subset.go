package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/view"
)

const (
	// nodesPerSlot is from how many nodes each slot of a server gets requests: enough
	// that some of them always have one, and so few that a request of each of them at
	// the same time waits at the server for a multiple of its work that still is within
	// objectives.
	nodesPerSlot = 3
	// leastSubset is the least number of servers that a node sends to, so that one or two
	// that fail leave it others.
	leastSubset = 3
)

// chooseSubsets marks the servers of undivided services to which this node sends: some of
// its own zone, and some of the others for when those are busy. Each node has others, so
// that a server gets requests from few nodes, which therefore know it well, keep their
// connections busy and cannot overrun it together. The caller holds the mutex.
func (d *Dispatcher) chooseSubsets(now time.Time, current *view.View) {
	nodes := len(current.Nodes)
	zoneNodes := 0
	for _, node := range current.Nodes {
		if node.Zone == d.options.Zone {
			zoneNodes++
		}
	}
	for _, servers := range current.Services {
		var own, others []*server
		for _, seen := range servers {
			s := d.servers[seen.ID]
			if s == nil {
				continue
			}
			s.preferred = false
			switch {
			case !s.reachable(now, 0):
			case s.Zone == d.options.Zone:
				own = append(own, s)
			default:
				others = append(others, s)
			}
		}
		prefer(own, subsetSize(own, zoneNodes))
		prefer(others, subsetSize(others, nodes))
	}
}

// subsetSize is how many of some servers a node sends to if a number of nodes share them.
func subsetSize(servers []*server, nodes int) int {
	slots := 0
	for _, s := range servers {
		slots += max(1, s.Slots)
	}
	share := float64(nodesPerSlot*slots) / float64(max(1, nodes))
	return max(leastSubset, int(math.Ceil(share)))
}

// prefer marks the servers that this node ranks highest.
func prefer(servers []*server, count int) {
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(b.rank, a.rank) })
	for _, s := range servers[:min(count, len(servers))] {
		s.preferred = true
	}
}

// candidates returns the servers of an undivided service to which this node sends now:
// those that it prefers, or all if none of those can be reached. The caller holds the
// mutex.
func (d *Dispatcher) candidates(now time.Time, current *view.View, service string) []*server {
	all := current.Services[service]
	preferred := make([]*server, 0, len(all))
	up := false
	for _, seen := range all {
		s := d.servers[seen.ID]
		if s == nil {
			continue
		}
		_, bounded := d.warming(now, current, s)
		if !s.preferred && !s.home && !bounded {
			continue
		}
		preferred = append(preferred, s)
		up = up || (!bounded && s.reachable(now, 0) && !now.Before(s.blockedUntil))
	}
	if up {
		return preferred
	}
	preferred = preferred[:0]
	for _, seen := range all {
		if s := d.servers[seen.ID]; s != nil {
			preferred = append(preferred, s)
		}
	}
	return preferred
}
