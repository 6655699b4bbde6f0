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

// fakeHandoff returns the same result for each handoff and counts the handoffs.
type fakeHandoff struct {
	err    error
	trace  Trace
	answer *upstream.Response
	count  int
	// elsewhere counts the requests for which other nodes than the homes were asked, and
	// elsewhereAnswer and elsewhereErr are their result; without either, none takes the request.
	elsewhere       int
	elsewhereAnswer *upstream.Response
	elsewhereErr    error
}

func (f *fakeHandoff) Do(context.Context, *Request, time.Time, Destination) (*upstream.Response, Trace, error) {
	f.count++
	return f.answer, f.trace, f.err
}

func (f *fakeHandoff) DoElsewhere(context.Context, *Request, time.Time, Destination) (*upstream.Response, Trace, error) {
	f.elsewhere++
	if f.elsewhereAnswer == nil && f.elsewhereErr == nil {
		return nil, Trace{}, ErrNoHome
	}
	return f.elsewhereAnswer, Trace{}, f.elsewhereErr
}

// newTestNodeWithHomes returns a node in a cluster of four nodes in zone z, with the given
// servers. Its handoffs end with err.
func newTestNodeWithHomes(t *testing.T, err error, servers ...string) (*testNode, *fakeHandoff) {
	w := newTestNode(t, 0)
	handover := &fakeHandoff{err: err}
	w.SetHandoffSender(handover)
	for index := range 4 {
		node := fmt.Sprintf("n%d", index)
		w.put("micahaven/nodes/"+node, fmt.Sprintf(`{"name":%q,"zone":"z","address":"127.0.0.1:1","share":1}`, node))
	}
	for index, text := range servers {
		w.put(fmt.Sprintf("servers/s%d", index), text)
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

// If no home accepts a request, the node sends it itself.
func TestWithoutAHomeTheNodeSendsItself(t *testing.T) {
	for _, service := range []string{"divided", "plain"} {
		w, handover := newTestNodeWithHomes(t, ErrNoHome, warmDivided, warmPlain)
		w.setOwner(t, "s0")
		_, trace, _ := w.Do(t.Context(), requestFor(service, false))
		if handover.count != 1 || trace.Server == "" {
			t.Errorf("%s: handed off %d times, sent to %q directly; want once and a server", service, handover.count, trace.Server)
		}
	}
}

// A request that must be executed at most once is not sent again after a lost home may have
// sent it.
func TestUnsafeRequestOfALostHomeIsUnknown(t *testing.T) {
	w, _ := newTestNodeWithHomes(t, ErrHomeLost, warmDivided)
	w.setOwner(t, "s0")
	_, trace, err := w.Do(t.Context(), requestFor("divided", false))
	if !errors.Is(err, ErrUnknown) || trace.Server != "" {
		t.Errorf("error %v, sent to %q, wanted an unknown outcome", err, trace.Server)
	}
}

// A repeatable request of a lost home is sent again. If the home had announced the attempt,
// that is a retry within the budget. Its failure is never reported as not executed.
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
			w, handover := newTestNodeWithHomes(t, ErrHomeLost, warmDivided)
			handover.trace.Attempts = test.sent
			w.setOwner(t, "s0")
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

// A lost home that announced no attempt may still send the request, so it counts as one of
// the route's attempts.
func TestSilentHomeCountsAsAServer(t *testing.T) {
	w, _ := newTestNodeWithHomes(t, ErrHomeLost, warmDivided)
	w.setOwner(t, "s0")
	request := requestFor("divided", true)
	request.Route.MaxAttempts = 1
	_, trace, err := w.Do(t.Context(), request)
	if trace.Server != "" || !errors.Is(err, ErrUnknown) {
		t.Errorf("sent to %q, error %v, wanted no second server and an unknown outcome", trace.Server, err)
	}
}

// A home announces each attempt after the first before sending it.
func TestHomeTellsOfFurtherAttempts(t *testing.T) {
	for name, slow := range map[string]http.HandlerFunc{
		"second try": func(_ http.ResponseWriter, incoming *http.Request) { <-incoming.Context().Done() },
		"repeat":     func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusInternalServerError) },
	} {
		t.Run(name, func(t *testing.T) {
			told := &atomic.Int64{}
			d, _, _ := newServerPair(t, slow, func(writer http.ResponseWriter, incoming *http.Request) {
				if told.Load() != 1 {
					t.Errorf("%d announcements before the second attempt, want 1", told.Load())
				}
				sign(writer, incoming)
			})
			request := hedgeableRequest(d)
			request.IncomingHandoff = &IncomingHandoff{Confirm: func(context.Context) error { return nil }, AnnounceRetry: func() { told.Add(1) }}
			if _, trace, err := d.Do(t.Context(), request); err != nil || trace.Attempts != 2 {
				t.Errorf("error %v after %d attempts, wanted a response after two", err, trace.Attempts)
			}
		})
	}
}

// Requests of routes with large responses are not handed off.
func TestLargeAnswersGoDirect(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, ErrNoHome, warmDivided)
	w.setOwner(t, "s0")
	request := requestFor("divided", true)
	w.recordAnswerSize(request, &upstream.Response{Body: make([]byte, 90<<10)})
	_, _, _ = w.Do(t.Context(), request)
	if handover.count != 0 {
		t.Error("a request with a large response was handed off")
	}
}

// A home sends handed-off requests itself, even if its own view names another home.
func TestTakenOverRequestsAreNotHandedOnAgain(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, ErrNoHome, warmDivided)
	w.setOwner(t, "s0")
	request := requestFor("divided", false)
	begun := 0
	request.IncomingHandoff = &IncomingHandoff{From: "n1", Confirm: func(context.Context) error { begun++; return nil }}
	_, trace, _ := w.Do(t.Context(), request)
	if handover.count != 0 || begun != 1 || trace.Server != "s0" {
		t.Errorf("handed off %d times, confirmed %d times, sent to %q", handover.count, begun, trace.Server)
	}
}

// If the sender does not confirm a handed-off request, its slot is released and the request
// is not executed.
func TestPlaceIsFreeAgainWithoutAGo(t *testing.T) {
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	d := dispatcherOf(map[string]string{"a": server.Listener.Addr().String()})
	request := unsafeRequest()
	request.IncomingHandoff = &IncomingHandoff{From: "n1", Confirm: func(context.Context) error { return errors.New("no go") }}
	if _, _, err := d.Do(t.Context(), request); !errors.Is(err, ErrNotExecuted) {
		t.Errorf("error %v, wanted ErrNotExecuted", err)
	}
	if occupied := d.server("a").outstanding; occupied != 0 || arrived.Load() != 0 {
		t.Errorf("%d slots are reserved, %d requests arrived", occupied, arrived.Load())
	}
}

// Warming servers get requests only from the nodes with send permits, so none through homes.
func TestWarmingServersGetNothingThroughHomes(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, ErrNoHome, "divided z 3s")
	w.setOwner(t, "s0")
	// Whether the request is sent depends on the send permits, so the result is ignored.
	_, _, _ = w.Do(t.Context(), requestFor("divided", false))
	if handover.count != 0 {
		t.Error("a request for a warming server was handed off")
	}
	if w.Takes(requestFor("divided", false), Destination{Server: "s0"}) {
		t.Error("a handoff for a warming server was accepted")
	}
}

// A home determines the owner of a key by its own owner map, which must not be older than
// the sender's.
func TestHomeChecksItsMap(t *testing.T) {
	w, _ := newTestNodeWithHomes(t, ErrNoHome, warmDivided, warmDivided)
	w.setOwner(t, "s0")
	older := w.revision
	w.setOwner(t, "s1")
	request := requestFor("divided", false)
	if w.Takes(request, Destination{Server: "s1", MapRevision: w.revision + 1}) {
		t.Error("accepted a handoff with an owner map older than the sender's")
	}
	if !w.Takes(request, Destination{Server: "s0", MapRevision: older}) {
		t.Fatal("refused a handoff with a newer owner map")
	}
	request.IncomingHandoff = &IncomingHandoff{From: "n1", Confirm: func(context.Context) error { return nil }}
	if _, trace, _ := w.Do(t.Context(), request); trace.Server != "s1" {
		t.Errorf("sent to %q, wanted the present owner s1", trace.Server)
	}
}

// A home that is shutting down accepts no handoffs.
func TestStoppingHomeTakesNothing(t *testing.T) {
	w, _ := newTestNodeWithHomes(t, ErrNoHome, warmDivided)
	w.setOwner(t, "s0")
	w.ShutDownBy(time.Now().Add(time.Minute))
	if w.Takes(requestFor("divided", false), Destination{Server: "s0"}) {
		t.Error("accepted a handoff while shutting down")
	}
}

// The home and all other nodes together stay within a server's connection limit.
func TestHomeAndNodesShareAServersConnections(t *testing.T) {
	for _, nodes := range []int{1, 8, 30} {
		const maxConnections = 110
		d := newDispatcher(maxConnections, nodes)
		d.SetHandoffSender(&fakeHandoff{})
		share, homeShare := d.connectionShares(d.views.Current(), "s")
		if together := share*nodes + homeShare; together > maxConnections {
			t.Errorf("%d nodes and the home use up to %d connections, allowed: %d", nodes, together, maxConnections)
		}
	}
}

// The limit at a home starts at one request per slot and grows slightly above that.
func TestLimitAtHome(t *testing.T) {
	w, _ := newTestNodeWithHomes(t, ErrNoHome, warmDivided)
	s, now := w.server("s0"), time.Now()
	s.setHome(now, true)
	if got := s.capacity(now); got != s.Slots {
		t.Errorf("%d requests at first, wanted one per slot: %d", got, s.Slots)
	}
	for range 100 {
		s.limit.observeLatency(now, s.Slots, false)
	}
	if got := s.capacity(now); got != 4 {
		t.Errorf("%d requests at %d slots, wanted 4", got, s.Slots)
	}
}

// A node whose requests another home accepts stops being the server's home. It gives up the
// home's share of the connections and the home's limit.
func TestHomeEndsWhereAnotherOneTakesRequests(t *testing.T) {
	for name, err := range map[string]error{
		"answered": nil, "refused": &Refusal{Reason: ReasonOwnerBusy}, "lost": ErrHomeLost, "none": ErrNoHome,
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := newTestNodeWithHomes(t, err, warmDivided)
			w.setOwner(t, "s0")
			w.TakeHome("s0")
			if err != ErrNoHome {
				_, _, _ = w.Do(t.Context(), requestFor("divided", false))
				if !w.server("s0").isHome {
					t.Error("the node stopped being a home right after the last handoff to it")
				}
			}
			w.server("s0").lastHomeAt = time.Now().Add(-2 * homeRetention)
			_, _, _ = w.Do(t.Context(), requestFor("divided", false))
			if w.server("s0").isHome {
				t.Error("the node still counts as home")
			}
		})
	}
	w, _ := newTestNodeWithHomes(t, ErrAtHome, warmDivided)
	w.setOwner(t, "s0")
	_, _, _ = w.Do(t.Context(), requestFor("divided", false))
	if !w.server("s0").isHome {
		t.Error("the node does not count as the home after ErrAtHome")
	}
}

// One request per slot is not the cause of a server's slowness. A home keeps at least that
// many while the server answers, and one while it does not.
func TestSlowServersKeepTheirSlotsAtHome(t *testing.T) {
	w, _ := newTestNodeWithHomes(t, ErrNoHome, warmDivided)
	s, now := w.server("s0"), time.Now()
	s.setHome(now, true)
	for range 100 {
		s.limit.observeLatency(now, s.Slots, true)
	}
	if got := s.capacity(now); got != s.Slots {
		t.Errorf("%d requests at a slow server, wanted one per slot: %d", got, s.Slots)
	}
	for range 100 {
		s.limit.observeLoad(now, time.Millisecond, discovery.Load{Waiting: 30, Slots: s.Slots})
	}
	if got := s.capacity(now); got != s.Slots {
		t.Errorf("%d requests at a server with a queue, wanted one per slot: %d", got, s.Slots)
	}
	for range 100 {
		s.recordNoAnswer(now, sentAttempt{elapsed: time.Second})
	}
	if got := s.capacity(now); got != 1 {
		t.Errorf("%d requests at a server that does not answer, wanted 1", got)
	}
}

// Each server of an unsharded service has one home. The home sends to its own servers
// first, and to others only after a request has waited for a fraction of its objective.
func TestHomeSendsToItsServers(t *testing.T) {
	servers := make([]string, 20)
	for index := range servers {
		servers[index] = warmPlain
	}
	w, _ := newTestNodeWithHomes(t, ErrNoHome, servers...)
	// The node is the home of all servers except the one in another zone.
	w.put("servers/far", "plain y 0s")
	current := w.views.Current()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.options.Node = w.homeAssignmentOf(current, "plain").homes[0].Name
	w.services["plain"].homeAssignment.homes, w.services["plain"].homeAssignment.stale = nil, true
	own := w.homeAssignmentOf(current, "plain").groups[w.options.Node]
	now, request := time.Now(), requestFor("plain", true)
	request.ArrivedAt = now
	for range len(own) {
		chosen := w.choose(now, request, nil)
		if chosen == nil || !chosen.isHome {
			t.Fatalf("chose %v, wanted a server of this home", chosen)
		}
		chosen.outstanding = 100
	}
	if chosen := w.choose(now, request, nil); chosen != nil {
		t.Errorf("chose %s at once, wanted that the request waits", chosen.id)
	}
	later := now.Add(time.Duration(spillDelayFraction * float64(request.Route.Objective)))
	if chosen := w.choose(later, request, nil); chosen == nil || chosen.isHome {
		t.Errorf("chose %v for a request that has waited, wanted another home's server", chosen)
	}
}
