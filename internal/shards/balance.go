package shards

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// balanceInterval is the pause between two looks at the load, heavyInterval
	// that between two looks for heavy keys.
	balanceInterval = 500 * time.Millisecond
	heavyInterval   = 150 * time.Millisecond
	// tolerance is the part above its fair load that a server may have.
	tolerance = 0.25
	// noiseFactor is how many standard deviations of the sample a server must
	// be above its fair load before keys are taken from it.
	noiseFactor = 1.5
	// minTotal is how many requests are needed to judge the load at all.
	minTotal = 30
	// maxMovesPerLook bounds the moves that one look starts with few servers;
	// with many there is one move at a time for each serversPerMove of them.
	maxMovesPerLook = 6
	serversPerMove  = 8
	// heavyPart is the part of a mean server's fair load from which a key is
	// heavy; minHeavy is the least number of requests for that.
	heavyPart = 0.6
	minHeavy  = 12
	// worthMoving is how much more capacity a server must have than the one that
	// holds a heavy key: a server that is kept busy by the key looks slower than
	// it is.
	worthMoving = 1.8
	// heavyPause is how long a heavy key stays after it was moved.
	heavyPause = 6 * time.Second
)

type planState struct {
	nextLook      time.Duration
	nextHeavyLook time.Duration
	// heavyMoved is when each heavy key was moved last.
	heavyMoved map[uint32]time.Duration
}

// keyShareLoad stands for the load of keys nobody asked for, so that ranges
// without load are spread as well.
func keyShareLoad(r Range) float64 {
	return float64(r.Last-r.First+1) / KeyCount
}

// serverLoads sums the measured load by the owner that each range will have.
func (m *Manager) serverLoads(now time.Duration) map[discovery.ServerID]float64 {
	loads := make(map[discovery.ServerID]float64, len(m.servers))
	for _, s := range m.shards {
		owner := s.Owner
		if s.phase == releasing && s.target != "" {
			owner = s.target
		}
		if owner != "" {
			loads[owner] += m.load.Between(now, s.First, s.Last) + keyShareLoad(s.Range)
		}
	}
	return loads
}

// balance moves ranges from servers above their fair load to servers below it.
func (m *Manager) balance(now time.Duration) {
	if !m.Started() || now < m.plan.nextHeavyLook {
		return
	}
	m.plan.nextHeavyLook = now + heavyInterval
	total := m.load.Total(now)
	accepting := m.accepting()
	if total < minTotal || len(accepting) < 2 {
		return
	}
	fair := m.fairLoad(now, accepting)
	loads := m.serverLoads(now)
	m.placeHeavyKeys(now, accepting, loads, fair)
	if now < m.plan.nextLook {
		return
	}
	m.plan.nextLook = now + balanceInterval
	most := max(m.options.MaxMoves, len(accepting)/serversPerMove)
	m.moveSome(now, accepting, loads, fair, min(most-m.moving(), max(maxMovesPerLook, most/2)))
}

// fairLoad is the load that a server of capacity 1 should have. Keys that alone
// are more than the fair load of their server count neither as load nor does
// their server as capacity: nothing that is moved changes them.
func (m *Manager) fairLoad(now time.Duration, accepting []Server) float64 {
	total, capacity := m.load.Total(now), 0.0
	for _, server := range accepting {
		capacity += server.Capacity
	}
	full := make(map[discovery.ServerID]bool)
	for _, s := range m.shards {
		owner, known := m.servers[s.Owner]
		if s.First != s.Last || !known || !owner.Accepting || full[s.Owner] {
			continue
		}
		load := m.load.Between(now, s.First, s.Last)
		if load > total/capacity*owner.Capacity && capacity > owner.Capacity {
			full[s.Owner] = true
			total -= load
			capacity -= owner.Capacity
		}
	}
	return total / capacity
}

// placeHeavyKeys gives each key that alone is much of a server's fair load a
// range of its own, on a server that has the capacity for it; what else that
// server has is moved away by the following steps.
func (m *Manager) placeHeavyKeys(now time.Duration, accepting []Server, loads map[discovery.ServerID]float64, fair float64) {
	const windows = float64(balanceWindow) / float64(heavyWindow)
	mean := fair * meanCapacity(accepting) / windows
	for _, key := range m.surge.Heavy(now, max(heavyPart*mean, minHeavy)) {
		index := m.isolate(key)
		if index < 0 {
			continue
		}
		heavy := m.shards[index]
		load := m.surge.Between(now, key, key) * windows
		// The long window does not show the whole of a load that has just begun.
		loads[heavy.Owner] += max(0, load-m.load.Between(now, key, key))
		owner := m.servers[heavy.Owner]
		best := m.bestFor(load, accepting, loads, heavy.Owner)
		if best.ID == heavy.Owner || best.Capacity < owner.Capacity*worthMoving {
			continue
		}
		if movedAt, moved := m.plan.heavyMoved[key]; moved && now-movedAt < heavyPause {
			continue
		}
		m.plan.heavyMoved[key] = now
		m.startRelease(heavy, now, best.ID)
		loads[heavy.Owner] -= load
		loads[best.ID] += load
	}
}

func meanCapacity(servers []Server) float64 {
	sum := 0.0
	for _, server := range servers {
		sum += server.Capacity
	}
	return sum / float64(len(servers))
}

// isolate makes a range of one key, if its keys are not being moved. It returns
// the range's position or -1.
func (m *Manager) isolate(key uint32) int {
	for index, s := range m.shards {
		if key < s.First || key > s.Last {
			continue
		}
		if s.phase != owned {
			return -1
		}
		if s.First < key {
			m.split(index, key)
			index++
		}
		if m.shards[index].Last > key {
			m.split(index, key+1)
		}
		return index
	}
	return -1
}

// bestFor returns the server with the most capacity; of those that are about as
// good, the one that already has the key, or else the one with the least load.
func (m *Manager) bestFor(load float64, accepting []Server, loads map[discovery.ServerID]float64, holder discovery.ServerID) Server {
	best := accepting[0]
	score := func(server Server) float64 {
		other := loads[server.ID]
		if server.ID == holder {
			other -= load
		}
		return server.Capacity / (1 + max(0, other)/(load+1)/2)
	}
	for _, server := range accepting[1:] {
		if score(server) > score(best) {
			best = server
		}
	}
	return best
}

func (m *Manager) moving() int {
	count := 0
	for _, s := range m.shards {
		if s.phase != owned {
			count++
		}
	}
	return count
}

// moveSome starts up to most moves, each of which relieves the most loaded server
// that anything can be taken from. fair is the load that a server of capacity 1
// should have.
func (m *Manager) moveSome(now time.Duration, accepting []Server, loads map[discovery.ServerID]float64, fair float64, most int) {
	stuck := make(map[discovery.ServerID]bool)
	for moves := 0; moves < most; {
		source, target, amount := widestGap(accepting, loads, fair, stuck)
		if source == "" || target == "" {
			return
		}
		index, moved := m.choosePiece(now, source, amount)
		if index < 0 {
			stuck[source] = true
			continue
		}
		m.startRelease(m.shards[index], now, target)
		loads[source] -= moved
		loads[target] += moved
		moves++
	}
}

// widestGap returns the server furthest above its fair load that is not stuck,
// the one furthest below it, and how much load should move.
func widestGap(
	accepting []Server, loads map[discovery.ServerID]float64, fair float64, stuck map[discovery.ServerID]bool,
) (source, target discovery.ServerID, amount float64) {
	excess, room := 0.0, 0.0
	for _, server := range accepting {
		goal := fair * server.Capacity
		above := loads[server.ID] - goal
		threshold := goal*tolerance + noiseFactor*math.Sqrt(goal)
		if above > threshold && above > excess && !stuck[server.ID] {
			source, excess = server.ID, above
		}
		if below := -above; below > room {
			target, room = server.ID, below
		}
	}
	return source, target, min(excess, room)
}

// choosePiece finds, among the ranges of a server, a whole range or an end of
// one whose load comes closest to amount without exceeding it much, cuts it off
// if need be, and returns its position and load, or -1.
func (m *Manager) choosePiece(now time.Duration, owner discovery.ServerID, amount float64) (int, float64) {
	const overshoot = 1.2
	best, bestLoad := -1, 0.0
	var cut uint32
	for index, s := range m.shards {
		if s.Owner != owner || s.phase != owned {
			continue
		}
		first, load := m.load.Cut(now, s.First, s.Last, amount*overshoot)
		if load > bestLoad {
			best, bestLoad, cut = index, load, first
		}
	}
	if best < 0 || bestLoad < amount/8 {
		return -1, 0
	}
	if cut <= m.shards[best].Last {
		m.split(best, cut)
	}
	return best, bestLoad
}
