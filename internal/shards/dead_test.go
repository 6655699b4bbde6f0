package shards

import (
	"testing"
	"time"
)

// Guards against two owners of a key: a server that was declared dead in error still holds its
// granted keys, so another server may get them only after a release.
func TestServerThatIsBackIsAskedToRelease(t *testing.T) {
	m := NewManager("s", 1, Author{}, nil, DefaultOptions(), 0)
	back, other := Server{ID: "back", Address: "a", Capacity: 1, Accepting: true}, Server{ID: "other", Address: "b", Capacity: 1, Accepting: true}
	gone := back
	gone.Accepting = false
	m.SetServers([]Server{gone, other})
	m.SetServers([]Server{back, other})
	m.Start()
	m.Tick(0)
	m.CommitDone(0)
	now := time.Millisecond
	for _, grant := range m.Tick(now).Grants {
		m.GrantDone(now, GrantResult{Grant: grant, SentAt: now, Outcome: Accepted})
	}
	now += time.Second
	m.SetServers([]Server{gone, other})
	commands := m.Tick(now)
	if len(commands.Releases) == 0 {
		t.Error("no release is sent")
	}
	if commands.Commit != nil {
		t.Errorf("another owner is committed before the lease has ended: %v", commands.Commit.Map.Ranges)
	}
}
