package shards

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// balanceInterval is the interval between balance passes, and heavyInterval the interval
	// between searches for heavy keys and surges.
	balanceInterval = 500 * time.Millisecond
	heavyInterval   = 150 * time.Millisecond
	// tolerance is the fraction by which a server may exceed its fair load.
	tolerance = 0.25
	// minNoiseFactor is the number of standard deviations of the sample by which a server must
	// exceed its fair load before keys are taken from it, if there are few servers.
	minNoiseFactor = 1.5
	// noiseScaleServers scales the number of servers in noiseFactor, which exceeds
	// minNoiseFactor if there are many.
	noiseScaleServers = 100
	// minTotalRequests is the number of requests needed to judge the load at all.
	minTotalRequests = 30
	// maxMovesPerPass limits the moves that one pass starts if there are few servers. If there
	// are many, one concurrent move is allowed per serversPerMove servers.
	maxMovesPerPass = 6
	serversPerMove  = 8
	// heavyKeyFraction is the fraction of an average server's fair load from which a key counts
	// as heavy, and minHeavyRequests the minimum number of requests for that.
	heavyKeyFraction = 0.6
	minHeavyRequests = 12
	// minCapacityRatio is the minimum ratio between the capacities of the server that gets a
	// heavy key and of the server that holds it: a server that is kept busy by a heavy key
	// seems to have less capacity than it has.
	minCapacityRatio = 1.8
	// minMovedRequests is the minimum number of requests of the long window for the keys of a
	// move: random variation gives most keys one request or none, and each move interrupts the
	// service of its keys.
	minMovedRequests = 2
	// heavyKeyCooldown is the minimum time between two moves of a heavy key.
	heavyKeyCooldown = 6 * time.Second
)

// balancingState schedules the balance passes and records moves of heavy keys.
type balancingState struct {
	nextPass      time.Duration
	nextHeavyPass time.Duration
	// heavyMovedAt is the time of the last move of each heavy key.
	heavyMovedAt map[uint32]time.Duration
}

// noiseFactor returns the number of standard deviations of the sample by which a server must
// exceed its fair load before keys are taken from it. It grows with the number of servers, as
// the largest random deviation does: among some thousand servers, there is always one far above
// its fair load in any sample, and each move costs every node a new map.
func noiseFactor(servers int) float64 {
	return max(minNoiseFactor, math.Sqrt(2*math.Log(max(1, float64(servers)/noiseScaleServers))))
}

// unrequestedLoad is the load assumed for keys regardless of requests, so that ranges without
// requests are spread as well.
func unrequestedLoad(r Range) float64 {
	return float64(r.Last-r.First+1) / KeyCount
}

// serverLoads estimates the load of each server once the moves in progress are done.
func (m *Manager) serverLoads(now time.Duration) map[discovery.ServerID]float64 {
	owned := m.observeOwners(now)
	loads := make(map[discovery.ServerID]float64, len(owned))
	factors := m.scaleFactors(now)
	for owner, seen := range owned {
		loads[owner] = seen.estimate(factors)
	}
	return loads
}

// observeOwners sums the observed load of each server as if the moves in progress were done.
func (m *Manager) observeOwners(now time.Duration) map[discovery.ServerID]loadObservation {
	owned := make(map[discovery.ServerID]loadObservation, len(m.servers))
	for _, s := range m.shards {
		owner := s.Owner
		if s.phase == releasing && s.target != "" {
			owner = s.target
		}
		if owner != "" {
			owned[owner] = owned[owner].add(m.observe(now, s.First, s.Last), unrequestedLoad(s.Range))
		}
	}
	return owned
}

// balance moves ranges from servers above their fair load to servers below it.
func (m *Manager) balance(now time.Duration) {
	if !m.Started() || now < m.balancing.nextHeavyPass {
		return
	}
	m.balancing.nextHeavyPass = now + heavyInterval
	total := m.load.Total(now)
	accepting := m.accepting()
	if total < minTotalRequests || len(accepting) < 2 {
		return
	}
	fair := m.fairLoad(now, accepting)
	loads := m.serverLoads(now)
	m.placeHeavyKeys(now, accepting, loads, fair)
	m.relieveSurges(now, accepting, loads, fair)
	if now < m.balancing.nextPass {
		return
	}
	m.balancing.nextPass = now + balanceInterval
	m.moveToIdleServers(now, accepting, loads, fair)
	maxMoves := max(m.options.MaxMoves, len(accepting)/serversPerMove)
	m.startMoves(now, balancePass{
		accepting: accepting, loads: loads, fair: fair, window: m.load, scale: 1, minRequests: minMovedRequests, reason: Balance,
		maxMoves: min(maxMoves-m.movingCount(), max(maxMovesPerPass, maxMoves/2)),
	})
}

// fairLoad returns the load that a server of capacity 1 should have. If a single key exceeds
// the fair load of its server, neither the key's load nor the server's capacity counts, because
// no move changes them.
func (m *Manager) fairLoad(now time.Duration, accepting []Server) float64 {
	total, capacity := m.load.Total(now), totalCapacity(accepting)
	factors := m.scaleFactors(now)
	full := make(map[discovery.ServerID]bool)
	for _, s := range m.shards {
		owner, known := m.servers[s.Owner]
		if s.First != s.Last || !known || !owner.Accepting || full[s.Owner] {
			continue
		}
		load := m.observe(now, s.First, s.Last).estimate(factors)
		if load > total/capacity*owner.Capacity && capacity > owner.Capacity {
			full[s.Owner] = true
			total -= load
			capacity -= owner.Capacity
		}
	}
	return total / capacity
}

// placeHeavyKeys gives each heavy key a range of its own, on a server that has the capacity for
// it. The other keys of that server are moved away by later steps.
func (m *Manager) placeHeavyKeys(now time.Duration, accepting []Server, loads map[discovery.ServerID]float64, fair float64) {
	const windows = float64(longWindowLength) / float64(mediumWindowLength)
	mean := fair * meanCapacity(accepting) / windows
	for _, key := range m.mediumWindow.Heavy(now, max(heavyKeyFraction*mean, minHeavyRequests)) {
		index := m.isolateKey(key)
		if index < 0 {
			continue
		}
		heavy := m.shards[index]
		load := m.mediumWindow.Requests(now, key, key) * windows
		owner := m.servers[heavy.Owner]
		best := m.bestServerFor(load, accepting, loads, heavy.Owner)
		if best.ID == heavy.Owner || best.Capacity < owner.Capacity*minCapacityRatio {
			continue
		}
		if movedAt, moved := m.balancing.heavyMovedAt[key]; moved && now-movedAt < heavyKeyCooldown {
			continue
		}
		m.balancing.heavyMovedAt[key] = now
		m.startRelease(heavy, now, best.ID, Move{HeavyKey, load})
		loads[heavy.Owner] -= load
		loads[best.ID] += load
	}
}

func meanCapacity(servers []Server) float64 {
	return totalCapacity(servers) / float64(len(servers))
}

// isolateKey splits ranges so that the key has a range of its own, unless its range is being
// moved. It returns the position of the range, or -1.
func (m *Manager) isolateKey(key uint32) int {
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

// bestServerFor returns the server with the highest capacity. Among servers of similar capacity
// it prefers the one that already holds the key, and otherwise the least loaded one.
func (m *Manager) bestServerFor(load float64, accepting []Server, loads map[discovery.ServerID]float64, holder discovery.ServerID) Server {
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

// movingCount returns the number of ranges that are changing owners or wait for one.
func (m *Manager) movingCount() int {
	count := 0
	for _, s := range m.shards {
		if s.phase != owned {
			count++
		}
	}
	return count
}

// balancePass contains the inputs of one pass over the load.
type balancePass struct {
	accepting []Server
	// loads is the load of each server, and fair the fair load of a server of capacity 1.
	loads map[discovery.ServerID]float64
	fair  float64
	// window and scale determine the load of the keys that may be moved: their requests in the
	// window, multiplied by scale.
	window *LoadWindow
	scale  float64
	// minRequests is the minimum number of requests in the window for the keys of a move.
	minRequests float64
	// sources are the servers that keys may be taken from; nil means any server.
	sources map[discovery.ServerID]bool
	// reason is the reason for the moves, and maxMoves limits their number.
	reason   Reason
	maxMoves int
}

// imbalance is the difference that one move is to reduce.
type imbalance struct {
	// source is the server furthest above its fair load, by excess, and target the server
	// furthest below it, by room.
	source, target discovery.ServerID
	excess, room   float64
}

// amount returns the load that should move.
func (g imbalance) amount() float64 { return min(g.excess, g.room) }

// startMoves starts moves, each of which takes keys from the most loaded server that has keys
// to move.
func (m *Manager) startMoves(now time.Duration, l balancePass) {
	balances := l.balances()
	for moves := 0; moves < l.maxMoves; {
		source, target := largestImbalance(balances)
		if source == nil || target == nil {
			return
		}
		index, moved := m.selectPrefix(now, l, imbalance{source: source.id, target: target.id, excess: source.surplus, room: -target.surplus})
		if index < 0 {
			source.movable = false
			continue
		}
		m.startRelease(m.shards[index], now, target.id, Move{l.reason, moved})
		l.loads[source.id] -= moved
		l.loads[target.id] += moved
		source.surplus -= moved
		target.surplus += moved
		moves++
	}
}

// serverBalance compares a server's load to its fair load.
type serverBalance struct {
	id discovery.ServerID
	// surplus is the load above the fair load, and threshold the surplus above which keys are
	// taken from the server.
	surplus, threshold float64
	movable            bool
}

// balances returns the balance of each server. The result is a slice because each move of
// a pass scans all servers.
func (l balancePass) balances() []serverBalance {
	balances := make([]serverBalance, 0, len(l.accepting))
	noise := noiseFactor(len(l.accepting))
	// Small counts exceed their mean by more than their standard deviation suggests.
	skew := (noise*noise - minNoiseFactor*minNoiseFactor) / 4
	for _, server := range l.accepting {
		goal := l.fair * server.Capacity
		balances = append(balances, serverBalance{
			id: server.ID, surplus: l.loads[server.ID] - goal, threshold: goal*tolerance + noise*math.Sqrt(goal) + skew,
			movable: l.sources == nil || l.sources[server.ID],
		})
	}
	return balances
}

// largestImbalance returns the server furthest above its fair load that keys may be taken from,
// and the server furthest below it; either is nil if there is none.
func largestImbalance(balances []serverBalance) (source, target *serverBalance) {
	for index := range balances {
		s := &balances[index]
		if s.movable && s.surplus > s.threshold && (source == nil || s.surplus > source.surplus) {
			source = s
		}
		if s.surplus < 0 && (target == nil || s.surplus < target.surplus) {
			target = s
		}
	}
	return source, target
}

// movedRecently reports whether the range is a heavy key that was moved within
// heavyKeyCooldown. A server that is kept busy by such a key seems to have less capacity than
// it has.
func (m *Manager) movedRecently(now time.Duration, r Range) bool {
	movedAt, moved := m.balancing.heavyMovedAt[r.First]
	return moved && r.First == r.Last && now-movedAt < heavyKeyCooldown
}

// rangePrefix is the part of the shard at position index that ends before the key end.
type rangePrefix struct {
	index int
	end   uint32
	load  float64
}

// selectPrefix selects a range of the source, or the beginning of one, whose load comes closest
// to the amount to move without exceeding it by much. It splits the range if necessary, and
// returns the position and the load of the selected range; the position is -1 if there is none.
func (m *Manager) selectPrefix(now time.Duration, l balancePass, g imbalance) (int, float64) {
	const overshoot = 1.2
	best := rangePrefix{index: -1}
	// lightest is the smallest load that can be moved, for ranges in which each key alone
	// exceeds the amount.
	lightest := rangePrefix{index: -1, load: math.Inf(1)}
	for index, s := range m.shards {
		if s.Owner != g.source || s.phase != owned || m.movedRecently(now, s.Range) {
			continue
		}
		end, load := l.window.Prefix(now, s.First, s.Last, g.amount()*overshoot/l.scale)
		if load >= l.minRequests && load*l.scale > best.load {
			best = rangePrefix{index, end, load * l.scale}
		}
		end, load = l.window.First(now, s.First, s.Last)
		if load >= l.minRequests && load*l.scale < lightest.load {
			lightest = rangePrefix{index, end, load * l.scale}
		}
	}
	if best.index < 0 || best.load < g.amount()/8 {
		// After the move, the target has less load than the source had before.
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
