package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/homes"
	"github.com/micahaven/micahaven/internal/view"
)

// maxHomesAsked is the number of homes of an unsharded service that a request is offered to
// before the node sends it itself.
const maxHomesAsked = 3

// homeAssignment assigns the servers of an unsharded service in this node's zone to homes.
// It is updated per changed server; the homes are recomputed when the zone's nodes or the
// total number of slots have changed.
type homeAssignment struct {
	homes []homes.Node
	// groups holds the servers of each home, by the home's name.
	groups map[string]map[discovery.ServerID]*server
	// slots is the total number of slots of all servers.
	slots int
	// stale is true if the homes have to be recomputed.
	stale bool
}

// updateZoneNodes updates the list of nodes in this node's zone. The caller holds the
// mutex.
func (d *Dispatcher) updateZoneNodes(current *view.View) {
	d.zone = d.zone[:0]
	for _, node := range current.Nodes.All() {
		if node.Zone == d.options.Zone {
			d.zone = append(d.zone, homes.Node{Name: node.Name, Zone: node.Zone, Address: node.Address, Share: node.Share})
		}
	}
	for _, svc := range d.services {
		svc.homeAssignment.stale = true
	}
}

// assignHome assigns a server to its home. The caller holds the mutex.
func (d *Dispatcher) assignHome(now time.Time, svc *service, s *server) {
	if d.handoffSender == nil || svc.divided || s.Zone != d.options.Zone {
		return
	}
	homeAssignment := &svc.homeAssignment
	if slots := max(1, s.Slots); slots != s.assignedSlots {
		homeAssignment.slots += slots - s.assignedSlots
		s.assignedSlots = slots
		homeAssignment.stale = true
	}
	if s.homeName == "" && len(homeAssignment.homes) > 0 {
		homeAssignment.assign(now, s, d.options)
	}
}

// unassignHome removes a server from its home. The caller holds the mutex.
func (d *Dispatcher) unassignHome(s *server) {
	if s.assignedSlots == 0 {
		return
	}
	homeAssignment := &s.svc.homeAssignment
	homeAssignment.slots -= s.assignedSlots
	homeAssignment.stale = true
	delete(homeAssignment.groups[s.homeName], s.id)
	s.assignedSlots, s.homeName = 0, ""
}

// assign determines a server's home among the chosen ones and records it.
func (v *homeAssignment) assign(now time.Time, s *server, options Options) {
	home := homes.PickHome(homes.Server{ID: s.id, Zone: s.Zone}, v.homes)
	s.homeName = home.Name
	if v.groups == nil {
		v.groups = make(map[string]map[discovery.ServerID]*server)
	}
	if v.groups[home.Name] == nil {
		v.groups[home.Name] = make(map[discovery.ServerID]*server)
	}
	v.groups[home.Name][s.id] = s
	s.setHome(now, home.Name == options.Node)
}

// homeAssignmentOf returns the current assignment for an unsharded service, recomputed if
// it is stale. The caller holds the mutex.
func (d *Dispatcher) homeAssignmentOf(current *view.View, name string) *homeAssignment {
	svc := d.services[name]
	if svc == nil || svc.divided {
		return &homeAssignment{}
	}
	v := &svc.homeAssignment
	if !v.stale {
		return v
	}
	v.stale = false
	chosen := homes.Choose(name, d.options.Zone, v.slots, d.zone)
	if slices.Equal(chosen, v.homes) {
		return v
	}
	v.homes, v.groups = chosen, nil
	now := time.Now()
	for _, s := range svc.members {
		if s.assignedSlots == 0 {
			continue
		}
		s.homeName = ""
		if len(chosen) == 0 {
			s.setHome(now, false)
			continue
		}
		v.assign(now, s, d.options)
	}
	return v
}

// homeGroup returns the servers of an unsharded service whose home is this node. The caller
// holds the mutex.
func (d *Dispatcher) homeGroup(current *view.View, name string) map[discovery.ServerID]*server {
	if d.handoffSender == nil {
		return nil
	}
	return d.homeAssignmentOf(current, name).groups[d.options.Node]
}

// homesFor returns the homes of an unsharded service in this node's zone that a request is
// offered to: a random selection weighted by slots, of which the later ones serve as
// fallbacks. It returns none if this node may send the request to a server that is warming
// up. The caller holds the mutex.
func (d *Dispatcher) homesFor(now time.Time, current *view.View, name string) []homes.Node {
	svc := d.services[name]
	if svc == nil {
		return nil
	}
	for _, s := range d.bounded(now, current, svc) {
		if may, _ := d.maySend(now, current, s); may && s.usable(now, 0) {
			return nil
		}
	}
	homeAssignment := d.homeAssignmentOf(current, name)
	weights, total := make([]int, len(homeAssignment.homes)), 0
	for index, home := range homeAssignment.homes {
		for _, s := range homeAssignment.groups[home.Name] {
			if s.reachable(now, 0) {
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
				asked = append(asked, homeAssignment.homes[index])
				total -= weight
				weights[index] = 0
				break
			}
		}
	}
	return asked
}

const (
	// spillDelayFraction is the fraction of its objective that a request waits at its home
	// before it may go to a server of another home. It is long enough for the home's own
	// servers to absorb a short burst over existing connections.
	spillDelayFraction = 0.1
	// spillCost is the cost factor of a server of another home.
	spillCost = 2
)

// maySpill reports whether a request may be sent to a server of an unsharded service now,
// and the cost factor if the server belongs to another home.
func (d *Dispatcher) maySpill(now time.Time, request *Request, s *server, atHome bool) (cost float64, may bool) {
	if !atHome || s.isHome {
		return 1, true
	}
	waited := now.Sub(request.ArrivedAt)
	return spillCost, waited >= time.Duration(spillDelayFraction*float64(request.Route.Objective))
}

func tableVersion(current *view.View) int64 {
	if current.Table == nil {
		return 0
	}
	return current.Table.Version()
}
