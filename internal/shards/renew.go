package shards

import "time"

const (
	// renewIntervalPerRange is the renewal interval per range of the service. It limits one
	// node to 2,500 renewals per second unless the maximum interval is reached.
	renewIntervalPerRange = 400 * time.Microsecond
	// maxRenewFraction is the fraction of the lease after which it is renewed at the latest,
	// which leaves time for one unanswered renewal and another attempt.
	maxRenewFraction = 0.44
)

// renewInterval returns the interval between two renewals of a grant.
func (m *Manager) renewInterval() time.Duration {
	longest := time.Duration(maxRenewFraction * float64(m.options.Lease))
	return max(m.options.RenewInterval, min(longest, renewIntervalPerRange*time.Duration(len(m.shards))))
}

// renew grants owned ranges whose renewal is due. Ranges that are being released are not
// renewed.
func (m *Manager) renew(now time.Duration, commands *Commands) {
	interval := m.renewInterval()
	if m.fencing != nil {
		m.renewPreviousGrants(now, interval, commands)
		return
	}
	suspended := m.suspendedServers(now)
	for _, s := range m.shards {
		if s.Late && now > max(s.delayedGrantUntil, s.leaseUntil-m.maxLease()) {
			s.Late = false
		}
		if s.phase != owned || s.grantsInFlight > 0 || now < s.renewAt {
			continue
		}
		if suspended[s.Owner] {
			continue
		}
		s.grantsInFlight++
		s.renewAt = now + interval
		granted := s.Range
		granted.Fence = s.currentFence()
		commands.Grants = append(commands.Grants, Grant{Range: granted, Lease: m.options.Lease, EndsWait: s.Inherited || s.Late})
	}
}
