package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/tenants"
)

// network connects limiters by their names.
type network struct {
	mutex sync.Mutex
	nodes map[string]*Limiter
	cut   bool
	calls atomic.Int64
}

type port struct {
	*network
	from string
}

// Report implements Caller.
func (p port) Report(_ context.Context, address string, uses []Use) ([]Answer, error) {
	p.calls.Add(1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cut {
		return nil, errors.New("cut")
	}
	return p.nodes[address].Answer(p.from, uses), nil
}

func (n *network) setCut(cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut = cut
}

const burstOfTen = 10

// newNetwork returns nodes with one tenant "a" of 2 requests a second and a burst of ten.
func newNetwork(t *testing.T, names ...string) (*network, *tenants.Directory) {
	t.Helper()
	directory, err := tenants.NewDirectory([]tenants.Spec{{Tenant: tenants.Tenant{Name: "a", Limit: tenants.Limit{Rate: 2, Burst: burstOfTen}}}})
	if err != nil {
		t.Fatal(err)
	}
	n := &network{nodes: make(map[string]*Limiter)}
	var nodes []Node
	for _, name := range names {
		n.nodes[name] = NewLimiter("tenants", name, port{n, name}, NewKeeper(), Tolerance{Window: time.Second}, zap.NewNop())
		nodes = append(nodes, Node{Name: name, Address: name, Share: 1})
	}
	for _, node := range n.nodes {
		node.Follow(directory.Limits(), nodes)
	}
	return n, directory
}

// fill makes room for as much as the burst at the tenant's home.
func (n *network) fill(tenant string) string {
	for name, node := range n.nodes {
		node.keeper.mutex.Lock()
		if account := node.keeper.accounts[tenant]; account != nil {
			account.level = account.most()
			node.keeper.mutex.Unlock()
			return name
		}
		node.keeper.mutex.Unlock()
	}
	return ""
}

func TestNodesShareOneLimit(t *testing.T) {
	n, directory := newNetwork(t, "n1", "n2", "n3")
	n.fill("a")
	var admitted, refused atomic.Int64
	var group sync.WaitGroup
	for index := range 60 {
		node := n.nodes[[]string{"n1", "n2", "n3"}[index%3]]
		group.Go(func() {
			decision := node.Admit(context.Background(), "a", directory.ByName("a").Limit)
			if decision.Admitted {
				admitted.Add(1)
				return
			}
			refused.Add(1)
			if decision.RetryAfter <= 0 || decision.RetryAfter > LongestReturn || decision.Detail == "" {
				t.Errorf("refused with %+v", decision)
			}
		})
	}
	group.Wait()
	if admitted.Load() < burstOfTen || admitted.Load() > burstOfTen+1 {
		t.Errorf("%d admitted and %d refused, want the burst of %d", admitted.Load(), refused.Load(), burstOfTen)
	}
}

func TestRequestsOfATenantWithoutALimitAskNobody(t *testing.T) {
	n, _ := newNetwork(t, "n1", "n2")
	for range 100 {
		if !n.nodes["n1"].Admit(context.Background(), "b", tenants.Limit{}).Admitted {
			t.Fatal("refused")
		}
	}
	if n.calls.Load() != 0 {
		t.Errorf("%d reports were sent", n.calls.Load())
	}
}

func TestWhatDidNotRunDoesNotCount(t *testing.T) {
	n, directory := newNetwork(t, "n1")
	n.fill("a")
	for range 5 * burstOfTen {
		if !n.nodes["n1"].Admit(context.Background(), "a", directory.ByName("a").Limit).Admitted {
			t.Fatal("refused, though all before did not run")
		}
		n.nodes["n1"].GiveBack("a")
	}
}

// A node that does not reach the home decides by itself, and the home knows afterwards.
func TestHomeThatIsNotReached(t *testing.T) {
	n, directory := newNetwork(t, "n1", "n2")
	home := n.fill("a")
	other := map[string]string{"n1": "n2", "n2": "n1"}[home]
	n.setCut(true)
	first := n.nodes[other].Admit(context.Background(), "a", directory.ByName("a").Limit)
	if first.Admitted || first.RetryAfter <= 0 {
		t.Errorf("a node that never heard of the home decided %+v at once", first)
	}
	calls := n.calls.Load()
	n.nodes[other].Admit(context.Background(), "a", directory.ByName("a").Limit)
	if n.calls.Load() != calls {
		t.Error("the home was asked again at once")
	}
	n.setCut(false)
	time.Sleep(lostFor + 50*time.Millisecond)
	if decision := n.nodes[other].Admit(context.Background(), "a", directory.ByName("a").Limit); !decision.Admitted {
		t.Errorf("refused after the home is back: %+v", decision)
	}
}

// An answer from a node that is no home decides nothing: both would let the limit through.
func TestNodeThatIsNotTheHomeGrantsNothing(t *testing.T) {
	n, _ := newNetwork(t, "n1", "n2")
	home := n.fill("a")
	other := map[string]string{"n1": "n2", "n2": "n1"}[home]
	answers := n.nodes[other].Answer("n3", []Use{{Name: "a", Report: Report{Waiting: 1}}})
	if !answers[0].NotHome || answers[0].Granted != 0 {
		t.Errorf("answer %+v", answers[0])
	}
}

func TestCallerThatLeavesUsesNothing(t *testing.T) {
	n, directory := newNetwork(t, "n1")
	n.fill("a")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 3 * burstOfTen {
		n.nodes["n1"].Admit(ctx, "a", directory.ByName("a").Limit)
	}
	time.Sleep(2 * ReportPause)
	admitted := 0
	for range burstOfTen {
		if n.nodes["n1"].Admit(context.Background(), "a", directory.ByName("a").Limit).Admitted {
			admitted++
		}
	}
	if admitted < burstOfTen-1 {
		t.Errorf("%d of %d admitted after callers that left", admitted, burstOfTen)
	}
}

// What a node was given ahead lapses while its machine sleeps: the home counts on that.
func TestWhatWasGivenAheadLapsesInSleep(t *testing.T) {
	n, directory := newNetwork(t, "n1", "n2")
	home := n.fill("a")
	other := n.nodes[map[string]string{"n1": "n2", "n2": "n1"}[home]]
	for _, node := range n.nodes {
		node.SetTolerance(Tolerance{Window: time.Second, Slack: 4 * burstOfTen})
	}
	other.Admit(context.Background(), "a", directory.ByName("a").Limit)
	other.mutex.Lock()
	defer other.mutex.Unlock()
	share := other.shares["a"]
	if share.ahead == 0 || other.now() >= share.aheadUntil {
		t.Fatal("nothing was given ahead")
	}
	other.clock = func() time.Duration { return clock.Boot() + aheadFor }
	if share.TakeAhead(other.now()) {
		t.Error("the node uses what it was given before it slept, without asking")
	}
}

func BenchmarkAdmitAhead(b *testing.B) {
	directory, err := tenants.NewDirectory([]tenants.Spec{{Tenant: tenants.Tenant{Name: "a", Limit: tenants.Limit{Rate: 1e9, Burst: 1e9}}}})
	if err != nil {
		b.Fatal(err)
	}
	limiter := NewLimiter("tenants", "n1", nil, NewKeeper(), Tolerance{Window: time.Second, Over: 0.1}, zap.NewNop())
	limiter.Follow(directory.Limits(), []Node{{Name: "n1", Share: 1}})
	tenant := directory.ByName("a")
	for b.Loop() {
		limiter.Admit(context.Background(), tenant.Name, tenant.Limit)
	}
}
