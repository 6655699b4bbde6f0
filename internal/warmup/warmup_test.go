package warmup

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

// gatewayRate is the rate of the users' gateway: 6.7 requests a second, with a limit of 1.5
// times that plus 8.
var gatewayRate = Rate{PerSecond: 6.7, Limit: 6.7*1.5 + 8}

func nodesOf(zones, perZone int) []Node {
	var nodes []Node
	for zone := range zones {
		for index := range perZone {
			nodes = append(nodes, Node{Name: fmt.Sprintf("n%d-%d", zone, index), Zone: fmt.Sprintf("z%d", zone)})
		}
	}
	return nodes
}

var fresh = CopyState{Confirmed: true}

func TestTwoNodesOfTheZoneShareTheRate(t *testing.T) {
	nodes := nodesOf(3, 20)
	server := Server{ID: "s1", Zone: "z1", Rate: gatewayRate}
	sent := make(map[string]int)
	for _, node := range nodes {
		permits := NewPermits(node.Name)
		permits.SetNodes(epoch, nodes)
		for now := epoch.Add(settleTime); now.Before(epoch.Add(settleTime + 10*time.Second)); now = now.Add(10 * time.Millisecond) {
			if permits.MaySend(now, server, fresh) {
				permits.RecordSent(now, server)
				sent[node.Name]++
				if node.Zone != "z1" {
					t.Fatalf("%s of %s sends to a server of z1", node.Name, node.Zone)
				}
			}
		}
	}
	total := 0
	for _, count := range sent {
		total += count
	}
	if len(sent) != sendersPerServer || total < 60 || total > 69 {
		t.Errorf("%d nodes sent %d requests in 10 s, want 2 nodes and about 67 requests", len(sent), total)
	}
}

func TestNoRightWithoutKnowledge(t *testing.T) {
	nodes := []Node{{Name: "a", Zone: "z"}}
	server := Server{ID: "s1", Zone: "z", Rate: gatewayRate}
	settled := epoch.Add(settleTime)
	for _, test := range []struct {
		name   string
		nodes  []Node
		at     time.Time
		copied CopyState
		server Server
		want   bool
	}{
		{"all conditions hold", nodes, settled, fresh, server, true},
		{"the node has just registered", nodes, settled.Add(-time.Millisecond), fresh, server, false},
		{"the node is not registered", []Node{{Name: "b", Zone: "z"}}, settled, fresh, server, false},
		{"the copy is old", nodes, settled, CopyState{Age: maxCopyAge + 1, Confirmed: true}, server, false},
		{"the copy was never confirmed", nodes, settled, CopyState{}, server, false},
		{"the server has no rate", nodes, settled, fresh, Server{ID: "s1", Zone: "z"}, false},
		{"no node of the zone is left", nodes, settled, fresh, Server{ID: "s1", Zone: "other", Rate: gatewayRate}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			permits := NewPermits("a")
			permits.SetNodes(epoch, test.nodes)
			if got := permits.MaySend(test.at, test.server, test.copied); got != test.want {
				t.Errorf("may send: %v, want %v", got, test.want)
			}
		})
	}
}

func TestNodeThatIsRegisteredAgainSettlesAgain(t *testing.T) {
	permits := NewPermits("a")
	nodes := []Node{{Name: "a", Zone: "z"}}
	server := Server{ID: "s1", Zone: "z", Rate: gatewayRate}
	permits.SetNodes(epoch, nodes)
	permits.SetNodes(epoch.Add(5*time.Second), nil)
	permits.SetNodes(epoch.Add(6*time.Second), nodes)
	if permits.MaySend(epoch.Add(6*time.Second), server, fresh) {
		t.Error("a node that has just registered again may send")
	}
}

// A change of the registered nodes must not let a sender send again before its interval has
// passed.
func TestIntervalOutlastsOtherRegistrations(t *testing.T) {
	permits := NewPermits("a")
	nodes := []Node{{Name: "a", Zone: "z"}}
	server := Server{ID: "s1", Zone: "z", Rate: gatewayRate}
	permits.SetNodes(epoch, nodes)
	now := epoch.Add(settleTime)
	permits.RecordSent(now, server)
	permits.SetNodes(now, append(nodes, Node{Name: "b", Zone: "z"}))
	if permits.MaySend(now.Add(10*time.Millisecond), server, fresh) {
		t.Error("a second request was permitted within 10 ms")
	}
}

// Two disjoint sets of senders together stay within the limit for any configured rate and
// limit.
func TestTwoSetsOfSendersStayWithinTheLimit(t *testing.T) {
	for _, rate := range []Rate{gatewayRate, {6.7, 7}, {2, 3}, {1, 1.5}, {0.5, 20}, {40, 68}, {3, 1}, {20, 20}} {
		interval, some := rate.interval()
		if !some {
			if rate.Limit >= senderSets {
				t.Errorf("%+v: no request is permitted", rate)
			}
			continue
		}
		perSender := 1 + int((time.Second-1)/interval)
		if sum := perSender * rate.senders() * senderSets; float64(sum) > rate.Limit {
			t.Errorf("%+v: %d senders send up to %d requests each, %d with the second set", rate, rate.senders(), perSender, sum)
		}
		if got := float64(rate.senders()) / interval.Seconds(); got > rate.PerSecond*1.001 {
			t.Errorf("%+v: %.2f requests a second exceed the rate", rate, got)
		}
	}
}
