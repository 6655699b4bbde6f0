package shards

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// This file handles servers that join or drain: new servers get keys even if no other server
// is above its fair load, and keys of draining servers go to servers that stay.

// moveToIdleServers moves keys to servers that have no keys or get too few requests for the
// keys they have, each time from the server with the most load relative to its capacity.
// Without it, a balance pass would move keys to them only once another server is far above its
// fair load.
func (m *Manager) moveToIdleServers(now time.Duration, accepting []Server, loads map[discovery.ServerID]float64, fair float64) {
	l := balancePass{accepting: accepting, loads: loads, fair: fair, window: m.load, scale: 1, minRequests: minMovedRequests}
	maxMoves := max(m.options.MaxMoves, len(accepting)/serversPerMove) - m.movingCount()
	exhausted := make(map[discovery.ServerID]bool)
	for _, idle := range m.idleServers(accepting, loads, fair) {
		for maxMoves > 0 {
			source, found := mostLoaded(accepting, loads, exhausted)
			if !found {
				return
			}
			// Moving half of the source's load leaves both servers with equal load.
			half := loads[source.ID] / 2
			// The smallest set of keys that can be moved may exceed the fair load of a reduced
			// server.
			room := max(minMovedRequests, min(half, fair*idle.Capacity-loads[idle.ID]))
			index, moved := m.selectPrefix(now, l, imbalance{source: source.ID, target: idle.ID, excess: half, room: room})
			if index < 0 {
				exhausted[source.ID] = true
				continue
			}
			m.startRelease(m.shards[index], now, idle.ID, Move{IdleServer, moved})
			loads[source.ID] -= moved
			loads[idle.ID] += moved
			maxMoves--
			break
		}
	}
}

const (
	// idleFraction is the fraction of its fair load below which a server is idle.
	idleFraction = 0.25
	// minIdleFairLoad is the minimum fair load, in requests of the long window, for a server to
	// count as idle: with this many, random variation rarely leaves less than idleFraction of
	// them.
	minIdleFairLoad = 20
)

// idleServers returns the servers that neither own a range nor are the target of a move, and
// those whose ranges get too few requests.
func (m *Manager) idleServers(accepting []Server, loads map[discovery.ServerID]float64, fair float64) []Server {
	owners := make(map[discovery.ServerID]bool, len(accepting))
	for _, s := range m.shards {
		owners[s.Owner] = true
		owners[s.target] = true
	}
	var idle []Server
	for _, server := range accepting {
		if !owners[server.ID] || isIdle(server, loads[server.ID], fair) {
			idle = append(idle, server)
		}
	}
	return idle
}

// isIdle reports whether a server should be given more keys even if no other server is
// overloaded.
func isIdle(server Server, load, fair float64) bool {
	if server.ReducedCapacity {
		// One request counts as 1; ranges without requests count as less.
		return load < 1
	}
	goal := fair * server.Capacity
	return goal >= minIdleFairLoad && load < idleFraction*goal
}

// mostLoaded returns the server with the most load relative to its capacity that is not in
// exhausted.
func mostLoaded(accepting []Server, loads map[discovery.ServerID]float64, exhausted map[discovery.ServerID]bool) (Server, bool) {
	var most Server
	found := false
	for _, server := range accepting {
		if exhausted[server.ID] {
			continue
		}
		if !found || loads[server.ID]/server.Capacity > loads[most.ID]/most.Capacity {
			most, found = server, true
		}
	}
	return most, found
}

// remaining returns the servers that a rolling update in progress is not expected to
// replace. While servers of one version drain and there are servers of another version, the
// other servers of the draining version are expected to drain as well. The result is empty if no
// conclusion is possible.
func (m *Manager) remaining(accepting []Server) []Server {
	leaving := make(map[string]bool)
	for _, server := range m.servers {
		if !server.Accepting {
			leaving[server.Version] = true
		}
	}
	var remaining []Server
	for _, server := range accepting {
		if !leaving[server.Version] {
			remaining = append(remaining, server)
		}
	}
	return remaining
}

// remainingLoadLimit is the multiple of its fair load up to which a remaining server is
// preferred as the next owner: at first, only a few servers have the new version.
const remainingLoadLimit = 1.25

// nextOwner returns the least loaded server relative to capacity. Servers that remain are
// preferred while one of them is below its load limit.
func (m *Manager) nextOwner(now time.Duration, accepting, remaining []Server, loads map[discovery.ServerID]float64) Server {
	if len(remaining) > 0 {
		best := leastLoaded(remaining, loads)
		// Keys without requests also count: all keys of the service together add a load of 1.
		fair := m.fairLoad(now, accepting) + 1/totalCapacity(accepting)
		if loads[best.ID] < remainingLoadLimit*fair*best.Capacity {
			return best
		}
	}
	return leastLoaded(accepting, loads)
}

func totalCapacity(servers []Server) float64 {
	sum := 0.0
	for _, server := range servers {
		sum += server.Capacity
	}
	return sum
}
