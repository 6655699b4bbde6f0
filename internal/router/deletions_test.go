package router

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/wire"
)

// cutOffStore is a store that one node may be unable to reach.
type cutOffStore struct {
	*memory.Store
	cutOff atomic.Bool
}

// Watch implements topo.Store.
func (s *cutOffStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Event, int64, error) {
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.cutOff.Load() {
		return nil, 0, errors.New("cut off")
	}
	return events, at, err
}

// startBehindUpstream returns a node that cannot reach its store and follows an upstream, whose copy
// startCopy makes after it has deleted a key.
func startBehindUpstream(t *testing.T, startCopy func(upstream *copyNode, shared *memory.Store)) (survivor *copyNode, store *cutOffStore) {
	t.Helper()
	const keys = 300
	store = &cutOffStore{Store: storeWith(keys)}
	survivor = newCopyNode(t, store, "a")
	upstream := newCopyNode(t, store.Store, "b")
	survivor.run(t)
	store.cutOff.Store(true)
	startCopy(upstream, store.Store)
	members := []feed.Member{memberOf(survivor.self), memberOf(upstream.self)}
	for _, node := range []*copyNode{survivor, upstream} {
		node.setMembers(members)
		go func() { _ = periodic.Run(t.Context(), feedTick, func(context.Context) { node.feed.tick() }) }()
	}
	schedule := func() (time.Duration, bool) { return upstream.feed.schedule(len(members)) }
	go func() { _ = upstream.mirror.CheckFreshness(t.Context(), schedule, func(int64) {}) }()
	return survivor, store
}

// deleteKey deletes the key other/0 and returns the revision after one more change.
func deleteKey(store *memory.Store) int64 {
	store.Write("other/0", nil)
	return store.Write("other/1", []byte("new value"))
}

// awaitDeletion fails the test unless a node reaches a revision, without the deleted key, within a time.
func awaitDeletion(t *testing.T, node *copyNode, latest int64, timeout time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(timeout); node.mirror.Revision() < latest || hasKey(node, "other/0"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("after %v the copy has revision %d, want %d without the deleted key", timeout, node.mirror.Revision(), latest)
		}
	}
}

const deletionTimeout = 5 * time.Second

// Guards against keys that a node keeps for good because its upstream listed the store after their deletion.
func TestDeletionsBeforeTheUpstreamsCopyAreNotLost(t *testing.T) {
	const cutOffTime = 2 * time.Second
	var latest int64
	survivor, store := startBehindUpstream(t, func(upstream *copyNode, shared *memory.Store) {
		latest = deleteKey(shared)
		upstream.run(t)
	})
	time.Sleep(cutOffTime)
	if revision, outdated := survivor.mirror.Revision(), hasKey(survivor, "other/0"); revision >= latest && outdated {
		t.Errorf("the copy at revision %d has a key that was deleted before", revision)
	}
	store.cutOff.Store(false)
	awaitDeletion(t, survivor, latest, deletionTimeout)
}

// Guards against a node that needs the store for changes that its upstream got with the copy of another node.
func TestDeletionsComeWithTheCopyOfTheUpstream(t *testing.T) {
	var latest int64
	survivor, _ := startBehindUpstream(t, func(upstream *copyNode, shared *memory.Store) {
		provider := newCopyNode(t, shared, "c")
		provider.run(t)
		latest = deleteKey(shared)
		awaitDeletion(t, provider, latest, deletionTimeout)
		answer, err := provider.copies.reply(&wire.Hello{})
		if err != nil {
			t.Fatal(err)
		}
		items, deletions, err := unpackItems(answer.GetPacked(), answer.GetRevision())
		if err != nil {
			t.Fatal(err)
		}
		upstream.mirror.Adopt(mirror.Copy{Items: items, Revision: answer.GetRevision(), Deletions: deletions})
		upstream.run(t)
	})
	awaitDeletion(t, survivor, latest, deletionTimeout)
}

func (n *copyNode) setMembers(members []feed.Member) {
	n.feed.mutex.Lock()
	defer n.feed.mutex.Unlock()
	n.feed.core.SetMembers(n.feed.now(), members)
}

func hasKey(node *copyNode, key string) bool {
	items, _, _ := node.mirror.Snapshot()
	return slices.ContainsFunc(items, func(item topo.Item) bool { return item.Key == key })
}
