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

// RemoveStoppedAuthors removes the pending managers that send no more commands, as reported by
// hasStopped: they have resigned, their process has ended, or they have announced it. Their
// last grants expire within one lease.
func (m *Manager) RemoveStoppedAuthors(now time.Duration, hasStopped func(Author) bool) {
	var kept []Author
	for _, author := range m.pendingAuthors {
		if !hasStopped(author) {
			kept = append(kept, author)
		}
	}
	if len(kept) == len(m.pendingAuthors) {
		return
	}
	m.pendingAuthors = kept
	m.uncommitted = m.Started()
	m.tightenInheritedBounds(now)
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
