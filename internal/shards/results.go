package shards

import (
	"sort"
	"time"
)

// GrantDone processes the result of a grant.
func (m *Manager) GrantDone(now time.Duration, result GrantResult) {
	m.recordReach(now, result.Grant.Owner, result.Outcome)
	for _, s := range m.shardsWithin(result.Grant.First, result.Grant.Last) {
		previous := result.Grant.Fence == s.previousFence && s.previousFence != 0
		if s.Owner != result.Grant.Owner || s.currentFence() != result.Grant.Fence && !previous {
			continue
		}
		if s.grantsInFlight > 0 {
			s.grantsInFlight--
		}
		if previous {
			m.handlePreviousGrant(now, s, result)
			continue
		}
		m.handleGrant(now, s, result)
	}
}

// grantRetryInterval is the interval after which a failed grant is sent again.
const grantRetryInterval = 150 * time.Millisecond

func (m *Manager) handleGrant(now time.Duration, s *shard, result GrantResult) {
	switch result.Outcome {
	case Accepted:
		m.recordAccepted(now, s, result.Grant.Fence)
		return
	case Unanswered, ConnectionLost:
		m.recordUnanswered(s, result)
		m.raiseGrantFence(s)
	case Superseded:
		// The server has seen the fence of a release that this manager did not complete, so the
		// range is released again. If the store is unavailable, the fence may be that of a
		// later manager that has taken the range, and nothing may be taken from its owner.
		if s.phase == owned && m.storeHealthy && !m.frozen {
			m.startRelease(s, now, s.Owner, Move{Reason: UnfinishedRelease})
		}
	case NotSent, Withheld, Misdirected:
	}
	if s.phase == owned {
		s.renewAt = now + grantRetryInterval
	}
}

// recordUnanswered records that the server may still execute an unanswered grant later.
func (m *Manager) recordUnanswered(s *shard, result GrantResult) {
	s.leaseUntil = max(s.leaseUntil, result.SentAt+m.options.MaxCommandDelay+m.maxLease())
	s.delayedGrantUntil = s.leaseUntil
	s.lateFence = max(s.lateFence, result.Grant.Fence)
	// The map that is written when the manager resigns records this. If it ends without resigning,
	// its successor expects unanswered grants of every range.
	s.Late = true
}

// raiseGrantFence makes the next grants of a range use a fence above that of an unanswered one, so
// that the owner rejects the latter once it has accepted one of them. A frozen manager renews its
// grants only under the fences that its successor continues with.
func (m *Manager) raiseGrantFence(s *shard) {
	if s.phase == owned && !m.frozen && m.fenceSequence < maxRaisedFences {
		s.grantFence = m.nextFence()
	}
}

// recordAccepted records that the owner has accepted a grant. From then on it rejects grants under
// lower fences, whether or not it has received them already.
func (m *Manager) recordAccepted(now time.Duration, s *shard, fence uint64) {
	m.markFenceAccepted(now, s)
	if fence > s.lateFence {
		s.leaseUntil, s.delayedGrantUntil, s.lateFence, s.Late = 0, 0, 0, false
	}
	s.acceptedAt = now
	s.leaseUntil = max(s.leaseUntil, now+m.maxLease())
}

// inheritedWriteDelay is how long the manager waits before it writes that a range is no longer
// inherited, so that one write covers several ranges: owners accept the first grants of a new
// manager one after the other. A successor that does not find this in the map only waits
// longer.
const inheritedWriteDelay = 400 * time.Millisecond

// markFenceAccepted records that the owner has accepted the fence of its range. From now on it
// rejects the commands of earlier managers.
func (m *Manager) markFenceAccepted(now time.Duration, s *shard) {
	if !s.Inherited {
		return
	}
	s.Inherited, s.anyEarlierGrant = false, false
	// Unanswered grants of earlier managers no longer count, but those of this manager do.
	s.leaseUntil = s.delayedGrantUntil
	s.Late = s.delayedGrantUntil > 0
	if m.inheritedWriteAt == 0 {
		m.inheritedWriteAt = now + inheritedWriteDelay
	}
}

// ReleaseDone processes the result of a release.
func (m *Manager) ReleaseDone(result ReleaseResult) {
	evidence := OwnerReleased
	switch result.Outcome {
	case Accepted:
	case Misdirected:
		evidence = OwnerEnded
	default:
		return
	}
	if m.fencing != nil && result.Release.Fence == m.fencing.fence {
		m.fencing.recordRelease(result.Release)
		return
	}
	for _, s := range m.shardsWithin(result.Release.First, result.Release.Last) {
		if s.phase != releasing || s.Owner != result.Release.Owner || s.releaseFence != result.Release.Fence {
			continue
		}
		// Who uses another address of the owner says nothing about the address of its grants.
		if result.Outcome == Misdirected && result.Release.Address != s.Address {
			continue
		}
		m.vacate(s, evidence, result.Handover)
	}
}

// shardsWithin returns the shards inside an interval of keys. It uses binary search because it
// is called for each result of a grant.
func (m *Manager) shardsWithin(first, last uint32) []*shard {
	from := sort.Search(len(m.shards), func(i int) bool { return m.shards[i].First >= first })
	to := sort.Search(len(m.shards), func(i int) bool { return m.shards[i].Last > last })
	return m.shards[from:max(from, to)]
}
