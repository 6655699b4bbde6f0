package view_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// incarnationDocuments decodes server entries that consist of the server's start time.
type incarnationDocuments struct{}

func (incarnationDocuments) Table([]byte) (routing.Spec, error) { return routing.Spec{}, nil }

func (incarnationDocuments) Server(instance string, text []byte) (discovery.Server, error) {
	startedAt, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return discovery.Server{}, errors.Wrap(err, "born")
	}
	return discovery.Server{ID: discovery.NewServerID(instance, startedAt), StartedAt: startedAt, Service: "formulas"}, nil
}

func builderWithIncarnation(text string) *view.Builder {
	builder := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, incarnationDocuments{}, zap.NewNop())
	builder.Replace([]topo.Item{{Key: serverKey, Value: []byte(text), Revision: 1}}, 1)
	return builder
}

func put(builder *view.Builder, text string, revision int64) {
	builder.Apply([]topo.Event{{Item: topo.Item{Key: serverKey, Value: []byte(text), Revision: revision}}}, revision)
}

func TestServerThatStartsAgainUnderItsInstanceIsAnotherLife(t *testing.T) {
	builder := builderWithIncarnation("1000")
	put(builder, "2000", 2)
	current := builder.Current()
	before, after := current.Servers.Get(discovery.NewServerID("one", 1000)), current.Servers.Get(discovery.NewServerID("one", 2000))
	if before == nil || !before.Ended || !before.Gone(time.Now(), time.Hour) {
		t.Errorf("the earlier incarnation is %+v, want it ended", before)
	}
	if after == nil || !after.Serving(time.Now()) {
		t.Errorf("the later incarnation is %+v, want it serving", after)
	}
}

func TestEntryOfAnEarlierLifeChangesNothing(t *testing.T) {
	builder := builderWithIncarnation("2000")
	put(builder, "1000", 2)
	current := builder.Current()
	if current.Servers.Len() != 1 || !current.Servers.Get(discovery.NewServerID("one", 2000)).Serving(time.Now()) {
		t.Errorf("servers %v, want only the later incarnation", current.Servers)
	}
}

// The entry of the later incarnation is removed under the same key.
func TestRemovedEntryIsThatOfTheNewestLife(t *testing.T) {
	builder := builderWithIncarnation("1000")
	put(builder, "2000", 2)
	builder.Apply([]topo.Event{{Item: topo.Item{Key: serverKey, Revision: 3}, Deleted: true}}, 3)
	if server := builder.Current().Servers.Get(discovery.NewServerID("one", 2000)); server.GoneSince.IsZero() {
		t.Error("the newest incarnation counts as registered")
	}
}

func TestEntryThatCannotBeReadNamesNoServer(t *testing.T) {
	builder := builderWithIncarnation("1000")
	put(builder, "scribble", 2)
	if server := builder.Current().Servers.Get(discovery.NewServerID("one", 1000)); server.GoneSince.IsZero() {
		t.Error("the server still counts as registered")
	}
	put(builder, "1000", 3)
	if server := builder.Current().Servers.Get(discovery.NewServerID("one", 1000)); !server.Serving(time.Now()) {
		t.Error("the server does not serve although its entry is valid again")
	}
}

// farAhead is a start time in the year 9999, which no server reports.
const farAhead = "253402300799999"

func requireServing(t *testing.T, builder *view.Builder, startedAt int64, when string) {
	t.Helper()
	server := builder.Current().Servers.Get(discovery.NewServerID("one", startedAt))
	if server == nil || !server.Serving(time.Now()) {
		t.Errorf("%s: the server is %+v, want it serving", when, server)
	}
}

// Guards against an entry of another writer after which no entry of the real server counts.
func TestEntryWithAStartFarAheadDoesNotHideTheServer(t *testing.T) {
	builder := builderWithIncarnation("1000")
	put(builder, farAhead, 2)
	put(builder, "1000", 3)
	requireServing(t, builder, 1000, "after its entry was written again")
	if other := builder.Current().Servers.Get(discovery.NewServerID("one", 253402300799999)); other == nil || !other.Ended {
		t.Errorf("the other entry names %+v, want an ended server", other)
	}
	put(builder, "2000", 4)
	requireServing(t, builder, 2000, "after it has started again")
}

// Guards against an entry that is deleted and still hides the entries that follow it.
func TestDeletedEntryWithALaterStartDoesNotHideTheServer(t *testing.T) {
	builder := builderWithIncarnation("1000")
	put(builder, "5000", 2)
	builder.Apply([]topo.Event{{Item: topo.Item{Key: serverKey, Revision: 3}, Deleted: true}}, 3)
	put(builder, "1000", 4)
	requireServing(t, builder, 1000, "after the other entry was deleted")
}

// Guards against entries of an older copy of the store that replace the newest incarnation.
func TestEarlierEntryOfARestoredStoreChangesNothing(t *testing.T) {
	for _, newest := range []string{"2000", farAhead} {
		builder := builderWithIncarnation(newest)
		put(builder, "1000", topo.RevisionIn(1, 9))
		if server := builder.Current().Servers.Get(discovery.NewServerID("one", 1000)); server != nil {
			t.Errorf("the earlier incarnation is %+v beside one started at %s", server, newest)
		}
	}
}

// Guards against an earlier entry that replaces one which is missing only because of an outage.
func TestEarlierEntryDoesNotReplaceALapsedOne(t *testing.T) {
	builder := builderWithIncarnation("2000")
	builder.SetLapse(func() (time.Time, bool) { return time.Now().Add(time.Second), true })
	builder.Apply([]topo.Event{{Item: topo.Item{Key: serverKey, Revision: 2}, Deleted: true}}, 2)
	put(builder, "1000", 3)
	requireServing(t, builder, 2000, "while its entry may return")
}
