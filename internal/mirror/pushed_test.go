package mirror_test

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
)

// largeMap returns a value large enough to be sent as a delta.
func largeMap(version int64) []byte {
	text := fmt.Sprintf(`{"version":%d}`, version)
	for index := range 200 {
		text += fmt.Sprintf(`{"range":%d}`, index)
	}
	return []byte(text)
}

func mapEvent(revision int64) topo.Event {
	return topo.Event{Item: topo.Item{Key: "map", Value: largeMap(revision), Revision: revision}}
}

// startCopy returns a mirror that has the map at the store's revision, the recorder of its
// receiver, and the batches that it sends to followers.
func startCopy(t *testing.T, store topo.Store) (*mirror.Mirror, *recorder, chan topo.Batch) {
	t.Helper()
	received, sent := newRecorder(), make(chan topo.Batch, 16)
	copied := mirror.New(store, received, zap.NewNop())
	copied.SetObserver(observer{changed: sent})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = copied.Run(ctx) }()
	received.waitFor(t, "map", string(largeMap(1)))
	<-sent
	return copied, received, sent
}

// A node that had been sent two maps directly, before its watch, must not send the change on as the
// difference between the two: nodes that had received neither could not apply it, and forty of them
// loaded complete copies at once (soak search on kervran-hq-grown).
func TestChangesFitNodesThatWereOfferedNothing(t *testing.T) {
	cases := map[string][]topo.Event{
		"watch reports both":          {mapEvent(2), mapEvent(3)},
		"watch reports only the last": {mapEvent(3)},
	}
	for name, watched := range cases {
		t.Run(name, func(t *testing.T) {
			store := memory.New()
			store.Write("map", largeMap(1))
			upstream, _, sent := startCopy(t, store)
			follower, received, _ := startCopy(t, store)
			lists := store.Calls("list")
			for revision := int64(2); revision <= 3; revision++ {
				if _, isNew := upstream.ApplyPushed(mapEvent(revision)); !isNew {
					t.Fatal("the offer was not applied")
				}
			}
			upstream.ApplyBatch(topo.Batch{After: 1, Revision: 3, Events: watched})
			batch := <-sent
			for index := range batch.Events {
				if batch.Events[index].Delta != nil {
					batch.Events[index].Value = nil
				}
			}
			follower.ApplyBatch(batch)
			if got := received.value("map"); got != string(largeMap(3)) {
				t.Errorf("the follower has version %.14q, want 3", got)
			}
			if more := store.Calls("list") - lists; more != 0 {
				t.Errorf("%d lists", more)
			}
		})
	}
}

// Items that were received directly are not reverted by older changes or by an older complete copy.
func TestOffersAreNotTakenBackByOlderChanges(t *testing.T) {
	store := memory.New()
	store.Write("map", largeMap(1))
	copied, received, _ := startCopy(t, store)
	if _, isNew := copied.ApplyPushed(mapEvent(4)); !isNew {
		t.Fatal("the offer was not applied")
	}
	copied.ApplyBatch(topo.Batch{After: 1, Revision: 2, Events: []topo.Event{mapEvent(2)}})
	if got := received.value("map"); got != string(largeMap(4)) {
		t.Errorf("a change reverted version 4 to %.14q", got)
	}
	copied.ReplaceCopy([]topo.Item{mapEvent(3).Item}, 3)
	if got := received.value("map"); got != string(largeMap(4)) {
		t.Errorf("a copy reverted version 4 to %.14q", got)
	}
	copied.ApplyBatch(topo.Batch{After: 3, Revision: 5, Events: []topo.Event{mapEvent(5)}})
	if got := received.value("map"); got != string(largeMap(5)) {
		t.Errorf("version %.14q after a newer change, want 5", got)
	}
}

// A snapshot for another node contains no items newer than its revision.
func TestSnapshotsHoldWhatWasSettled(t *testing.T) {
	store := memory.New()
	store.Write("map", largeMap(1))
	copied, _, _ := startCopy(t, store)
	if _, isNew := copied.ApplyPushed(mapEvent(4)); !isNew {
		t.Fatal("the offer was not applied")
	}
	items, revision, _ := copied.Snapshot()
	if len(items) != 1 || items[0].Revision > revision {
		t.Errorf("%d items, the first of revision %d, at revision %d", len(items), items[0].Revision, revision)
	}
}

// A node that is sent a delta directly can apply it to an item that it was sent before, or to the
// item in its copy.
func TestOffersAreMadeFromWhatIsKnown(t *testing.T) {
	store := memory.New()
	store.Write("map", largeMap(1))
	sender, _, _ := startCopy(t, store)
	receiver, received, _ := startCopy(t, store)
	for revision := int64(2); revision <= 3; revision++ {
		event, isNew := sender.ApplyPushed(mapEvent(revision))
		if !isNew || len(event.Delta) == 0 {
			t.Fatalf("new %v, delta of %d bytes", isNew, len(event.Delta))
		}
		event.Value = nil
		if _, applied := receiver.ApplyPushed(event); !applied {
			t.Errorf("version %d was not applied", revision)
		}
	}
	received.waitFor(t, "map", string(largeMap(3)))
}
