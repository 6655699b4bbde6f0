package shardmanager

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

// suspendingOrders suspends the machine before each grant is sent, and gets no answers.
type suspendingOrders struct {
	length    time.Duration
	suspended time.Duration
}

func (o *suspendingOrders) Grant(context.Context, shards.Grant) shards.Outcome {
	o.suspended += o.length
	return shards.Unanswered
}

func (o *suspendingOrders) Release(context.Context, shards.Release) (shards.Outcome, string) {
	return shards.NotSent, ""
}

func (o *suspendingOrders) Check(context.Context, shards.Release) shards.Outcome {
	return shards.Accepted
}

func (o *suspendingOrders) Prune(time.Time) {}

// Guards against a late grant that counts from before its machine was suspended, although it was sent after.
func TestGrantSentAfterASuspensionIsWaitedForSinceThen(t *testing.T) {
	orders := &suspendingOrders{length: 20 * time.Second}
	config := Config{
		Self: view.Node{Name: "n1", Process: "p1"}, Store: memory.New(), Orders: orders, Notices: discardNotices{},
		Views:   view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop()),
		Options: shards.DefaultOptions(), Clock: func() time.Duration { return clock.Boot() + orders.suspended }, Logger: zap.NewNop(),
	}
	previous := &shards.Map{
		Service: "s", Epoch: 1, Author: shards.Author{Node: "n0", Process: "p0", Epoch: 1}, Resigned: true,
		Ranges: []shards.Range{{Last: shards.LastKey, Owner: "a", Address: "a", Fence: 1 << 20}},
	}
	core := shards.NewManager("s", 2, shards.Author{Node: "n1", Process: "p1", Epoch: 2}, previous, config.Options, 0)
	core.InitialMapCommitted(0)
	current := newTerm(New(config, "s"), &candidacy{epoch: 2, core: core})
	current.ordersCtx = context.Background()
	grants := core.Tick(0).Grants
	if len(grants) != 1 {
		t.Fatalf("%d grants, want 1", len(grants))
	}
	current.grant(grants[0])
	if wait := current.delayedGrantsWait(); wait < config.Options.MaxCommandDelay-time.Second {
		t.Errorf("the term waits for %v, want %v", wait, config.Options.MaxCommandDelay)
	}
}
