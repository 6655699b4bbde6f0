package router

import (
	"encoding/json"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// Sizes of a large deployment.
const (
	manyNodes   = 295
	manyServers = 800
)

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

func mustEncode(b *testing.B, value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	return encoded
}

func manyItems(b *testing.B) []topo.Item {
	spec := routing.Spec{
		Version:  1,
		Routes:   []routing.Route{{Name: "r", Host: "h", PathPrefix: "/", Timeout: 1, Backends: []routing.Backend{{Service: "a", Weight: 1}}}},
		Services: []routing.Service{{Name: "a", MaxConnections: 1800}, {Name: "b", MaxConnections: 1800}, {Name: "c", MaxConnections: 1800}},
	}
	items := []topo.Item{{Key: "table", Value: mustEncode(b, spec), Revision: 1}}
	for index := range manyServers {
		id := fmt.Sprintf("i-%08x", index*7919)
		server := discovery.Server{ID: discovery.ServerID(id), Service: string(rune('a' + index%3)), Address: "127.0.0.1:1", Zone: "z", Slots: 2}
		items = append(items, topo.Item{Key: "servers/" + id, Value: mustEncode(b, server), Revision: int64(index + 2)})
	}
	for index := range manyNodes {
		node := view.Node{Name: fmt.Sprintf("edge-zone-%d", index), Zone: fmt.Sprint("z", index%5), Address: fmt.Sprint("127.0.0.1:", index), Process: "p", Share: 0.16}
		items = append(items, topo.Item{Key: view.NodeKey(node.Name), Value: mustEncode(b, node), Revision: int64(index + 2)})
	}
	return items
}

// BenchmarkServerChange measures what a node does when one server's entry changes.
func BenchmarkServerChange(b *testing.B) {
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, jsonDocuments{}, zap.NewNop())
	dispatch.New(dispatch.Options{Zone: "z"}, views, zap.NewNop())
	changes := newChangeFeed(view.Node{Name: "edge-zone-100", Zone: "z1", Address: "127.0.0.1:100"}, nil, zap.NewNop())
	views.Subscribe(changes.follow)
	items := manyItems(b)
	views.Replace(items, 2000)
	b.ReportAllocs()
	revision := int64(2000)
	for b.Loop() {
		revision++
		changed := items[1+int(revision)%manyServers]
		changed.Revision = revision
		views.Apply([]topo.Event{{Item: changed}}, revision)
	}
}
