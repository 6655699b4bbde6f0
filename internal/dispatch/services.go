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

// service is the state that this node keeps about the servers of a service. It is updated
// per changed server, so that the cost of a change does not depend on the number of
// servers. It is guarded by Dispatcher.mutex.
type service struct {
	name string
	// connectionShare is this node's share of the connections that each server accepts from
	// all nodes, and homeConnectionShare its share at servers whose home it is; 0 means
	// unbounded.
	connectionShare, homeConnectionShare int
	// divided is true if the service is sharded: each key is served by one owner.
	divided bool
	// members holds the service's servers. Servers of a sharded service are added when
	// the first request for one of their keys arrives, because a node sends to few of them.
	members map[discovery.ServerID]*server
	// sameZone and otherZones hold the eligible servers of this node's zone and of the
	// other zones.
	sameZone, otherZones rankedServers
	// preferred is the subset of servers that this node sends to if the service is
	// unsharded.
	preferred []*server
	// cold holds the servers that may be warming up.
	cold           map[discovery.ServerID]*server
	homeAssignment homeAssignment
	contact        contact
}

func newService(name string) *service {
	return &service{name: name, members: make(map[discovery.ServerID]*server), cold: make(map[discovery.ServerID]*server)}
}

// rankedServers is a list of servers in this node's order of preference.
type rankedServers struct {
	servers []*server
	// slots is the total number of their slots.
	slots int
}

func compareRank(a, b *server) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id))
}

func (r *rankedServers) add(s *server) {
	at, _ := slices.BinarySearchFunc(r.servers, s, compareRank)
	r.servers = slices.Insert(r.servers, at, s)
	r.slots += s.eligibleSlots
}

func (r *rankedServers) remove(s *server) {
	if at, found := slices.BinarySearchFunc(r.servers, s, compareRank); found {
		r.servers = slices.Delete(r.servers, at, at+1)
		r.slots -= s.eligibleSlots
	}
}

// serviceOf returns the state of a service and creates it if necessary. The caller holds
// the mutex.
func (d *Dispatcher) serviceOf(name string) *service {
	known := d.services[name]
	if known == nil {
		known = newService(name)
		d.services[name] = known
		d.applyTable(known, d.views.Current())
	}
	return known
}

// applyTable applies the routing table's settings of a service. The caller holds the mutex.
func (d *Dispatcher) applyTable(svc *service, current *view.View) {
	svc.connectionShare, svc.homeConnectionShare = d.connectionShares(current, svc.name)
	svc.divided = false
	if current.Table != nil {
		configured, _ := current.Table.Service(svc.name)
		svc.divided = configured.ShardedByKey
	}
}

// updateServiceConfig applies changes to the number of nodes and to the routing table. The
// caller holds the mutex.
func (d *Dispatcher) updateServiceConfig(now time.Time, current *view.View) {
	for _, svc := range d.services {
		divided := svc.divided
		d.applyTable(svc, current)
		if svc.divided != divided {
			d.applyPartitioning(now, current, svc)
		}
		d.selectPreferred(svc)
	}
}

// applyPartitioning rebuilds the indexes of a service that became sharded or unsharded.
// The caller holds the mutex.
func (d *Dispatcher) applyPartitioning(now time.Time, current *view.View, svc *service) {
	if !svc.divided {
		for id := range current.Services[svc.name].All() {
			d.server(id)
		}
	}
	for _, s := range svc.members {
		if svc.divided && s.pool == nil {
			d.removeServer(s)
			continue
		}
		if svc.divided {
			d.unassignHome(s)
		}
		d.setEligible(s, s.reachable(now, 0))
		d.assignHome(now, svc, s)
	}
}

// updateServers applies the servers that changed in a view. The caller holds the mutex.
func (d *Dispatcher) updateServers(now time.Time, current *view.View, changed []discovery.ServerID) {
	touched := make(map[*service]bool)
	for _, id := range changed {
		if seen := current.Servers.Get(id); seen != nil {
			touched[d.updateServer(now, current, seen)] = true
			continue
		}
		if known := d.servers[id]; known != nil {
			touched[known.svc] = true
			d.removeServer(known)
		}
	}
	for svc := range touched {
		if len(svc.members) == 0 && current.Services[svc.name].Len() == 0 {
			delete(d.services, svc.name)
			continue
		}
		d.selectPreferred(svc)
	}
}

// updateServer applies a new or changed server and returns its service. The caller holds
// the mutex.
func (d *Dispatcher) updateServer(now time.Time, current *view.View, seen *view.Server) *service {
	known := d.servers[seen.ID]
	if known != nil && (known.Service != seen.Service || known.Zone != seen.Zone) {
		d.removeServer(known)
		known = nil
	}
	if svc := d.serviceOf(seen.Service); known == nil && svc.divided {
		// The server is created when the first request for one of its keys arrives.
		return svc
	}
	return d.upsertServer(now, current, known, seen).svc
}

// server returns the state of a server and creates it if necessary; nil if the server is
// not in the view. The caller holds the mutex.
func (d *Dispatcher) server(id discovery.ServerID) *server {
	if known := d.servers[id]; known != nil {
		return known
	}
	current := d.views.Current()
	seen := current.Servers.Get(id)
	if seen == nil {
		return nil
	}
	return d.upsertServer(time.Now(), current, nil, seen)
}

// upsertServer applies a server's entry in the view and returns the server, which is
// created if known is nil. The caller holds the mutex.
func (d *Dispatcher) upsertServer(now time.Time, current *view.View, known *server, seen *view.Server) *server {
	if known == nil {
		known = &server{id: seen.ID, rank: rendezvous.Score(d.options.Node, string(seen.ID))}
	}
	known.Server = seen
	known.evacuatedSince, known.evacuated = current.Evacuated(seen.Zone)
	d.reindex(now, current, known)
	return known
}

// reindex updates the indexes that hold a server from its current state. The caller holds
// the mutex.
func (d *Dispatcher) reindex(now time.Time, current *view.View, s *server) {
	svc := d.serviceOf(s.Service)
	if s.svc == nil {
		s.svc = svc
		d.servers[s.id], svc.members[s.id] = s, s
	}
	d.setEligible(s, s.reachable(now, 0))
	if now.Before(s.warmAt(current)) {
		svc.cold[s.id] = s
	}
	if s.LapsedUntil.IsZero() {
		delete(d.lapsed, s.id)
	} else {
		d.lapsed[s.id] = s
	}
	d.assignHome(now, svc, s)
}

// setEligible adds a server to the servers that may be preferred, or removes it. The caller
// holds the mutex.
func (d *Dispatcher) setEligible(s *server, eligible bool) {
	slots := 0
	if eligible && !s.svc.divided {
		slots = max(1, s.Slots)
	}
	if s.eligibleSlots == slots {
		return
	}
	group := &s.svc.otherZones
	if s.Zone == d.options.Zone {
		group = &s.svc.sameZone
	}
	if s.eligibleSlots > 0 {
		group.remove(s)
	}
	s.eligibleSlots = slots
	if slots > 0 {
		group.add(s)
	}
}

// removeServer removes a server that is no longer in the view, or whose state is to be
// rebuilt, and closes its connections. The caller holds the mutex.
func (d *Dispatcher) removeServer(s *server) {
	d.setEligible(s, false)
	d.unassignHome(s)
	delete(s.svc.cold, s.id)
	delete(s.svc.members, s.id)
	delete(d.servers, s.id)
	delete(d.lapsed, s.id)
	delete(d.pooled, s.id)
	d.permits.Forget(string(s.id))
	if s.pool != nil {
		s.pool.Close()
	}
}

// ensurePool creates the connection pool of a server if it has none. Pools are created on
// first use because a node sends nothing to most servers. The caller holds the mutex.
func (d *Dispatcher) ensurePool(s *server) {
	if s.pool == nil {
		s.pool = upstream.NewPool(s.Address, d.link)
		d.pooled[s.id] = s
	}
}

// reopenLapsed re-evaluates the servers whose missing registration can no longer return.
// The caller holds the mutex.
func (d *Dispatcher) reopenLapsed(now time.Time) {
	for id, s := range d.lapsed {
		if !now.After(s.LapsedUntil) {
			continue
		}
		delete(d.lapsed, id)
		d.setEligible(s, s.reachable(now, 0))
		d.selectPreferred(s.svc)
	}
}

// updateEvacuations applies the evacuated zones. They change rarely, so all servers are
// re-evaluated. The caller holds the mutex.
func (d *Dispatcher) updateEvacuations(now time.Time, current *view.View) {
	for _, s := range d.servers {
		s.evacuatedSince, s.evacuated = current.Evacuated(s.Zone)
		d.reindex(now, current, s)
	}
	for _, svc := range d.services {
		d.selectPreferred(svc)
	}
}
