package shards

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// balanceInterval is the pause between two looks at the load.
	balanceInterval = 500 * time.Millisecond
	// tolerance is the part above its fair load that a server may have.
	tolerance = 0.25
	// noiseFactor is how many standard deviations of the sample a server must
	// be above its fair load before keys are taken from it.
	noiseFactor = 1.5
	// minTotal is how many requests are needed to judge the load at all.
	minTotal = 30
	// maxMovesPerLook bounds the moves that one look starts.
	maxMovesPerLook = 6
)

type planState struct {
	nextLook time.Duration
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
	if !m.Started() || now < m.plan.nextLook {
		return
	}
	m.plan.nextLook = now + balanceInterval
	total := m.load.Total(now)
	accepting := m.accepting()
	if total < minTotal || len(accepting) < 2 {
		return
	}
	capacity := 0.0
	for _, server := range accepting {
		capacity += server.Capacity
	}
	loads := m.serverLoads(now)
	room := m.options.MaxMoves - m.moving()
	for range min(room, maxMovesPerLook) {
		if !m.moveOnce(now, accepting, loads, total/capacity) {
			return
		}
	}
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

// moveOnce starts the one move that relieves the most loaded server. fair is the
// load that a server of capacity 1 should have.
func (m *Manager) moveOnce(now time.Duration, accepting []Server, loads map[discovery.ServerID]float64, fair float64) bool {
	var source, target Server
	excess, room := 0.0, 0.0
	for _, server := range accepting {
		goal := fair * server.Capacity
		above := loads[server.ID] - goal
		threshold := goal*tolerance + noiseFactor*math.Sqrt(goal)
		if above > threshold && above > excess {
			source, excess = server, above
		}
		if below := -above; below > room {
			target, room = server, below
		}
	}
	if source.ID == "" || target.ID == "" {
		return false
	}
	index, moved := m.choosePiece(now, source.ID, min(excess, room))
	if index < 0 {
		return false
	}
	m.startRelease(m.shards[index], now, target.ID)
	loads[source.ID] -= moved
	loads[target.ID] += moved
	return true
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
