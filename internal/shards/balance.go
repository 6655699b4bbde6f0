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
	// leastNoise is how many standard deviations of the sample a server must
	// be above its fair load before keys are taken from it, if there are few servers.
	leastNoise = 1.5
	// noisyServers is the number of servers from which on it is more.
	noisyServers = 100
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
	// minPiece is how many requests of the long window must speak for a move: chance gives
	// most keys one or none, and each move has a pause.
	minPiece = 2
	// heavyPause is how long a heavy key stays after it was moved.
	heavyPause = 6 * time.Second
)

type planState struct {
	nextLook      time.Duration
	nextHeavyLook time.Duration
	// heavyMoved is when each heavy key was moved last.
	heavyMoved map[uint32]time.Duration
}

// noiseFactor is how many standard deviations of the sample a server must be above its fair
// load before keys are taken from it. It grows with the number of servers, as the largest
// deviation by chance does: of some thousand servers one or another is always far above its
// fair load in any sample, and each move costs every node a new map.
func noiseFactor(servers int) float64 {
	return max(leastNoise, math.Sqrt(2*math.Log(max(1, float64(servers)/noisyServers))))
}

// keyShareLoad stands for the load of keys nobody asked for, so that ranges
// without load are spread as well.
func keyShareLoad(r Range) float64 {
	return float64(r.Last-r.First+1) / KeyCount
}

// serverLoads estimates the load by the owner that each range will have.
func (m *Manager) serverLoads(now time.Duration) map[discovery.ServerID]float64 {
	owned := m.observeOwners(now)
	loads := make(map[discovery.ServerID]float64, len(owned))
	by := m.scales(now)
	for owner, seen := range owned {
		loads[owner] = seen.estimate(by)
	}
	return loads
}

// observeOwners sums what was seen by the owner that each range will have.
func (m *Manager) observeOwners(now time.Duration) map[discovery.ServerID]observed {
	owned := make(map[discovery.ServerID]observed, len(m.servers))
	for _, s := range m.shards {
		owner := s.Owner
		if s.phase == releasing && s.target != "" {
			owner = s.target
		}
		if owner != "" {
			owned[owner] = owned[owner].plus(m.observe(now, s.First, s.Last), keyShareLoad(s.Range))
		}
	}
	return owned
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
	m.relieveSurges(now, accepting, loads, fair)
	if now < m.plan.nextLook {
		return
	}
	m.plan.nextLook = now + balanceInterval
	m.supplyIdle(now, accepting, loads, fair)
	most := max(m.options.MaxMoves, len(accepting)/serversPerMove)
	m.moveSome(now, look{
		accepting: accepting, loads: loads, fair: fair, window: m.load, scale: 1, least: minPiece, reason: Balance,
		most: min(most-m.moving(), max(maxMovesPerLook, most/2)),
	})
}

// fairLoad is the load that a server of capacity 1 should have. Keys that alone
// are more than the fair load of their server count neither as load nor does
// their server as capacity: nothing that is moved changes them.
func (m *Manager) fairLoad(now time.Duration, accepting []Server) float64 {
	total, capacity := m.load.Total(now), totalCapacity(accepting)
	by := m.scales(now)
	full := make(map[discovery.ServerID]bool)
	for _, s := range m.shards {
		owner, known := m.servers[s.Owner]
		if s.First != s.Last || !known || !owner.Accepting || full[s.Owner] {
			continue
		}
		load := m.observe(now, s.First, s.Last).estimate(by)
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
		owner := m.servers[heavy.Owner]
		best := m.bestFor(load, accepting, loads, heavy.Owner)
		if best.ID == heavy.Owner || best.Capacity < owner.Capacity*worthMoving {
			continue
		}
		if movedAt, moved := m.plan.heavyMoved[key]; moved && now-movedAt < heavyPause {
			continue
		}
		m.plan.heavyMoved[key] = now
		m.startRelease(heavy, now, best.ID, Move{HeavyKey, load})
		loads[heavy.Owner] -= load
		loads[best.ID] += load
	}
}

func meanCapacity(servers []Server) float64 {
	return totalCapacity(servers) / float64(len(servers))
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

// look is what one look at the load goes by.
type look struct {
	accepting []Server
	// loads is the load of each server, and fair what a server of capacity 1 should have.
	loads map[discovery.ServerID]float64
	fair  float64
	// window times scale is the load of the keys that may be moved.
	window *LoadWindow
	scale  float64
	// least is how many requests of the window must speak for a move.
	least float64
	// from are the servers that keys may be taken from; nil means any.
	from map[discovery.ServerID]bool
	// reason is that of the moves, and most bounds them.
	reason Reason
	most   int
}

// gap is what one move is to even out.
type gap struct {
	// source is the server furthest above its fair load, by excess, and target the one
	// furthest below it, by room.
	source, target discovery.ServerID
	excess, room   float64
}

// amount is how much load should move.
func (g gap) amount() float64 { return min(g.excess, g.room) }

// moveSome starts moves, each of which relieves the most loaded server that anything can
// be taken from.
func (m *Manager) moveSome(now time.Duration, l look) {
	standings := l.standings()
	for moves := 0; moves < l.most; {
		source, target := widestGap(standings)
		if source == nil || target == nil {
			return
		}
		index, moved := m.choosePiece(now, l, gap{source: source.id, target: target.id, excess: source.above, room: -target.above})
		if index < 0 {
			source.movable = false
			continue
		}
		m.startRelease(m.shards[index], now, target.id, Move{l.reason, moved})
		l.loads[source.id] -= moved
		l.loads[target.id] += moved
		source.above -= moved
		target.above += moved
		moves++
	}
}

// standing is how a server stands to its fair load.
type standing struct {
	id discovery.ServerID
	// above is by how much its load exceeds the fair one, and threshold by how much it has
	// to for keys to be taken from it.
	above, threshold float64
	movable          bool
}

// standings returns how the servers stand. Many moves look through them, so that they are
// kept side by side.
func (l look) standings() []standing {
	standings := make([]standing, 0, len(l.accepting))
	noise := noiseFactor(len(l.accepting))
	// Small counts exceed their mean by more than their standard deviation says.
	skew := (noise*noise - leastNoise*leastNoise) / 4
	for _, server := range l.accepting {
		goal := l.fair * server.Capacity
		standings = append(standings, standing{
			id: server.ID, above: l.loads[server.ID] - goal, threshold: goal*tolerance + noise*math.Sqrt(goal) + skew,
			movable: l.from == nil || l.from[server.ID],
		})
	}
	return standings
}

// widestGap returns the server furthest above its fair load that keys may be taken from,
// and the one furthest below it; nil if there is none.
func widestGap(standings []standing) (source, target *standing) {
	for index := range standings {
		s := &standings[index]
		if s.movable && s.above > s.threshold && (source == nil || s.above > source.above) {
			source = s
		}
		if s.above < 0 && (target == nil || s.above < target.above) {
			target = s
		}
	}
	return source, target
}

// movedLately reports whether a range is a heavy key that was moved a moment ago: a server
// that it keeps busy looks slower than it is.
func (m *Manager) movedLately(now time.Duration, r Range) bool {
	movedAt, moved := m.plan.heavyMoved[r.First]
	return moved && r.First == r.Last && now-movedAt < heavyPause
}

// piece is the beginning of a range: the keys of the shard at an index before a key.
type piece struct {
	index int
	end   uint32
	load  float64
}

// choosePiece finds, among the ranges of the source, a whole range or the beginning of one
// whose load comes closest to what should move without exceeding it much, cuts it off if
// need be, and returns its position and load, or -1.
func (m *Manager) choosePiece(now time.Duration, l look, g gap) (int, float64) {
	const overshoot = 1.2
	best := piece{index: -1}
	// lightest is the least that can be moved at all where each key alone exceeds that.
	lightest := piece{index: -1, load: math.Inf(1)}
	for index, s := range m.shards {
		if s.Owner != g.source || s.phase != owned || m.movedLately(now, s.Range) {
			continue
		}
		end, load := l.window.Cut(now, s.First, s.Last, g.amount()*overshoot/l.scale)
		if load >= l.least && load*l.scale > best.load {
			best = piece{index, end, load * l.scale}
		}
		end, load = l.window.First(now, s.First, s.Last)
		if load >= l.least && load*l.scale < lightest.load {
			lightest = piece{index, end, load * l.scale}
		}
	}
	if best.index < 0 || best.load < g.amount()/8 {
		// The target is left with less than the source had.
		if lightest.index < 0 || lightest.load > g.excess/2 {
			return -1, 0
		}
		best = lightest
	}
	if best.end <= m.shards[best.index].Last {
		m.split(best.index, best.end)
	}
	return best.index, best.load
}
