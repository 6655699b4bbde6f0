package shardmanager

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

// Guards against grants from before a restore that reach a process which knows no fence of a successor that the restore lost.
func TestContinuedGrantsUseConnectionsFromBeforeALostSuccessor(t *testing.T) {
	const outage = 10 * time.Second
	now := time.Minute
	store := memory.New()
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop())
	grants := &recordedGrants{}
	manager := New(Config{
		Self: view.Node{Name: "n1", Process: "p1"}, Store: store, Views: views, Orders: grants, Notices: discardNotices{},
		Options: shards.DefaultOptions(), Clock: func() time.Duration { return now }, Logger: zap.NewNop(),
	}, "s")
	author := shards.Author{Node: "n1", Process: "p1", Epoch: 1}
	owned := []shards.Range{{First: 0, Last: shards.LastKey, Owner: "a", Address: "a", Fence: 1 << 20}}
	before := &term{manager: manager, lock: &lock{}, epoch: 2, start: now - 2*outage, renewedAt: now - outage}
	before.core = shards.NewManager("s", 1, author, &shards.Map{Service: "s", Epoch: 1, Author: author, Ranges: owned}, shards.DefaultOptions(), 0)
	before.core.InitialMapCommitted(0)
	store.Restore(store.Save())
	frozen := before.freeze()
	if !frozen.Incomplete {
		t.Fatal("the map is complete, although a successor may be lost")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next, err := manager.campaign(ctx, frozen)
	if err != nil {
		t.Fatal(err)
	}
	next.endTerm, next.ordersCtx = func() {}, ctx
	next.lastServers, next.lastServersAt = views.Current().Servers, time.Now().Add(time.Hour)
	next.core.SetServers([]shards.Server{{ID: discovery.ServerID("a"), Address: "a", Capacity: 1, Accepting: true}})
	next.step(ctx)
	next.inFlight.Wait()
	if len(grants.sent) == 0 {
		t.Fatal("no grant is renewed")
	}
	for _, grant := range grants.sent {
		if grant.ConnectedBy > before.renewedAt {
			t.Fatalf("a grant of before the restore may use connections opened until %v, want %v, when the lock was last held", grant.ConnectedBy, before.renewedAt)
		}
	}
}
