package shards

import (
	"sort"
	"time"
)

// GrantDone takes in how a grant ended.
func (m *Manager) GrantDone(now time.Duration, result GrantResult) {
	for _, s := range m.within(result.Grant.First, result.Grant.Last) {
		previous := result.Grant.Fence == s.previousFence && s.previousFence != 0
		if s.Owner != result.Grant.Owner || s.Fence != result.Grant.Fence && !previous {
			continue
		}
		if s.inFlight > 0 {
			s.inFlight--
		}
		if previous {
			m.settlePrevious(now, s, result)
			continue
		}
		m.settleGrant(now, s, result)
	}
}

// grantRetry is the pause before a grant that failed is sent again.
const grantRetry = 150 * time.Millisecond

func (m *Manager) settleGrant(now time.Duration, s *shard, result GrantResult) {
	switch result.Outcome {
	case Accepted:
		m.ownedUnderFence(now, s)
		s.heldUntil = max(s.heldUntil, now+m.holdBound())
		return
	case Unanswered:
		m.recordLate(s, result.SentAt)
	case Superseded:
		// A release of this manager was not finished. Without the store a later manager
		// has taken the range, and nothing may be taken from its owner.
		if s.phase == owned && m.storeHealthy && !m.frozen {
			m.startRelease(s, now, s.Owner, Move{Reason: Unfinished})
		}
	case Broken:
		s.heldUntil = max(s.heldUntil, now+m.holdBound())
	case NotSent:
	}
	if s.phase == owned {
		s.renewAt = now + grantRetry
	}
}

// recordLate records that a grant without an answer may be carried out late.
func (m *Manager) recordLate(s *shard, sentAt time.Duration) {
	s.heldUntil = max(s.heldUntil, sentAt+m.options.LateOrder+m.holdBound())
	s.lateUntil = s.heldUntil
	if !s.Late {
		// The next manager has to know.
		s.Late = true
		m.uncommitted = true
	}
}

// inheritedNote is how long the note that a range is inherited no more waits for others,
// because owners take the first grants of a new manager one after the other. A successor
// that does not know of it waits longer, no more.
const inheritedNote = 400 * time.Millisecond

// ownedUnderFence takes in that the owner of a range has taken its fence: what earlier
// managers sent it is refused from now on.
func (m *Manager) ownedUnderFence(now time.Duration, s *shard) {
	if !s.Inherited {
		return
	}
	s.Inherited, s.older = false, false
	// Grants of earlier managers without an answer do not count any more, own ones do.
	s.heldUntil = s.lateUntil
	s.Late = s.lateUntil > 0
	if m.noteAt == 0 {
		m.noteAt = now + inheritedNote
	}
}

// ReleaseDone takes in how a release ended.
func (m *Manager) ReleaseDone(result ReleaseResult) {
	if result.Outcome != Accepted {
		return
	}
	if m.fencing != nil && result.Release.Fence == m.fencing.fence {
		m.fencing.acknowledged(result.Release)
		return
	}
	for _, s := range m.within(result.Release.First, result.Release.Last) {
		if s.phase == releasing && s.Owner == result.Release.Owner && s.releaseFence == result.Release.Fence {
			m.vacate(s, result.Handover)
		}
	}
}

// within returns the shards that lie in a run of keys. Results come as often as grants are
// renewed, so that they must not look through all shards.
func (m *Manager) within(first, last uint32) []*shard {
	from := sort.Search(len(m.shards), func(i int) bool { return m.shards[i].First >= first })
	to := sort.Search(len(m.shards), func(i int) bool { return m.shards[i].Last > last })
	return m.shards[from:max(from, to)]
}
