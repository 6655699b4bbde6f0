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

// addressDocuments decodes server entries of the form "service address".
type addressDocuments struct{}

func (addressDocuments) Table([]byte) (routing.Spec, error) { return routing.Spec{}, nil }

func (addressDocuments) Server(id string, text []byte) (discovery.Server, error) {
	service, address, _ := strings.Cut(string(text), " ")
	return discovery.Server{ID: discovery.ServerID(id), Service: service, Address: address, Slots: 2}, nil
}

// Guards against keys that wait for goneGrace although their server has certainly ended. Seen on a
// deployment where a third of a service's servers stopped responding and their addresses were
// reused by servers of another service: the keys waited for 0.9 s after the entries were gone.
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
		held := &term{manager: manager, start: clock.Boot(), core: core, speeds: make(speeds), knownServers: make(map[discovery.ServerID]bool)}
		held.updateServers(views.Current())
		core.Start()
		commands := core.Tick(held.now())
		for _, r := range commands.Commit.Map.Ranges {
			if reused && r.Owner == "ended" {
				t.Fatalf("keys from %d were assigned to a server whose address is used by another server", r.First)
			}
		}
		owners := make(map[discovery.ServerID]bool)
		for _, r := range commands.Commit.Map.Ranges {
			owners[r.Owner] = true
		}
		if !reused && !owners["ended"] {
			t.Error("a server whose entry has just disappeared and may return gets no keys")
		}
	}
}

// The entry of an earlier incarnation at the same address may outlast a newer incarnation that
// deletes its own entry while it still holds keys. The older entry must not mark the newer
// incarnation as ended.
func TestEntryOfAnEarlierIncarnationDoesNotEndALaterOne(t *testing.T) {
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop())
	views.Replace([]topo.Item{
		{Key: "servers/earlier", Value: []byte("s a"), Revision: 1}, {Key: "servers/later", Value: []byte("s a"), Revision: 2},
	}, 2)
	views.Apply([]topo.Event{{Item: topo.Item{Key: "servers/later", Revision: 3}, Deleted: true}}, 3)
	current := views.Current()
	if hasEnded(current.Servers.Get("later"), serversByAddress(current)) {
		t.Error("the newer incarnation counts as ended")
	}
	views.Apply([]topo.Event{{Item: topo.Item{Key: "servers/next", Value: []byte("s a"), Revision: 4}}}, 4)
	current = views.Current()
	if !hasEnded(current.Servers.Get("later"), serversByAddress(current)) {
		t.Error("the newer incarnation does not count as ended although another server has registered at its address since")
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
