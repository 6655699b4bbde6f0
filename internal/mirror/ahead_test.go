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

// largeMap is a value of a size that is passed on as a delta.
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

// startCopy returns a mirror that has the map at the store's revision, what its receiver
// saw, and what it passes on.
func startCopy(t *testing.T, store topo.Store) (*mirror.Mirror, *recorder, chan topo.Batch) {
	t.Helper()
	received, passed := newRecorder(), make(chan topo.Batch, 16)
	copied := mirror.New(store, received, zap.NewNop())
	copied.Observe(observer{changed: passed})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = copied.Run(ctx) }()
	received.waitFor(t, "map", string(largeMap(1)))
	<-passed
	return copied, received, passed
}

// Seen on a hunted day of kervran-hq-grown: a node was offered two maps ahead of its
// watch, and passed the change on as the difference between the two. Nodes that had been
// offered none of them could not make it, and forty of them took whole copies at once.
func TestChangesFitNodesThatWereOfferedNothing(t *testing.T) {
	cases := map[string][]topo.Event{
		"watch tells of both":          {mapEvent(2), mapEvent(3)},
		"watch tells of the last only": {mapEvent(3)},
	}
	for name, watched := range cases {
		t.Run(name, func(t *testing.T) {
			store := memory.New()
			store.Write("map", largeMap(1))
			upstream, _, passed := startCopy(t, store)
			follower, received, _ := startCopy(t, store)
			lists := store.Calls("list")
			for revision := int64(2); revision <= 3; revision++ {
				if _, isNew := upstream.Offer(mapEvent(revision)); !isNew {
					t.Fatal("the offer was not taken")
				}
			}
			upstream.Take(topo.Batch{After: 1, Revision: 3, Events: watched})
			batch := <-passed
			for index := range batch.Events {
				if batch.Events[index].Delta != nil {
					batch.Events[index].Value = nil
				}
			}
			follower.Take(batch)
			if got := received.value("map"); got != string(largeMap(3)) {
				t.Errorf("the follower has version %.14q, want 3", got)
			}
			if more := store.Calls("list") - lists; more != 0 {
				t.Errorf("%d lists", more)
			}
		})
	}
}

// What a node was offered ahead of the watch is not taken back by changes, or by a whole
// copy, that are older.
func TestOffersAreNotTakenBackByOlderChanges(t *testing.T) {
	store := memory.New()
	store.Write("map", largeMap(1))
	copied, received, _ := startCopy(t, store)
	if _, isNew := copied.Offer(mapEvent(4)); !isNew {
		t.Fatal("the offer was not taken")
	}
	copied.Take(topo.Batch{After: 1, Revision: 2, Events: []topo.Event{mapEvent(2)}})
	if got := received.value("map"); got != string(largeMap(4)) {
		t.Errorf("a change took version 4 back to %.14q", got)
	}
	copied.Adopt([]topo.Item{mapEvent(3).Item}, 3)
	if got := received.value("map"); got != string(largeMap(4)) {
		t.Errorf("a copy took version 4 back to %.14q", got)
	}
	copied.Take(topo.Batch{After: 3, Revision: 5, Events: []topo.Event{mapEvent(5)}})
	if got := received.value("map"); got != string(largeMap(5)) {
		t.Errorf("version %.14q after a newer change, want 5", got)
	}
}

// A copy that another node takes from this one is as of its revision.
func TestSnapshotsHoldWhatWasSettled(t *testing.T) {
	store := memory.New()
	store.Write("map", largeMap(1))
	copied, _, _ := startCopy(t, store)
	if _, isNew := copied.Offer(mapEvent(4)); !isNew {
		t.Fatal("the offer was not taken")
	}
	items, revision, _ := copied.Snapshot()
	if len(items) != 1 || items[0].Revision > revision {
		t.Errorf("%d items, the first of revision %d, at revision %d", len(items), items[0].Revision, revision)
	}
}

// Whoever is offered a change as a delta can make it from what was offered before, or
// from what was settled.
func TestOffersAreMadeFromWhatIsKnown(t *testing.T) {
	store := memory.New()
	store.Write("map", largeMap(1))
	sender, _, _ := startCopy(t, store)
	receiver, received, _ := startCopy(t, store)
	for revision := int64(2); revision <= 3; revision++ {
		event, isNew := sender.Offer(mapEvent(revision))
		if !isNew || len(event.Delta) == 0 {
			t.Fatalf("new %v, delta of %d bytes", isNew, len(event.Delta))
		}
		event.Value = nil
		if _, taken := receiver.Offer(event); !taken {
			t.Errorf("version %d was not taken", revision)
		}
	}
	received.waitFor(t, "map", string(largeMap(3)))
}
