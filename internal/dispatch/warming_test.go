package dispatch

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// warmUpDocuments makes entries of servers from texts like "service zone 3s", and a table
// with an undivided and a divided service whose servers bear 6.7 requests while they warm
// up.
type warmUpDocuments struct{}

const warmUpTime = 3 * time.Second

func (warmUpDocuments) Table([]byte) (routing.Spec, error) {
	return routing.Spec{Version: 1, Services: []routing.Service{
		{Name: "plain", WarmUp: warmUpTime, WarmUpRate: 6.7},
		{Name: "divided", WarmUp: warmUpTime, WarmUpRate: 6.7, KeyDivided: true, KeyWarmUp: keyWarmUp},
	}}, nil
}

func (warmUpDocuments) Server(id string, text []byte) (discovery.Server, error) {
	fields := strings.Fields(string(text))
	left, err := time.ParseDuration(fields[2])
	return discovery.Server{
		ID: discovery.ServerID(id), Service: fields[0], Address: "127.0.0.1:1", Zone: fields[1], Slots: 3, WarmUp: left,
	}, err
}

// warmUpWorld is a dispatcher of node n0 in zone z, and what writes to its view.
type warmUpWorld struct {
	*Dispatcher
	builder  *view.Builder
	revision int64
	// age is that of the node's copy of the store.
	age time.Duration
}

func newWarmUpWorld(t *testing.T, nodes int, servers ...string) *warmUpWorld {
	t.Helper()
	layout := view.Layout{TableKey: "table", ServerPrefix: "servers/", EvacuationPrefix: "evacuated/"}
	builder := view.NewBuilder(layout, warmUpDocuments{}, zap.NewNop())
	options := Options{
		Node: "n0", Zone: "z", LeaveGrace: 100 * time.Millisecond, EvacuationGrace: 200 * time.Millisecond,
		WarmUpOver: 1.5, WarmUpSlack: 8, RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second,
	}
	w := &warmUpWorld{Dispatcher: New(options, builder, zap.NewNop()), builder: builder, revision: 1}
	w.SetCopyAge(func() (time.Duration, bool) { return w.age, true })
	items := []topo.Item{{Key: "table", Revision: 1}}
	for index := range nodes {
		node := fmt.Sprintf("n%d", index)
		value := fmt.Sprintf(`{"name":%q,"zone":"z"}`, node)
		items = append(items, topo.Item{Key: view.NodeKey(node), Value: []byte(value), Revision: 1})
	}
	builder.Replace(items, 1)
	for index, text := range servers {
		w.write(fmt.Sprintf("servers/s%d", index), text)
	}
	return w
}

// write writes a key, or removes it if text is empty.
func (w *warmUpWorld) write(key, text string) {
	w.revision++
	event := topo.Event{Item: topo.Item{Key: key, Value: []byte(text), Revision: w.revision}, Deleted: text == ""}
	w.builder.Apply([]topo.Event{event}, w.revision)
}

// own writes an owner map that gives all keys to a server.
func (w *warmUpWorld) own(t *testing.T, server string) {
	t.Helper()
	owned := &shards.Map{Service: "divided", Epoch: 1, Ranges: []shards.Range{{
		First: 0, Last: shards.LastKey, Owner: discovery.ServerID(server), Address: "127.0.0.1:1", Fence: 1,
	}}}
	text, err := owned.Encode()
	if err != nil {
		t.Fatal(err)
	}
	w.write(view.OwnersKey("divided", 0), string(text))
}

// after is a moment at which a node that was registered at the start may send.
func after() time.Time { return time.Now().Add(2100 * time.Millisecond) }

func (w *warmUpWorld) chooses(now time.Time, service string) string {
	request := &Request{
		Service: service, HasKey: service == "divided", ArrivedAt: now, Deadline: now.Add(2 * time.Second),
		Route: &routing.Route{Objective: 500 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2},
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	chosen := w.choose(now, request, nil)
	if chosen == nil {
		return ""
	}
	w.occupy(now, chosen)
	chosen.outstanding--
	return string(chosen.id)
}

// Seen on the users' shifted deployment: each of 79 nodes sent to a cold server what it
// thought fit, and 22 requests reached it in a second, 18.05 allowed.
func TestColdServerGetsWhatItBears(t *testing.T) {
	w := newWarmUpWorld(t, 1, "plain z 10s", "plain z 0s")
	count := 0
	for now, end := after(), after().Add(time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
		if w.chooses(now, "plain") == "s0" {
			count++
		}
	}
	// One node alone is one of two senders, with half of the rate.
	if count < 3 || count > 4 {
		t.Errorf("%d requests in a second, want 3 or 4", count)
	}
}

func TestOtherNodesSendNothingToAColdServer(t *testing.T) {
	senders := 0
	const servers, nodes = 30, 20
	texts := make([]string, servers)
	for index := range texts {
		texts[index] = "plain z 10s"
	}
	w := newWarmUpWorld(t, nodes, texts...)
	now := after()
	for w.chooses(now, "plain") != "" {
		senders++
	}
	// Each server has 2 of 20 nodes.
	if senders > 10 {
		t.Errorf("this node may send to %d of %d cold servers, want about 3", senders, servers)
	}
	w.age = time.Minute
	if got := w.chooses(now.Add(time.Second), "plain"); got != "" {
		t.Errorf("a node with an old copy sends to %s", got)
	}
}

func TestServerThatTurnsColdAgainIsCold(t *testing.T) {
	w := newWarmUpWorld(t, 1, "plain z 0s")
	now := after()
	w.write("servers/s0", "plain z 10s")
	w.chooses(now, "plain")
	if got := w.chooses(now.Add(50*time.Millisecond), "plain"); got != "" {
		t.Error("a server that turned cold again gets a request 50 ms after the last one")
	}
	w.write("servers/s0", "plain z 0s")
	if got := w.chooses(now.Add(100*time.Millisecond), "plain"); got != "s0" {
		t.Error("a server that is warm gets no request")
	}
}

func TestEvacuatedZoneGetsNothing(t *testing.T) {
	w := newWarmUpWorld(t, 1, "plain z 0s", "plain other 0s")
	now := after()
	w.write("evacuated/z", "{}")
	for range 20 {
		if got := w.chooses(now, "plain"); got != "s1" {
			t.Fatalf("%q chosen while zone z is evacuated", got)
		}
	}
	w.write("evacuated/z", "")
	// Its servers may have turned cold, which their entries may say only later.
	now = time.Now()
	w.rights.SetNodes(now.Add(-time.Minute), nil)
	w.rights.SetNodes(now.Add(-time.Minute), registeredNodes(w.builder.Current()))
	count := 0
	for end := now.Add(time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
		if w.chooses(now, "plain") == "s0" {
			count++
		}
	}
	if count < 3 || count > 4 {
		t.Errorf("%d requests in the first second after an evacuation, want 3 or 4", count)
	}
	if got := w.chooses(now.Add(warmUpTime), "plain"); got != "s0" {
		t.Errorf("%q chosen when the zone must be warm, want its server", got)
	}
}

func TestOwnerInAnEvacuatedZoneGetsRequestsUntilItsGraceIsOver(t *testing.T) {
	w := newWarmUpWorld(t, 1, "divided z 0s")
	w.own(t, "s0")
	w.write("evacuated/z", "{}")
	if got := w.chooses(time.Now(), "divided"); got != "s0" {
		t.Error("the owner gets nothing before its keys can have moved")
	}
	if got := w.chooses(time.Now().Add(300*time.Millisecond), "divided"); got != "" {
		t.Error("the owner gets requests after its grace")
	}
}

// A node that finds an evacuation in its first copy does not know how old it is.
func TestEvacuationThatWasThereBeforeTheNodeHasNoGrace(t *testing.T) {
	layout := view.Layout{TableKey: "table", ServerPrefix: "servers/", EvacuationPrefix: "evacuated/"}
	builder := view.NewBuilder(layout, warmUpDocuments{}, zap.NewNop())
	w := &warmUpWorld{Dispatcher: New(Options{EvacuationGrace: time.Minute}, builder, zap.NewNop()), builder: builder, revision: 1}
	builder.Replace([]topo.Item{
		{Key: "table", Revision: 1}, {Key: "servers/s0", Value: []byte("divided z 0s"), Revision: 1}, {Key: "evacuated/z", Revision: 1},
	}, 1)
	w.own(t, "s0")
	if got := w.chooses(time.Now(), "divided"); got != "" {
		t.Error("an owner in a zone that was evacuated before gets requests")
	}
}

func TestRequestForAKeyOfAColdOwnerIsRefusedAtOnce(t *testing.T) {
	w := newWarmUpWorld(t, 1, "divided z 10s")
	w.own(t, "s0")
	w.age = time.Minute
	now := time.Now()
	route := &routing.Route{Objective: 500 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2}
	request := &Request{Service: "divided", HasKey: true, ArrivedAt: now, Deadline: now.Add(2 * time.Second), Route: route}
	_, trace, err := w.Do(t.Context(), request)
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonOwnerWarming {
		t.Fatalf("ended with %v, want a refusal because the owner warms up", err)
	}
	if trace.Queued > 100*time.Millisecond || refusal.RetryAfter < 9*time.Second {
		t.Errorf("refused after %v, to come back after %v; the owner warms up for 10 s", trace.Queued, refusal.RetryAfter)
	}
}
