package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micahaven/micahaven/internal/tenants"
)

// namedTolerance is what a server that names a limit bears.
var namedTolerance = Tolerance{Window: 4 * time.Second, Over: 0.5, Slack: 5}

// Named limits have no burst and are small: no window has more than a server bears, however
// many nodes ask, and whether answers get lost or homes are replaced.
func TestNoWindowExceedsANamedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := tenants.Limit{Rate: rapid.Float64Range(leastObservedRate, 60).Draw(t, "rate")}
		nodes := rapid.SampledFrom([]int{1, 3, 11, 70, 985}).Draw(t, "nodes")
		demand := limit.Rate * rapid.Float64Range(0.5, 12).Draw(t, "demand")
		trip := time.Duration(rapid.IntRange(1, 150).Draw(t, "trip")) * time.Millisecond
		losses := rapid.Float64Range(0, 0.3).Draw(t, "losses")
		replacedAt := time.Duration(rapid.IntRange(0, 30).Draw(t, "replaced")) * time.Second
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := newWorld(nodes, limit, namedTolerance)
		const step = 5 * time.Millisecond
		for now := time.Duration(0); now < 20*time.Second; now += step {
			w.land(now)
			if now == replacedAt {
				w.account = NewAccount(now, limit, namedTolerance)
				for _, share := range w.shares {
					share.HomeChanged()
				}
			}
			for due := demand * step.Seconds(); due > random.Float64(); due-- {
				w.request(now, random.IntN(nodes), trip, random.Float64() < losses)
			}
		}
		if most := w.most(); float64(most) > w.allowed() {
			t.Errorf("%d requests in a window, allowed %g", most, w.allowed())
		}
	})
}

// admitAll asks for a name at all nodes many times at once and returns how many went.
func (n *network) admitAll(name string, times int) int64 {
	var admitted atomic.Int64
	var group sync.WaitGroup
	for range times {
		for _, node := range n.nodes {
			group.Go(func() {
				if node.AdmitObserved(context.Background(), name).Admitted {
					admitted.Add(1)
				}
			})
		}
	}
	group.Wait()
	return admitted.Load()
}

// Only one of three nodes heard the server name its limit, and it need not be the home: the
// others ask nobody until they have heard it too, and then all of them share the limit.
func TestNodesShareAnObservedLimit(t *testing.T) {
	n, _ := newNetwork(t, "n1", "n2", "n3")
	if got := n.admitAll("s", 10); got != 30 || n.calls.Load() != 0 {
		t.Fatalf("%d of 30 admitted with %d reports while no limit is known", got, n.calls.Load())
	}
	for _, node := range n.nodes {
		if !node.Observe("s", Observation{Limited: true, Rate: 2}) {
			t.Error("a new limit is not new")
		}
		if node.Observe("s", Observation{Limited: true, Rate: 2}) {
			t.Error("a known limit is new")
		}
	}
	if got := n.admitAll("s", 20); got > 3 {
		t.Errorf("%d admitted at once at a limit of 2 a second", got)
	}
}

// A limit that was taken back ends everywhere: nodes that have not heard it learn it from the
// home with their next request.
func TestObservedLimitEndsAtAllNodes(t *testing.T) {
	n, _ := newNetwork(t, "n1", "n2", "n3")
	for _, node := range n.nodes {
		node.Observe("s", Observation{Limited: true, Rate: 0.1})
	}
	n.admitAll("s", 2)
	time.Sleep(time.Millisecond)
	n.nodes[homeName(n, "s")].Observe("s", Observation{})
	for name, node := range n.nodes {
		if got := node.AdmitObserved(context.Background(), "s"); !got.Admitted {
			t.Errorf("%s refuses after the limit has ended: %+v", name, got)
		}
		if _, limited := node.Observed("s"); limited {
			t.Errorf("%s still knows a limit", name)
		}
	}
}

func homeName(n *network, name string) string {
	for _, node := range n.nodes {
		home, _ := homeOf(name, node.candidates)
		return home.Name
	}
	return ""
}

// What is older counts no more, whichever way it comes.
func TestNewerObservationsCount(t *testing.T) {
	n, _ := newNetwork(t, "n1")
	node := n.nodes["n1"]
	node.Observe("s", Observation{Limited: true, Rate: 5})
	node.Observe("s", Observation{Limited: true, Rate: 9, Age: time.Second})
	node.Observe("s", Observation{Age: time.Second})
	if rate, limited := node.Observed("s"); !limited || rate != 5 {
		t.Errorf("limit %v, %v, want the newest, 5", rate, limited)
	}
	known := node.compare("s", Observation{Limited: true, Rate: 7, Age: time.Minute})
	if known.Rate != 5 || known.Age > time.Second {
		t.Errorf("the home answers %+v to older news", known)
	}
}

// A server that takes nothing gets a request now and then, whose answer tells when it does.
func TestServerThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	n, _ := newNetwork(t, "n1")
	n.nodes["n1"].Observe("s", Observation{Limited: true})
	if rate, limited := n.nodes["n1"].Observed("s"); !limited || rate != leastObservedRate {
		t.Errorf("limit %v, %v, want %v", rate, limited, leastObservedRate)
	}
}

func TestObservationsThatNothingConfirmsLapse(t *testing.T) {
	n, _ := newNetwork(t, "n1")
	node := n.nodes["n1"]
	node.Observe("old", Observation{Limited: true, Rate: 1, Age: observedMemory - 20*time.Millisecond})
	if _, limited := node.Observed("old"); !limited {
		t.Error("forgotten too early")
	}
	time.Sleep(40 * time.Millisecond)
	if _, limited := node.Observed("old"); limited {
		t.Error("still counts")
	}
	node.Observe("new", Observation{Limited: true, Rate: 1})
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if len(node.observed) != 1 || len(node.homes) != 2 {
		t.Errorf("%d observations and %d homes are kept, want one, and that of the tenant besides", len(node.observed), len(node.homes))
	}
}

func BenchmarkNoLimitObserved(b *testing.B) {
	limiter := NewLimiter("servers", "n1", nil, NewKeeper(), namedTolerance, nil)
	for b.Loop() {
		limiter.AdmitObserved(context.Background(), "s")
	}
}
