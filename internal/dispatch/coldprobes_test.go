package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// fakeHealthServer answers probes with the given server id and remaining warm-up time.
type fakeHealthServer struct {
	id     string
	left   time.Duration
	probes atomic.Int32
}

func (h *fakeHealthServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.probes.Add(1)
	w.Header().Set("Id", h.id)
	w.Header().Set("Left", strconv.FormatInt(h.left.Milliseconds(), 10))
}

func readHealth(answer http.Header) (string, time.Duration) {
	left, err := strconv.Atoi(answer.Get("Left"))
	if err != nil {
		return "", 0
	}
	return answer.Get("Id"), time.Duration(left) * time.Millisecond
}

// probedDocuments decodes the store's documents into one warm server, s0, at the given
// address. Its service has the given warm-up rate.
type probedDocuments struct {
	address string
	rate    float64
}

func (d probedDocuments) Table([]byte) (routing.Spec, error) {
	return routing.Spec{Version: 1, Services: []routing.Service{
		{Name: "plain", WarmUp: warmUpTime, WarmUpRate: d.rate, HealthPath: "/health"},
	}}, nil
}

func (d probedDocuments) Server(id string, _ []byte) (discovery.Server, error) {
	return discovery.Server{ID: discovery.ServerID(id), Service: "plain", Address: d.address, Zone: "z", Slots: 3}, nil
}

// newProbingNode returns a running node n0 whose copy of the store has the given age, and
// whose only server uses answers as its handler.
func newProbingNode(t *testing.T, answers *fakeHealthServer, rate float64, age time.Duration) (*testNode, chan discovery.ServerID) {
	t.Helper()
	server := httptest.NewServer(answers)
	t.Cleanup(server.Close)
	layout := view.Layout{TableKey: "table", ServerPrefix: "servers/", EvacuationPrefix: "evacuated/"}
	documents := probedDocuments{strings.TrimPrefix(server.URL, "http://"), rate}
	builder := view.NewBuilder(layout, documents, zap.NewNop())
	options := Options{Node: "n0", Zone: "z", WarmUpOver: 1.5, WarmUpSlack: 8, Headers: Headers{Health: readHealth}}
	w := &testNode{Dispatcher: New(options, builder, zap.NewNop()), builder: builder, revision: 1, age: age}
	w.SetCopyAge(func() (time.Duration, bool) { return age, true })
	found := make(chan discovery.ServerID, 8)
	w.SetColdServerFunc(func(id discovery.ServerID, _ time.Duration) { found <- id })
	builder.Replace([]topo.Item{
		{Key: "table", Revision: 1}, {Key: "servers/s0", Revision: 1},
		{Key: view.NodeKey("n0"), Value: []byte(`{"name":"n0","zone":"z"}`), Revision: 1},
	}, 1)
	go func() { _ = w.Run(t.Context()) }()
	return w, found
}

// Guards against full load on a server that turns cold in place while the store is
// unavailable. In a soak test such a server got 34 requests in a second where 17 were
// allowed.
func TestServerThatTurnsColdWhileTheCopyIsOldGetsNothing(t *testing.T) {
	w, found := newProbingNode(t, &fakeHealthServer{id: "s0", left: time.Minute}, 6.7, 3*time.Second)
	select {
	case id := <-found:
		if id != "s0" {
			t.Errorf("the other nodes were notified of %q, want s0", id)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no notification that the server is cold")
	}
	if got := w.chooseID(rightsActiveAt(), "plain"); got != "" {
		t.Errorf("chose %q, which reported that it is cold", got)
	}
}

func TestColdServerThatAnotherNodeFoundGetsNothing(t *testing.T) {
	w := newTestNode(t, 1, "plain z 0s")
	w.age = time.Minute
	w.MarkCold("s0", 3*time.Second)
	if got := w.chooseID(time.Now(), "plain"); got != "" {
		t.Errorf("chose %q, which another node found cold", got)
	}
	if got := w.chooseID(time.Now().Add(3*time.Second), "plain"); got != "s0" {
		t.Error("the server is not chosen after its warm-up")
	}
}

// Probes cost the servers time.
func TestServersAreNotProbedWithoutNeed(t *testing.T) {
	cases := []struct {
		name string
		rate float64
		age  time.Duration
	}{
		{"the copy is new", 6.7, time.Second},
		{"nothing bounds the warm-up", 0, time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answers := &fakeHealthServer{id: "s0"}
			w, _ := newProbingNode(t, answers, c.rate, c.age)
			if due := w.dueProbes(time.Now()); len(due) > 0 || answers.probes.Load() > 0 {
				t.Error("a server was probed")
			}
		})
	}
}

func TestAnswerOfAnotherServerSaysNothing(t *testing.T) {
	answers := &fakeHealthServer{id: "another", left: time.Minute}
	w, found := newProbingNode(t, answers, 6.7, 3*time.Second)
	for deadline := time.Now().Add(5 * time.Second); answers.probes.Load() < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no second probe")
		}
	}
	if got := w.chooseID(rightsActiveAt(), "plain"); got != "s0" || len(found) > 0 {
		t.Errorf("chose %q with %d notifications, want s0 and none", got, len(found))
	}
}

// fakeSingleLimit announces a limit of one request per second for one server only.
type fakeSingleLimit struct {
	noLimits
	server string
}

func (l fakeSingleLimit) Observed(server string) (float64, bool) { return 1, server == l.server }

// Probes are requests too: two nodes would send four of them per second to a server with a
// limit of one request per second.
func TestServersThatNameALimitAreNotProbed(t *testing.T) {
	answers := &fakeHealthServer{id: "s0"}
	w, _ := newProbingNode(t, answers, 10, 5*time.Second)
	waitProbed(t, answers)
	w.mutex.Lock()
	w.limits = fakeSingleLimit{server: "s0"}
	w.mutex.Unlock()
	// A probe that is in flight may still arrive.
	time.Sleep(probeTimeout)
	before := answers.probes.Load()
	time.Sleep(3 * probeInterval)
	if after := answers.probes.Load(); after != before {
		t.Errorf("%d probes of a server that announced a limit, want none", after-before)
	}
}

func waitProbed(t *testing.T, answers *fakeHealthServer) {
	t.Helper()
	for range 200 {
		if answers.probes.Load() > 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the server was never probed")
}
