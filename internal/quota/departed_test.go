package quota

import (
	"context"
	"testing"
	"time"
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
