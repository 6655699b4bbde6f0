package views

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/gossip"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/wire"
)

func rowItem(t *testing.T, number int) *wire.GossipItem {
	row := &table.Row{Service: "formula", Site: fmt.Sprintf("site-%d", number), Weight: 1, ConnectionLimit: 100, Slots: 2}
	change := table.Change{Row: row}
	value, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.GossipItem{Key: change.Key(), Major: 1, Value: value}
}

// TestNewsFromSeveralSidesIsNotLost runs Refresh concurrently, as the key-value service and other
// nodes do: the final table must contain all items. It guards against a reader that read the items
// early and replaced a newer table with its older one.
func TestNewsFromSeveralSidesIsNotLost(t *testing.T) {
	const rounds, sources = 200, 8
	for round := range rounds {
		items := gossip.NewItems()
		v := New(items, zap.NewNop())
		var arriving sync.WaitGroup
		for source := range sources {
			item := rowItem(t, source)
			arriving.Go(func() { v.Refresh(items.Merge([]*wire.GossipItem{item})) })
		}
		arriving.Wait()
		if got := len(v.Table().Rows); got != sources {
			t.Fatalf("round %d: the table has %d rows, want %d", round, got, sources)
		}
	}
}
