package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/rendezvous"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
)

// service is what this node knows of the servers of a service together. It is kept by the
// servers that change, so that a change costs the same however many there are. It is
// guarded by Dispatcher.mutex.
type service struct {
	name string
	// places is this node's part of the connections that each server takes from all nodes,
	// and homePlaces its part at servers whose home it is; 0 means that there is no bound.
	places, homePlaces int
	// divided is true if the service's keys are divided among its servers.
	divided bool
	// members are all servers; those of divided services only once a request was for them,
	// because a node sends to few of them.
	members map[discovery.ServerID]*server
	// near and far are the open servers of this node's zone and of others.
	near, far ranked
	// preferred are the servers to which this node sends if the service is undivided.
	preferred []*server
	// cold are the servers that may be warming up.
	cold     map[discovery.ServerID]*server
	division division
}

func newService(name string) *service {
	return &service{name: name, members: make(map[discovery.ServerID]*server), cold: make(map[discovery.ServerID]*server)}
}

// ranked are servers in the order in which a node prefers them.
type ranked struct {
	servers []*server
	// slots is the sum of their slots.
	slots int
}

func compareRank(a, b *server) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id))
}

func (r *ranked) add(s *server) {
	at, _ := slices.BinarySearchFunc(r.servers, s, compareRank)
	r.servers = slices.Insert(r.servers, at, s)
	r.slots += s.countedSlots
}

func (r *ranked) remove(s *server) {
	if at, found := slices.BinarySearchFunc(r.servers, s, compareRank); found {
		r.servers = slices.Delete(r.servers, at, at+1)
		r.slots -= s.countedSlots
	}
}

// serviceOf returns what is known of a service. The caller holds the mutex.
func (d *Dispatcher) serviceOf(name string) *service {
	known := d.services[name]
	if known == nil {
		known = newService(name)
		d.services[name] = known
		d.followTable(known, d.views.Current())
	}
	return known
}

// followTable takes in what the configuration says of a service. The caller holds the mutex.
func (d *Dispatcher) followTable(of *service, current *view.View) {
	of.places, of.homePlaces = d.placesAt(current, of.name)
	of.divided = false
	if current.Table != nil {
		configured, _ := current.Table.Service(of.name)
		of.divided = configured.KeyDivided
	}
}

// followServices takes in how many nodes there are and what the configuration says of
// services. The caller holds the mutex.
func (d *Dispatcher) followServices(now time.Time, current *view.View) {
	for _, of := range d.services {
		divided := of.divided
		d.followTable(of, current)
		if of.divided != divided {
			d.regroup(now, current, of)
		}
		d.prefer(of)
	}
}

// regroup puts the servers of a service in their places anew, because its keys are divided
// now or are not any more. The caller holds the mutex.
func (d *Dispatcher) regroup(now time.Time, current *view.View, of *service) {
	if !of.divided {
		for id := range current.Services[of.name].All() {
			d.server(id)
		}
	}
	for _, s := range of.members {
		if of.divided && s.pool == nil {
			d.drop(s)
			continue
		}
		if of.divided {
			d.undivide(s)
		}
		d.setOpen(s, s.reachable(now, 0))
		d.divide(now, of, s)
	}
}

// updateServers takes in the servers that changed. The caller holds the mutex.
func (d *Dispatcher) updateServers(now time.Time, current *view.View, changed []discovery.ServerID) {
	touched := make(map[*service]bool)
	for _, id := range changed {
		if seen := current.Servers.Get(id); seen != nil {
			touched[d.updateServer(now, current, seen)] = true
			continue
		}
		if known := d.servers[id]; known != nil {
			touched[known.of] = true
			d.drop(known)
		}
	}
	for of := range touched {
		if len(of.members) == 0 && current.Services[of.name].Len() == 0 {
			delete(d.services, of.name)
			continue
		}
		d.prefer(of)
	}
}

// updateServer takes in a server that is new or has changed, and returns its service. The
// caller holds the mutex.
func (d *Dispatcher) updateServer(now time.Time, current *view.View, seen *view.Server) *service {
	known := d.servers[seen.ID]
	if known != nil && (known.Service != seen.Service || known.Zone != seen.Zone) {
		d.drop(known)
		known = nil
	}
	if of := d.serviceOf(seen.Service); known == nil && of.divided {
		// It comes into being when a request is for one of its keys.
		return of
	}
	return d.take(now, current, known, seen).of
}

// server returns what is known of a server of the view, or nil if the view has none of that
// id. The caller holds the mutex.
func (d *Dispatcher) server(id discovery.ServerID) *server {
	if known := d.servers[id]; known != nil {
		return known
	}
	current := d.views.Current()
	seen := current.Servers.Get(id)
	if seen == nil {
		return nil
	}
	return d.take(time.Now(), current, nil, seen)
}

// take takes in what the view says of a server, which is new if known is nil, and returns
// the server. The caller holds the mutex.
func (d *Dispatcher) take(now time.Time, current *view.View, known *server, seen *view.Server) *server {
	if known == nil {
		known = &server{id: seen.ID, rank: rendezvous.Score(d.options.Node, string(seen.ID))}
	}
	known.Server = seen
	known.evacuatedSince, known.evacuated = current.Evacuated(seen.Zone)
	d.include(now, current, known)
	return known
}

// include puts a server where it belongs by what is known of it now. The caller holds the
// mutex.
func (d *Dispatcher) include(now time.Time, current *view.View, s *server) {
	of := d.serviceOf(s.Service)
	if s.of == nil {
		s.of = of
		d.servers[s.id], of.members[s.id] = s, s
	}
	d.setOpen(s, s.reachable(now, 0))
	if now.Before(s.warmAt(current)) {
		of.cold[s.id] = s
	}
	if s.LapsedUntil.IsZero() {
		delete(d.lapsed, s.id)
	} else {
		d.lapsed[s.id] = s
	}
	d.divide(now, of, s)
}

// setOpen notes whether a server counts among those that may be preferred. The caller holds
// the mutex.
func (d *Dispatcher) setOpen(s *server, open bool) {
	slots := 0
	if open && !s.of.divided {
		slots = max(1, s.Slots)
	}
	if s.countedSlots == slots {
		return
	}
	group := &s.of.far
	if s.Zone == d.options.Zone {
		group = &s.of.near
	}
	if s.countedSlots > 0 {
		group.remove(s)
	}
	s.countedSlots = slots
	if slots > 0 {
		group.add(s)
	}
}

// drop forgets a server that is not in the view any more. The caller holds the mutex.
func (d *Dispatcher) drop(s *server) {
	d.setOpen(s, false)
	d.undivide(s)
	delete(s.of.cold, s.id)
	delete(s.of.members, s.id)
	delete(d.servers, s.id)
	delete(d.lapsed, s.id)
	delete(d.pooled, s.id)
	d.rights.Forget(string(s.id))
	if s.pool != nil {
		s.pool.Close()
	}
}

// connect makes sure that there is a pool of connections to a server. Most servers get
// nothing from this node, and have none. The caller holds the mutex.
func (d *Dispatcher) connect(s *server) {
	if s.pool == nil {
		s.pool = upstream.NewPool(s.Address, d.link)
		d.pooled[s.id] = s
	}
}

// reopenLapsed looks again at servers whose entries may have come back until a moment. The
// caller holds the mutex.
func (d *Dispatcher) reopenLapsed(now time.Time) {
	for id, s := range d.lapsed {
		if !now.After(s.LapsedUntil) {
			continue
		}
		delete(d.lapsed, id)
		d.setOpen(s, s.reachable(now, 0))
		d.prefer(s.of)
	}
}

// followEvacuations takes in which zones are evacuated; they seldom change. The caller
// holds the mutex.
func (d *Dispatcher) followEvacuations(now time.Time, current *view.View) {
	for _, s := range d.servers {
		s.evacuatedSince, s.evacuated = current.Evacuated(s.Zone)
		d.include(now, current, s)
	}
	for _, of := range d.services {
		d.prefer(of)
	}
}
