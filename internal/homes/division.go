package homes

import (
	"cmp"
	"slices"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/rendezvous"
)

const (
	// serversPerHome is how many servers of an undivided service a home has at least, if
	// there are as many: it sends each request to the one that is free, and with a few of
	// them one nearly always is.
	serversPerHome = 5
	// maxHomesPerService bounds the homes that a service has in a zone, and what it costs
	// to find them.
	maxHomesPerService = 12
)

// Division says which nodes of a zone are home to the servers of an undivided service
// there. Each request may go to any of them.
type Division struct {
	// Homes are in the order of their rank.
	Homes []Node
	// Servers are those of each home, by the home's name.
	Servers map[string][]discovery.ServerID
}

// Divide divides the servers of an undivided service in a zone among as few of the zone's
// nodes as bear them. A server or node that comes or goes moves few of them.
func Divide(service, zone string, servers []discovery.ServerID, nodes []Node) Division {
	division := Division{Servers: make(map[string][]discovery.ServerID)}
	count := min(maxHomesPerService, max(1, len(servers)/serversPerHome))
	division.Homes = highest(Server{ID: discovery.ServerID(service), Zone: zone}, nodes, count)
	if len(division.Homes) == 0 {
		return division
	}
	for _, server := range servers {
		home := slices.MaxFunc(division.Homes, func(a, b Node) int {
			return cmp.Compare(rendezvous.Score(string(server), a.Name), rendezvous.Score(string(server), b.Name))
		})
		division.Servers[home.Name] = append(division.Servers[home.Name], server)
	}
	return division
}
