package shards

import "time"

// restore grants vacant ranges again to the owners in the committed map while the store cannot
// be written. No other owner could be committed, and without an owner the keys are not served.
//
// The fence of the new grant is above that of the release, and a successor's fences are above
// those of all earlier managers. A successor therefore needs no record of the restored grant: it
// assumes that the owner in the map may hold the range until this manager has stopped.
func (m *Manager) restore(now time.Duration, commands *Commands) {
	for _, s := range m.shards {
		owner := m.servers[s.committedOwner]
		if s.phase != vacant || !owner.Accepting || !m.isOwnerCommitted(s) {
			continue
		}
		s.Owner = owner.ID
		s.Address = owner.Address
		s.Fence = m.nextFence()
		s.target = ""
		s.phase = owned
		s.renewAt = now
		s.leaseUntil = now
		m.uncommitted = true
		commands.Restored = append(commands.Restored, s.Range)
	}
}

// isOwnerCommitted reports whether the store names the last known owner of the range, whether
// or not a commit in flight succeeds.
func (m *Manager) isOwnerCommitted(s *shard) bool {
	return s.committedOwner != "" && (!m.commitInFlight || s.inFlightOwner == s.committedOwner)
}
