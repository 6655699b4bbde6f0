package shardmanager

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

const (
	// contactTimeout is how long no server may have answered a manager before it steps down. It is
	// longer than the interval between two renewals of a grant, and leaves its successor time to
	// renew the grants before they expire.
	contactTimeout = 1500 * time.Millisecond
	// minUnreachedServers is how many servers must have failed to answer since the last answer.
	minUnreachedServers = 2
	// stepDownPause is how long a node that has stepped down leaves the lock to other nodes, and
	// unreachedDelay how much later a node campaigns that reaches no server of the service.
	stepDownPause  = 3 * time.Second
	unreachedDelay = time.Second
)

// contact records whether servers answer a manager's grants. Times are offsets on the manager's
// clock; the zero value is a contact at time 0.
type contact struct {
	answeredAt time.Duration
	// unanswered holds the servers that have not answered a grant since answeredAt.
	unanswered map[discovery.ServerID]struct{}
}

// observe records the outcome of a grant. One that was withheld says nothing about the path.
func (c *contact) observe(now time.Duration, server discovery.ServerID, outcome shards.Outcome) {
	switch outcome {
	case shards.Accepted, shards.Superseded:
		c.answeredAt, c.unanswered = now, nil
		return
	case shards.Withheld:
		return
	}
	if c.unanswered == nil {
		c.unanswered = make(map[discovery.ServerID]struct{})
	}
	c.unanswered[server] = struct{}{}
}

// lost reports whether several servers failed to answer and none has answered for contactTimeout.
func (c *contact) lost(now time.Duration) bool {
	return len(c.unanswered) >= minUnreachedServers && now-c.answeredAt > contactTimeout
}

// othersRegistered reports whether another node may take this one's place. A node that is not
// registered itself knows too little to rule it out.
func (m *Manager) othersRegistered() bool { return m.config.Views.Current().Nodes.Len() != 1 }

// noteStepDown records that this node has stepped down for want of a path to servers.
func (m *Manager) noteStepDown() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.steppedDown, m.steppedDownAt = true, m.config.Clock()
}

// contactDelay returns how much longer this node waits before it campaigns, so that a node that
// reaches servers goes first.
func (m *Manager) contactDelay() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delay := time.Duration(0)
	if m.steppedDown {
		delay = max(0, m.steppedDownAt+stepDownPause-m.config.Clock())
	}
	if m.config.ReachesNoServer != nil && m.config.ReachesNoServer(m.service) {
		delay = max(delay, unreachedDelay)
	}
	return delay
}
