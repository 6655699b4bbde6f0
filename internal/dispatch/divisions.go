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
	servers, slots := make(map[string][]discovery.ServerID), make(map[string]int)
	for _, s := range current.Services[service] {
		servers[s.Zone] = append(servers[s.Zone], s.ID)
		slots[s.Zone] += max(1, s.Slots)
	}
	made = make(map[string]homes.Division, len(servers))
	for zone, ids := range servers {
		made[zone] = homes.Divide(service, zone, ids, slots[zone], d.divisions.nodes)
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

const (
	// spillAfter is the part of its objective after which a request that waits at a home
	// may go to a server of another one: long enough that a burst of a moment is worked off
	// by the home's own servers, over connections that exist.
	spillAfter = 0.1
	// spillCost is how much worse a server of another home counts.
	spillCost = 2
)

// mayGoTo reports whether a request may go to a server of an undivided service now, and
// how much worse it counts for being another home's.
func (d *Dispatcher) mayGoTo(now time.Time, request *Request, s *server, atHome bool) (cost float64, may bool) {
	if !atHome || s.home {
		return 1, true
	}
	waited := now.Sub(request.ArrivedAt)
	return spillCost, waited >= time.Duration(spillAfter*float64(request.Route.Objective))
}

func tableVersion(current *view.View) int64 {
	if current.Table == nil {
		return 0
	}
	return current.Table.Version()
}
