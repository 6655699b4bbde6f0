package view_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

type documents struct{}

func (documents) Table([]byte) (routing.Spec, error) { return routing.Spec{}, nil }

func (documents) Server(id string, _ []byte) (discovery.Server, error) {
	return discovery.Server{ID: discovery.ServerID(id), Service: "formulas"}, nil
}

const serverKey = "servers/one"

// withServer returns a builder with one server, and the time that its lapse function returns
// (no lapse if zero).
func withServer() (*view.Builder, *time.Time) {
	until := new(time.Time)
	builder := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, documents{}, zap.NewNop())
	builder.SetLapse(func() (time.Time, bool) { return *until, !until.IsZero() })
	builder.Replace([]topo.Item{{Key: serverKey, Revision: 1}}, 1)
	return builder, until
}

func TestServerWhoseEntryIsMissingIsGone(t *testing.T) {
	builder, _ := withServer()
	builder.Apply([]topo.Event{{Item: topo.Item{Key: serverKey, Revision: 2}, Deleted: true}}, 2)
	server := builder.Current().Servers.Get("one")
	now := time.Now()
	if !server.Gone(now.Add(time.Millisecond), 0) || server.Serving(now.Add(time.Millisecond)) {
		t.Fatal("a server whose entry was removed still serves")
	}
	if server.Gone(now.Add(500*time.Millisecond), time.Second) {
		t.Fatal("gone before the end of the grace period")
	}
	if !server.Gone(now.Add(2*time.Second), time.Second) {
		t.Fatal("not gone after the grace period")
	}
}

// Entries expire while the store is unavailable. A live server writes its entry again soon after
// the store's return and must stay in use until then.
func TestServerWhoseEntryLapsedServesUntilItMustBeBack(t *testing.T) {
	builder, until := withServer()
	*until = time.Now().Add(2 * time.Second)
	builder.Replace(nil, 5)
	server := builder.Current().Servers.Get("one")
	if server.Gone(until.Add(-time.Millisecond), 0) || !server.Serving(until.Add(-time.Millisecond)) {
		t.Fatal("gone although its entry may have lapsed")
	}
	if !server.Gone(until.Add(time.Millisecond), time.Hour) {
		t.Fatal("not gone although its entry is still missing")
	}
	builder.Apply([]topo.Event{{Item: topo.Item{Key: serverKey, Revision: 6}}}, 6)
	server = builder.Current().Servers.Get("one")
	if server.Gone(until.Add(time.Hour), 0) {
		t.Fatal("gone although its entry is present again")
	}
	// A removal without an outage counts at once.
	*until = time.Time{}
	builder.Apply([]topo.Event{{Item: topo.Item{Key: serverKey, Revision: 7}, Deleted: true}}, 7)
	if server = builder.Current().Servers.Get("one"); !server.Gone(time.Now().Add(time.Millisecond), 0) {
		t.Fatal("an entry that is removed later counts as lapsed")
	}
}

// Views are read while the next ones are built, so a published view must not change. Parts that a
// change does not touch are not copied.
func TestPublishedViewsStayAsTheyAre(t *testing.T) {
	builder, _ := withServer()
	first := builder.Current()
	builder.Apply([]topo.Event{{Item: topo.Item{Key: "servers/two", Revision: 2}}}, 2)
	second := builder.Current()
	builder.Apply([]topo.Event{{Item: topo.Item{Key: serverKey, Revision: 3}, Deleted: true}}, 3)
	if first.Servers.Len() != 1 || first.Services["formulas"].Len() != 1 {
		t.Errorf("the first view now has %d servers, %d of the service", first.Servers.Len(), first.Services["formulas"].Len())
	}
	if !second.Servers.Get("one").GoneSince.IsZero() || !second.Services["formulas"].Get("one").GoneSince.IsZero() {
		t.Error("the second view now has a server that is gone")
	}
	if third := builder.Current(); third.Servers.Get("one").GoneSince.IsZero() || third.Services["formulas"].Get("one").GoneSince.IsZero() {
		t.Error("the third view still has the server that is gone")
	}
}

func TestViewsSayWhichPartsAreTheSame(t *testing.T) {
	builder, _ := withServer()
	if builder.Current().Unchanged.Servers {
		t.Error("servers count as the same after one registered")
	}
	node := topo.Item{Key: view.NodeKey("a"), Value: []byte(`{"name":"a"}`), Revision: 2}
	builder.Apply([]topo.Event{{Item: node}}, 2)
	if same := builder.Current().Unchanged; same.Nodes || !same.Servers || !same.Table {
		t.Errorf("after a node registered the same parts are %+v", same)
	}
	node.Revision = 3
	builder.Apply([]topo.Event{{Item: node}}, 3)
	if !builder.Current().Unchanged.Nodes {
		t.Error("nodes count as changed although the entry is the same")
	}
}

// The store may be unavailable when a server announces that it is leaving, and its entry may stay
// unchanged for a long time.
func TestServerThatAnswersThatItLeavesIsDraining(t *testing.T) {
	builder, _ := withServer()
	published := 0
	builder.Subscribe(func(*view.View) { published++ })
	if !builder.MarkLeaving("one") || builder.MarkLeaving("one") {
		t.Error("MarkLeaving must report only the first announcement as new")
	}
	if builder.Current().Servers.Get("one").DrainingSince.IsZero() || published != 1 {
		t.Errorf("the server is not draining or %d views were published, want one", published)
	}
	builder.Apply([]topo.Event{{Item: topo.Item{Key: serverKey, Revision: 2}}}, 2)
	if builder.Current().Servers.Get("one").DrainingSince.IsZero() {
		t.Error("an earlier entry reverts the draining state")
	}
}

// An announcement of an unknown server applies once the server registers, for example if its entry
// expired during a long outage of the store.
func TestLeavingServerThatRegistersAgainIsDraining(t *testing.T) {
	builder, _ := withServer()
	if builder.MarkLeaving("two") {
		t.Error("MarkLeaving reports a change for an unknown server")
	}
	builder.Apply([]topo.Event{{Item: topo.Item{Key: "servers/two", Revision: 2}}}, 2)
	if builder.Current().Servers.Get("two").DrainingSince.IsZero() {
		t.Error("the server is not draining")
	}
	if !builder.Current().Servers.Get("one").DrainingSince.IsZero() {
		t.Error("another server is draining")
	}
}
