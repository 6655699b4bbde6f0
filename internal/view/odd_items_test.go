package view_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// onlyDocument is a view.Documents that accepts the one server entry of the usual state.
type onlyDocument struct{ incarnationDocuments }

func (onlyDocument) Table([]byte) (routing.Spec, error) {
	return routing.Spec{}, errors.New("odd table")
}

func (d onlyDocument) Server(instance string, text []byte) (discovery.Server, error) {
	if string(text) != "1000" {
		return discovery.Server{}, errors.New("odd server entry")
	}
	return d.incarnationDocuments.Server(instance, text)
}

// oddValues are values that no process of the router writes.
func oddValues() map[string]string {
	const large = 1 << 18
	return map[string]string{
		"empty":        "",
		"null":         "null",
		"number":       "7",
		"text":         `"text"`,
		"list":         "[]",
		"no fields":    "{}",
		"truncated":    `{"name":"odd","zone":"z","addr`,
		"wrong types":  `{"name":7,"era":"1","process":[],"epoch":{},"share":"1"}`,
		"large number": `{"name":"odd","share":1e400,"era":1e400,"epoch":1e400}`,
		"long number":  `{"share":` + strings.Repeat("9", large) + `,"era":` + strings.Repeat("9", large) + `,"epoch":` + strings.Repeat("9", large) + `}`,
		"nested":       strings.Repeat("[", large),
		"nested field": strings.Repeat(`{"name":`, large),
		"binary":       "\x00\xff\xfe",
		"long text":    strings.Repeat("x", large),
	}
}

// oddKeys are the kinds of keys that a view consists of.
func oddKeys() []string {
	return []string{
		"table", serverKey, view.NodeKey("n"), view.ManagerKey("s"), view.OwnersKey("s", 0), view.OwnersKey("s", 7),
		view.RetirementKey("s", "n"), view.HeadsKey, "evacuations/z", "micahaven/unknown",
		"micahaven/owners/", "micahaven/nodes/", "micahaven/managers/", "servers/",
	}
}

// usual is a state in which each kind of key has a proper value.
func usual(t *testing.T) []topo.Item {
	t.Helper()
	encode := func(value any) []byte {
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	node := view.Node{Name: "n", Zone: "z", Address: "127.0.0.1:1", Process: "01", Share: 1}
	return []topo.Item{
		{Key: serverKey, Value: []byte("1000"), Revision: 1},
		{Key: view.NodeKey("n"), Value: encode(node), Revision: 2},
		{Key: view.ManagerKey("s"), Value: encode(view.Manager{Node: node}), Revision: 3},
		{Key: view.OwnersKey("s", 0), Value: encodedMap(t, 2, 7), Revision: 4},
		{Key: view.RetirementKey("s", "n"), Value: encode(view.Retirement{Process: "00", Epoch: 1}), Revision: 5},
	}
}

func requireUsual(t *testing.T, current *view.View, when string) {
	t.Helper()
	if current.Nodes.Get("n").Process != "01" || current.Managers["s"].Name != "n" || current.Owners["s"].Epoch != 2 ||
		current.ManagerState("s", "n", "00", 1) != shards.Retired {
		t.Errorf("%s: node %+v, manager %+v, map of epoch %d, want those from before", when, current.Nodes.Get("n"),
			current.Managers["s"], current.Owners["s"].Epoch)
	}
}

// Guards against a view that an odd value of any kind ends, stops or changes.
func TestOddValuesOfAllKindsAreIgnored(t *testing.T) {
	const longestLine = 2000
	for name, odd := range oddValues() {
		for _, key := range oddKeys() {
			logged, lines := observer.New(zapcore.InfoLevel)
			layout := view.Layout{TableKey: "table", ServerPrefix: "servers/", EvacuationPrefix: "evacuations/"}
			builder := view.NewBuilder(layout, onlyDocument{}, zap.New(logged))
			builder.Replace(usual(t), 5)
			builder.Apply([]topo.Event{{Item: topo.Item{Key: key, Value: []byte(odd), Revision: 6}}}, 6)
			requireUsual(t, builder.Current(), name+" at "+key)
			builder.Apply([]topo.Event{{Item: nodeItem(t, "02", 7)}}, 7)
			if process := builder.Current().Nodes.Get("n").Process; process != "02" {
				t.Errorf("%s at %s: the change after it is not applied, process %s", name, key, process)
			}
			for _, line := range lines.All() {
				if text := fmt.Sprint(line.ContextMap()["error"]); len(text) > longestLine {
					t.Errorf("%s at %s: an error of %d bytes is logged, want %d at most", name, key, len(text), longestLine)
				}
			}
		}
	}
}

// Guards against a node that starts with odd values and does not come to a view.
func TestOddValuesInTheFirstList(t *testing.T) {
	items := usual(t)
	for name, odd := range oddValues() {
		for _, prefix := range []string{"servers/", view.NodeKey(""), view.ManagerKey(""), view.OwnersKey("", 0), view.RetirementKey("s", ""), "evacuations/"} {
			items = append(items, topo.Item{Key: prefix + "odd " + name, Value: []byte(odd), Revision: 6})
		}
	}
	items = append(items, topo.Item{Key: "table", Value: []byte("null"), Revision: 6}, topo.Item{Key: view.HeadsKey, Value: []byte("null"), Revision: 6})
	builder := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/", EvacuationPrefix: "evacuations/"}, onlyDocument{}, zap.NewNop())
	builder.Replace(items, 6)
	current := builder.Current()
	requireUsual(t, current, "first list")
	if current.Servers.Len() != 1 || current.Nodes.Len() != 1 || len(current.Managers) != 1 || len(current.Owners) != 1 || len(current.Retired) != 1 {
		t.Errorf("%d servers, %d nodes, %d managers, %d maps, %d retirements, want one of each", current.Servers.Len(), current.Nodes.Len(),
			len(current.Managers), len(current.Owners), len(current.Retired))
	}
	var deleted []topo.Event
	for _, item := range items[len(usual(t)):] {
		deleted = append(deleted, topo.Event{Item: topo.Item{Key: item.Key, Revision: 7}, Deleted: true})
	}
	builder.Apply(deleted, 7)
	requireUsual(t, builder.Current(), "after the odd values were deleted")
}

// Guards against entries of nodes that no node writes and that outrank all nodes.
func TestNodeEntriesOfOtherWritersAreIgnored(t *testing.T) {
	for _, odd := range []string{
		`{"name":"other","zone":"z","address":"127.0.0.1:1","process":"01","share":1}`,
		`{"zone":"z","address":"127.0.0.1:1","process":"01","share":1}`,
		`{"name":"n","zone":"z","address":"127.0.0.1:1","process":"01","share":1e300}`,
		`{"name":"n","zone":"z","address":"127.0.0.1:1","process":"01","share":-1}`,
		`{}`,
	} {
		builder, _ := withServer()
		builder.Apply([]topo.Event{{Item: topo.Item{Key: view.NodeKey("n"), Value: []byte(odd), Revision: 2}}}, 2)
		if nodes := builder.Current().Nodes; nodes.Len() != 0 {
			t.Errorf("%s names the node %+v", odd, nodes.Get("n"))
		}
	}
}
