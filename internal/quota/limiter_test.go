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

// network connects limiters with each other by node name.
type network struct {
	mutex       sync.Mutex
	nodes       map[string]*Limiter
	partitioned bool
	calls       atomic.Int64
}

type networkTransport struct {
	*network
	from string
}

// Report implements Transport.
func (p networkTransport) Report(_ context.Context, address string, uses []NamedReport) ([]Answer, error) {
	p.calls.Add(1)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.partitioned {
		return nil, errors.New("cut")
	}
	return p.nodes[address].Answer(p.from, uses), nil
}

func (n *network) setPartitioned(partitioned bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitioned = partitioned
}

const burstOfTen = 10

// newNetwork returns a network of nodes with one tenant "a", whose limit is 2 requests per
// second with a burst of ten.
func newNetwork(t *testing.T, names ...string) (*network, *tenants.Directory) {
	t.Helper()
	directory, err := tenants.NewDirectory([]tenants.Spec{{Tenant: tenants.Tenant{Name: "a", Limit: tenants.Limit{Rate: 2, Burst: burstOfTen}}}})
	if err != nil {
		t.Fatal(err)
	}
	n := &network{nodes: make(map[string]*Limiter)}
	var nodes []Node
	for _, name := range names {
		n.nodes[name] = NewLimiter("tenants", name, networkTransport{n, name}, NewAccountStore(), Tolerance{Window: time.Second}, zap.NewNop())
		nodes = append(nodes, Node{Name: name, Address: name, Share: 1})
	}
	for _, node := range n.nodes {
		node.Update(directory.Limits(), nodes)
	}
	return n, directory
}

// refillAccount fills the tenant's account to its capacity and returns the name of its home
// node.
func (n *network) refillAccount(tenant string) string {
	for name, node := range n.nodes {
		node.accountStore.mutex.Lock()
		if account := node.accountStore.accounts[tenant]; account != nil {
			account.tokens = account.capacity()
			node.accountStore.mutex.Unlock()
			return name
		}
		node.accountStore.mutex.Unlock()
	}
	return ""
}

func TestNodesShareOneLimit(t *testing.T) {
	n, directory := newNetwork(t, "n1", "n2", "n3")
	n.refillAccount("a")
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
			if decision.RetryAfter <= 0 || decision.RetryAfter > MaxRetryAfter || decision.Detail == "" {
				t.Errorf("refusal without a valid retry delay or detail: %+v", decision)
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
		t.Errorf("%d reports sent, want none", n.calls.Load())
	}
}

func TestWhatDidNotRunDoesNotCount(t *testing.T) {
	n, directory := newNetwork(t, "n1")
	n.refillAccount("a")
	for range 5 * burstOfTen {
		if !n.nodes["n1"].Admit(context.Background(), "a", directory.ByName("a").Limit).Admitted {
			t.Fatal("refused, although all earlier requests were given back")
		}
		n.nodes["n1"].GiveBack("a")
	}
}

// A node that cannot reach the home node decides locally, does not call it again before the
// retry delay has passed, and is served again once the connection is back.
func TestHomeThatIsNotReached(t *testing.T) {
	n, directory := newNetwork(t, "n1", "n2")
	home := n.refillAccount("a")
	other := map[string]string{"n1": "n2", "n2": "n1"}[home]
	n.setPartitioned(true)
	first := n.nodes[other].Admit(context.Background(), "a", directory.ByName("a").Limit)
	if first.Admitted || first.RetryAfter <= 0 {
		t.Errorf("decision of a node that never reached the home node: %+v, want a refusal with a retry delay", first)
	}
	calls := n.calls.Load()
	n.nodes[other].Admit(context.Background(), "a", directory.ByName("a").Limit)
	if n.calls.Load() != calls {
		t.Error("the home node was called again before the retry delay")
	}
	n.setPartitioned(false)
	time.Sleep(unreachableRetryDelay + 50*time.Millisecond)
	if decision := n.nodes[other].Admit(context.Background(), "a", directory.ByName("a").Limit); !decision.Admitted {
		t.Errorf("refused after the home node is reachable again: %+v", decision)
	}
}

// A node that is not the home node must not grant anything: otherwise two nodes would each
// admit the full limit.
func TestNodeThatIsNotTheHomeGrantsNothing(t *testing.T) {
	n, _ := newNetwork(t, "n1", "n2")
	home := n.refillAccount("a")
	other := map[string]string{"n1": "n2", "n2": "n1"}[home]
	answers := n.nodes[other].Answer("n3", []NamedReport{{Name: "a", Report: Report{Waiting: 1}}})
	if !answers[0].NotHome || answers[0].Granted != 0 {
		t.Errorf("response of a node that is not the home node: %+v", answers[0])
	}
}

func TestCallerThatLeavesUsesNothing(t *testing.T) {
	n, directory := newNetwork(t, "n1")
	n.refillAccount("a")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 3 * burstOfTen {
		n.nodes["n1"].Admit(ctx, "a", directory.ByName("a").Limit)
	}
	time.Sleep(2 * ReportInterval)
	admitted := 0
	for range burstOfTen {
		if n.nodes["n1"].Admit(context.Background(), "a", directory.ByName("a").Limit).Admitted {
			admitted++
		}
	}
	if admitted < burstOfTen-1 {
		t.Errorf("%d of %d admitted after requests of disconnected clients", admitted, burstOfTen)
	}
}

// Prefetched tokens must expire while the machine is suspended, because the home node reclaims
// them during that time.
func TestWhatWasGivenAheadLapsesInSleep(t *testing.T) {
	n, directory := newNetwork(t, "n1", "n2")
	home := n.refillAccount("a")
	other := n.nodes[map[string]string{"n1": "n2", "n2": "n1"}[home]]
	for _, node := range n.nodes {
		node.SetTolerance(Tolerance{Window: time.Second, Slack: 4 * burstOfTen})
	}
	other.Admit(context.Background(), "a", directory.ByName("a").Limit)
	other.mutex.Lock()
	defer other.mutex.Unlock()
	quota := other.localQuotas["a"]
	if quota.prefetched == 0 || other.now() >= quota.prefetchedUntil {
		t.Fatal("no tokens were prefetched")
	}
	other.clock = func() time.Duration { return clock.Boot() + prefetchTTL }
	if quota.TakePrefetched(other.now()) {
		t.Error("a token prefetched before the suspension is still used")
	}
}

func BenchmarkAdmitAhead(b *testing.B) {
	directory, err := tenants.NewDirectory([]tenants.Spec{{Tenant: tenants.Tenant{Name: "a", Limit: tenants.Limit{Rate: 1e9, Burst: 1e9}}}})
	if err != nil {
		b.Fatal(err)
	}
	limiter := NewLimiter("tenants", "n1", nil, NewAccountStore(), Tolerance{Window: time.Second, Over: 0.1}, zap.NewNop())
	limiter.Update(directory.Limits(), []Node{{Name: "n1", Share: 1}})
	tenant := directory.ByName("a")
	for b.Loop() {
		limiter.Admit(context.Background(), tenant.Name, tenant.Limit)
	}
}
