package router

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
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

// Guards against keys that a node keeps for good because its upstream loaded its copy after their deletion.
func TestDeletionsBeforeTheUpstreamsCopyAreNotLost(t *testing.T) {
	const keys, cutOffTime, timeout = 300, 2 * time.Second, 5 * time.Second
	shared := storeWith(keys)
	store := &cutOffStore{Store: shared}
	survivor := newCopyNode(t, store, "a")
	survivor.run(t)
	store.cutOff.Store(true)
	shared.Write("other/0", nil)
	latest := shared.Write("other/1", []byte("new value"))
	upstream := newCopyNode(t, shared, "b")
	upstream.run(t)

	members := []feed.Member{memberOf(survivor.self), memberOf(upstream.self)}
	for _, node := range []*copyNode{survivor, upstream} {
		node.setMembers(members)
		go func() { _ = periodic.Run(t.Context(), feedTick, func(context.Context) { node.feed.tick() }) }()
	}
	time.Sleep(cutOffTime)
	if revision, outdated := survivor.mirror.Revision(), hasKey(survivor, "other/0"); revision >= latest && outdated {
		t.Errorf("the copy at revision %d has a key that was deleted before", revision)
	}
	store.cutOff.Store(false)
	for deadline := time.Now().Add(timeout); survivor.mirror.Revision() < latest || hasKey(survivor, "other/0"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%v after the store can be reached again, the copy has revision %d, want %d without the deleted key", timeout, survivor.mirror.Revision(), latest)
		}
	}
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
