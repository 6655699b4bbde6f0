package shards

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// Servers come and go: those that joined get keys although no other server is above its
// fair load, and keys of servers that leave go to servers that stay.

// supplyIdle moves keys to servers that get few requests for want of keys, each from the server
// with the most load for its capacity. The balance would give them some only once another
// server is far above its fair load.
func (m *Manager) supplyIdle(now time.Duration, accepting []Server, loads map[discovery.ServerID]float64, fair float64) {
	l := look{accepting: accepting, loads: loads, fair: fair, window: m.load, scale: 1, least: minPiece}
	most := max(m.options.MaxMoves, len(accepting)/serversPerMove) - m.moving()
	stuck := make(map[discovery.ServerID]bool)
	for _, idle := range m.idleServers(accepting, loads, fair) {
		for most > 0 {
			source, found := fullest(accepting, loads, stuck)
			if !found {
				return
			}
			// Half of what the source has leaves both with the same.
			half := loads[source.ID] / 2
			// The smallest piece that can be moved may exceed what is fair for a reduced server.
			room := max(minPiece, min(half, fair*idle.Capacity-loads[idle.ID]))
			index, moved := m.choosePiece(now, l, gap{source: source.ID, target: idle.ID, excess: half, room: room})
			if index < 0 {
				stuck[source.ID] = true
				continue
			}
			m.startRelease(m.shards[index], now, idle.ID, Move{IdleServer, moved})
			loads[source.ID] -= moved
			loads[idle.ID] += moved
			most--
			break
		}
	}
}

const (
	// idlePart is the part of its fair load below which a server is idle.
	idlePart = 0.25
	// leastIdleGoal is the least fair load, in requests of the long window, of which chance
	// leaves less than idlePart too seldom to matter.
	leastIdleGoal = 20
)

// idleServers returns the servers that own no range and to which none is on its way, and
// those whose ranges are requested too little.
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

// isIdle reports whether a server with some load should be given more keys although no other
// server has to be relieved.
func isIdle(server Server, load, fair float64) bool {
	if server.Reduced {
		// One request counts 1; ranges without requests count less.
		return load < 1
	}
	goal := fair * server.Capacity
	return goal >= leastIdleGoal && load < idlePart*goal
}

// fullest returns the server with the most load for its capacity that is not stuck.
func fullest(accepting []Server, loads map[discovery.ServerID]float64, stuck map[discovery.ServerID]bool) (Server, bool) {
	var most Server
	found := false
	for _, server := range accepting {
		if stuck[server.ID] {
			continue
		}
		if !found || loads[server.ID]/server.Capacity > loads[most.ID]/most.Capacity {
			most, found = server, true
		}
	}
	return most, found
}

// lasting returns those of some servers that a release in progress does not replace next:
// while servers of a version leave and others of another version are there, the ones of
// that version are expected to follow. It returns none where that says nothing.
func (m *Manager) lasting(accepting []Server) []Server {
	leaving := make(map[string]bool)
	for _, server := range m.servers {
		if !server.Accepting {
			leaving[server.Version] = true
		}
	}
	var lasting []Server
	for _, server := range accepting {
		if !leaving[server.Version] {
			lasting = append(lasting, server)
		}
	}
	return lasting
}

// lastingRoom is up to which part of its fair load above that a server that stays is
// preferred as the next owner: the first servers of a new version are few.
const lastingRoom = 1.25

// nextOwner returns the server with the least load for its capacity, of those that stay as
// long as one of them has room.
func (m *Manager) nextOwner(now time.Duration, accepting, lasting []Server, loads map[discovery.ServerID]float64) Server {
	if len(lasting) > 0 {
		best := leastLoaded(lasting, loads)
		// Keys that nobody asks for count as well, as one request for all of them.
		fair := m.fairLoad(now, accepting) + 1/totalCapacity(accepting)
		if loads[best.ID] < lastingRoom*fair*best.Capacity {
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
