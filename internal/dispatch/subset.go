package dispatch

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/view"
)

const (
	// nodesPerSlot is the number of nodes that send requests to each slot of a server. It
	// is large enough that some of them always have a request, and small enough that
	// simultaneous requests from all of them wait for a multiple of the service time that
	// is still within the objectives.
	nodesPerSlot = 3
	// leastSubset is the minimum number of servers that a node sends to, so that others
	// remain if one or two fail.
	leastSubset = 3
)

// selectPreferred selects the subset of an unsharded service's servers that this node sends
// to: some in its own zone, and some in other zones for when those are busy. Each node has
// a different subset. A server therefore gets requests from few nodes, which track its load,
// keep their connections to it in use and cannot overload it together. The caller holds the
// mutex.
func (d *Dispatcher) selectPreferred(svc *service) {
	for _, s := range svc.preferred {
		s.preferred = false
	}
	svc.preferred = svc.preferred[:0]
	svc.markPreferred(&svc.sameZone, len(d.zone))
	svc.markPreferred(&svc.otherZones, d.nodes)
}

// markPreferred adds the highest-ranked servers of a list to the preferred ones. nodes is
// the number of nodes that share the list.
func (svc *service) markPreferred(among *rankedServers, nodes int) {
	for _, s := range among.servers[:min(subsetSize(among.slots, nodes), len(among.servers))] {
		s.preferred = true
		svc.preferred = append(svc.preferred, s)
	}
}

// subsetSize is the number of servers that a node sends to, given their total slots and the
// number of nodes that share them.
func subsetSize(slots, nodes int) int {
	share := float64(nodesPerSlot*slots) / float64(max(1, nodes))
	return max(leastSubset, int(math.Ceil(share)))
}

// candidates returns the servers of an unsharded service that this node may send to now:
// its preferred servers, those whose home it is and those that are warming up, or all
// servers if none of these is available. The caller holds the mutex.
func (d *Dispatcher) candidates(now time.Time, current *view.View, name string) []*server {
	svc := d.services[name]
	if svc == nil {
		return nil
	}
	candidates := make([]*server, 0, len(svc.preferred)+len(svc.cold))
	up := false
	add := func(s *server) {
		_, bounded := d.warming(now, current, s)
		candidates = append(candidates, s)
		up = up || (!bounded && s.reachable(now, 0) && !s.inBackoff(now))
	}
	for _, s := range svc.preferred {
		add(s)
	}
	for _, s := range d.homeGroup(current, name) {
		if !s.preferred {
			add(s)
		}
	}
	for _, s := range d.bounded(now, current, svc) {
		if !s.preferred && !s.isHome {
			add(s)
		}
	}
	if up {
		return candidates
	}
	candidates = candidates[:0]
	for _, s := range svc.members {
		candidates = append(candidates, s)
	}
	return candidates
}

// bounded returns the servers of a service that are warming up at a bounded rate. The
// caller holds the mutex.
func (d *Dispatcher) bounded(now time.Time, current *view.View, svc *service) []*server {
	var found []*server
	for id, s := range svc.cold {
		if !now.Before(s.warmAt(current)) {
			delete(svc.cold, id)
			continue
		}
		if _, bounded := d.boundedWarmUp(current, s.Server); bounded {
			found = append(found, s)
		}
	}
	return found
}
