package shards

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// registrationGrace is the time after a restore of the store within which all live servers
	// have registered again.
	registrationGrace = 2 * time.Second
	// maxFencingReleases limits the releases sent in one tick, so that those for thousands of
	// servers are not all sent at once.
	maxFencingReleases = 100
)

// fencing makes an unverified map authoritative: each server releases all keys that the map
// does not assign to it, under a fence above those of all earlier managers. Once all servers
// have acknowledged their releases, only the owner that the map names can hold a key. Servers that
// nobody knows acknowledge nothing, so an incomplete map also waits until their leases have ended.
type fencing struct {
	fence uint64
	// completeAt is when all live servers are known, and the leases of those that are not have ended.
	completeAt time.Duration
	servers    map[endpoint]*fencedServer
}

// endpoint is what a command addresses: the incarnations of a server that restarts at its address
// share one.
type endpoint struct{ instance, address string }

func endpointOf(id discovery.ServerID, address string) endpoint {
	return endpoint{instance: id.Instance(), address: address}
}

// fencedServer is a server with the key intervals whose release it has not acknowledged yet.
type fencedServer struct {
	id         discovery.ServerID
	unreleased []keyInterval
	releaseAt  time.Duration
}

// keyInterval is an interval of keys; both bounds are inclusive.
type keyInterval struct{ first, last uint32 }

func newFencing(fence uint64, completeAt time.Duration) *fencing {
	return &fencing{fence: fence, completeAt: completeAt, servers: make(map[endpoint]*fencedServer)}
}

// recordRelease records that a server has released an interval of keys.
func (f *fencing) recordRelease(release Release) {
	server := f.servers[endpointOf(release.Owner, release.Address)]
	if server == nil {
		return
	}
	for index, interval := range server.unreleased {
		if interval.first == release.First && interval.last == release.Last {
			server.unreleased = append(server.unreleased[:index], server.unreleased[index+1:]...)
			return
		}
	}
}

// Verified reports whether the map is known to name the only possible owners.
func (m *Manager) Verified() bool { return m.fencing == nil }

// advanceFencing sends the releases that are due, and ends the fencing once it is complete.
func (m *Manager) advanceFencing(now time.Duration, commands *Commands) {
	m.addServersToFence()
	left := 0
	for at, server := range m.fencing.servers {
		left += len(server.unreleased)
		if now < server.releaseAt || len(commands.Releases) >= maxFencingReleases {
			continue
		}
		server.releaseAt = now + m.options.ReleaseRetryInterval
		for _, interval := range server.unreleased {
			commands.Releases = append(commands.Releases, Release{
				First: interval.first, Last: interval.last, Owner: server.id, Address: at.address, Fence: m.fencing.fence, Move: Move{Reason: Fencing},
			})
		}
	}
	switch {
	case left == 0 && now >= m.fencing.completeAt:
		m.completeFencing(now, OwnerReleased, commands)
	case now > m.inheritedUntil:
		m.completeFencing(now, LeaseExpired, commands)
	}
}

// addServersToFence adds the registered servers and the owners of ranges that are not part of
// the fencing yet.
func (m *Manager) addServersToFence() {
	added := make(map[endpoint]discovery.ServerID)
	add := func(id discovery.ServerID, address string) {
		if at := endpointOf(id, address); m.fencing.servers[at] == nil {
			added[at] = id
		}
	}
	for id, server := range m.servers {
		add(id, server.Address)
	}
	for _, s := range m.shards {
		if s.Owner != "" {
			add(s.Owner, s.Address)
		}
	}
	if len(added) == 0 {
		return
	}
	owned := make(map[endpoint][]*shard, len(added))
	for _, s := range m.shards {
		at := endpointOf(s.Owner, s.Address)
		owned[at] = append(owned[at], s)
	}
	for at, id := range added {
		m.fencing.servers[at] = &fencedServer{id: id, unreleased: keysOutside(owned[at])}
	}
}

// keysOutside returns the intervals of keys that belong to none of the given shards, which must
// be sorted.
func keysOutside(owned []*shard) []keyInterval {
	var intervals []keyInterval
	next := uint32(0)
	for _, s := range owned {
		if s.First > next {
			intervals = append(intervals, keyInterval{next, s.First - 1})
		}
		next = s.Last + 1
	}
	if next <= LastKey {
		intervals = append(intervals, keyInterval{next, LastKey})
	}
	return intervals
}

// completeFencing ends the fencing: from now on ranges are granted under fences of this
// manager.
func (m *Manager) completeFencing(now time.Duration, evidence Evidence, commands *Commands) {
	commands.Verified = &Verification{Servers: len(m.fencing.servers), Evidence: evidence}
	m.fencing, m.continued, m.incomplete = nil, false, false
	m.uncommitted = m.Started()
	for _, s := range m.shards {
		s.renewAt = now
	}
}

// Freeze restricts the manager to renewing the grants it has made. It returns the map from
// which another manager of the same process may continue. Ranges whose new owner was being
// committed have no owner in it, because no server holds them.
func (m *Manager) Freeze(now time.Duration) *Map {
	m.frozen = true
	current := m.Map(now)
	current.Unverified, current.Continued = true, m.fencing == nil || m.continued
	for index, s := range m.shards {
		r := &current.Ranges[index]
		if s.phase == committing {
			r.Owner, r.Address, r.Handover = "", "", ""
		}
		if !m.continued || s.previousFence == 0 {
			r.Fence = s.currentFence()
		}
	}
	return current
}

// resumeRenewals makes the manager renew grants made before the store was restored.
func (m *Manager) resumeRenewals(previous *Map) {
	m.continued = true
	for index, s := range m.shards {
		if s.phase == owned {
			s.previousFence = previous.Ranges[index].Fence
		}
	}
}

// rangeInMap returns a range as it is written to the map.
func (m *Manager) rangeInMap(s *shard) Range {
	r := s.Range
	if m.continued && s.previousFence != 0 {
		r.Fence = s.previousFence
	}
	return r
}

// renewPreviousGrants renews grants made before the store was restored. Grants of servers that
// are draining or gone are not renewed: these servers get no requests, and their keys become
// available sooner.
func (m *Manager) renewPreviousGrants(now, interval time.Duration, commands *Commands) {
	for _, s := range m.shards {
		isDue := m.continued && s.previousFence != 0 && s.grantsInFlight == 0 && now >= s.renewAt
		if !isDue || !m.servers[s.Owner].Accepting {
			continue
		}
		s.grantsInFlight++
		s.renewAt = now + interval
		commands.Grants = append(commands.Grants, Grant{Range: m.rangeInMap(s), Lease: m.options.Lease})
	}
}

// handlePreviousGrant updates how long the owner may hold a range after the renewal of a grant
// made before the store was restored.
func (m *Manager) handlePreviousGrant(now time.Duration, s *shard, result GrantResult) {
	switch result.Outcome {
	case Accepted:
		s.leaseUntil = max(s.leaseUntil, now+m.maxLease())
	case Unanswered, ConnectionLost:
		m.recordUnanswered(s, result)
	case Superseded, NotSent, Withheld, Misdirected:
	}
}
