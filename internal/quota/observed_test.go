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

// serverTolerance is the excess that a server which announces a limit can absorb.
var serverTolerance = Tolerance{Window: 4 * time.Second, Over: 0.5, Slack: 5}

// Limits announced by servers have no burst and are small. No window may exceed what the server
// can absorb, however many nodes send requests, and also if responses are lost or the home node
// is replaced.
func TestNoWindowExceedsAnObservedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := tenants.Limit{Rate: rapid.Float64Range(minObservedRate, 60).Draw(t, "rate")}
		nodes := rapid.SampledFrom([]int{1, 3, 11, 70, 985}).Draw(t, "nodes")
		demand := limit.Rate * rapid.Float64Range(0.5, 12).Draw(t, "demand")
		delay := time.Duration(rapid.IntRange(1, 150).Draw(t, "trip")) * time.Millisecond
		losses := rapid.Float64Range(0, 0.3).Draw(t, "losses")
		replacedAt := time.Duration(rapid.IntRange(0, 30).Draw(t, "replaced")) * time.Second
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newSimulation(nodes, limit, serverTolerance)
		const step = 5 * time.Millisecond
		for now := time.Duration(0); now < 20*time.Second; now += step {
			s.deliverAnswers(now)
			if now == replacedAt {
				s.account = NewAccount(now, limit, serverTolerance)
				for _, quota := range s.localQuotas {
					quota.HomeChanged()
				}
			}
			for due := demand * step.Seconds(); due > random.Float64(); due-- {
				s.request(now, random.IntN(nodes), delay, random.Float64() < losses)
			}
		}
		if maxPerWindow := s.maxPerWindow(); float64(maxPerWindow) > s.allowedPerWindow() {
			t.Errorf("%d requests in a window, allowed %g", maxPerWindow, s.allowedPerWindow())
		}
	})
}

// admitAll asks all nodes concurrently to admit requests, several times each, and returns how
// many were admitted.
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

// Without an observed limit nodes admit everything and send no reports. Once all of them have
// observed the limit they share it, whichever node is its home node.
func TestNodesShareAnObservedLimit(t *testing.T) {
	n, _ := newNetwork(t, "n1", "n2", "n3")
	if got := n.admitAll("s", 10); got != 30 || n.calls.Load() != 0 {
		t.Fatalf("%d of 30 admitted with %d reports while no limit is known", got, n.calls.Load())
	}
	for _, node := range n.nodes {
		if !node.Observe("s", Observation{Limited: true, Rate: 2}) {
			t.Error("the first observation of a limit is not reported as a change")
		}
		if node.Observe("s", Observation{Limited: true, Rate: 2}) {
			t.Error("an unchanged limit is reported as a change")
		}
	}
	if got := n.admitAll("s", 20); got > 3 {
		t.Errorf("%d requests admitted at once at a limit of 2 per second", got)
	}
}

// A withdrawn limit ends at all nodes: those that have not observed the withdrawal learn of it
// from the home node with their next request.
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
			t.Errorf("%s refuses after the limit was withdrawn: %+v", name, got)
		}
		if _, limited := node.Observed("s"); limited {
			t.Errorf("%s still has a limit after it was withdrawn", name)
		}
	}
}

func homeName(n *network, name string) string {
	for _, node := range n.nodes {
		home, _ := homeOf(name, node.homeCandidates)
		return home.Name
	}
	return ""
}

// An older observation never replaces a newer one, whether it was made locally or comes from
// another node.
func TestNewerObservationsCount(t *testing.T) {
	n, _ := newNetwork(t, "n1")
	node := n.nodes["n1"]
	node.Observe("s", Observation{Limited: true, Rate: 5})
	node.Observe("s", Observation{Limited: true, Rate: 9, Age: time.Second})
	node.Observe("s", Observation{Age: time.Second})
	if rate, limited := node.Observed("s"); !limited || rate != 5 {
		t.Errorf("limit %v, %v, want the newest observation, 5", rate, limited)
	}
	answer := node.mergeObservation("s", Observation{Limited: true, Rate: 7, Age: time.Minute})
	if answer.Rate != 5 || answer.Age > time.Second {
		t.Errorf("the home node answers an older observation with %+v, want the newer one", answer)
	}
}

// A server that announces a limit of zero still gets an occasional request, because only its
// response can show that it accepts more again.
func TestServerThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	n, _ := newNetwork(t, "n1")
	n.nodes["n1"].Observe("s", Observation{Limited: true})
	if rate, limited := n.nodes["n1"].Observed("s"); !limited || rate != minObservedRate {
		t.Errorf("limit %v, %v, want %v", rate, limited, minObservedRate)
	}
}

func TestObservationsThatNothingConfirmsLapse(t *testing.T) {
	n, _ := newNetwork(t, "n1")
	node := n.nodes["n1"]
	node.Observe("old", Observation{Limited: true, Rate: 1, Age: observationTTL - 20*time.Millisecond})
	if _, limited := node.Observed("old"); !limited {
		t.Error("observation dropped before its TTL")
	}
	time.Sleep(40 * time.Millisecond)
	if _, limited := node.Observed("old"); limited {
		t.Error("observation still in force after its TTL")
	}
	node.Observe("new", Observation{Limited: true, Rate: 1})
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if len(node.observed) != 1 || len(node.homeByName) != 2 {
		t.Errorf("%d observations and %d home nodes are kept, want one observation, and its home node besides the tenant's", len(node.observed), len(node.homeByName))
	}
}

func BenchmarkNoLimitObserved(b *testing.B) {
	limiter := NewLimiter("servers", "n1", nil, NewAccountStore(), serverTolerance, nil)
	for b.Loop() {
		limiter.AdmitObserved(context.Background(), "s")
	}
}
