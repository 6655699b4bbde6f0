package mirror_test

import (
	"testing"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
)

// Guards against a key that stays in a copy because the sender's copies were made before and after its life.
func TestDifferenceOfCopiesAppliesOnlyToTheFirstOfThem(t *testing.T) {
	const first, between, second = 10, 15, 20
	before := []topo.Item{item("a", "1", 3), item("b", "1", 4)}
	after := []topo.Item{item("a", "2", 18)}
	for _, test := range []struct {
		name     string
		items    []topo.Item
		revision int64
		reached  int64
	}{
		{"first copy", before, first, second},
		{"copy between", append([]topo.Item{item("short-lived", "1", between-1)}, before...), between, between},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := make(chan topo.Batch, 2)
			sender := mirror.New(memory.New(), newRecorder(), zap.NewNop())
			sender.SetObserver(observer{changed: changed})
			sender.ReplaceCopy(before, first)
			<-changed
			sender.ReplaceCopy(after, second)
			follower, received := adopted(test.items, test.revision)
			follower.ApplyBatch(<-changed)
			if follower.Revision() != test.reached {
				t.Errorf("the copy has revision %d, want %d", follower.Revision(), test.reached)
			}
			if follower.Revision() == second && (received.value("short-lived") != "" || received.value("b") != "" || received.value("a") != "2") {
				t.Errorf("the copy is %v, want that of the sender", received.values)
			}
			if copied, _ := follower.Export(); copied.Deletions.Since != test.reached {
				t.Errorf("deletions are known since %d, want %d", copied.Deletions.Since, test.reached)
			}
		})
	}
}
