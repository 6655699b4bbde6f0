package shardmanager_test

import (
	"testing"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

// Guards against a map without ranges, which no manager can decode, written by a service's first
// manager when it is stopped before it has made a map. No node could become manager after that.
// Seen in the soak test of planned work.
func TestManagerThatStopsBeforeItsFirstMapWritesNone(t *testing.T) {
	store := memory.New()
	held := func() bool {
		items, _, err := store.List(t.Context(), view.ManagerKey(service))
		if err != nil {
			t.Fatal(err)
		}
		return len(items) > 0
	}
	_, end := startManager(t, store, "n1")
	waitFor(t, "the first manager takes the lock", held)
	end()
	waitFor(t, "the first manager releases the lock", func() bool { return !held() })
	items, _, err := store.List(t.Context(), view.OwnersKey(service, 0))
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range items {
		if _, err := shards.DecodeMap(item.Value); err != nil {
			t.Errorf("an undecodable map was written: %v", err)
		}
	}
	store.Write("servers/a", []byte("address a"))
	sent, _ := startManager(t, store, "n2")
	waitFor(t, "the next manager grants", func() bool { return sent.count() > 0 })
}
