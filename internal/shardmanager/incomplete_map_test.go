package shardmanager

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
)

// Guards against a manager that takes its map for complete after a second restore, although it has not verified the map of the first.
func TestUnverifiedMapStaysIncompleteAcrossASecondRestore(t *testing.T) {
	now := time.Minute
	term := &term{manager: &Manager{config: Config{Clock: func() time.Duration { return now }}}, start: now, renewedAt: now}
	author := shards.Author{Node: "n", Process: "p", Epoch: 2}
	restored := &shards.Map{
		Service: "s", Epoch: 1, Author: shards.Author{Node: "o", Process: "q", Epoch: 1}, Unverified: true, Incomplete: true,
		Ranges: []shards.Range{{First: 0, Last: shards.LastKey, Owner: "a", Address: "a", Fence: 1<<20 | 1}},
	}
	term.core = shards.NewManager("s", 2, author, restored, shards.DefaultOptions(), 0)
	term.core.InitialMapCommitted(0)
	now += lockRenewInterval
	frozen := term.freeze()
	if frozen == nil || !frozen.Incomplete {
		t.Fatalf("the map is %+v, although a server that nobody knows may hold keys", frozen)
	}
}
