package homes

import (
	"fmt"
	"testing"

	"github.com/micahaven/micahaven/internal/discovery"
)

func ids(count int) []discovery.ServerID {
	var all []discovery.ServerID
	for index := range count {
		all = append(all, discovery.ServerID(fmt.Sprintf("s%d", index)))
	}
	return all
}

func homeOf(division Division) map[discovery.ServerID]string {
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
		division := Divide("service", "a", ids(count), slots*count, zone(20))
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
	if division := Divide("service", "b", ids(5), 5*slots, zone(20)); len(division.Homes) != 0 {
		t.Errorf("homes %v in a zone without nodes", division.Homes)
	}
}

// A node that is no home may go without a server moving; a home that goes moves its own
// servers and about as many as its successor gets.
func TestDivisionsMoveLittle(t *testing.T) {
	nodes, servers := zone(20), ids(60)
	before := Divide("service", "a", servers, slots*len(servers), nodes)
	was := homeOf(before)
	isHome := make(map[string]bool)
	for _, home := range before.Homes {
		isHome[home.Name] = true
	}
	for index, gone := range nodes {
		rest := append(append([]Node{}, nodes[:index]...), nodes[index+1:]...)
		moved := 0
		for server, home := range homeOf(Divide("service", "a", servers, slots*len(servers), rest)) {
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
	division := Divide("service", "a", ids(20), 20*slots, nodes)
	if len(division.Homes) != 1 || division.Homes[0].Name != "strong" {
		t.Errorf("homes %v, wanted the strong node", division.Homes)
	}
}
