package shardmanager_test

import (
	"testing"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

// Seen in the soak of planned work: the first manager ever was told to stop before it
// had made a map, wrote one without ranges, and no node became a manager after that.
func TestManagerThatStopsBeforeItsFirstMapWritesNone(t *testing.T) {
	store := memory.New()
	held := func() bool {
		items, _, err := store.List(t.Context(), view.ManagerKey(service))
		if err != nil {
			t.Fatal(err)
		}
		return len(items) > 0
	}
	_, end := candidate(t, store, "n1")
	waitFor(t, "the first manager takes the lock", held)
	end()
	waitFor(t, "the first manager gives the lock back", func() bool { return !held() })
	items, _, err := store.List(t.Context(), view.OwnersKey(service, 0))
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range items {
		if _, err := shards.DecodeMap(item.Value); err != nil {
			t.Errorf("a map that nobody can read was written: %v", err)
		}
	}
	store.Write("servers/a", []byte("address a"))
	sent, _ := candidate(t, store, "n2")
	waitFor(t, "the next manager grants", func() bool { return sent.count() > 0 })
}
