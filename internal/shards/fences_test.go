package shards

import (
	"testing"
	"time"
)

// Guards against fences of the next epoch, which its manager issues as well.
func TestManagerIsNearlyOutOfFencesBeforeTheyAreThoseOfTheNextEpoch(t *testing.T) {
	const epoch = 2
	m := NewManager("s", epoch, Author{}, nil, DefaultOptions(), 0)
	m.SetServers([]Server{{ID: "a", Address: "a", Capacity: 1, Accepting: true}, {ID: "b", Address: "b", Capacity: 1, Accepting: true}})
	m.Start()
	for now := time.Duration(0); !m.NearlyOutOfFences(); now += time.Millisecond {
		for range 1000 {
			m.nextFence()
		}
		if m.Tick(now).Commit != nil {
			m.CommitDone(now)
		}
	}
	for range 1 << 10 {
		m.nextFence()
	}
	if fence := m.lastFence(); EpochOf(fence) != epoch {
		t.Errorf("fence %d is of epoch %d, want %d", fence, EpochOf(fence), epoch)
	}
}
