package shardmanager_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo/memory"
)

// Guards against leases that run out at all servers because the manager's node has no path to them.
func TestManagerWithoutAPathToServersIsReplaced(t *testing.T) {
	store := memory.New()
	for _, id := range []string{"a", "b", "c"} {
		store.Write("servers/"+id, []byte("address "+id))
	}
	first, _ := startManager(t, store, "n1")
	waitFor(t, "the first manager grants", func() bool { return first.count() > 0 })
	second, _ := startManager(t, store, "n2")
	cutAt := time.Now()
	first.cutOff()
	waitFor(t, "the second manager grants", func() bool { return second.count() > 0 })
	if took, lease := time.Since(cutAt), shards.DefaultOptions().Lease; took > lease-shards.DefaultOptions().RenewInterval {
		t.Errorf("another manager granted after %v, leases last %v", took, lease)
	}
}
