package warmup

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var simulationRuns = flag.Int("warmup.runs", 60, "how many seeds the simulation of senders plays")

const (
	simulatedTick  = 10 * time.Millisecond
	simulatedTime  = 30 * time.Second
	simulatedNodes = 26
	// leaseTime and renewTime are those of the registrations of package router.
	leaseTime = 6 * time.Second
	renewTime = 2 * time.Second
	// feedDelay is how long a change takes at most to reach a node in steady state.
	feedDelay = 500 * time.Millisecond
	// registerTime is within what time nodes that start together register.
	registerTime = time.Second
)

// weakening switches one of the reasons off for which the sum is bounded.
type weakening int

const (
	sound weakening = iota
	// oldCopies lets nodes send however old their copy is, and noSettling at once when
	// they start.
	oldCopies
	noSettling
)

// snapshot is what the store held from a moment on.
type snapshot struct {
	at    time.Time
	nodes []Node
}

// simulatedNode is a node with its copy of the store.
type simulatedNode struct {
	Node
	rights *Rights
	// up, frozen and cut say what becomes of it: cut off, it learns nothing and renews
	// nothing, but still reaches the servers.
	up, frozen, cut bool
	delay           time.Duration
	leaseUntil      time.Time
	renewedAt       time.Time
	copiedAt        time.Time
	// known is the position of the snapshot that it knows; -1 means none.
	known int
}

type simulation struct {
	random  *rand.Rand
	weak    weakening
	nodes   []*simulatedNode
	history []snapshot
	arrived []time.Time
	server  Server
	// names counts the nodes that were ever there.
	names int
}

func newSimulation(seed uint64, weak weakening) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), weak: weak, server: Server{ID: "cold", Zone: "z", Rate: usual}}
	for range simulatedNodes {
		s.add(epoch)
	}
	return s
}

// add starts a node under a new name.
func (s *simulation) add(now time.Time) {
	s.names++
	name := string(rune('a'+s.names%26)) + string(rune('a'+s.names/26))
	n := &simulatedNode{Node: Node{Name: name, Zone: "z"}}
	s.nodes = append(s.nodes, n)
	s.start(now, n)
}

// start begins a new process of a node.
func (s *simulation) start(now time.Time, n *simulatedNode) {
	n.rights = NewRights(n.Name)
	n.up, n.frozen = true, false
	n.known = -1
	n.copiedAt = time.Time{}
	// It registers within some time, and learns of the others meanwhile.
	n.renewedAt = now.Add(time.Duration(s.random.Int64N(int64(registerTime))) - renewTime)
	n.delay = time.Duration(s.random.Int64N(int64(feedDelay)))
}

// pick returns a node, mostly one that may send to the server.
func (s *simulation) pick() *simulatedNode {
	for range 20 {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		if known := n.rights.servers[s.server.ID]; known != nil && known.sender && n.up && !n.cut {
			return n
		}
	}
	return s.nodes[s.random.IntN(len(s.nodes))]
}

// trouble lets something happen to the nodes.
func (s *simulation) trouble(now time.Time) {
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

// startAll starts all nodes at once, sometimes after their registrations lapsed.
func (s *simulation) startAll(now time.Time) {
	if s.random.IntN(16) != 0 {
		return
	}
	lapsed := s.random.IntN(2) == 0
	for _, n := range s.nodes {
		s.start(now, n)
		if lapsed {
			n.leaseUntil = time.Time{}
		}
	}
}

// store renews registrations and remembers who is registered.
func (s *simulation) store(now time.Time) {
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

// feed gives a node what the store held a little earlier.
func (s *simulation) feed(now time.Time, n *simulatedNode) {
	if n.cut {
		return
	}
	asOf := now.Add(-n.delay)
	for index := len(s.history) - 1; index >= 0; index-- {
		if seen := s.history[index]; !seen.at.After(asOf) {
			n.copiedAt = asOf
			if n.known != index {
				n.known = index
				n.rights.SetNodes(now, seen.nodes)
			}
			return
		}
	}
}

func (s *simulation) send(now time.Time, n *simulatedNode) {
	copied := Copy{Age: now.Sub(n.copiedAt), Known: !n.copiedAt.IsZero()}
	if s.weak == oldCopies {
		copied.Age = 0
	}
	if s.weak == noSettling && !n.rights.registeredAt.IsZero() {
		n.rights.registeredAt = now.Add(-settleTime)
	}
	if n.rights.May(now, s.server, copied) {
		n.rights.Sent(now, s.server)
		s.arrived = append(s.arrived, now)
	}
}

// worst plays all and returns the most requests that arrived within a second.
func (s *simulation) worst() int {
	most, first := 0, 0
	for now := epoch; now.Before(epoch.Add(simulatedTime)); now = now.Add(simulatedTick) {
		if s.random.IntN(12) == 0 {
			s.trouble(now)
		}
		s.store(now)
		for _, n := range s.nodes {
			if n.up && !n.frozen {
				s.feed(now, n)
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

// worstOf plays seeds until one exceeds the limit.
func worstOf(runs int, weak weakening) (most int, seed uint64) {
	for next := range uint64(runs) {
		if count := newSimulation(next, weak).worst(); count > most {
			most, seed = count, next
		}
		if float64(most) > usual.Limit {
			break
		}
	}
	return most, seed
}

func TestSumStaysWithinTheLimitWhateverHappensToNodes(t *testing.T) {
	most, seed := worstOf(*simulationRuns, sound)
	t.Logf("at most %d requests within a second (seed %d), %.0f allowed", most, seed, usual.Limit)
	if float64(most) > usual.Limit {
		t.Errorf("%d requests within a second with seed %d, %.2f allowed", most, seed, usual.Limit)
	}
}

// The simulation can see what it checks.
func TestWeakenedRightsExceedTheLimit(t *testing.T) {
	for name, weak := range map[string]weakening{"old copies": oldCopies, "no settling": noSettling} {
		if most, seed := worstOf(*simulationRuns, weak); float64(most) <= usual.Limit {
			t.Errorf("%s: only %d requests within a second (seed %d)", name, most, seed)
		}
	}
}
