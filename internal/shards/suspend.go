package shards

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// This file stops the grants to owners that do not answer. A grant without an answer may be executed
// late, so the owner may hold the keys for as long as grants are sent. It is checked instead.

// suspended reports whether a server is checked instead of being sent grants: once commands do not
// reach it, or once it has answered neither commands nor requests for a lease. A server that executes
// grants without answering them keeps its keys while it serves.
func (r *reach) suspended(now, lease time.Duration) bool {
	if r.confirmed || r.silent < minSilent {
		return false
	}
	return r.refused || now-max(r.lastAnswerAt, r.servedAt) >= lease
}

// RecordServed records that a node got responses to requests from a server.
func (m *Manager) RecordServed(now time.Duration, server discovery.ServerID) {
	if known := m.reaches[server]; known != nil {
		known.servedAt = now
	}
}

// suspendedServers returns the servers whose grants are suspended. There are none while their keys
// could not go to others, or while most owners seem unreached.
func (m *Manager) suspendedServers(now time.Duration) map[discovery.ServerID]bool {
	if len(m.unconfirmed) == 0 || !m.storeHealthy || m.frozen {
		return nil
	}
	suspended := make(map[discovery.ServerID]bool)
	for id, known := range m.unconfirmed {
		if _, checkable := m.checkedKey(id); checkable && known.suspended(now, m.options.Lease) {
			suspended[id] = true
		}
	}
	if len(suspended) > 0 && (len(m.accepting()) == 0 || !m.mostReached(now)) {
		return nil
	}
	return suspended
}

// checkedKey returns a key that a check of a server releases and that another server owns, and false
// if there is none.
func (m *Manager) checkedKey(server discovery.ServerID) (uint32, bool) {
	for index := len(m.shards) - 1; index >= 0; index-- {
		if s := m.shards[index]; s.Owner != server && s.target != server {
			return s.Last, true
		}
	}
	return 0, false
}
