package shardmanager_test

import (
	"context"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

// readableMap returns the service's map in the store; nil if there is none or it cannot be read.
func readableMap(t *testing.T, store *memory.Store) *shards.Map {
	t.Helper()
	items, _, err := store.List(context.Background(), view.OwnersKey(service, 0))
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range items {
		if decoded, err := shards.DecodeMap(item.Value); err == nil && item.Key == view.OwnersKey(service, 0) {
			return decoded
		}
	}
	return nil
}

// Guards against a service that has no manager as long as the map of another writer is in the store.
func TestUnreadableMapIsReplaced(t *testing.T) {
	for name, odd := range map[string]string{"null": "null", "empty": "{}", "truncated": "\x10\x05\x1a\x7f"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := memory.New()
			store.Write("servers/a", []byte("address a"))
			sent, end := startManager(t, store, "n1")
			waitFor(t, "the manager grants", func() bool { return sent.count() > 0 && readableMap(t, store) != nil })
			before := readableMap(t, store)
			second, _ := startManager(t, store, "n2")
			store.Write(view.OwnersKey(service, 0), []byte(odd))
			end()
			waitFor(t, "a verified map replaces it", func() bool {
				current := readableMap(t, store)
				return current != nil && !current.Unverified && second.count() > 0
			})
			after := readableMap(t, store)
			if after.Epoch <= before.Epoch+1 || after.Find(0).Owner != before.Find(0).Owner || after.Find(0).Fence <= before.Find(0).Fence {
				t.Errorf("epoch %d, key 0 %+v, want an epoch above lost ones and the same owner under a higher fence; before: epoch %d, %+v",
					after.Epoch, after.Find(0), before.Epoch, before.Find(0))
			}
		})
	}
}

// Guards against a node without a copy that takes the service for one without owners.
func TestNodeThatKnowsNoMapDoesNotReplaceOne(t *testing.T) {
	store := memory.New()
	store.Write("servers/a", []byte("address a"))
	store.Write(view.OwnersKey(service, 0), []byte("null"))
	sent, _ := startManager(t, store, "n1")
	if sleepGranted(sent) || readableMap(t, store) != nil {
		t.Error("keys were granted although their owners are not known")
	}
}

// sleepGranted reports whether a manager grants keys within some campaigns.
func sleepGranted(sent *orders) bool {
	time.Sleep(3 * time.Second)
	return sent.count() > 0
}

// Guards against a map of an era that has not begun, which keeps all candidates from office.
func TestMapOfALaterEraIsIgnored(t *testing.T) {
	store := memory.New()
	store.Write("servers/a", []byte("address a"))
	sent, end := startManager(t, store, "n1")
	waitFor(t, "the manager grants", func() bool { return sent.count() > 0 && readableMap(t, store) != nil })
	before := readableMap(t, store)
	store.Write(view.OwnersKey(service, 7), []byte("null"))
	second, _ := startManager(t, store, "n2")
	end()
	waitFor(t, "another manager takes office", func() bool { return second.count() > 0 && readableMap(t, store).Epoch > before.Epoch })
	if after := readableMap(t, store); after.Unverified {
		t.Error("the map of the store's era counts as unverified")
	}
}
