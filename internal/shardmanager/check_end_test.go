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

// silentChecks gets no answers to checks.
type silentChecks struct{ suspendingOrders }

func (o *silentChecks) Check(ctx context.Context, _ shards.Release) shards.Outcome {
	<-ctx.Done()
	return shards.NotSent
}

// Guards against a resignation that waits for checks of servers that do not answer.
func TestResignationDoesNotWaitForChecks(t *testing.T) {
	config := Config{
		Self: view.Node{Name: "n1", Process: "p1"}, Store: memory.New(), Orders: &silentChecks{}, Notices: discardNotices{},
		Views:   view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop()),
		Options: shards.DefaultOptions(), Clock: clock.Boot, Logger: zap.NewNop(),
	}
	core := shards.NewManager("s", 2, shards.Author{Node: "n1", Process: "p1", Epoch: 2}, nil, config.Options, 0)
	current := newTerm(New(config, "s"), &candidacy{epoch: 2, core: core, lock: lock{renewedAt: clock.Boot()}})
	current.ordersCtx, current.cancelOrders = context.WithCancel(context.Background())
	current.mutex.Lock()
	current.execute(t.Context(), shards.Commands{Checks: []shards.Release{{Owner: "silent"}}}, 0)
	current.mutex.Unlock()
	current.stopOrders()
	begin := time.Now()
	current.drainOrders(t.Context())
	if took := time.Since(begin); took > 100*time.Millisecond {
		t.Errorf("the resignation waited %v for a check", took)
	}
}
