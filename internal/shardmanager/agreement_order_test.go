package shardmanager

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// recordedGrants records the grants that are sent.
type recordedGrants struct {
	Orders
	mutex sync.Mutex
	sent  []shards.Grant
}

func (r *recordedGrants) Grant(_ context.Context, grant shards.Grant) shards.Outcome {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent = append(r.sent, grant)
	return shards.Accepted
}

// Guards against grants over connections that were opened after a successor began, in the step in which this becomes known.
func TestConnectionsMustBeOlderThanTheView(t *testing.T) {
	const outage = 10 * time.Second
	now := time.Minute
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop())
	grants := &recordedGrants{}
	manager := New(Config{
		Self: view.Node{Name: "n1", Process: "p1"}, Views: views, Orders: grants, Notices: discardNotices{},
		Clock: func() time.Duration { return now }, Logger: zap.NewNop(),
	}, "s")
	owned := []shards.Range{{First: 0, Last: shards.LastKey, Owner: "a", Address: "a", Fence: 1}}
	first := &shards.Map{Service: "s", Epoch: 1, Sequence: 1, Author: shards.Author{Node: "n1", Process: "p1", Epoch: 1}, Ranges: owned}
	successor := &shards.Map{Service: "s", Epoch: 3, Sequence: 1, Author: shards.Author{Node: "n2", Process: "p2", Epoch: 3}, Ranges: owned}
	encoded, err := successor.Encode()
	if err != nil {
		t.Fatal(err)
	}
	// The successor's map and the confirmation of a copy that has it arrive together.
	manager.config.AgreedAt = func() time.Duration {
		views.Apply([]topo.Event{{Item: topo.Item{Key: view.OwnersKey("s", 0), Value: encoded, Revision: 2}}}, 2)
		return now
	}
	term := &term{
		manager: manager, lock: &lock{}, epoch: 2, start: now - 2*outage, renewedAt: now - outage, storeFailed: true,
		core:    shards.NewManager("s", 2, shards.Author{Node: "n1", Process: "p1", Epoch: 2}, first, shards.DefaultOptions(), 0),
		endTerm: func() {}, ordersCtx: context.Background(), speeds: make(speeds), knownServers: make(map[discovery.ServerID]bool),
	}
	term.core.InitialMapCommitted(0)
	// The map is not to be written.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	term.step(ctx)
	term.inFlight.Wait()
	for _, grant := range grants.sent {
		if grant.ConnectedBy > term.renewedAt {
			t.Fatalf("a grant may use connections opened until %v, after the successor began", grant.ConnectedBy)
		}
	}
}
