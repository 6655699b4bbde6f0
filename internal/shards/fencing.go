package shards

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// registerGrace is within which time after a restore of the store live servers have
	// registered again.
	registerGrace = 2 * time.Second
	// maxFencingReleases bounds the releases of one tick, as those of thousands of servers
	// would be sent at the same moment.
	maxFencingReleases = 100
)

// fencing makes an unverified map the truth: each server releases all keys that the map does
// not give to it, under a fence above those of all earlier managers. Once all servers have
// acknowledged that, nobody holds a key but the owner that the map names.
type fencing struct {
	fence uint64
	// completeAt is when all live servers are known.
	completeAt time.Duration
	servers    map[discovery.ServerID]*fencedServer
}

// fencedServer is a server and the runs of keys whose release it has not acknowledged.
type fencedServer struct {
	address   string
	runs      []keyRun
	releaseAt time.Duration
}

// keyRun is a run of keys, both ends inside.
type keyRun struct{ first, last uint32 }

func newFencing(fence uint64, now time.Duration) *fencing {
	return &fencing{fence: fence, completeAt: now + registerGrace, servers: make(map[discovery.ServerID]*fencedServer)}
}

// acknowledged records that a server has released a run of keys.
func (f *fencing) acknowledged(release Release) {
	server := f.servers[release.Owner]
	if server == nil {
		return
	}
	for index, run := range server.runs {
		if run.first == release.First && run.last == release.Last {
			server.runs = append(server.runs[:index], server.runs[index+1:]...)
			return
		}
	}
}

// Verified reports whether the map surely names the only possible owners.
func (m *Manager) Verified() bool { return m.fencing == nil }

// fenceOff sends the releases that are due, and ends the fencing once it is complete.
func (m *Manager) fenceOff(now time.Duration, commands *Commands) {
	m.findFenced()
	left := 0
	for id, server := range m.fencing.servers {
		if m.dead[id] {
			continue
		}
		left += len(server.runs)
		if now < server.releaseAt || len(commands.Releases) >= maxFencingReleases {
			continue
		}
		server.releaseAt = now + m.options.ReleaseRetry
		for _, run := range server.runs {
			commands.Releases = append(commands.Releases, Release{
				First: run.first, Last: run.last, Owner: id, Address: server.address, Fence: m.fencing.fence, Move: Move{Reason: Fencing},
			})
		}
	}
	if left == 0 && now >= m.fencing.completeAt || now > m.inheritedUntil {
		m.verify(now)
	}
}

// findFenced adds the servers that are not fenced off yet: those that are known, and owners.
func (m *Manager) findFenced() {
	added := make(map[discovery.ServerID]string)
	for id, server := range m.servers {
		if m.fencing.servers[id] == nil {
			added[id] = server.Address
		}
	}
	for _, s := range m.shards {
		if s.Owner != "" && m.fencing.servers[s.Owner] == nil {
			added[s.Owner] = s.Address
		}
	}
	if len(added) == 0 {
		return
	}
	owned := make(map[discovery.ServerID][]*shard, len(added))
	for _, s := range m.shards {
		owned[s.Owner] = append(owned[s.Owner], s)
	}
	for id, address := range added {
		m.fencing.servers[id] = &fencedServer{address: address, runs: keysBeside(owned[id])}
	}
}

// keysBeside returns the runs of keys that are in none of some shards, which are sorted.
func keysBeside(owned []*shard) []keyRun {
	var runs []keyRun
	next := uint32(0)
	for _, s := range owned {
		if s.First > next {
			runs = append(runs, keyRun{next, s.First - 1})
		}
		next = s.Last + 1
	}
	if next <= LastKey {
		runs = append(runs, keyRun{next, LastKey})
	}
	return runs
}

// verify ends the fencing: owners get their keys under fences of this manager.
func (m *Manager) verify(now time.Duration) {
	m.fencing, m.continued = nil, false
	m.uncommitted = m.Started()
	for _, s := range m.shards {
		s.renewAt = now
	}
}

// Freeze makes the manager renew what it has granted and do nothing else from now on. It
// returns the map from which another manager of the same process may continue. Ranges whose next
// owner was being written have none: nobody holds them.
func (m *Manager) Freeze(now time.Duration) *Map {
	m.frozen = true
	current := m.Map(now)
	current.Unverified, current.Continued = true, m.fencing == nil || m.continued
	for index, s := range m.shards {
		if r := &current.Ranges[index]; s.phase == committing {
			r.Owner, r.Address, r.Handover = "", "", ""
		}
	}
	return current
}

// resume lets the manager renew what was granted before the restore.
func (m *Manager) resume(previous *Map) {
	m.continued = true
	for index, s := range m.shards {
		if s.phase == owned {
			s.previousFence = previous.Ranges[index].Fence
		}
	}
}

// written returns a range as the map names it.
func (m *Manager) written(s *shard) Range {
	r := s.Range
	if m.continued && s.previousFence != 0 {
		r.Fence = s.previousFence
	}
	return r
}

// renewPrevious renews what was granted before the restore. Servers that leave or are gone get no
// requests, and their keys can be taken the sooner.
func (m *Manager) renewPrevious(now, pause time.Duration, commands *Commands) {
	for _, s := range m.shards {
		isDue := m.continued && s.previousFence != 0 && s.inFlight == 0 && now >= s.renewAt
		if !isDue || !m.servers[s.Owner].Accepting {
			continue
		}
		s.inFlight++
		s.renewAt = now + pause
		commands.Grants = append(commands.Grants, Grant{Range: m.written(s), Hold: m.options.Hold})
	}
}

// settlePrevious records until when the owner may hold a range by a renewal of the grant before
// the restore.
func (m *Manager) settlePrevious(now time.Duration, s *shard, result GrantResult) {
	switch result.Outcome {
	case Accepted, Broken:
		s.heldUntil = max(s.heldUntil, now+m.holdBound())
	case Unanswered:
		m.recordLate(s, result.SentAt)
	case Superseded, NotSent:
	}
}
