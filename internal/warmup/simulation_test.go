package warmup

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var simulationRuns = flag.Int("warmup.runs", 60, "number of seeds that the simulation of senders runs")

const (
	simulatedTick  = 10 * time.Millisecond
	simulatedTime  = 30 * time.Second
	simulatedNodes = 26
	// leaseTime and renewTime are the lease and the renewal interval of node registrations
	// in package router.
	leaseTime = 6 * time.Second
	renewTime = 2 * time.Second
	// feedDelay is the maximum time for a change to reach a node in steady state.
	feedDelay = 500 * time.Millisecond
	// registerTime is the period within which nodes that start together register.
	registerTime = time.Second
)

// disabledRule selects a rule to disable on which the bounded sum depends.
type disabledRule int

const (
	noRuleDisabled disabledRule = iota
	// ignoreCopyAge lets nodes send regardless of the age of their copy; skipSettling lets
	// them send as soon as they have registered.
	ignoreCopyAge
	skipSettling
)

// snapshot is the set of nodes registered in the store from a point in time.
type snapshot struct {
	at    time.Time
	nodes []Node
}

// simulatedNode is a node with its copy of the store.
type simulatedNode struct {
	Node
	permits *Permits
	// up, frozen and cut are the fault state of the node. A node that is cut off receives no
	// updates and renews no registration, but still reaches the servers.
	up, frozen, cut bool
	delay           time.Duration
	leaseUntil      time.Time
	renewedAt       time.Time
	copiedAt        time.Time
	// known is the index of the snapshot that the node has received; -1 means none.
	known int
}

type simulation struct {
	random   *rand.Rand
	disabled disabledRule
	nodes    []*simulatedNode
	history  []snapshot
	arrived  []time.Time
	server   Server
	// names counts the nodes that were ever added.
	names int
}

func newSimulation(seed uint64, disabled disabledRule) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), disabled: disabled, server: Server{ID: "cold", Zone: "z", Rate: gatewayRate}}
	for range simulatedNodes {
		s.add(epoch)
	}
	return s
}

// add starts a node with a new name.
func (s *simulation) add(now time.Time) {
	s.names++
	name := string(rune('a'+s.names%26)) + string(rune('a'+s.names/26))
	n := &simulatedNode{Node: Node{Name: name, Zone: "z"}}
	s.nodes = append(s.nodes, n)
	s.start(now, n)
}

// start starts a new process of a node.
func (s *simulation) start(now time.Time, n *simulatedNode) {
	n.permits = NewPermits(n.Name)
	n.up, n.frozen = true, false
	n.known = -1
	n.copiedAt = time.Time{}
	// It registers within registerTime and learns of the other nodes meanwhile.
	n.renewedAt = now.Add(time.Duration(s.random.Int64N(int64(registerTime))) - renewTime)
	n.delay = time.Duration(s.random.Int64N(int64(feedDelay)))
}

// pick returns a random node, with a preference for one that may send to the server.
func (s *simulation) pick() *simulatedNode {
	for range 20 {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		if known := n.permits.servers[s.server.ID]; known != nil && known.sender && n.up && !n.cut {
			return n
		}
	}
	return s.nodes[s.random.IntN(len(s.nodes))]
}

// injectFault applies a random fault or recovery to the nodes.
func (s *simulation) injectFault(now time.Time) {
	n := s.pick()
	switch s.random.IntN(8) {
	case 0:
		n.up = false
	case 1:
		s.start(now, n)
	case 2:
		n.frozen = true
	case 3:
		other := s.nodes[s.random.IntN(len(s.nodes))]
		other.frozen, other.cut = false, false
	case 4, 5:
		n.cut = true
	case 6:
		s.add(now)
	case 7:
		s.startAll(now)
	}
}

// startAll restarts all nodes at once with a probability of 1/16, half of the time after
// their registrations expired.
func (s *simulation) startAll(now time.Time) {
	if s.random.IntN(16) != 0 {
		return
	}
	expired := s.random.IntN(2) == 0
	for _, n := range s.nodes {
		s.start(now, n)
		if expired {
			n.leaseUntil = time.Time{}
		}
	}
}

// renewRegistrations renews registrations and records who is registered.
func (s *simulation) renewRegistrations(now time.Time) {
	var registered []Node
	for _, n := range s.nodes {
		if n.up && !n.frozen && !n.cut && now.Sub(n.renewedAt) >= renewTime {
			n.renewedAt = now
			n.leaseUntil = now.Add(leaseTime)
		}
		if now.Before(n.leaseUntil) {
			registered = append(registered, n.Node)
		}
	}
	if last := len(s.history) - 1; last < 0 || !slices.Equal(s.history[last].nodes, registered) {
		s.history = append(s.history, snapshot{now, registered})
	}
}

// deliver updates the copy of a node to the state that the store had n.delay ago.
func (s *simulation) deliver(now time.Time, n *simulatedNode) {
	if n.cut {
		return
	}
	asOf := now.Add(-n.delay)
	for index := len(s.history) - 1; index >= 0; index-- {
		if seen := s.history[index]; !seen.at.After(asOf) {
			n.copiedAt = asOf
			if n.known != index {
				n.known = index
				n.permits.SetNodes(now, seen.nodes)
			}
			return
		}
	}
}

func (s *simulation) send(now time.Time, n *simulatedNode) {
	copied := CopyState{Age: now.Sub(n.copiedAt), Confirmed: !n.copiedAt.IsZero()}
	if s.disabled == ignoreCopyAge {
		copied.Age = 0
	}
	if s.disabled == skipSettling && !n.permits.registeredAt.IsZero() {
		n.permits.registeredAt = now.Add(-settleTime)
	}
	if n.permits.MaySend(now, s.server, copied) {
		n.permits.RecordSent(now, s.server)
		s.arrived = append(s.arrived, now)
	}
}

// peakRate runs the simulation and returns the largest number of requests that arrived
// within one second.
func (s *simulation) peakRate() int {
	most, first := 0, 0
	for now := epoch; now.Before(epoch.Add(simulatedTime)); now = now.Add(simulatedTick) {
		if s.random.IntN(12) == 0 {
			s.injectFault(now)
		}
		s.renewRegistrations(now)
		for _, n := range s.nodes {
			if n.up && !n.frozen {
				s.deliver(now, n)
				s.send(now, n)
			}
		}
		for first < len(s.arrived) && now.Sub(s.arrived[first]) >= time.Second {
			first++
		}
		most = max(most, len(s.arrived)-first)
	}
	return most
}

// highestPeak runs the seeds until one exceeds the limit, and returns the largest peak and
// its seed.
func highestPeak(runs int, disabled disabledRule) (most int, seed uint64) {
	for next := range uint64(runs) {
		if count := newSimulation(next, disabled).peakRate(); count > most {
			most, seed = count, next
		}
		if float64(most) > gatewayRate.Limit {
			break
		}
	}
	return most, seed
}

func TestSumStaysWithinTheLimitWhateverHappensToNodes(t *testing.T) {
	most, seed := highestPeak(*simulationRuns, noRuleDisabled)
	t.Logf("at most %d requests within a second (seed %d), %.0f allowed", most, seed, gatewayRate.Limit)
	if float64(most) > gatewayRate.Limit {
		t.Errorf("%d requests within a second (seed %d), %.2f allowed", most, seed, gatewayRate.Limit)
	}
}

// Checks that the simulation can detect a violation: with either rule disabled the limit is
// exceeded.
func TestWeakenedRightsExceedTheLimit(t *testing.T) {
	for name, disabled := range map[string]disabledRule{"copy age rule": ignoreCopyAge, "settling rule": skipSettling} {
		if most, seed := highestPeak(*simulationRuns, disabled); float64(most) <= gatewayRate.Limit {
			t.Errorf("%s disabled: at most %d requests within a second (seed %d), want more than the limit", name, most, seed)
		}
	}
}
