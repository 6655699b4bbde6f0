package shardmanager

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
)

// Guards against a manager that takes its map for complete although it may have had a successor.
func TestMapOfAManagerWhoseLockMayHaveLapsedIsIncomplete(t *testing.T) {
	for sinceRenewal, incomplete := range map[time.Duration]bool{lockTTL / 2: false, lockTTL: true} {
		now := time.Minute
		term := &term{manager: &Manager{config: Config{Clock: func() time.Duration { return now }}}, renewedAt: now - sinceRenewal}
		author := shards.Author{Node: "n", Process: "p", Epoch: 1}
		term.core = shards.NewManager("s", 1, author, nil, shards.DefaultOptions(), 0)
		term.core.SetServers([]shards.Server{{ID: "a", Address: "a", Capacity: 1, Accepting: true}})
		term.core.Start()
		if frozen := term.freeze(); frozen == nil || frozen.Incomplete != incomplete {
			t.Errorf("frozen %v after the last renewal of its lock, the map is %+v, want incomplete %v", sinceRenewal, frozen, incomplete)
		}
	}
}

// Guards against a manager that takes its map for complete although another one may have begun and ended since it was frozen.
func TestFrozenMapIsIncompleteAfterAFurtherRestore(t *testing.T) {
	const heldUntil = time.Minute
	frozen := &frozenMap{Map: &shards.Map{Service: "s", Unverified: true, Continued: true}, era: 2, connectedBy: heldUntil}
	for era, incomplete := range map[int64]bool{2: false, 3: true} {
		base := frozen.baseIn(era, baseMap{})
		if base.Incomplete != incomplete || (base.connectedBy == heldUntil) != incomplete {
			t.Errorf("era %d: incomplete %v, connections until %v, want incomplete %v", era, base.Incomplete, base.connectedBy, incomplete)
		}
	}
}
