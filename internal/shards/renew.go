package shards

import "time"

const (
	// renewCost is the pause between renewals for each range, so that one node sends 2,500 a
	// second at most as long as the longest pause allows.
	renewCost = 400 * time.Microsecond
	// renewPart is the part of a hold after which it is renewed at the latest, which leaves
	// the time for one renewal without an answer and another one.
	renewPart = 0.44
)

// renewPause is the pause between two renewals of a grant.
func (m *Manager) renewPause() time.Duration {
	longest := time.Duration(renewPart * float64(m.options.Hold))
	return max(m.options.Renew, min(longest, renewCost*time.Duration(len(m.shards))))
}

// renew grants owned ranges. A range that is releasing is renewed no more.
func (m *Manager) renew(now time.Duration, commands *Commands) {
	pause := m.renewPause()
	if m.fencing != nil {
		m.renewPrevious(now, pause, commands)
		return
	}
	for _, s := range m.shards {
		if s.Late && now > max(s.lateUntil, s.heldUntil-m.holdBound()) {
			s.Late = false
		}
		if s.phase != owned || s.inFlight > 0 || now < s.renewAt {
			continue
		}
		s.inFlight++
		s.renewAt = now + pause
		commands.Grants = append(commands.Grants, Grant{Range: s.Range, Hold: m.options.Hold})
	}
}
