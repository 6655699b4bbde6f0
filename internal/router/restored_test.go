package router

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

func TestRegistrationThatWasLostIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	store := memory.New()
	self := view.Node{Name: "n1", Process: "p1"}
	registered := &registration{self: self, store: store, logger: zap.NewNop(), onStoreRecovered: func() {}}
	lease, _, err := store.GrantLease(ctx, registrationTTL)
	if err != nil {
		t.Fatal(err)
	}
	// The saved store has the lease but not the entry.
	saved := store.Save()
	registered.step(ctx)
	registered.lease = lease
	store.Restore(saved)
	registered.step(ctx)
	items, _, err := store.List(ctx, view.NodeKey(self.Name))
	if err != nil || len(items) != 1 {
		t.Fatalf("entries %v after a renewal in the new era, error %v", items, err)
	}
	writes := store.Calls("commit")
	registered.step(ctx)
	if more := store.Calls("commit") - writes; more != 0 {
		t.Errorf("%d more writes by the next renewal, want none", more)
	}
}

func TestNodesTakeTheCopyOfARestoredStoreFromAHead(t *testing.T) {
	const keys = 500
	store := storeWith(keys)
	node, root := newCopyNode(t, store, "a"), newCopyNode(t, store, "b")
	members := []feed.Member{memberOf(node.self), memberOf(root.self)}
	for _, each := range []*copyNode{node, root} {
		each.feed.core.SetMembers(each.feed.now(), members)
		each.run(t)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const interval = 100 * time.Millisecond
	go func() {
		_ = root.mirror.CheckFreshness(ctx, func() (time.Duration, bool) { return interval, true }, func(int64) {})
	}()
	saved := store.Save()
	store.Write("other/0", []byte("lost"))
	waitForRevision(t, root, 501)
	waitForRevision(t, node, 501)
	// During an outage each node starts to ask the store itself.
	store.SetFaults(memory.Faults{Down: true})
	time.Sleep(3 * time.Second)
	before := store.Calls("list")
	store.Restore(saved)
	store.SetFaults(memory.Faults{})
	waitForRevision(t, root, topo.RevisionIn(1, 0))
	waitForRevision(t, node, topo.RevisionIn(1, 0))
	if lists := store.Calls("list") - before; lists != 1 {
		t.Errorf("the store was listed %d times by two nodes, want once", lists)
	}
}

func waitForRevision(t *testing.T, node *copyNode, revision int64) {
	t.Helper()
	const timeout = 5 * time.Second
	for deadline := time.Now().Add(timeout); node.mirror.Revision() < revision; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s is at revision %d, want %d", node.self.Name, node.mirror.Revision(), revision)
		}
	}
}
