package shards

import "time"

// PredecessorOver tells that the author of the map this manager found sends no
// orders any more: it resigned, or its process has ended.
func (m *Manager) PredecessorOver(now time.Duration) {
	if m.predecessorOver {
		return
	}
	m.predecessorOver = true
	if m.previousSettled {
		m.inheritedUntil = min(m.inheritedUntil, now+m.holdBound())
	}
}

// PredecessorProcess names the process of the author of the map that this manager
// found, or is empty.
func (m *Manager) PredecessorProcess() string { return m.predecessor.Process }

// settled reports whether no order of an earlier manager can be under way that
// this one does not know of.
func (m *Manager) settled(now time.Duration) bool {
	return (m.predecessorOver && m.previousSettled) || now > m.inheritedUntil
}

// Resign makes the manager give no more orders; the map of the next commit says
// so.
func (m *Manager) Resign() {
	m.resigned = true
	m.uncommitted = true
}
