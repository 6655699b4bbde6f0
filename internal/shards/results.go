package shards

import "time"

// GrantDone takes in how a grant ended.
func (m *Manager) GrantDone(now time.Duration, result GrantResult) {
	for _, s := range m.shards {
		if s.Fence != result.Grant.Fence || s.Owner != result.Grant.Owner {
			continue
		}
		if s.First < result.Grant.First || s.Last > result.Grant.Last {
			continue
		}
		if s.inFlight > 0 {
			s.inFlight--
		}
		m.settleGrant(now, s, result)
	}
}

// grantRetry is the pause before a grant that failed is sent again.
const grantRetry = 150 * time.Millisecond

func (m *Manager) settleGrant(now time.Duration, s *shard, result GrantResult) {
	switch result.Outcome {
	case Accepted:
		s.heldUntil = max(s.heldUntil, now+m.holdBound())
		return
	case Unanswered:
		s.heldUntil = max(s.heldUntil, result.SentAt+m.options.LateOrder+m.holdBound())
		s.lateUntil = s.heldUntil
		if !s.Late {
			// The next manager has to know.
			s.Late = true
			m.uncommitted = true
		}
	case Superseded:
		// An earlier manager began to release the range and did not finish.
		if s.phase == owned {
			m.startRelease(s, now, s.Owner)
		}
	case Broken:
		s.heldUntil = max(s.heldUntil, now+m.holdBound())
	case NotSent:
	}
	if s.phase == owned {
		s.renewAt = now + grantRetry
	}
}

// ReleaseDone takes in how a release ended.
func (m *Manager) ReleaseDone(result ReleaseResult) {
	if result.Outcome != Accepted {
		return
	}
	for _, s := range m.shards {
		same := s.phase == releasing && s.Owner == result.Release.Owner && s.releaseFence == result.Release.Fence
		if same && s.First >= result.Release.First && s.Last <= result.Release.Last {
			m.vacate(s, result.Handover)
		}
	}
}
