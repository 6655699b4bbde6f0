package router

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// Starting heads must not wait for each other's copies if the nodes that list the store are gone.
func TestRestartWithoutTheListersIsNotDelayed(t *testing.T) {
	const keys, bound = 500, 2500 * time.Millisecond
	for _, otherZone := range []bool{false, true} {
		t.Run(fmt.Sprint("copy in another zone: ", otherZone), func(t *testing.T) {
			store := storeWith(keys)
			record := &wire.HeadsRecord{Keys: 12000, Nodes: 985}
			for port := 1; port <= startListersPerZone; port++ {
				record.Heads = append(record.Heads, &wire.NodeAddress{Address: fmt.Sprint("127.0.0.1:", port), Zone: "z1"})
			}
			var nodes []*copyNode
			for index := range 8 {
				node := newCopyNode(t, store, fmt.Sprint("n", index))
				node.mirror.SetCopySource(copyFetcher{
					peers: node.peers, record: &headsRecord{store: store, feed: node.feed, mirror: node.mirror, logger: zap.NewNop()}, readsPerSecond: 16000,
				})
				nodes = append(nodes, node)
				record.Heads = append(record.Heads, &wire.NodeAddress{Address: node.self.Address, Zone: "z1"})
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*firstStartTimeout)
			defer cancel()
			if otherZone {
				other := newCopyNode(t, store, "other")
				record.Heads = append(record.Heads, &wire.NodeAddress{Address: other.self.Address, Zone: "z2"})
				other.runRegistered(ctx, store)
				other.awaitCopy(t)
			}
			value, err := proto.Marshal(record)
			if err != nil {
				t.Fatal(err)
			}
			store.Write(view.HeadsKey, value)
			startedAt := time.Now()
			var group sync.WaitGroup
			for _, node := range nodes {
				node.runRegistered(ctx, store)
				group.Go(func() {
					for ctx.Err() == nil {
						if _, _, listed := node.mirror.Snapshot(); listed {
							return
						}
						time.Sleep(time.Millisecond)
					}
				})
			}
			group.Wait()
			if took := time.Since(startedAt); took > bound {
				t.Errorf("all nodes have a copy after %v, want %v at most", took, bound)
			}
		})
	}
}

// A node must not wait for its next round of requests once its time to wait for a copy is over.
func TestWaitForACopyEndsInTime(t *testing.T) {
	const total, bound = 50 * time.Millisecond, 120 * time.Millisecond
	empty, started := newCopyNode(t, storeWith(0), "empty"), newCopyNode(t, storeWith(0), "started")
	providers := []*wire.NodeAddress{{Address: empty.self.Address, Zone: empty.self.Zone}}
	startedAt := time.Now()
	_, found := copyFetcher{peers: started.peers}.awaitCopy(t.Context(), providers, 0, waitLimits{noReply: firstStartNoReplyTimeout, total: total})
	if took := time.Since(startedAt); found || took < total || took > bound {
		t.Errorf("found: %v, after %v, want none after %v to %v", found, took, total, bound)
	}
}
