package router

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/delta"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/handoff"
	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// fleetSize is the size of a deployment.
type fleetSize struct{ nodes, servers int }

var (
	smallFleet = fleetSize{nodes: 100, servers: 1_000}
	largeFleet = fleetSize{nodes: 985, servers: 10_000}
)

func (s fleetSize) String() string { return fmt.Sprintf("%d-%d", s.nodes, s.servers) }

// jsonDocuments reads entries that are the router's own types as JSON.
type jsonDocuments struct{}

func (jsonDocuments) Table(text []byte) (routing.Spec, error) {
	var spec routing.Spec
	return spec, json.Unmarshal(text, &spec)
}

func (jsonDocuments) Server(_ string, text []byte) (discovery.Server, error) {
	var server discovery.Server
	return server, json.Unmarshal(text, &server)
}

func mustEncode(tb testing.TB, value any) []byte {
	tb.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		tb.Fatal(err)
	}
	return encoded
}

const fleetZones = 5

// fleet holds the parts of one node that subscribe to changes of the store, with a deployment of
// a given size in its view.
type fleet struct {
	views    *view.Builder
	size     fleetSize
	items    []topo.Item
	revision int64
}

func newFleet(tb testing.TB, size fleetSize) *fleet {
	tb.Helper()
	f := &fleet{size: size}
	f.views = view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, jsonDocuments{}, zap.NewNop())
	self := view.Node{Name: "edge-zone-100", Zone: "z1", Address: "127.0.0.1:100"}
	dispatcher := dispatch.New(dispatch.Options{Node: self.Name, Zone: self.Zone}, f.views, zap.NewNop())
	changes := newChangeFeed(self, nil, zap.NewNop())
	f.views.Subscribe(changes.updateMembers)
	sender := handoff.NewSender(self.Name, transport.NewClient(&wire.Hello{}, nil), zap.NewNop())
	f.views.Subscribe(sender.SetView)
	dispatcher.SetHandoffSender(sender)
	f.items = fleetItems(tb, size)
	f.revision = int64(len(f.items)) + 1
	f.views.Replace(f.items, f.revision)
	return f
}

// fleetItems returns the items of a store: a table, servers of three services, nodes.
func fleetItems(tb testing.TB, size fleetSize) []topo.Item {
	tb.Helper()
	spec := routing.Spec{
		Version:  1,
		Routes:   []routing.Route{{Name: "r", Host: "h", PathPrefix: "/", Timeout: 1, Backends: []routing.Backend{{Service: "a", Weight: 1}}}},
		Services: []routing.Service{{Name: "a", MaxConnections: 1800, ShardedByKey: true}, {Name: "b", MaxConnections: 1800}, {Name: "c", MaxConnections: 1800}},
	}
	items := []topo.Item{{Key: "table", Value: mustEncode(tb, spec), Revision: 1}}
	for index := range size.servers {
		items = append(items, topo.Item{Key: serverKey(index), Value: serverEntry(tb, index, discovery.Ready), Revision: int64(index + 2)})
	}
	for index := range size.nodes {
		items = append(items, nodeItem(tb, index, "p", int64(index+2)))
	}
	return items
}

func serverKey(index int) string { return fmt.Sprintf("servers/i-%08x", index*7919) }

func serverEntry(tb testing.TB, index int, state discovery.State) []byte {
	tb.Helper()
	return mustEncode(tb, discovery.Server{
		ID: discovery.ServerID(fmt.Sprintf("i-%08x", index*7919)), Service: string(rune('a' + index%3)),
		Address: fmt.Sprint("127.0.0.1:", index), Zone: fmt.Sprint("z", index/3%fleetZones), Slots: 2, State: state,
	})
}

func nodeItem(tb testing.TB, index int, process string, revision int64) topo.Item {
	tb.Helper()
	node := view.Node{
		Name: fmt.Sprintf("edge-zone-%d", index), Zone: fmt.Sprint("z", index%fleetZones),
		Address: fmt.Sprint("127.0.0.1:", index), Process: process, Share: 0.16,
	}
	return topo.Item{Key: view.NodeKey(node.Name), Value: mustEncode(tb, node), Revision: revision}
}

func (f *fleet) apply(item topo.Item) {
	f.revision++
	item.Revision = f.revision
	f.views.Apply([]topo.Event{{Item: item}}, f.revision)
}

// BenchmarkServerChange measures what a node does when one server's entry changes.
func BenchmarkServerChange(b *testing.B) {
	for _, size := range []fleetSize{smallFleet, largeFleet} {
		b.Run(size.String(), func(b *testing.B) {
			f := newFleet(b, size)
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				f.apply(f.items[1+index%size.servers])
			}
		})
	}
}

// BenchmarkNodeChange measures what a node does when another one restarts.
func BenchmarkNodeChange(b *testing.B) {
	for _, size := range []fleetSize{smallFleet, largeFleet} {
		b.Run(size.String(), func(b *testing.B) {
			f := newFleet(b, size)
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				f.apply(nodeItem(b, index%size.nodes, fmt.Sprint("p", index), 0))
			}
		})
	}
}

// bytesPerChange returns how many bytes a node allocates for the change of one server. They grow
// with the number of servers whose state it copies or rebuilds.
func bytesPerChange(tb testing.TB, size fleetSize) float64 {
	tb.Helper()
	const changes = 2000
	f := newFleet(tb, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for index := range changes {
		f.apply(f.items[1+index%size.servers])
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / changes
}

// The cost of a change of one server must not grow with the number of servers and nodes.
func TestAChangeCostsTheSameInALargeFleet(t *testing.T) {
	const maxRatio = 2
	small, large := bytesPerChange(t, smallFleet), bytesPerChange(t, largeFleet)
	if large > maxRatio*small {
		t.Errorf("a change allocates %.0f bytes with %v and %.0f with %v, want at most %d times as many", small, smallFleet, large, largeFleet, maxRatio)
	}
}

// BenchmarkFleetMemory reports the memory that a node uses for its view of a deployment.
func BenchmarkFleetMemory(b *testing.B) {
	for _, size := range []fleetSize{smallFleet, largeFleet} {
		b.Run(size.String(), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := newFleet(b, size)
				f.items = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
				runtime.KeepAlive(f)
			}
		})
	}
}

// ownerItem returns an owner map with two ranges for each server of the sharded service, one
// of which has moved to another owner.
func ownerItem(tb testing.TB, size fleetSize, revision int) topo.Item {
	tb.Helper()
	owners := &shards.Map{Service: "a", Epoch: 1}
	pieces := 2 * (size.servers/3 + 1)
	for piece := range pieces {
		index := 3 * (piece % (size.servers/3 + 1))
		if piece == revision%pieces {
			index = 0
		}
		owners.Ranges = append(owners.Ranges, shards.Range{
			First: uint32(piece * shards.KeyCount / pieces), Last: uint32((piece+1)*shards.KeyCount/pieces - 1),
			Owner: discovery.ServerID(fmt.Sprintf("i-%08x", index*7919)), Address: fmt.Sprintf("10.128.%d.%d:8080", index>>8, index&255),
			Fence: uint64(10_000 + piece), Handover: fmt.Sprintf("%016x", piece),
		})
	}
	encoded, err := owners.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	return topo.Item{Key: view.OwnersKey("a", 0), Value: encoded}
}

// BenchmarkOwnerChange measures what a node does when a range moves to another owner.
func BenchmarkOwnerChange(b *testing.B) {
	for _, size := range []fleetSize{smallFleet, largeFleet} {
		b.Run(size.String(), func(b *testing.B) {
			f := newFleet(b, size)
			items := []topo.Item{ownerItem(b, size, 1), ownerItem(b, size, 2)}
			b.SetBytes(int64(len(items[0].Value)))
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				f.apply(items[index%2])
			}
		})
	}
}

// BenchmarkOwnerChangeAsDelta measures the same including the mirror, for a node that gets the
// change from another node as a delta.
func BenchmarkOwnerChangeAsDelta(b *testing.B) {
	for _, size := range []fleetSize{smallFleet, largeFleet} {
		b.Run(size.String(), func(b *testing.B) {
			f := newFleet(b, size)
			copied := mirror.New(nil, f.views, zap.NewNop())
			items := []topo.Item{ownerItem(b, size, 1), ownerItem(b, size, 2)}
			first := items[0]
			first.Revision = f.revision
			copied.ReplaceCopy(append(f.items, first), f.revision)
			deltas := [][]byte{delta.Make(items[0].Value, items[1].Value), delta.Make(items[1].Value, items[0].Value)}
			b.SetBytes(int64(len(items[0].Value)))
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				next := items[(index+1)%2]
				event := topo.Event{Item: topo.Item{Key: next.Key, Revision: f.revision + 1}, Delta: deltas[index%2], BaseRevision: f.revision}
				copied.ApplyBatch(topo.Batch{After: f.revision, Revision: f.revision + 1, Events: []topo.Event{event}})
				f.revision++
			}
			b.ReportMetric(float64(len(deltas[0])), "delta-bytes")
		})
	}
}
