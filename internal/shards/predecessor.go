package shards

import (
	"slices"
	"time"
)

// pendingAfter returns the managers that may still have orders under way when a
// new manager finds a map: those that the map's author did not know to be over,
// and the author itself unless it resigned.
func pendingAfter(previous *Map) []Author {
	pending := append([]Author(nil), previous.Pending...)
	if !previous.Resigned && previous.Author.Process != "" {
		pending = append(pending, previous.Author)
	}
	return pending
}

// AuthorsOver takes out of the pending managers those that send no orders any
// more, as over tells: they resigned, their process has ended, or they said so.
// Their last grants then run out within one hold.
func (m *Manager) AuthorsOver(now time.Duration, over func(Author) bool) {
	var kept []Author
	for _, author := range m.pending {
		if !over(author) {
			kept = append(kept, author)
		}
	}
	if len(kept) == len(m.pending) {
		return
	}
	m.pending = kept
	m.uncommitted = m.Started()
	m.lookAtPending(now)
}

// lookAtPending shortens the wait for earlier managers' grants once none of them
// can send more.
func (m *Manager) lookAtPending(now time.Duration) {
	until := now + m.holdBound()
	if m.restored {
		until += m.options.LateOrder
	}
	if len(m.pending) == 0 {
		m.inheritedUntil = min(m.inheritedUntil, until)
	}
	if !slices.Contains(m.pending, m.last) {
		m.lastUntil = min(m.lastUntil, until)
	}
}

// forgetPending drops managers whose orders would have run out by now whatever
// became of them.
func (m *Manager) forgetPending(now time.Duration) {
	if len(m.pending) == 0 || now <= m.inheritedUntil {
		return
	}
	m.pending = nil
	m.uncommitted = m.Started()
}

// Resign makes the manager give no more orders; the map of the next commit says
// so.
func (m *Manager) Resign() {
	m.resigned = true
	m.uncommitted = true
}

// LateOrdersUntil is when the last grant that got no answer can be carried out. A
// manager that lost its lock cannot note such grants in the map any more, so it
// must not say before then that it is over.
func (m *Manager) LateOrdersUntil() time.Duration {
	latest := time.Duration(0)
	for _, s := range m.shards {
		if s.lateUntil > 0 {
			latest = max(latest, s.lateUntil-m.holdBound())
		}
	}
	return latest
}
