package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/topo/memory"
)

// restoredStore returns a store with its copy at revision 10, and what was written since.
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
