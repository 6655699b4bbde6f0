package shards

import "time"

// restore gives vacant ranges back to the owners that the map names while the store cannot be
// written. No other owner could be committed, and without one their keys are not served.
//
// The fence of the new grant is above that of the release, and a successor's fences are above
// those of all earlier managers, so the successor need not know of it: to the successor, the
// owner that the map names may hold the range until this manager is over.
func (m *Manager) restore(now time.Duration, commands *Commands) {
	for _, s := range m.shards {
		owner := m.servers[s.mapped]
		if s.phase != vacant || !owner.Accepting || !m.surelyMapped(s) {
			continue
		}
		s.Owner = owner.ID
		s.Address = owner.Address
		s.Fence = m.nextFence()
		s.target = ""
		s.phase = owned
		s.renewAt = now
		s.heldUntil = now
		m.uncommitted = true
		commands.Restored = append(commands.Restored, s.Range)
	}
}

// surelyMapped reports whether the store names the last known owner of a range, whether or
// not the commit in flight is done.
func (m *Manager) surelyMapped(s *shard) bool {
	return s.mapped != "" && (!m.commitInFlight || s.writing == s.mapped)
}
