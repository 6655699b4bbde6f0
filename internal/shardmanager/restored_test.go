package shardmanager_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

// storedMap returns the owner map that the store has for an era; nil if there is none.
func storedMap(t *testing.T, store topo.Store, era int64) *shards.Map {
	t.Helper()
	key := view.OwnersKey(service, era)
	items, _, err := store.List(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range items {
		if item.Key != key {
			continue
		}
		decoded, err := shards.DecodeMap(item.Value)
		if err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	return nil
}

// storeWithServer returns a store with one server, and a snapshot from before its first manager.
func storeWithServer() (*memory.Store, memory.Saved) {
	store := memory.New()
	store.Write("servers/a", []byte("address a"))
	return store, store.Save()
}

func TestManagerContinuesInANewEra(t *testing.T) {
	store, saved := storeWithServer()
	sent, _ := startManager(t, store, "n1")
	waitFor(t, "the manager grants", func() bool { return sent.count() > 0 })
	before := storedMap(t, store, 0)
	store.Restore(saved)
	waitFor(t, "the map of the new era is verified", func() bool {
		current := storedMap(t, store, 1)
		return current != nil && !current.Unverified
	})
	current := storedMap(t, store, 1)
	if current.Author.Process != before.Author.Process || current.Epoch <= before.Epoch || current.Find(0).Owner != before.Find(0).Owner {
		t.Fatalf("the map of the new era is %+v, before it was %+v", current, before)
	}
	if storedMap(t, store, 0) != nil {
		t.Error("the map of the earlier era is still there")
	}
}

func TestEpochsOfANewEraAreAboveLostOnes(t *testing.T) {
	store, saved := storeWithServer()
	lost := uint64(0)
	for _, name := range []string{"n1", "n2", "n3"} {
		sent, end := startManager(t, store, name)
		waitFor(t, name+" grants", func() bool { return sent.count() > 0 })
		end()
		waitFor(t, name+" has ended", func() bool { return storedMap(t, store, 0).Resigned })
		lost = storedMap(t, store, 0).Epoch
	}
	store.Restore(saved)
	startManager(t, store, "n4")
	waitFor(t, "the first manager of the new era has a map", func() bool { return storedMap(t, store, 1) != nil })
	if found := storedMap(t, store, 1); found.Epoch <= lost {
		t.Fatalf("epoch %d is not above epoch %d, which was used before the restore", found.Epoch, lost)
	}
}

// recordingStore records the transactions that are sent to it.
type recordingStore struct {
	topo.Store
	mutex        sync.Mutex
	transactions []topo.Transaction
}

func (r *recordingStore) Commit(ctx context.Context, transaction topo.Transaction) (int64, error) {
	r.mutex.Lock()
	r.transactions = append(r.transactions, transaction)
	r.mutex.Unlock()
	return r.Store.Commit(ctx, transaction)
}

func TestLateWritesOfAnEarlierEraLeaveTheMapAlone(t *testing.T) {
	store, saved := storeWithServer()
	recorded := &recordingStore{Store: store}
	sent, end := startManager(t, recorded, "n1")
	waitFor(t, "the first manager grants", func() bool { return sent.count() > 0 })
	end()
	waitFor(t, "the first manager has ended", func() bool { return storedMap(t, store, 0).Resigned })
	store.Restore(saved)
	startManager(t, store, "n2")
	waitFor(t, "the second manager has a verified map", func() bool {
		current := storedMap(t, store, 1)
		return current != nil && !current.Unverified && current.Author.Node == "n2"
	})
	// Worst case: revision numbers recur after the restore, so that all conditions of the late
	// transaction hold.
	for _, transaction := range recorded.transactions {
		for index, condition := range transaction.Conditions {
			items, _, _ := store.List(context.Background(), condition.Key)
			transaction.Conditions[index].Revision = 0
			for _, item := range items {
				if item.Key == condition.Key {
					transaction.Conditions[index].Revision = item.Revision
				}
			}
		}
		for index := range transaction.Puts {
			transaction.Puts[index].Lease = 0
		}
		if _, err := store.Commit(context.Background(), transaction); err != nil {
			t.Fatal(err)
		}
		if current := storedMap(t, store, 1); current == nil || current.Author.Node != "n2" {
			t.Fatalf("the map of the new era is %+v after a write of the earlier one", current)
		}
	}
}

// stalledWatchStore is a store whose watch never reports the new era to a node.
type stalledWatchStore struct{ topo.Store }

func (d stalledWatchStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Event, int64, error) {
	events, at, err := d.Store.Watch(ctx, prefix, after, wait)
	if errors.Is(err, topo.ErrRestored) {
		<-ctx.Done()
	}
	return events, at, err
}

func TestLockOfALostTermIsReplacedBeforeTheNodeHasTheNewCopy(t *testing.T) {
	store, saved := storeWithServer()
	sent, _ := startManager(t, stalledWatchStore{store}, "n1")
	waitFor(t, "the manager grants", func() bool { return sent.count() > 0 })
	store.Restore(saved)
	waitFor(t, "the manager has a map of the new era", func() bool { return storedMap(t, store, 1) != nil })
}
