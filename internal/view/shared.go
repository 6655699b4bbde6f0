package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// sharedMap is a map whose published state is never changed: the first change after
// a publication copies it. Views share the maps that no change touched, so that a
// change costs what it touches and not the size of the deployment.
type sharedMap[K comparable, V any] struct {
	content map[K]V
	// published is true if a view holds content.
	published bool
}

func newSharedMap[K comparable, V any]() *sharedMap[K, V] {
	return &sharedMap[K, V]{content: make(map[K]V)}
}

func (m *sharedMap[K, V]) get(key K) V { return m.content[key] }

func (m *sharedMap[K, V]) put(key K, value V) {
	m.own()
	m.content[key] = value
}

func (m *sharedMap[K, V]) remove(key K) {
	if _, present := m.content[key]; !present {
		return
	}
	m.own()
	delete(m.content, key)
}

// own makes sure that no view holds the content.
func (m *sharedMap[K, V]) own() {
	if m.published {
		m.content = maps.Clone(m.content)
		m.published = false
	}
}

// publish returns the content, and whether it is that of the last publication.
func (m *sharedMap[K, V]) publish() (map[K]V, bool) {
	same := m.published
	m.published = true
	return m.content, same
}

// serverIndex holds servers by id and by service. Its published maps and slices are
// never changed.
type serverIndex struct {
	byID *sharedMap[discovery.ServerID, *Server]
	// byService holds the servers of a service in the order of their ids.
	byService *sharedMap[string, []*Server]
	// owned are the services whose slice no view holds.
	owned map[string]bool
	// gone are the servers whose entry is missing.
	gone map[discovery.ServerID]bool
}

func newServerIndex() *serverIndex {
	return &serverIndex{
		byID:      newSharedMap[discovery.ServerID, *Server](),
		byService: newSharedMap[string, []*Server](),
		owned:     make(map[string]bool),
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
	servers := x.ownService(server.Service)
	index, found := slices.BinarySearchFunc(servers, server.ID, compareID)
	if found {
		servers[index] = server
	} else {
		x.byService.put(server.Service, slices.Insert(servers, index, server))
	}
	if server.GoneSince.IsZero() {
		delete(x.gone, server.ID)
		return
	}
	x.gone[server.ID] = true
}

// forget removes and returns the servers whose entries have been missing since before a
// moment.
func (x *serverIndex) forget(before time.Time) (forgotten []discovery.ServerID) {
	for id := range x.gone {
		server := x.byID.get(id)
		if server.GoneSince.Before(before) {
			x.byID.remove(id)
			x.removeFrom(server.Service, id)
			delete(x.gone, id)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

func (x *serverIndex) removeFrom(service string, id discovery.ServerID) {
	servers := x.ownService(service)
	if index, found := slices.BinarySearchFunc(servers, id, compareID); found {
		servers = slices.Delete(servers, index, index+1)
	}
	if len(servers) == 0 {
		x.byService.remove(service)
		return
	}
	x.byService.put(service, servers)
}

// ownService returns the servers of a service in a slice that no view holds.
func (x *serverIndex) ownService(service string) []*Server {
	servers := x.byService.get(service)
	if x.owned[service] {
		return servers
	}
	x.owned[service] = true
	if len(servers) == 0 {
		return nil
	}
	servers = slices.Clone(servers)
	x.byService.put(service, servers)
	return servers
}

func compareID(server *Server, id discovery.ServerID) int {
	return strings.Compare(string(server.ID), string(id))
}

// publish returns the servers, and whether they are those of the last publication.
func (x *serverIndex) publish() (map[discovery.ServerID]*Server, map[string][]*Server, bool) {
	clear(x.owned)
	byID, same := x.byID.publish()
	byService, _ := x.byService.publish()
	return byID, byService, same
}
