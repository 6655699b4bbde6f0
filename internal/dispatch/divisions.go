package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/homes"
	"github.com/micahaven/micahaven/internal/view"
)

// maxHomesAsked is how many homes of an undivided service a request is offered to before
// the node sends it itself.
const maxHomesAsked = 3

// divisions are those of undivided services among homes, by service and zone. They are
// made when they are first needed.
type divisions struct {
	nodes []homes.Node
	made  map[string]map[string]homes.Division
}

// followDivisions takes in the nodes and servers of a view. The caller holds the mutex.
func (d *Dispatcher) followDivisions(current *view.View) {
	if d.handover == nil || (current.Same.Nodes && current.Same.Servers && current.Same.Table) {
		return
	}
	d.divisions.made = make(map[string]map[string]homes.Division)
	if current.Same.Nodes {
		return
	}
	d.divisions.nodes = d.divisions.nodes[:0]
	for _, node := range current.Nodes {
		d.divisions.nodes = append(d.divisions.nodes, homes.Node{Name: node.Name, Zone: node.Zone, Address: node.Address, Share: node.Share})
	}
}

// divisionsOf returns the divisions of an undivided service, by zone. The caller holds the
// mutex.
func (d *Dispatcher) divisionsOf(current *view.View, service string) map[string]homes.Division {
	made, known := d.divisions.made[service]
	if known {
		return made
	}
	servers := make(map[string][]discovery.ServerID)
	for _, s := range current.Services[service] {
		servers[s.Zone] = append(servers[s.Zone], s.ID)
	}
	made = make(map[string]homes.Division, len(servers))
	for zone, ids := range servers {
		made[zone] = homes.Divide(service, zone, ids, d.divisions.nodes)
	}
	d.divisions.made[service] = made
	d.markGroup(made)
	return made
}

// markGroup notes to which servers of a service this node is home. The caller holds the
// mutex.
func (d *Dispatcher) markGroup(made map[string]homes.Division) {
	now := time.Now()
	for _, division := range made {
		for home, ids := range division.Servers {
			for _, id := range ids {
				if s := d.servers[id]; s != nil {
					s.setHome(now, home == d.options.Node)
				}
			}
		}
	}
}

// homeGroup returns the servers of an undivided service to which this node is home. The
// caller holds the mutex.
func (d *Dispatcher) homeGroup(current *view.View, service string) []discovery.ServerID {
	if d.handover == nil {
		return nil
	}
	return d.divisionsOf(current, service)[d.options.Zone].Servers[d.options.Node]
}

// homesFor returns the homes of an undivided service in this node's zone that a request is
// offered to: one by chance, as often as it has servers, and others in case it is not
// there. None are returned if this node may send it to a server that warms up. The caller
// holds the mutex.
func (d *Dispatcher) homesFor(now time.Time, current *view.View, service string) []homes.Node {
	for _, seen := range current.Services[service] {
		s := d.servers[seen.ID]
		if s == nil {
			continue
		}
		if may, bounded := d.maySend(now, current, s); may && bounded && s.usable(now, 0) {
			return nil
		}
	}
	division := d.divisionsOf(current, service)[d.options.Zone]
	weights, total := make([]int, len(division.Homes)), 0
	for index, home := range division.Homes {
		for _, id := range division.Servers[home.Name] {
			if s := d.servers[id]; s != nil && s.reachable(now, 0) {
				weights[index] += max(1, s.Slots)
			}
		}
		total += weights[index]
	}
	asked := make([]homes.Node, 0, maxHomesAsked)
	for len(asked) < maxHomesAsked && total > 0 {
		at := rand.IntN(total)
		for index, weight := range weights {
			if at -= weight; at < 0 {
				asked = append(asked, division.Homes[index])
				total -= weight
				weights[index] = 0
				break
			}
		}
	}
	return asked
}

// ofHome returns the servers of this node's group, and those that warm up, which get
// requests by right. It also reports whether one of the group can be reached. The caller
// holds the mutex.
func (d *Dispatcher) ofHome(now time.Time, current *view.View, group []discovery.ServerID) (own []*server, up bool) {
	own = make([]*server, 0, len(group))
	for _, id := range group {
		s := d.servers[id]
		if s == nil {
			continue
		}
		if _, bounded := d.warming(now, current, s); bounded {
			continue
		}
		own = append(own, s)
		up = up || (s.reachable(now, 0) && !now.Before(s.blockedUntil))
	}
	if !up {
		return nil, false
	}
	for _, seen := range current.Services[own[0].Service] {
		if s := d.servers[seen.ID]; s != nil {
			if _, bounded := d.warming(now, current, s); bounded {
				own = append(own, s)
			}
		}
	}
	return own, true
}

func tableVersion(current *view.View) int64 {
	if current.Table == nil {
		return 0
	}
	return current.Table.Version()
}
