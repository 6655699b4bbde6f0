package view_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

func encodedMap(t *testing.T, epoch, sequence uint64) []byte {
	t.Helper()
	written := shards.Map{
		Service: "s", Epoch: epoch, Sequence: sequence, Author: shards.Author{Node: "n", Process: "p", Epoch: epoch},
		Ranges: []shards.Range{{Last: shards.LastKey, Owner: "a", Address: "a", Fence: epoch << 20}},
	}
	encoded, err := written.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func TestOlderOwnerMapOfARestoredStoreIsIgnored(t *testing.T) {
	builder, _ := withServer()
	put := func(key string, epoch, sequence uint64, revision int64) {
		builder.Apply([]topo.Event{{Item: topo.Item{Key: key, Value: encodedMap(t, epoch, sequence), Revision: revision}}}, revision)
	}
	wants := func(epoch, sequence uint64) {
		t.Helper()
		if known := builder.Current().Owners["s"]; known.Epoch != epoch || known.Sequence != sequence {
			t.Fatalf("map with sequence %d of epoch %d, want sequence %d of epoch %d", known.Sequence, known.Epoch, sequence, epoch)
		}
	}
	put(view.OwnersKey("s", 0), 2, 7, 10)
	restored := topo.RevisionIn(1, 5)
	put(view.OwnersKey("s", 0), 2, 6, restored)
	wants(2, 7)
	put(view.OwnersKey("s", 0), 1, 9, restored+1)
	wants(2, 7)
	put(view.OwnersKey("s", 1), 2, 8, restored+2)
	wants(2, 8)
	put(view.OwnersKey("s", 1), 3, 1, restored+3)
	wants(3, 1)
}

func TestKeysOfOwnerMapsNameServiceAndEra(t *testing.T) {
	for _, service := range []string{"s", "s/t", "s/era/x"} {
		for _, era := range []int64{0, 1, 12} {
			if named, written, found := view.ParseOwnersKey(view.OwnersKey(service, era)); !found || named != service || written != era {
				t.Errorf("key of service %q, era %d: parsed as %q, %d, %v", service, era, named, written, found)
			}
		}
	}
}

func nodeItem(t *testing.T, process string, revision int64) topo.Item {
	t.Helper()
	value, err := json.Marshal(view.Node{Name: "n", Process: process})
	if err != nil {
		t.Fatal(err)
	}
	return topo.Item{Key: view.NodeKey("n"), Value: value, Revision: revision}
}

func TestEarlierProcessOfARestoredStoreDoesNotReplaceTheLaterOne(t *testing.T) {
	builder, until := withServer()
	builder.Apply([]topo.Event{{Item: nodeItem(t, "02", 10)}}, 10)
	*until = time.Now().Add(2 * time.Second)
	restored := topo.RevisionIn(1, 5)
	builder.Apply([]topo.Event{{Item: nodeItem(t, "01", restored)}}, restored)
	if node := builder.Current().Nodes.Get("n"); node.Process != "02" {
		t.Fatalf("process %s after the store was restored, want 02", node.Process)
	}
	builder.Apply([]topo.Event{{Item: nodeItem(t, "03", restored+1)}}, restored+1)
	if node := builder.Current().Nodes.Get("n"); node.Process != "03" {
		t.Fatalf("process %s, want 03, the last one registered", node.Process)
	}
}

func TestManagerIsNotOverByAnEarlierProcessOfItsNode(t *testing.T) {
	builder, _ := withServer()
	builder.Apply([]topo.Event{{Item: nodeItem(t, "01", 10)}}, 10)
	current := builder.Current()
	if !current.MaySendOrders("s", "n", "02", 1) {
		t.Error("a process counts as ended although only an earlier one is registered")
	}
	if current.MaySendOrders("s", "n", "00", 1) {
		t.Error("a process counts as running although a later one is registered")
	}
}
