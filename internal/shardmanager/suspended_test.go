package shardmanager_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo/memory"
)

// Guards against a manager that, after its machine was suspended, renews grants of keys that may
// have had another owner for long. A manager that the store refuses continues to renew grants for
// 60 s, and its successor relies on that bound. The monotonic clock stops while the machine is
// suspended, so measured by it the manager would have all of that time left.
func TestManagerThatSleptForLongRenewsNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		slept  time.Duration
		renews bool
	}{
		{"for less than its authority lasts", 20 * time.Second, true},
		{"for longer", 70 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := memory.New()
			store.Write("servers/a", []byte("address a"))
			refused := &refusingStore{crashableStore{Store: store}}
			machine := &suspendableClock{}
			sent, _ := startManagerWithClock(t, refused, "n1", newViews(), notices{}, machine.now)
			waitFor(t, "the manager grants", func() bool { return sent.count() > 0 })
			refused.crash()
			machine.suspend(c.slept)
			// Orders that were in flight when the machine was suspended may still arrive.
			time.Sleep(300 * time.Millisecond)
			before := sent.count()
			time.Sleep(3 * shards.DefaultOptions().RenewInterval)
			if renewed := sent.count() > before; renewed != c.renews {
				t.Errorf("%d renewals after the suspension, want some: %v", sent.count()-before, c.renews)
			}
		})
	}
}
