package feed_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/topo"
)

func TestChangeToANewEraIsNotPassedToNodesWithLostChanges(t *testing.T) {
	const old = 10
	at := topo.RevisionIn(1, 8)
	for _, asked := range []int64{old - 1, old, old + 1} {
		core := feed.New(feed.Member{Name: "root", Address: "address of root"})
		core.Changed(0, topo.Batch{After: 0, Revision: old - 1})
		core.Changed(0, topo.Batch{After: old - 1, Revision: old})
		core.Changed(0, topo.Batch{After: old, Revision: at})
		messages, _ := core.Step(0, "follower", feed.Message{Follow: &feed.Follow{Revision: asked}})
		reached := asked
		for _, message := range messages {
			if message.Batch != nil && message.Batch.After == reached {
				reached = message.Batch.Revision
			}
		}
		if passed, want := reached == at, asked <= old; passed != want {
			t.Errorf("request for changes after %d: brought to %d, want the new era: %v", asked, reached, want)
		}
	}
}

func TestEntriesMayReturnAfterARestore(t *testing.T) {
	core := feed.New(feed.Member{Name: "n"})
	core.Confirm(time.Second, 0)
	core.Confirm(2*time.Second, 0)
	core.Restored(2500 * time.Millisecond)
	if until, lapsed := core.LapsedUntil(3 * time.Second); !lapsed || until != 4500*time.Millisecond {
		t.Fatalf("half a second after the store was restored: grace until %v, lapsed %v", until, lapsed)
	}
	core.Confirm(3*time.Second, 0)
	core.Confirm(4*time.Second, 0)
	if _, lapsed := core.LapsedUntil(5 * time.Second); lapsed {
		t.Fatal("an entry removed later counts as lapsed")
	}
}
