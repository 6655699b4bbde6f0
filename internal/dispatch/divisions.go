package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/homes"
	"github.com/micahaven/micahaven/internal/view"
)

// maxHomesAsked is how many homes of an undivided service a request is offered to before
// the node sends it itself.
const maxHomesAsked = 3

// division is that of the servers of an undivided service in this node's zone among homes.
// It is kept by the servers that change; the homes are found anew when the zone's nodes or
// the number of slots have changed.
type division struct {
	homes []homes.Node
	// groups holds the servers of each home, by its name.
	groups map[string]map[discovery.ServerID]*server
	// slots is the sum of the slots of all servers.
	slots int
	// stale is true if the homes may be others now.
	stale bool
}

// followZone takes in which nodes there are in this node's zone. The caller holds the mutex.
func (d *Dispatcher) followZone(current *view.View) {
	d.zone = d.zone[:0]
	for _, node := range current.Nodes.All() {
		if node.Zone == d.options.Zone {
			d.zone = append(d.zone, homes.Node{Name: node.Name, Zone: node.Zone, Address: node.Address, Share: node.Share})
		}
	}
	for _, of := range d.services {
		of.division.stale = true
	}
}

// divide gives a server to its home. The caller holds the mutex.
func (d *Dispatcher) divide(now time.Time, of *service, s *server) {
	if d.handover == nil || of.divided || s.Zone != d.options.Zone {
		return
	}
	division := &of.division
	if slots := max(1, s.Slots); slots != s.dividedSlots {
		division.slots += slots - s.dividedSlots
		s.dividedSlots = slots
		division.stale = true
	}
	if s.homeName == "" && len(division.homes) > 0 {
		division.give(now, s, d.options)
	}
}

// undivide takes a server from its home. The caller holds the mutex.
func (d *Dispatcher) undivide(s *server) {
	if s.dividedSlots == 0 {
		return
	}
	division := &s.of.division
	division.slots -= s.dividedSlots
	division.stale = true
	delete(division.groups[s.homeName], s.id)
	s.dividedSlots, s.homeName = 0, ""
}

// give gives a server to that of the homes which it falls to.
func (v *division) give(now time.Time, s *server, options Options) {
	home := homes.Among(homes.Server{ID: s.id, Zone: s.Zone}, v.homes)
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

// divisionOf returns the division of an undivided service. The caller holds the mutex.
func (d *Dispatcher) divisionOf(current *view.View, name string) *division {
	of := d.services[name]
	if of == nil || of.divided {
		return &division{}
	}
	v := &of.division
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
	for _, s := range of.members {
		if s.dividedSlots == 0 {
			continue
		}
		s.homeName = ""
		if len(chosen) == 0 {
			s.setHome(now, false)
			continue
		}
		v.give(now, s, d.options)
	}
	return v
}

// homeGroup returns the servers of an undivided service to which this node is home. The
// caller holds the mutex.
func (d *Dispatcher) homeGroup(current *view.View, name string) map[discovery.ServerID]*server {
	if d.handover == nil {
		return nil
	}
	return d.divisionOf(current, name).groups[d.options.Node]
}

// homesFor returns the homes of an undivided service in this node's zone that a request is
// offered to: one by chance, as often as it has slots, and others in case it is not there.
// None are returned if this node may send it to a server that warms up. The caller holds
// the mutex.
func (d *Dispatcher) homesFor(now time.Time, current *view.View, name string) []homes.Node {
	of := d.services[name]
	if of == nil {
		return nil
	}
	for _, s := range d.bounded(now, current, of) {
		if may, _ := d.maySend(now, current, s); may && s.usable(now, 0) {
			return nil
		}
	}
	division := d.divisionOf(current, name)
	weights, total := make([]int, len(division.homes)), 0
	for index, home := range division.homes {
		for _, s := range division.groups[home.Name] {
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
				asked = append(asked, division.homes[index])
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
