package homes

import (
	"fmt"
	"testing"

	"github.com/micahaven/micahaven/internal/discovery"
)

// assignment is the assignment of the servers of an unsharded service in one zone to home
// nodes. Each request may be handed off to any of them.
type assignment struct {
	// Homes are ordered by rank.
	Homes []Node
	// Servers maps the name of each home node to its servers.
	Servers map[string][]discovery.ServerID
}

// assign assigns the servers of an unsharded service in a zone, which have the given number
// of slots in total, to the smallest number of nodes that can handle them. A server or node
// that joins or leaves moves few of them.
func assign(service, zone string, servers []discovery.ServerID, slots int, nodes []Node) assignment {
	assigned := assignment{Homes: Choose(service, zone, slots, nodes), Servers: make(map[string][]discovery.ServerID)}
	if len(assigned.Homes) == 0 {
		return assigned
	}
	for _, id := range servers {
		home := PickHome(Server{ID: id, Zone: zone}, assigned.Homes)
		assigned.Servers[home.Name] = append(assigned.Servers[home.Name], id)
	}
	return assigned
}

func serverIDs(count int) []discovery.ServerID {
	var all []discovery.ServerID
	for index := range count {
		all = append(all, discovery.ServerID(fmt.Sprintf("s%d", index)))
	}
	return all
}

func homeOf(assignment assignment) map[discovery.ServerID]string {
	found := make(map[discovery.ServerID]string)
	for home, servers := range assignment.Servers {
		for _, server := range servers {
			found[server] = home
		}
	}
	return found
}

// slots is the number of slots of each server in these tests.
const slots = 3

// Every server is assigned to exactly one home node in the zone, and the number of home
// nodes is the smallest that can handle the slots.
func TestEveryServerHasOneHome(t *testing.T) {
	for _, count := range []int{1, 4, 20, 500} {
		assignment := assign("service", "a", serverIDs(count), slots*count, zone(20))
		if found := len(homeOf(assignment)); found != count {
			t.Errorf("%d of %d servers have a home", found, count)
		}
		share := 0.0
		for _, home := range assignment.Homes[:len(assignment.Homes)-1] {
			share += home.Share
		}
		if needed := cpuSharePerSlot * slots * float64(count); len(assignment.Homes) > maxHomesPerService || share >= needed {
			t.Errorf("%d homes for %d servers, but one fewer can handle them", len(assignment.Homes), count)
		}
	}
	if assignment := assign("service", "b", serverIDs(5), 5*slots, zone(20)); len(assignment.Homes) != 0 {
		t.Errorf("homes %v in a zone without nodes", assignment.Homes)
	}
}

// If a node that is no home leaves, no server moves. If a home node leaves, its own servers
// move and about as many as its successor gains.
func TestDivisionsMoveLittle(t *testing.T) {
	nodes, servers := zone(20), serverIDs(60)
	before := assign("service", "a", servers, slots*len(servers), nodes)
	was := homeOf(before)
	isHome := make(map[string]bool)
	for _, home := range before.Homes {
		isHome[home.Name] = true
	}
	for index, departed := range nodes {
		rest := append(append([]Node{}, nodes[:index]...), nodes[index+1:]...)
		moved := 0
		for server, home := range homeOf(assign("service", "a", servers, slots*len(servers), rest)) {
			if home != was[server] {
				moved++
			}
		}
		if !isHome[departed.Name] && moved > 0 {
			t.Errorf("%d servers moved when %s left, which was home to none", moved, departed.Name)
		}
		if moved > len(servers)/3 {
			t.Errorf("%d of %d servers moved when %s left, want at most a third", moved, len(servers), departed.Name)
		}
	}
}

// Nodes with a large share are preferred as home nodes over small ones.
func TestStrongNodesAreHomes(t *testing.T) {
	nodes := append(zone(20), Node{Name: "strong", Zone: "a", Share: 4})
	assignment := assign("service", "a", serverIDs(20), 20*slots, nodes)
	if len(assignment.Homes) != 1 || assignment.Homes[0].Name != "strong" {
		t.Errorf("homes %v, want only the node with the large share", assignment.Homes)
	}
}
