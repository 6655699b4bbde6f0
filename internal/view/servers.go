package view

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// ServerIndex is an index of servers by id.
type ServerIndex = Index[discovery.ServerID, *Server]

// serverIndex holds servers by id and by service, and records which of them have changed.
type serverIndex struct {
	byID      *copyOnWriteIndex[discovery.ServerID, *Server]
	byService map[string]*copyOnWriteIndex[discovery.ServerID, *Server]
	services  *copyOnWriteMap[string, ServerIndex]
	// touched are the services with a change since the last publication, and changed the servers.
	touched map[string]bool
	changed map[discovery.ServerID]bool
	// gone are the servers whose entries are missing.
	gone map[discovery.ServerID]bool
}

func newServerIndex() *serverIndex {
	return &serverIndex{
		byID:      newCopyOnWriteIndex[discovery.ServerID, *Server](),
		byService: make(map[string]*copyOnWriteIndex[discovery.ServerID, *Server]),
		services:  newCopyOnWriteMap[string, ServerIndex](),
		touched:   make(map[string]bool),
		changed:   make(map[discovery.ServerID]bool),
		gone:      make(map[discovery.ServerID]bool),
	}
}

func (x *serverIndex) get(id discovery.ServerID) *Server { return x.byID.get(id) }

// put adds or replaces a server.
func (x *serverIndex) put(server *Server) {
	if before := x.byID.get(server.ID); before != nil && before.Service != server.Service {
		x.removeFrom(before.Service, server.ID)
	}
	x.byID.put(server.ID, server)
	x.changed[server.ID] = true
	x.touchService(server.Service).put(server.ID, server)
	if server.GoneSince.IsZero() {
		delete(x.gone, server.ID)
		return
	}
	x.gone[server.ID] = true
}

// touchService marks a service as changed and returns its servers.
func (x *serverIndex) touchService(service string) *copyOnWriteIndex[discovery.ServerID, *Server] {
	x.touched[service] = true
	servers := x.byService[service]
	if servers == nil {
		servers = newCopyOnWriteIndex[discovery.ServerID, *Server]()
		x.byService[service] = servers
	}
	return servers
}

// removeGoneBefore removes the servers whose entries have been missing since before the given time,
// and returns their ids.
func (x *serverIndex) removeGoneBefore(before time.Time) (removed []discovery.ServerID) {
	for id := range x.gone {
		server := x.byID.get(id)
		if server.GoneSince.Before(before) {
			x.byID.remove(id)
			x.changed[id] = true
			x.removeFrom(server.Service, id)
			delete(x.gone, id)
			removed = append(removed, id)
		}
	}
	return removed
}

func (x *serverIndex) removeFrom(service string, id discovery.ServerID) {
	x.touchService(service).remove(id)
}

// publish sets the servers of the next view.
func (x *serverIndex) publish(next *View) {
	for service := range x.touched {
		servers, _ := x.byService[service].publish()
		if servers.Len() == 0 {
			delete(x.byService, service)
			x.services.remove(service)
			continue
		}
		x.services.put(service, servers)
	}
	for id := range x.changed {
		next.Changed = append(next.Changed, id)
	}
	// Allocate new maps: iterating over a map that was once large, as with the first copy, stays
	// slow.
	x.touched, x.changed = make(map[string]bool), make(map[discovery.ServerID]bool)
	next.Servers, next.Unchanged.Servers = x.byID.publish()
	next.Services, _ = x.services.publish()
}
