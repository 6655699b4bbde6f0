package dispatch

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// documents decodes any store content into a service with one server.
type documents struct{ maxConnections int }

func (d documents) Table([]byte) (routing.Spec, error) {
	return routing.Spec{Version: 1, Services: []routing.Service{{Name: "s", MaxConnections: d.maxConnections}}}, nil
}

func (documents) Server(id string, _ []byte) (discovery.Server, error) {
	return discovery.Server{ID: discovery.ServerID(id), Service: "s", Address: "127.0.0.1:1", Slots: 4}, nil
}

func newDispatcher(maxConnections, nodes int) *Dispatcher {
	builder := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, documents{maxConnections}, zap.NewNop())
	options := Options{RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}
	d := New(options, builder, zap.NewNop())
	items := []topo.Item{{Key: "table", Revision: 1}, {Key: "servers/a", Revision: 1}}
	for index := range nodes {
		name := fmt.Sprintf("n%d", index)
		items = append(items, topo.Item{Key: view.NodeKey(name), Value: fmt.Appendf(nil, `{"name":%q}`, name), Revision: 1})
	}
	builder.Replace(items, 1)
	return d
}

// A server resets connections beyond its limit, and a request on one of them may have been
// executed. The sum over all nodes has to stay below the limit.
func TestNodesShareAServersConnections(t *testing.T) {
	for _, nodes := range []int{1, 8, 60, 300} {
		const maxConnections = 110
		d := newDispatcher(maxConnections, nodes)
		s := d.server("a")
		now := time.Now()
		s.limit.set(now, 4)
		together := s.capacity(now) * nodes
		if together > maxConnections && s.capacity(now) > 1 {
			t.Errorf("%d nodes use up to %d connections, limit %d", nodes, together, maxConnections)
		}
	}
}

// In each window, the retries of all nodes together must stay within the ratio and the
// slack.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	for _, nodes := range []int{4, 8, 60} {
		d := newDispatcher(110, nodes)
		const requests, seconds = 200, 10
		repeats := 0
		b := d.budget("s")
		for tick := range seconds * ticksPerSecond {
			b.tokens = min(b.burst, b.tokens+b.perTick)
			if tick%ticksPerSecond == 0 {
				for range requests / seconds {
					b.earn()
				}
			}
			for b.take() {
				repeats++
			}
		}
		together := float64(repeats * nodes)
		if allowed := 0.2*requests*float64(nodes) + 56; together > allowed {
			t.Errorf("%d nodes retry %v requests in a window, limit %v", nodes, together, allowed)
		}
	}
}

// Guards against a budget that keeps its initial share when the number of nodes changes.
func TestBudgetFollowsTheNumberOfNodes(t *testing.T) {
	d := newDispatcher(110, 4)
	before := d.budget("s").burst
	d.nodes = 40
	d.budget("s").share(d.options, d.nodes)
	if after := d.budget("s").burst; after >= before {
		t.Errorf("burst %v with 4 nodes and %v with 40, want a smaller one", before, after)
	}
}
