package view

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// ServerIndex holds servers by id.
type ServerIndex = Index[discovery.ServerID, *Server]

// serverIndex holds servers by id and by service, and which of them have changed.
type serverIndex struct {
	byID      *sharedIndex[discovery.ServerID, *Server]
	byService map[string]*sharedIndex[discovery.ServerID, *Server]
	services  *sharedMap[string, ServerIndex]
	// touched are the services with a change since the last publication.
	touched map[string]bool
	changed map[discovery.ServerID]bool
	// gone are the servers whose entry is missing.
	gone map[discovery.ServerID]bool
}

func newServerIndex() *serverIndex {
	return &serverIndex{
		byID:      newSharedIndex[discovery.ServerID, *Server](),
		byService: make(map[string]*sharedIndex[discovery.ServerID, *Server]),
		services:  newSharedMap[string, ServerIndex](),
		touched:   make(map[string]bool),
		changed:   make(map[discovery.ServerID]bool),
		gone:      make(map[discovery.ServerID]bool),
	}
}

func (x *serverIndex) get(id discovery.ServerID) *Server { return x.byID.get(id) }

// put adds a server or replaces what was known of it.
func (x *serverIndex) put(server *Server) {
	if before := x.byID.get(server.ID); before != nil && before.Service != server.Service {
		x.removeFrom(before.Service, server.ID)
	}
	x.byID.put(server.ID, server)
	x.changed[server.ID] = true
	x.touch(server.Service).put(server.ID, server)
	if server.GoneSince.IsZero() {
		delete(x.gone, server.ID)
		return
	}
	x.gone[server.ID] = true
}

// touch returns the servers of a service, which change.
func (x *serverIndex) touch(service string) *sharedIndex[discovery.ServerID, *Server] {
	x.touched[service] = true
	servers := x.byService[service]
	if servers == nil {
		servers = newSharedIndex[discovery.ServerID, *Server]()
		x.byService[service] = servers
	}
	return servers
}

// forget removes and returns the servers whose entries have been missing since before a
// moment.
func (x *serverIndex) forget(before time.Time) (forgotten []discovery.ServerID) {
	for id := range x.gone {
		server := x.byID.get(id)
		if server.GoneSince.Before(before) {
			x.byID.remove(id)
			x.changed[id] = true
			x.removeFrom(server.Service, id)
			delete(x.gone, id)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

func (x *serverIndex) removeFrom(service string, id discovery.ServerID) { x.touch(service).remove(id) }

// publish puts the servers into a view.
func (x *serverIndex) publish(into *View) {
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
		into.Changed = append(into.Changed, id)
	}
	// Maps that were large once, with the first copy, stay slow to walk.
	x.touched, x.changed = make(map[string]bool), make(map[discovery.ServerID]bool)
	into.Servers, into.Same.Servers = x.byID.publish()
	into.Services, _ = x.services.publish()
}
