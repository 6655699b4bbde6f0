package dispatch

import (
	"math"
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

// prefer chooses the servers of an undivided service to which this node sends: some of its
// own zone, and some of the others for when those are busy. Each node has others, so that a
// server gets requests from few nodes, which therefore know it well, keep their connections
// busy and cannot overrun it together. The caller holds the mutex.
func (d *Dispatcher) prefer(of *service) {
	for _, s := range of.preferred {
		s.preferred = false
	}
	of.preferred = of.preferred[:0]
	of.choose(&of.near, len(d.zone))
	of.choose(&of.far, d.nodes)
}

// choose marks the first of some servers, which a number of nodes share.
func (of *service) choose(among *ranked, nodes int) {
	for _, s := range among.servers[:min(subsetSize(among.slots, nodes), len(among.servers))] {
		s.preferred = true
		of.preferred = append(of.preferred, s)
	}
}

// subsetSize is how many servers with a number of slots together a node sends to if a
// number of nodes share them.
func subsetSize(slots, nodes int) int {
	share := float64(nodesPerSlot*slots) / float64(max(1, nodes))
	return max(leastSubset, int(math.Ceil(share)))
}

// candidates returns the servers of an undivided service to which this node sends now:
// those that it prefers, or all if none of those can be reached. The caller holds the
// mutex.
func (d *Dispatcher) candidates(now time.Time, current *view.View, name string) []*server {
	of := d.services[name]
	if of == nil {
		return nil
	}
	candidates := make([]*server, 0, len(of.preferred)+len(of.cold))
	up := false
	add := func(s *server) {
		_, bounded := d.warming(now, current, s)
		candidates = append(candidates, s)
		up = up || (!bounded && s.reachable(now, 0) && !s.passedOver(now))
	}
	for _, s := range of.preferred {
		add(s)
	}
	for _, s := range d.homeGroup(current, name) {
		if !s.preferred {
			add(s)
		}
	}
	for _, s := range d.bounded(now, current, of) {
		if !s.preferred && !s.home {
			add(s)
		}
	}
	if up {
		return candidates
	}
	candidates = candidates[:0]
	for _, s := range of.members {
		candidates = append(candidates, s)
	}
	return candidates
}

// bounded returns the servers of a service that warm up, if what they bear then is bounded.
// The caller holds the mutex.
func (d *Dispatcher) bounded(now time.Time, current *view.View, of *service) []*server {
	var found []*server
	for id, s := range of.cold {
		if !now.Before(s.warmAt(current)) {
			delete(of.cold, id)
			continue
		}
		if _, bounded := d.boundedWarmUp(current, s.Server); bounded {
			found = append(found, s)
		}
	}
	return found
}
