package quota

import (
	"context"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/tenants"
)

// departedContext is the context of a client that leaves once decided returns true.
type departedContext struct {
	context.Context
	decided func() bool
}

// Done implements context.Context.
func (c departedContext) Done() <-chan struct{} {
	for !c.decided() {
		time.Sleep(time.Millisecond)
	}
	return c.Context.Done()
}

// idle returns whether the limiter has received all responses of a home node.
func idle(limiter *Limiter, home string) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	client := limiter.homeClients[home]
	return client == nil || !client.running
}

// A token must not stay with a client that leaves at the moment at which it is admitted.
func TestClientThatLeavesAsItIsAdmittedUsesNothing(t *testing.T) {
	n, directory := newNetwork(t, "n1")
	n.refillAccount("a")
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	ctx := departedContext{canceled, func() bool { return idle(n.nodes["n1"], "n1") }}
	for range 3 * burstOfTen {
		decision := n.nodes["n1"].Admit(ctx, "a", directory.ByName("a").Limit)
		if decision.Admitted || decision.RetryAfter <= 0 || decision.Detail == "" {
			t.Errorf("decision on a request whose client left: %+v, want a refusal", decision)
		}
	}
	admitted := 0
	for range burstOfTen {
		if n.nodes["n1"].Admit(context.Background(), "a", directory.ByName("a").Limit).Admitted {
			admitted++
		}
	}
	if admitted < burstOfTen {
		t.Errorf("%d of %d admitted after requests of clients that left", admitted, burstOfTen)
	}
}

// heldTransport delivers reports only after release is closed.
type heldTransport struct {
	Transport
	started, release chan struct{}
}

// Report implements Transport.
func (h heldTransport) Report(ctx context.Context, address string, uses []NamedReport) ([]Answer, error) {
	h.started <- struct{}{}
	<-h.release
	return h.Transport.Report(ctx, address, uses)
}

// leaveDuringReport sends a request at a node that is not the home node. Its client leaves while
// the report is in flight; beforeAnswer runs before the report reaches the home node.
func leaveDuringReport(limiter *Limiter, limit tenants.Limit, beforeAnswer func()) {
	held := heldTransport{limiter.transport, make(chan struct{}, burstOfTen), make(chan struct{})}
	limiter.transport = held
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan Decision)
	go func() { left <- limiter.Admit(ctx, "a", limit) }()
	<-held.started
	cancel()
	<-left
	beforeAnswer()
	close(held.release)
}

// eventually waits until a condition on a limiter's state holds.
func eventually(limiter *Limiter, condition func() bool) bool {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		limiter.mutex.Lock()
		holds := condition()
		limiter.mutex.Unlock()
		if holds {
			return true
		}
	}
	return false
}

// Guards against tokens that other nodes lack until the node gets another request.
func TestTokensOfClientsThatLeaveReturnToTheHome(t *testing.T) {
	t.Run("granted afterwards", func(t *testing.T) {
		n, directory := newNetwork(t, "n1", "n2")
		home := n.refillAccount("a")
		limiter := n.nodes[map[string]string{"n1": "n2", "n2": "n1"}[home]]
		leaveDuringReport(limiter, directory.ByName("a").Limit, func() {})
		if !eventually(limiter, func() bool {
			quota := limiter.localQuotas["a"]
			return quota.meanRate > 0 && quota.FullyReported()
		}) {
			t.Error("the token was not reported to the home node")
		}
	})
	t.Run("granted before", func(t *testing.T) {
		n, directory := newNetwork(t, "n1", "n2")
		home := n.refillAccount("a")
		limiter := n.nodes[map[string]string{"n1": "n2", "n2": "n1"}[home]]
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		limit := directory.ByName("a").Limit
		ctx := departedContext{canceled, func() bool { return idle(limiter, home) }}
		for range burstOfTen {
			limiter.Admit(ctx, "a", limit)
			if !eventually(limiter, func() bool { return limiter.localQuotas["a"].FullyReported() }) {
				t.Fatal("the token was not reported to the home node")
			}
		}
		admitted := 0
		for range burstOfTen {
			if n.nodes[home].Admit(context.Background(), "a", limit).Admitted {
				admitted++
			}
		}
		if admitted < burstOfTen {
			t.Errorf("%d of %d admitted at the home node after requests of clients that left another node", admitted, burstOfTen)
		}
	})
}

// A client that leaves while the home node is lost must not use what its node may admit alone.
func TestClientThatLeavesUsesNothingWithoutTheHome(t *testing.T) {
	n, directory := newNetwork(t, "n1", "n2")
	home := n.refillAccount("a")
	limiter := n.nodes[map[string]string{"n1": "n2", "n2": "n1"}[home]]
	limit := directory.ByName("a").Limit
	leaveDuringReport(limiter, limit, func() {
		n.setPartitioned(true)
		limiter.mutex.Lock()
		limiter.localQuotas["a"].fallbackTokens = 1
		limiter.mutex.Unlock()
	})
	if !eventually(limiter, func() bool { return limiter.homeClients[home].unreachableUntil != 0 }) {
		t.Fatal("the home node counts as reachable")
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if decision := limiter.Admit(canceled, "a", limit); decision.Admitted {
		t.Errorf("decision on a request whose client left: %+v", decision)
	}
	limiter.mutex.Lock()
	unreported := limiter.localQuotas["a"].unreported
	limiter.mutex.Unlock()
	if unreported != 0 {
		t.Errorf("%d requests of clients that left are counted, want none", unreported)
	}
	if decision := limiter.Admit(context.Background(), "a", limit); !decision.Admitted {
		t.Errorf("refused after clients left that used nothing: %+v", decision)
	}
}

// Guards a connected client against a refusal because an earlier one has left.
func TestGrantOfAClientThatLeftGoesToTheNext(t *testing.T) {
	n, directory := newNetwork(t, "n1", "n2")
	home := n.refillAccount("a")
	limiter := n.nodes[map[string]string{"n1": "n2", "n2": "n1"}[home]]
	limit := directory.ByName("a").Limit
	held := heldTransport{limiter.transport, make(chan struct{}), make(chan struct{})}
	limiter.transport = held
	ctx, cancel := context.WithCancel(context.Background())
	decisions := make(chan Decision, 2)
	admit := func(ctx context.Context) { decisions <- limiter.Admit(ctx, "a", limit) }
	waiting := func(count int) func() bool {
		return func() bool { return len(limiter.homeClients[home].waiting) == count }
	}
	// While the first report is in flight, two requests gather for the second one.
	go limiter.Admit(context.Background(), "a", limit)
	<-held.started
	go admit(ctx)
	if !eventually(limiter, waiting(1)) {
		t.Fatal("the first request does not wait")
	}
	go admit(context.Background())
	if !eventually(limiter, waiting(2)) {
		t.Fatal("the second request does not wait")
	}
	held.release <- struct{}{}
	<-held.started
	cancel()
	<-decisions
	store := n.nodes[home].accountStore
	store.mutex.Lock()
	store.accounts["a"].tokens = 1
	store.mutex.Unlock()
	held.release <- struct{}{}
	if decision := <-decisions; !decision.Admitted {
		t.Errorf("refused although a token was granted: %+v", decision)
	}
}
