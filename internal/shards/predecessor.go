package shards

import (
	"slices"
	"time"
)

// authorsPendingAfter returns the managers that may still have commands in flight when a new
// manager finds the given map: those that the map lists as pending, and the map's author
// unless it resigned.
func authorsPendingAfter(previous *Map) []Author {
	pending := append([]Author(nil), previous.Pending...)
	if !previous.Resigned && previous.Author.Process != "" {
		pending = append(pending, previous.Author)
	}
	return pending
}

// AuthorState is what is known of an earlier manager.
type AuthorState int

// The states of an earlier manager.
const (
	// MaySendCommands means that the manager may still send commands.
	MaySendCommands AuthorState = iota
	// Ended means that the manager's process has ended. Servers may still execute its unanswered
	// grants.
	Ended
	// Retired means that the manager sends no more commands, and that servers can no longer
	// execute its unanswered grants.
	Retired
)

// RemoveStoppedAuthors removes the pending managers that send no more commands, as reported by
// stateOf. Their last grants expire within one lease, which begins late for those that an ended
// manager left unanswered.
func (m *Manager) RemoveStoppedAuthors(now time.Duration, stateOf func(Author) AuthorState) {
	var kept []Author
	hasEnded := false
	for _, author := range m.pendingAuthors {
		state := stateOf(author)
		if state == MaySendCommands {
			kept = append(kept, author)
		}
		hasEnded = hasEnded || state == Ended
	}
	if len(kept) == len(m.pendingAuthors) {
		return
	}
	m.pendingAuthors = kept
	m.uncommitted = m.Started()
	if hasEnded {
		m.recordUnknownGrants(now)
	}
	m.tightenInheritedBounds(now)
}

// recordUnknownGrants records that servers may still execute grants that an earlier manager left
// unanswered without a record in the map. They reject them once they have accepted a fence of this
// manager.
func (m *Manager) recordUnknownGrants(now time.Duration) {
	for _, s := range m.shards {
		if s.Inherited {
			s.Late = true
			s.leaseUntil = max(s.leaseUntil, now+m.options.MaxCommandDelay+m.maxLease())
		}
	}
}

// tightenInheritedBounds shortens the wait for the grants of earlier managers once none of
// these can still send commands.
func (m *Manager) tightenInheritedBounds(now time.Duration) {
	until := now + m.maxLease()
	if m.fromUnverified {
		until += m.options.MaxCommandDelay
	}
	if len(m.pendingAuthors) == 0 {
		m.inheritedUntil = min(m.inheritedUntil, until)
	}
	if !slices.Contains(m.pendingAuthors, m.lastAuthor) {
		m.lastAuthorUntil = min(m.lastAuthorUntil, until)
	}
}

// expirePendingAuthors drops pending managers after the time by which all their grants have
// expired in any case.
func (m *Manager) expirePendingAuthors(now time.Duration) {
	if len(m.pendingAuthors) == 0 || now <= m.inheritedUntil {
		return
	}
	m.pendingAuthors = nil
	m.uncommitted = m.Started()
}

// Resign makes the manager send no more commands. The map of the next commit records this.
func (m *Manager) Resign() {
	m.resigned = true
	m.uncommitted = true
}

// DelayedGrantsUntil returns when the last unanswered grant can be executed at the latest. A
// manager that has lost its lock can no longer record such grants in the map, so it must not
// announce before that time that it has stopped.
func (m *Manager) DelayedGrantsUntil() time.Duration {
	latest := time.Duration(0)
	for _, s := range m.shards {
		if s.delayedGrantUntil > 0 {
			latest = max(latest, s.delayedGrantUntil-m.maxLease())
		}
	}
	return latest
}
