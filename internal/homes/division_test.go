package homes

import (
	"fmt"
	"testing"

	"github.com/micahaven/micahaven/internal/discovery"
)

// division says which nodes of a zone are home to the servers of an undivided service
// there. Each request may go to any of them.
type division struct {
	// Homes are in the order of their rank.
	Homes []Node
	// Servers are those of each home, by the home's name.
	Servers map[string][]discovery.ServerID
}

// divide divides the servers of an undivided service in a zone, which have a number of
// slots together, among as few of the zone's nodes as bear them. A server or node that
// comes or goes moves few of them.
func divide(service, zone string, servers []discovery.ServerID, slots int, nodes []Node) division {
	divided := division{Homes: Choose(service, zone, slots, nodes), Servers: make(map[string][]discovery.ServerID)}
	if len(divided.Homes) == 0 {
		return divided
	}
	for _, id := range servers {
		home := Among(Server{ID: id, Zone: zone}, divided.Homes)
		divided.Servers[home.Name] = append(divided.Servers[home.Name], id)
	}
	return divided
}

func ids(count int) []discovery.ServerID {
	var all []discovery.ServerID
	for index := range count {
		all = append(all, discovery.ServerID(fmt.Sprintf("s%d", index)))
	}
	return all
}

func homeOf(division division) map[discovery.ServerID]string {
	found := make(map[discovery.ServerID]string)
	for home, servers := range division.Servers {
		for _, server := range servers {
			found[server] = home
		}
	}
	return found
}

// slots is how many slots a server has in these tests.
const slots = 3

// Every server has one home of the zone, and a few homes have all of them.
func TestEveryServerHasOneHome(t *testing.T) {
	for _, count := range []int{1, 4, 20, 500} {
		division := divide("service", "a", ids(count), slots*count, zone(20))
		if found := len(homeOf(division)); found != count {
			t.Errorf("%d of %d servers have a home", found, count)
		}
		share := 0.0
		for _, home := range division.Homes[:len(division.Homes)-1] {
			share += home.Share
		}
		if needed := sharePerSlot * slots * float64(count); len(division.Homes) > maxHomesPerService || share >= needed {
			t.Errorf("%d homes for %d servers, one less bears them", len(division.Homes), count)
		}
	}
	if division := divide("service", "b", ids(5), 5*slots, zone(20)); len(division.Homes) != 0 {
		t.Errorf("homes %v in a zone without nodes", division.Homes)
	}
}

// A node that is no home may go without a server moving; a home that goes moves its own
// servers and about as many as its successor gets.
func TestDivisionsMoveLittle(t *testing.T) {
	nodes, servers := zone(20), ids(60)
	before := divide("service", "a", servers, slots*len(servers), nodes)
	was := homeOf(before)
	isHome := make(map[string]bool)
	for _, home := range before.Homes {
		isHome[home.Name] = true
	}
	for index, gone := range nodes {
		rest := append(append([]Node{}, nodes[:index]...), nodes[index+1:]...)
		moved := 0
		for server, home := range homeOf(divide("service", "a", servers, slots*len(servers), rest)) {
			if home != was[server] {
				moved++
			}
		}
		if !isHome[gone.Name] && moved > 0 {
			t.Errorf("%d servers moved although %s was home to none", moved, gone.Name)
		}
		if moved > len(servers)/3 {
			t.Errorf("%d of %d servers moved as %s went", moved, len(servers), gone.Name)
		}
	}
}

// A zone's large nodes are homes before its small ones.
func TestStrongNodesAreHomes(t *testing.T) {
	nodes := append(zone(20), Node{Name: "strong", Zone: "a", Share: 4})
	division := divide("service", "a", ids(20), 20*slots, nodes)
	if len(division.Homes) != 1 || division.Homes[0].Name != "strong" {
		t.Errorf("homes %v, wanted the strong node", division.Homes)
	}
}
