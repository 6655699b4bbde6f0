package shardmanager

import (
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// addressDocuments reads entries like "service address".
type addressDocuments struct{}

func (addressDocuments) Table([]byte) (routing.Spec, error) { return routing.Spec{}, nil }

func (addressDocuments) Server(id string, text []byte) (discovery.Server, error) {
	service, address, _ := strings.Cut(string(text), " ")
	return discovery.Server{ID: discovery.ServerID(id), Service: service, Address: address, Slots: 2}, nil
}

// Seen on a deployment where a third of a service's servers went silent and their addresses
// were given to servers of another service: the keys waited until the entries could not come
// back any more, 0.9 s after they were gone.
func TestKeysOfAServerWhoseAddressIsReusedMoveAtOnce(t *testing.T) {
	for _, reused := range []bool{false, true} {
		views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop())
		views.Replace([]topo.Item{
			{Key: "servers/ended", Value: []byte("s a"), Revision: 1}, {Key: "servers/stays", Value: []byte("s b"), Revision: 2},
		}, 2)
		events := []topo.Event{{Item: topo.Item{Key: "servers/ended", Revision: 3}, Deleted: true}}
		if reused {
			events = append(events, topo.Event{Item: topo.Item{Key: "servers/other", Value: []byte("t a"), Revision: 4}})
		}
		views.Apply(events, 4)
		core := shards.NewManager("s", 1, shards.Author{}, nil, shards.DefaultOptions(), 0)
		manager := New(Config{Views: views, Clock: clock.Boot, Logger: zap.NewNop()}, "s")
		held := &term{manager: manager, start: clock.Boot(), core: core, speeds: make(speeds), known: make(map[discovery.ServerID]bool)}
		held.lookAtServers(views.Current())
		core.Start()
		commands := core.Tick(held.now())
		for _, r := range commands.Commit.Map.Ranges {
			if reused && r.Owner == "ended" {
				t.Fatalf("keys from %d go to a server whose address another one has", r.First)
			}
		}
		owners := make(map[discovery.ServerID]bool)
		for _, r := range commands.Commit.Map.Ranges {
			owners[r.Owner] = true
		}
		if !reused && !owners["ended"] {
			t.Error("a server whose entry has just gone, and may come back, gets no keys")
		}
	}
}

// The entry of an earlier life at the same address may outlast a later one that takes its
// own away while it still holds keys.
func TestEntryOfAnEarlierLifeEndsNoLaterOne(t *testing.T) {
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop())
	views.Replace([]topo.Item{
		{Key: "servers/earlier", Value: []byte("s a"), Revision: 1}, {Key: "servers/later", Value: []byte("s a"), Revision: 2},
	}, 2)
	views.Apply([]topo.Event{{Item: topo.Item{Key: "servers/later", Revision: 3}, Deleted: true}}, 3)
	current := views.Current()
	if hasEnded(current.Servers.Get("later"), serversByAddress(current)) {
		t.Error("the later life counts as ended")
	}
	views.Apply([]topo.Event{{Item: topo.Item{Key: "servers/next", Value: []byte("s a"), Revision: 4}}}, 4)
	current = views.Current()
	if !hasEnded(current.Servers.Get("later"), serversByAddress(current)) {
		t.Error("the later life doesn't count as ended although another one has its address since")
	}
}

func TestEntryOfARestoredStoreEndsNoServer(t *testing.T) {
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop())
	views.Replace([]topo.Item{{Key: "servers/present", Value: []byte("s a"), Revision: 9}}, 9)
	restored := topo.RevisionIn(1, 5)
	views.Apply([]topo.Event{
		{Item: topo.Item{Key: "servers/present", Revision: restored}, Deleted: true},
		{Item: topo.Item{Key: "servers/earlier", Value: []byte("s a"), Revision: restored - 2}},
	}, restored)
	current := views.Current()
	if hasEnded(current.Servers.Get("present"), serversByAddress(current)) {
		t.Fatal("a server counts as ended by the entry of an earlier one at its address")
	}
}
