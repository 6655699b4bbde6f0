package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
)

// restoredStore returns a store, its saved state at revision 10, and the recorder of a mirror that
// has also received the later changes.
func restoredStore(t *testing.T) (*memory.Store, memory.Saved, *recorder) {
	t.Helper()
	store := memory.New()
	for index := range 10 {
		store.Write("a", []byte(fmt.Sprint(index)))
	}
	saved := store.Save()
	store.Write("a", []byte("lost"))
	for index := range 10 {
		store.Write("lost", []byte(fmt.Sprint(index)))
	}
	received := start(t, store)
	received.waitFor(t, "lost", "9")
	return store, saved, received
}

func TestChangesAfterARestoredStoreAreApplied(t *testing.T) {
	store, saved, received := restoredStore(t)
	store.Restore(saved)
	store.Write("b", []byte("new"))
	const bound = time.Second
	deadline := time.Now().Add(bound)
	for received.value("b") != "new" {
		if time.Now().After(deadline) {
			t.Fatalf("the change was not applied within %v", bound)
		}
		time.Sleep(5 * time.Millisecond)
	}
	received.waitFor(t, "a", "9")
	received.waitFor(t, "lost", "")
}

func TestLostKeysLeaveTheCopyOnceRevisionsHavePassed(t *testing.T) {
	store, saved, received := restoredStore(t)
	store.SetFaults(memory.Faults{Down: true})
	store.Restore(saved)
	for index := range 30 {
		store.Write("b", []byte(fmt.Sprint(index)))
	}
	store.SetFaults(memory.Faults{})
	received.waitFor(t, "b", "29")
	received.waitFor(t, "a", "9")
	received.waitFor(t, "lost", "")
}

// adopted returns a mirror with the given copy, and the recorder of its receiver.
func adopted(items []topo.Item, revision int64) (*mirror.Mirror, *recorder) {
	received := newRecorder()
	m := mirror.New(memory.New(), received, zap.NewNop())
	m.ReplaceCopy(items, revision)
	return m, received
}

func item(key, value string, revision int64) topo.Item {
	return topo.Item{Key: key, Value: []byte(value), Revision: revision}
}

func TestFollowerWithChangesThatWereLostDoesNotKeepThem(t *testing.T) {
	m, received := adopted([]topo.Item{item("a", "kept", 3), item("b", "lost", 12)}, 12)
	// The sender had not reached revision 12 of the first era.
	m.ApplyBatch(topo.Batch{After: 11, Revision: topo.RevisionIn(1, 9), Events: []topo.Event{{Item: item("c", "new", topo.RevisionIn(1, 9))}}})
	if received.value("c") == "new" && received.value("b") == "lost" {
		t.Fatal("a change of the new era was applied to a copy with changes that were lost")
	}
	m.ReplaceCopy([]topo.Item{item("a", "kept", topo.RevisionIn(1, 3)), item("c", "new", topo.RevisionIn(1, 9))}, topo.RevisionIn(1, 9))
	if received.value("b") != "" || received.value("c") != "new" {
		t.Fatalf("b is %q, c is %q after the copy was replaced", received.value("b"), received.value("c"))
	}
}

func TestUnchangedKeysKeepTheirRevisionInANewEra(t *testing.T) {
	changed := make(chan topo.Batch, 2)
	m := mirror.New(memory.New(), newRecorder(), zap.NewNop())
	m.SetObserver(observer{changed: changed})
	m.ReplaceCopy([]topo.Item{item("a", "same", 3), item("b", "lost", 12)}, 12)
	<-changed
	at := topo.RevisionIn(1, 9)
	m.ReplaceCopy([]topo.Item{item("a", "same", topo.RevisionIn(1, 3)), item("b", "old", topo.RevisionIn(1, 5))}, at)
	batch := <-changed
	if len(batch.Events) != 1 || batch.Events[0].Key != "b" || batch.After != 12 || batch.Revision != at {
		t.Fatalf("the change to the new era is %+v, want that of b only", batch)
	}
}

func TestRestoredStoreIsListedWithoutThePauseAfterFailures(t *testing.T) {
	store, saved, received := restoredStore(t)
	store.SetFaults(memory.Faults{Down: true})
	// Wait until the retry delay has reached its maximum.
	time.Sleep(2400 * time.Millisecond)
	store.Restore(saved)
	store.SetFaults(memory.Faults{})
	const bound = 400 * time.Millisecond
	time.Sleep(bound)
	if received.value("a") != "9" || received.value("lost") != "" {
		t.Errorf("a is %q, lost is %q, %v after the store was restored", received.value("a"), received.value("lost"), bound)
	}
}
