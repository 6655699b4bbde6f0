package shardmanager

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

// discardNotices discards all notices.
type discardNotices struct{}

func (discardNotices) Moving(string, uint64, []shards.Range)         {}
func (discardNotices) PublishItem(topo.Item)                         {}
func (discardNotices) NotifyPredecessors([]shards.Author, topo.Item) {}
func (discardNotices) TermOver(string, uint64)                       {}

func TestRetirementThatWasLostIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	store := memory.New()
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop())
	self := view.Node{Name: "n1", Process: "p1"}
	retired := New(Config{Self: self, Store: store, Views: views, Notices: discardNotices{}, Clock: clock.Boot, Logger: zap.NewNop()}, "s")
	saved := store.Save()
	retired.writeRetirement(ctx, 1)
	store.Restore(saved)
	successor := shards.Map{
		Service: "s", Epoch: 2, Author: shards.Author{Node: "n2", Process: "p2", Epoch: 2},
		Pending: []shards.Author{{Node: self.Name, Process: self.Process, Epoch: 1}},
		Ranges:  []shards.Range{{Last: shards.LastKey, Owner: "a", Address: "a", Fence: 2 << 20}},
	}
	encoded, err := successor.Encode()
	if err != nil {
		t.Fatal(err)
	}
	at := topo.RevisionIn(1, 1)
	views.Apply([]topo.Event{{Item: topo.Item{Key: view.OwnersKey("s", 1), Value: encoded, Revision: at}}}, at)
	retired.retirePastTerms(ctx)
	items, _, err := store.List(ctx, view.RetirementKey("s", self.Name))
	if err != nil || len(items) != 1 {
		t.Fatalf("%d retirements in the restored store, error %v, want 1", len(items), err)
	}
	writes := store.Calls("commit")
	retired.retirePastTerms(ctx)
	if more := store.Calls("commit") - writes; more != 0 {
		t.Errorf("%d more writes, want none", more)
	}
}

func TestOthersDoNotCampaignBeforeTheyHaveACopyOfTheNewEra(t *testing.T) {
	store := memory.New()
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop())
	other := New(Config{Self: view.Node{Name: "n1", Process: "p1"}, Store: store, Views: views, Clock: clock.Boot, Logger: zap.NewNop()}, "s")
	if other.lockTaken() {
		t.Fatal("the lock counts as taken although nobody has it")
	}
	store.Restore(store.Save())
	if !other.lockTaken() {
		t.Fatal("the lock counts as free although this node has no copy of the new era")
	}
	at := topo.RevisionIn(1, 1)
	views.Apply(nil, at)
	if other.lockTaken() {
		t.Fatal("the lock counts as taken although nobody has it in the new era")
	}
}
