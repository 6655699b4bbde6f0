package shards

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// This file decides which servers may be given keys, from what they answer. A registration alone
// says nothing about whether the server at its address can be reached.

const (
	// unreachedTimeout is how long no command must have reached a server, and minUnsent how many
	// in a row, before the server counts as unreached.
	unreachedTimeout = 600 * time.Millisecond
	minUnsent        = 3
	// silenceTimeout is how long a server must have answered no command, and minSilent how many in a
	// row, before the server counts as silent.
	silenceTimeout = time.Second
	minSilent      = 3
	// minCheckInterval is the initial interval between two checks of a server. It grows with the
	// time for which the server has not been reached, divided by checkIntervalDivisor, up to
	// maxCheckInterval.
	minCheckInterval     = 150 * time.Millisecond
	maxCheckInterval     = 5 * time.Second
	checkIntervalDivisor = 20
	// maxChecksInFlight limits the checks at the same time.
	maxChecksInFlight = 64
	// minProbation is how long a server that lost its keys because it was unreached must be reached
	// again before it is given keys. It doubles with each further loss up to maxProbation, and is
	// back to minProbation when the server has kept its keys for probationMemory.
	minProbation    = time.Second
	maxProbation    = 64 * time.Second
	probationMemory = 5 * time.Minute
)

// reach is what is known of whether commands reach a server.
type reach struct {
	// confirmed is true once the server has answered, and until it counts as unreached.
	confirmed bool
	// unsent counts the commands in a row that did not reach the server, the first of them at
	// unsentSince.
	unsent      int
	unsentSince time.Duration
	// silent counts the commands in a row that were not answered, whether they were sent or not, the
	// result of the first at silentSince.
	silent      int
	silentSince time.Duration
	// refused is true if commands did not reach the server and it has not answered since.
	refused bool
	// lastAnswerAt is when the server last answered a command, and servedAt when nodes last got
	// responses to requests from it; 0 if not within this term.
	lastAnswerAt, servedAt time.Duration
	// firstOwner is true if the server was known before any keys were assigned.
	firstOwner bool
	// checkAt is when the next check is due, and checking is true while one is in flight.
	checkAt  time.Duration
	checking bool
	// waitingSince is when the server was first checked since it was last confirmed.
	waitingSince time.Duration
	// losses counts how often the server lost keys because it was unreached, the last time at lostAt.
	losses int
	lostAt time.Duration
	// answeredSince is when the checks of an unreached server began to succeed; 0 if the last one
	// failed.
	answeredSince time.Duration
}

// probation returns how long the server must be reached before it is given keys.
func (r *reach) probation() time.Duration {
	if r.losses == 0 {
		return 0
	}
	return min(maxProbation, minProbation<<min(r.losses-1, 16))
}

// unreached reports whether the last commands did not reach the server.
func (r *reach) unreached(now time.Duration) bool {
	return r.unsent >= minUnsent && now-r.unsentSince >= unreachedTimeout
}

// ReachChange is a change of whether a server may be given keys.
type ReachChange struct {
	Server discovery.ServerID
	// Confirmed is true if the server has answered and may be given keys from now on.
	Confirmed bool
	// Since is how long the server had not been reached.
	Since time.Duration
	// Outcome is that of the last command.
	Outcome Outcome
}

// owners returns the servers that own a range or are its planned next owner.
func (m *Manager) owners() map[discovery.ServerID]bool {
	owners := make(map[discovery.ServerID]bool, len(m.shards))
	for _, s := range m.shards {
		owners[s.Owner], owners[s.target] = true, true
	}
	return owners
}

// updateReach adds records of new servers and drops those of servers that are no longer known.
// Servers that are known before any keys are assigned, and owners of keys, are assumed to be reached
// until commands to them fail.
func (m *Manager) updateReach() {
	for id := range m.reaches {
		if _, known := m.servers[id]; !known {
			delete(m.reaches, id)
			delete(m.unconfirmed, id)
		}
	}
	if len(m.reaches) == len(m.servers) {
		return
	}
	owners := m.owners()
	for id := range m.servers {
		if m.reaches[id] != nil {
			continue
		}
		added := &reach{firstOwner: !m.Started(), confirmed: !m.Started() || owners[id]}
		m.reaches[id] = added
		if !added.confirmed {
			m.unconfirmed[id] = added
		}
	}
}

// recordReach records the outcome of a command to a server.
func (m *Manager) recordReach(now time.Duration, id discovery.ServerID, outcome Outcome) {
	known := m.reaches[id]
	if known == nil {
		return
	}
	switch outcome {
	case Accepted, Superseded:
		m.recordAnswer(now, id, known, outcome)
	case NotSent, Misdirected:
		m.recordUnsent(now, id, known, outcome)
	case Unanswered, ConnectionLost:
		// A connection was open, so the path to the address works.
		known.unsent = 0
		m.recordSilence(now, id, known, outcome)
	case Withheld:
	}
}

// recordSilence records that a server has not answered a command. One that answers none is given no
// keys: it gets few requests, so that it seems to have room.
func (m *Manager) recordSilence(now time.Duration, id discovery.ServerID, known *reach, outcome Outcome) {
	if known.silent == 0 {
		known.silentSince = now
		m.acceptingServers = nil
	}
	known.silent++
	known.answeredSince = 0
	if known.confirmed && known.silent >= minSilent && now-known.silentSince >= silenceTimeout {
		m.suspect(now, id, known, now-known.silentSince, outcome)
	}
}

// suspect records that a server is given no keys until it answers.
func (m *Manager) suspect(now time.Duration, id discovery.ServerID, known *reach, since time.Duration, outcome Outcome) {
	known.confirmed, known.waitingSince, known.checkAt = false, now, now
	m.unconfirmed[id] = known
	m.acceptingServers = nil
	m.reachChanges = append(m.reachChanges, ReachChange{Server: id, Since: since, Outcome: outcome})
}

// recordUnsent records that a command did not reach a server.
func (m *Manager) recordUnsent(now time.Duration, id discovery.ServerID, known *reach, outcome Outcome) {
	if known.unsent == 0 {
		known.unsentSince = now
	}
	known.unsent++
	if known.unreached(now) {
		known.refused = true
		if known.confirmed {
			m.suspect(now, id, known, now-known.unsentSince, outcome)
		}
	}
	m.recordSilence(now, id, known, outcome)
}

// recordAnswer records that a server has answered. It is confirmed once its probation is over.
func (m *Manager) recordAnswer(now time.Duration, id discovery.ServerID, known *reach, outcome Outcome) {
	known.unsent, known.silent, known.refused, known.lastAnswerAt = 0, 0, false, now
	if known.confirmed {
		if known.losses > 0 && now-known.lostAt > probationMemory {
			known.losses = 0
		}
		return
	}
	if known.answeredSince == 0 {
		known.answeredSince = now
	}
	if now-known.answeredSince < known.probation() {
		return
	}
	known.confirmed, known.answeredSince = true, 0
	delete(m.unconfirmed, id)
	m.acceptingServers = nil
	m.reachChanges = append(m.reachChanges, ReachChange{Server: id, Confirmed: true, Since: now - known.waitingSince, Outcome: outcome})
}

// checkServers sends checks to the servers that may be given keys once they answer.
func (m *Manager) checkServers(now time.Duration, commands *Commands) {
	due := m.dueChecks(now)
	if len(due) == 0 {
		return
	}
	owners, suspended := m.owners(), m.suspendedServers(now)
	for _, id := range due {
		known := m.unconfirmed[id]
		key, found := m.checkedKey(id)
		if !found || owners[id] && !suspended[id] {
			// The outcomes of its grants show whether it is reached.
			known.checkAt = now + minCheckInterval
			continue
		}
		if known.waitingSince == 0 {
			known.waitingSince = now
		}
		known.checking = true
		known.checkAt = now + min(maxCheckInterval, max(minCheckInterval, (now-known.waitingSince)/checkIntervalDivisor))
		commands.Checks = append(commands.Checks, Release{
			First: key, Last: key, Owner: id, Address: m.servers[id].Address, Fence: m.lastFence(), Move: Move{Reason: ReachCheck},
		})
	}
}

// dueChecks returns the servers to check now, those that have waited longest first.
func (m *Manager) dueChecks(now time.Duration) []discovery.ServerID {
	room := maxChecksInFlight
	var due []discovery.ServerID
	for id, known := range m.unconfirmed {
		switch {
		case known.checking:
			room--
		case now >= known.checkAt && m.servers[id].Accepting:
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b discovery.ServerID) int {
		return cmp.Or(cmp.Compare(m.unconfirmed[a].checkAt, m.unconfirmed[b].checkAt), cmp.Compare(a, b))
	})
	return due[:max(0, min(room, len(due)))]
}

// CheckDone processes the result of a check.
func (m *Manager) CheckDone(now time.Duration, result ReleaseResult) {
	if known := m.reaches[result.Release.Owner]; known != nil {
		known.checking = false
	}
	m.recordReach(now, result.Release.Owner, result.Outcome)
}

// mostReached reports whether at least half of the servers that may own keys are reached. Otherwise the
// fault is likely to be on this node's side. First owners that never answered say nothing about it.
func (m *Manager) mostReached(now time.Duration) bool {
	total, failing := 0, 0
	owners := m.owners()
	for id, server := range m.servers {
		known := m.reaches[id]
		candidate := owners[id] || known.confirmed || known.answeredSince > 0
		if !server.Accepting || !candidate || known.firstOwner && known.lastAnswerAt == 0 {
			continue
		}
		total++
		if known.suspended(now, m.options.Lease) {
			failing++
		}
	}
	return 2*failing <= total
}

// vacateUnreached takes ranges from owners whose grants are suspended, once every lease that they may
// have has ended.
func (m *Manager) vacateUnreached(now time.Duration) {
	if !m.storeHealthy {
		return
	}
	lost := make(map[discovery.ServerID]bool)
	for _, s := range m.shards {
		known := m.reaches[s.Owner]
		if s.phase != owned || known == nil || !known.suspended(now, m.options.Lease) || !m.leaseEnded(s, now) {
			continue
		}
		if len(lost) == 0 && (!m.mostReached(now) || !m.othersAccept(s.Owner)) {
			return
		}
		if !lost[s.Owner] {
			lost[s.Owner] = true
			known.losses++
			known.lostAt = now
		}
		m.vacate(s, LeaseExpired, "")
	}
}

// othersAccept reports whether another server may be given keys.
func (m *Manager) othersAccept(owner discovery.ServerID) bool {
	return slices.ContainsFunc(m.accepting(), func(server Server) bool { return server.ID != owner })
}
