package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/upstream"
)

// fakeHandover answers each handover alike and counts them.
type fakeHandover struct {
	err    error
	trace  Trace
	answer *upstream.Answer
	count  int
}

func (f *fakeHandover) Do(context.Context, *Request, time.Time, Destination) (*upstream.Answer, Trace, error) {
	f.count++
	return f.answer, f.trace, f.err
}

// worldWithHomes is a world of four nodes in zone z, with servers that are warm, whose
// handovers end with err.
func worldWithHomes(t *testing.T, err error, servers ...string) (*warmUpWorld, *fakeHandover) {
	w := newWarmUpWorld(t, 0)
	handover := &fakeHandover{err: err}
	w.SetHandover(handover)
	for index := range 4 {
		node := fmt.Sprintf("n%d", index)
		w.write("micahaven/nodes/"+node, fmt.Sprintf(`{"name":%q,"zone":"z","address":"127.0.0.1:1","share":1}`, node))
	}
	for index, text := range servers {
		w.write(fmt.Sprintf("servers/s%d", index), text)
	}
	return w, handover
}

func requestFor(service string, repeatable bool) *Request {
	now := time.Now()
	route := &routing.Route{Timeout: time.Second, Objective: 500 * time.Millisecond, MaxAttempts: 2, Repeatable: repeatable}
	return &Request{
		ID: "r", Method: http.MethodGet, URI: "/", Host: "h", Service: service, Key: 7, HasKey: true, Route: route,
		ArrivedAt: now, Deadline: now.Add(time.Second),
	}
}

const warmDivided, warmPlain = "divided z 0s", "plain z 0s"

// Without a home the node sends the request itself.
func TestWithoutAHomeTheNodeSendsItself(t *testing.T) {
	for _, service := range []string{"divided", "plain"} {
		w, handover := worldWithHomes(t, ErrNoHome, warmDivided, warmPlain)
		w.own(t, "s0")
		_, trace, _ := w.Do(t.Context(), requestFor(service, false))
		if handover.count != 1 || trace.Server == "" {
			t.Errorf("%s: handed over %d times, sent to %q itself", service, handover.count, trace.Server)
		}
	}
}

// A request that must run at most once is not sent again once a home may have sent it.
func TestUnsafeRequestOfALostHomeIsUnknown(t *testing.T) {
	w, _ := worldWithHomes(t, ErrHomeLost, warmDivided)
	w.own(t, "s0")
	_, trace, err := w.Do(t.Context(), requestFor("divided", false))
	if !errors.Is(err, ErrUnknown) || trace.Server != "" {
		t.Errorf("error %v, sent to %q, wanted an unknown outcome", err, trace.Server)
	}
}

// A safe request of a lost home is sent again, as a repeat within the budget if the home
// had said that it sends it. Whatever comes of that, it is not said that it has not run.
func TestSafeRequestOfALostHomeIsRepeated(t *testing.T) {
	for _, test := range []struct {
		name         string
		sent         int
		budget, goes bool
	}{
		{"home had not said that it sends it", 0, false, true},
		{"home sends it, budget", 1, true, true},
		{"home sends it, no budget", 1, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, handover := worldWithHomes(t, ErrHomeLost, warmDivided)
			handover.trace.Attempts = test.sent
			w.own(t, "s0")
			if !test.budget {
				w.budget("divided").ratio, w.budget("divided").tokens = 0, 0
			}
			_, trace, err := w.Do(t.Context(), requestFor("divided", true))
			// Nothing listens at the server's address.
			if goes := trace.Server == "s0"; goes != test.goes {
				t.Errorf("sent again: %v, wanted %v", goes, test.goes)
			}
			if errors.Is(err, ErrNotExecuted) || !errors.Is(err, ErrUnknown) {
				t.Errorf("error %v, wanted an unknown outcome", err)
			}
		})
	}
}

// A home that said nothing may still send the request, so that it counts as one of the
// servers that the route allows.
func TestSilentHomeCountsAsAServer(t *testing.T) {
	w, _ := worldWithHomes(t, ErrHomeLost, warmDivided)
	w.own(t, "s0")
	request := requestFor("divided", true)
	request.Route.MaxAttempts = 1
	_, trace, err := w.Do(t.Context(), request)
	if trace.Server != "" || !errors.Is(err, ErrUnknown) {
		t.Errorf("sent to %q, error %v, wanted no second server and an unknown outcome", trace.Server, err)
	}
}

// A home tells of each server after the first to which a request may go, before it goes.
func TestHomeTellsOfFurtherAttempts(t *testing.T) {
	for name, slow := range map[string]http.HandlerFunc{
		"second try": func(_ http.ResponseWriter, incoming *http.Request) { <-incoming.Context().Done() },
		"repeat":     func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusInternalServerError) },
	} {
		t.Run(name, func(t *testing.T) {
			told := &atomic.Int64{}
			d, _, _ := pair(t, slow, func(writer http.ResponseWriter, incoming *http.Request) {
				if told.Load() != 1 {
					t.Errorf("told %d times before it is sent again", told.Load())
				}
				sign(writer, incoming)
			})
			request := read(d)
			request.TakenOver = &TakenOver{Begin: func(context.Context) error { return nil }, Again: func() { told.Add(1) }}
			if _, trace, err := d.Do(t.Context(), request); err != nil || trace.Attempts != 2 {
				t.Errorf("%v after %d attempts, wanted an answer after two", err, trace.Attempts)
			}
		})
	}
}

// Routes with large answers are not passed through a second node.
func TestLargeAnswersGoDirect(t *testing.T) {
	w, handover := worldWithHomes(t, ErrNoHome, warmDivided)
	w.own(t, "s0")
	request := requestFor("divided", true)
	w.noteSize(request, &upstream.Answer{Body: make([]byte, 90<<10)})
	_, _, _ = w.Do(t.Context(), request)
	if handover.count != 0 {
		t.Error("a request with a large answer was handed over")
	}
}

// A home sends what it took over itself, whatever it thinks of homes.
func TestTakenOverRequestsAreNotHandedOnAgain(t *testing.T) {
	w, handover := worldWithHomes(t, ErrNoHome, warmDivided)
	w.own(t, "s0")
	request := requestFor("divided", false)
	begun := 0
	request.TakenOver = &TakenOver{From: "n1", Begin: func(context.Context) error { begun++; return nil }}
	_, trace, _ := w.Do(t.Context(), request)
	if handover.count != 0 || begun != 1 || trace.Server != "s0" {
		t.Errorf("handed over %d times, begun %d times, sent to %q", handover.count, begun, trace.Server)
	}
}

// A place whose request is not begun is free again, and the request has not run.
func TestPlaceIsFreeAgainWithoutAGo(t *testing.T) {
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	d := dispatcherOf(map[string]string{"a": server.Listener.Addr().String()})
	request := order()
	request.TakenOver = &TakenOver{From: "n1", Begin: func(context.Context) error { return errors.New("no go") }}
	if _, _, err := d.Do(t.Context(), request); !errors.Is(err, ErrNotExecuted) {
		t.Errorf("error %v, wanted that it has not run", err)
	}
	if occupied := d.server("a").outstanding; occupied != 0 || arrived.Load() != 0 {
		t.Errorf("%d places are occupied, %d requests arrived", occupied, arrived.Load())
	}
}

// Servers that warm up get requests from the nodes with the rights to them only, and so
// none through homes.
func TestWarmingServersGetNothingThroughHomes(t *testing.T) {
	w, handover := worldWithHomes(t, ErrNoHome, "divided z 3s")
	w.own(t, "s0")
	// Whether it is sent depends on the rights.
	_, _, _ = w.Do(t.Context(), requestFor("divided", false))
	if handover.count != 0 {
		t.Error("a request for a warming server was handed over")
	}
	if w.Takes(requestFor("divided", false), Destination{Server: "s0"}) {
		t.Error("a request for a warming server was taken over")
	}
}

// A home decides by its own map who owns a key, and by none that is older than the
// sender's.
func TestHomeChecksItsMap(t *testing.T) {
	w, _ := worldWithHomes(t, ErrNoHome, warmDivided, warmDivided)
	w.own(t, "s0")
	older := w.revision
	w.own(t, "s1")
	request := requestFor("divided", false)
	if w.Takes(request, Destination{Server: "s1", MapRevision: w.revision + 1}) {
		t.Error("taken over by an older map than the sender's")
	}
	if !w.Takes(request, Destination{Server: "s0", MapRevision: older}) {
		t.Fatal("not taken over by a newer map")
	}
	request.TakenOver = &TakenOver{From: "n1", Begin: func(context.Context) error { return nil }}
	if _, trace, _ := w.Do(t.Context(), request); trace.Server != "s1" {
		t.Errorf("sent to %q, wanted the present owner s1", trace.Server)
	}
}

// A stopping home takes nothing over.
func TestStoppingHomeTakesNothing(t *testing.T) {
	w, _ := worldWithHomes(t, ErrNoHome, warmDivided)
	w.own(t, "s0")
	w.EndBy(time.Now().Add(time.Minute))
	if w.Takes(requestFor("divided", false), Destination{Server: "s0"}) {
		t.Error("taken over")
	}
}

// The home and all other nodes together stay within a server's connections.
func TestHomeAndNodesShareAServersConnections(t *testing.T) {
	for _, nodes := range []int{1, 8, 30} {
		const maxConnections = 110
		d := newDispatcher(maxConnections, nodes)
		d.SetHandover(&fakeHandover{})
		places, atHome := d.placesAt(d.views.Current(), "s")
		if together := places*nodes + atHome; together > maxConnections {
			t.Errorf("%d nodes and the home use up to %d connections, allowed: %d", nodes, together, maxConnections)
		}
	}
}

// A home has what its servers work on at a time there and a little more, and a node that
// is home no longer starts from what the server told.
func TestLimitAtHome(t *testing.T) {
	w, _ := worldWithHomes(t, ErrNoHome, warmDivided)
	s, now := w.server("s0"), time.Now()
	s.setHome(now, true)
	if got := s.capacity(now); got != s.Slots {
		t.Errorf("%d requests at first, wanted one a slot: %d", got, s.Slots)
	}
	for range 100 {
		s.limit.guess(now, s.Slots, false)
	}
	if got := s.capacity(now); got != 4 {
		t.Errorf("%d requests at %d slots, wanted 4", got, s.Slots)
	}
}

// A node whose requests another home takes is not the server's home any more, and keeps
// neither the home's part of the connections nor its limit.
func TestHomeEndsWhereAnotherOneTakesRequests(t *testing.T) {
	for name, err := range map[string]error{
		"answered": nil, "refused": &Refusal{Reason: ReasonOwnerBusy}, "lost": ErrHomeLost, "none": ErrNoHome,
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := worldWithHomes(t, err, warmDivided)
			w.own(t, "s0")
			w.TakeHome("s0")
			if err != ErrNoHome {
				_, _, _ = w.Do(t.Context(), requestFor("divided", false))
				if !w.server("s0").home {
					t.Error("the node does not count as home to those that handed over to it just now")
				}
			}
			w.server("s0").homeAt = time.Now().Add(-2 * homeMemory)
			_, _, _ = w.Do(t.Context(), requestFor("divided", false))
			if w.server("s0").home {
				t.Error("the node still counts as home")
			}
		})
	}
	w, _ := worldWithHomes(t, ErrAtHome, warmDivided)
	w.own(t, "s0")
	_, _, _ = w.Do(t.Context(), requestFor("divided", false))
	if !w.server("s0").home {
		t.Error("the node does not count as home where it is")
	}
}

// As many requests as a server works on at a time do not make it slow: a home never has
// fewer there while the server answers, and one while it does not.
func TestSlowServersKeepTheirSlotsAtHome(t *testing.T) {
	w, _ := worldWithHomes(t, ErrNoHome, warmDivided)
	s, now := w.server("s0"), time.Now()
	s.setHome(now, true)
	for range 100 {
		s.limit.guess(now, s.Slots, true)
	}
	if got := s.capacity(now); got != s.Slots {
		t.Errorf("%d requests at a slow server, wanted one a slot: %d", got, s.Slots)
	}
	for range 100 {
		s.limit.tell(now, time.Millisecond, discovery.Load{Waiting: 30, Slots: s.Slots})
	}
	if got := s.capacity(now); got != s.Slots {
		t.Errorf("%d requests at a server with a queue, wanted one a slot: %d", got, s.Slots)
	}
	for range 100 {
		s.gaveUp(now, sending{took: time.Second})
	}
	if got := s.capacity(now); got != 1 {
		t.Errorf("%d requests at a server that does not answer, wanted 1", got)
	}
}

// Each server of an undivided service has one home, which sends to its servers first, and
// to others only once a request has waited for a part of its objective.
func TestHomeSendsToItsServers(t *testing.T) {
	servers := make([]string, 20)
	for index := range servers {
		servers[index] = warmPlain
	}
	w, _ := worldWithHomes(t, ErrNoHome, servers...)
	// The node is home to all servers of its zone but those of another zone.
	w.write("servers/far", "plain y 0s")
	current := w.views.Current()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.options.Node = w.divisionOf(current, "plain").homes[0].Name
	w.services["plain"].division.homes, w.services["plain"].division.stale = nil, true
	own := w.divisionOf(current, "plain").groups[w.options.Node]
	now, request := time.Now(), requestFor("plain", true)
	request.ArrivedAt = now
	for range len(own) {
		chosen := w.choose(now, request, nil)
		if chosen == nil || !chosen.home {
			t.Fatalf("chose %v, wanted a server of this home", chosen)
		}
		chosen.outstanding = 100
	}
	if chosen := w.choose(now, request, nil); chosen != nil {
		t.Errorf("chose %s at once, wanted that the request waits", chosen.id)
	}
	later := now.Add(time.Duration(spillAfter * float64(request.Route.Objective)))
	if chosen := w.choose(later, request, nil); chosen == nil || chosen.home {
		t.Errorf("chose %v for a request that has waited, wanted another home's server", chosen)
	}
}
