package router

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

func TestRegistrationThatWasLostIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	store := memory.New()
	self := view.Node{Name: "n1", Process: "p1"}
	registered := &registration{self: self, store: store, logger: zap.NewNop(), regained: func() {}}
	lease, _, err := store.GrantLease(ctx, nodeTTL)
	if err != nil {
		t.Fatal(err)
	}
	// The lease is in the copy, the entry is not.
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
