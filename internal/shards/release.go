package shards

import (
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// This file takes ranges from their owners. docs/design/changing-owners.md lists what is evidence
// that no server holds a range any longer.

// evacuate starts to release ranges whose owners are draining or gone.
func (m *Manager) evacuate(now time.Duration) {
	if !m.storeHealthy || len(m.accepting()) == 0 {
		return
	}
	for _, s := range m.shards {
		if s.phase == owned && !m.servers[s.Owner].Accepting {
			m.startRelease(s, now, "", Move{Reason: OwnerLeaves})
		}
	}
}

func (m *Manager) startRelease(s *shard, now time.Duration, target discovery.ServerID, move Move) {
	s.move = move
	s.phase = releasing
	s.target = target
	s.releaseFence = m.nextFence()
	s.releaseAt = now
}

// release sends the releases that are due, and vacates ranges whose owners can no longer hold them.
func (m *Manager) release(now time.Duration, commands *Commands) {
	for _, s := range m.shards {
		if s.phase != releasing {
			continue
		}
		if m.leaseEnded(s, now) {
			m.vacate(s, LeaseExpired, "")
			continue
		}
		if now < s.releaseAt || s.grantsInFlight > 0 {
			continue
		}
		s.releaseAt = now + m.options.ReleaseRetryInterval
		commands.Moving = append(commands.Moving, s.Range)
		for _, address := range m.releaseAddresses(s) {
			commands.Releases = append(commands.Releases, Release{
				First: s.First, Last: s.Last, Owner: s.Owner, Address: address, Fence: s.releaseFence, Move: s.move,
			})
		}
	}
}

// releaseAddresses returns the addresses at which a release of a range is evidence that no server
// holds it: the address that its grants were sent to, and those at which other incarnations of its
// owner have registered. An instance id names one process at a time, so if it answers at another
// address, the process that the grants were sent to has ended.
func (m *Manager) releaseAddresses(s *shard) []string {
	if m.addresses == nil {
		m.addresses = make(map[string][]string, len(m.servers))
		for id, server := range m.servers {
			m.addresses[id.Instance()] = append(m.addresses[id.Instance()], server.Address)
		}
	}
	addresses := []string{s.Address}
	for _, address := range m.addresses[s.Owner.Instance()] {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// leaseEnded reports whether the owner can no longer hold the range by any grant.
func (m *Manager) leaseEnded(s *shard, now time.Duration) bool {
	if s.Inherited && now <= m.inheritedLeaseEnd(s) {
		return false
	}
	return s.grantsInFlight == 0 && now > s.leaseUntil
}

// inheritedLeaseEnd returns when the last lease granted by earlier managers for an inherited
// range can end.
func (m *Manager) inheritedLeaseEnd(s *shard) time.Duration {
	if s.anyEarlierGrant {
		return m.inheritedUntil
	}
	return m.lastAuthorUntil
}

// vacate records that no server can hold the range. handover is the value that its owner
// returned on release, if any.
func (m *Manager) vacate(s *shard, evidence Evidence, handover string) {
	m.vacated = append(m.vacated, Vacancy{Range: s.Range, Evidence: evidence, LastAccepted: s.acceptedAt})
	s.phase = vacant
	s.Owner = ""
	s.Address = ""
	s.Handover = handover
	s.leaseUntil = 0
	s.acceptedAt = 0
	s.grantsInFlight = 0
	s.previousFence, s.grantFence, s.lateFence, s.delayedGrantUntil = 0, 0, 0, 0
	s.Inherited = false
	s.anyEarlierGrant = false
	s.Late = false
}
