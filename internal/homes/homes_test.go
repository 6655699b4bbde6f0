package homes

import (
	"fmt"
	"math"
	"testing"

	"github.com/micahaven/micahaven/internal/discovery"
)

func zone(count int) []Node {
	var nodes []Node
	for index := range count {
		share := 0.5
		if index%2 == 0 {
			share = 0.25
		}
		nodes = append(nodes, Node{Name: fmt.Sprintf("n%d", index), Zone: "a", Share: share})
	}
	return nodes
}

func server(index int) Server {
	return Server{ID: discovery.ServerID(fmt.Sprintf("s%d", index)), Zone: "a"}
}

// A node is home to a number of servers in proportion to the square of its share.
func TestHomesFollowShares(t *testing.T) {
	nodes := zone(10)
	const servers = 20000
	homes := make(map[string]int)
	for index := range servers {
		homes[Rank(server(index), nodes)[0].Name]++
	}
	total := 0.0
	for _, node := range nodes {
		total += node.Share * node.Share
	}
	for _, node := range nodes {
		wanted := servers * node.Share * node.Share / total
		if got := float64(homes[node.Name]); math.Abs(got-wanted) > 0.1*wanted {
			t.Errorf("%s is home to %v servers, want about %v", node.Name, got, wanted)
		}
	}
}

// When a node leaves, only the servers that it was home to move, each to the next node in
// its ranking.
func TestFewHomesMove(t *testing.T) {
	nodes := zone(10)
	for index := range 2000 {
		before := Rank(server(index), nodes)
		after := Rank(server(index), nodes[1:])
		wanted := before[0].Name
		if wanted == nodes[0].Name {
			wanted = before[1].Name
		}
		if after[0].Name != wanted {
			t.Fatalf("home of %s moved from %s to %s, want %s", server(index).ID, before[0].Name, after[0].Name, wanted)
		}
	}
}

// The home is in the server's zone; servers in a zone without nodes have no home.
func TestHomesAreInTheServersZone(t *testing.T) {
	nodes := append(zone(4), Node{Name: "other", Zone: "b", Share: 100})
	for index := range 100 {
		if home := Rank(server(index), nodes)[0]; home.Zone != "a" {
			t.Fatalf("home in zone %s, want zone a", home.Zone)
		}
	}
	if ranked := Rank(Server{ID: "s", Zone: "c"}, nodes); len(ranked) != 0 {
		t.Errorf("homes %v in a zone without nodes", ranked)
	}
}

// All nodes compute the same ranking whatever order they list the nodes in, and the cached
// ranking is the same as the first.
func TestRanksDoNotDependOnOrder(t *testing.T) {
	nodes := zone(6)
	rotated := append([]Node{}, nodes[3:]...)
	rotated = append(rotated, nodes[:3]...)
	ranks := NewRanks(rotated)
	for index := range 100 {
		wanted := fmt.Sprint(Rank(server(index), nodes))
		for range 2 {
			if got := fmt.Sprint(ranks.Of(server(index))); got != wanted {
				t.Fatalf("ranking %s, want %s", got, wanted)
			}
		}
	}
}
