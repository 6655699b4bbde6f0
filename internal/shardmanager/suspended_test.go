package shardmanager_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo/memory"
)

// A manager that the store turns away goes on renewing grants for 60 s, and its successor
// counts on it that this ends then. On a machine that was suspended for longer the steady
// clock stands still: measured by it the manager had all of its time left, and renewed
// grants of keys that may long have had another owner.
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
			refused := &unserved{crashable{Store: store}}
			machine := &suspendable{}
			sent, _ := suspendableCandidate(t, refused, "n1", newViews(), notices{}, machine.now)
			waitFor(t, "the manager grants", func() bool { return sent.count() > 0 })
			refused.crash()
			machine.sleep(c.slept)
			// What was on its way when it slept may still arrive.
			time.Sleep(300 * time.Millisecond)
			before := sent.count()
			time.Sleep(3 * shards.DefaultOptions().Renew)
			if renewed := sent.count() > before; renewed != c.renews {
				t.Errorf("%d renewals after it slept, want some: %v", sent.count()-before, c.renews)
			}
		})
	}
}
