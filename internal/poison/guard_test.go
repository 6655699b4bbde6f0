package poison

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// request is a request of service "s" that others can be told from.
func request(number int) Request {
	return Request{Service: "s", Method: "GET", URI: fmt.Sprintf("/%d", number)}
}

func asked(number int) func() Request { return func() Request { return request(number) } }

// guards returns nodes that tell each other at once. A node that is cut off hears nothing.
func guards(names ...string) (nodes map[string]*Guard, cut *sync.Map) {
	nodes, cut = make(map[string]*Guard), &sync.Map{}
	for _, name := range names {
		nodes[name] = NewGuard(name, func(suspects []Suspect) {
			for other, node := range nodes {
				if _, hearsNothing := cut.Load(other); other != name && !hearsNothing {
					node.Take(suspects)
				}
			}
		}, zap.NewNop())
	}
	for _, node := range nodes {
		node.Follow(names)
	}
	return nodes, cut
}

// lose lets a life crash while it runs some requests of a node.
func lose(node *Guard, life int, numbers ...int) {
	for _, number := range numbers {
		node.Lost(fmt.Sprintf("s%d", life), request(number))
	}
	time.Sleep(gatherFor + 50*time.Millisecond)
}

// Each crash is seen by another node; all of them refuse the request after the third.
func TestAllNodesRefuseWhatCrashesServers(t *testing.T) {
	nodes, _ := guards("n1", "n2", "n3")
	for life, name := range []string{"n1", "n2", "n3"} {
		for _, node := range nodes {
			if _, refused := node.Refused(asked(1)); refused {
				t.Fatalf("refused after %d lives", life)
			}
		}
		lose(nodes[name], life, 1, 10+life)
	}
	for name, node := range nodes {
		if after, refused := node.Refused(asked(1)); !refused || after <= 0 || after > refusedFor {
			t.Errorf("%s: refused %v, come back after %v", name, refused, after)
		}
		if decision := node.Admit(t.Context(), asked(1)); !decision.Refused {
			t.Errorf("%s sends it", name)
		}
		if decision := node.Admit(t.Context(), asked(10)); decision.Refused {
			t.Errorf("%s refuses another request", name)
		}
	}
}

// A node that was cut off, or has just started, hears of it with the next word of the nodes
// that repeat it, of which it may be one itself.
func TestNodesThatMissedItHearOfIt(t *testing.T) {
	for _, missed := range []string{"n1", "n2", "n3"} {
		nodes, cut := guards("n1", "n2", "n3")
		saw := map[string]string{"n1": "n2", "n2": "n3", "n3": "n1"}[missed]
		cut.Store(missed, true)
		for life := range certainFrom {
			lose(nodes[saw], life, 1)
		}
		if _, refused := nodes[missed].Refused(asked(1)); refused {
			t.Fatalf("%s, which was cut off, knows it", missed)
		}
		cut.Delete(missed)
		for _, node := range nodes {
			node.TellAgain()
		}
		if _, refused := nodes[missed].Refused(asked(1)); !refused {
			t.Errorf("%s doesn't hear of it", missed)
		}
	}
}

// Suspects of two lives run one at a time; the others wait a little.
func TestSuspectsRunOneAtATime(t *testing.T) {
	nodes, _ := guards("n1")
	node := nodes["n1"]
	for life := range aloneFrom {
		lose(node, life, 1, 2)
	}
	first := node.Admit(t.Context(), asked(1))
	if first.Refused || !first.Suspected {
		t.Fatalf("decision on the first suspect %+v", first)
	}
	if second := node.Admit(t.Context(), asked(2)); !second.Refused || second.RetryAfter <= 0 {
		t.Errorf("another suspect runs beside it: %+v", second)
	}
	if innocent := node.Admit(t.Context(), asked(3)); innocent.Refused {
		t.Error("an innocent request waits for it")
	}
	time.AfterFunc(50*time.Millisecond, func() { node.Ended(request(1), first, true) })
	second := node.Admit(t.Context(), asked(2))
	if second.Refused {
		t.Error("the other suspect isn't sent once the first has ended")
	}
	node.Ended(request(2), second, true)
	if decision := node.Admit(t.Context(), asked(1)); decision.Suspected {
		t.Error("it is suspected after it was answered")
	}
}

func TestSuspectWhoseCallerLeavesWaitsNoMore(t *testing.T) {
	nodes, _ := guards("n1")
	node := nodes["n1"]
	for life := range aloneFrom {
		lose(node, life, 1)
	}
	node.Admit(t.Context(), asked(1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	if decision := node.Admit(ctx, asked(1)); !decision.Refused || time.Since(began) > aloneWait/2 {
		t.Errorf("decision %+v after %v", decision, time.Since(began))
	}
}

func BenchmarkAdmitWithoutSuspicion(b *testing.B) {
	guard := NewGuard("n1", nil, zap.NewNop())
	for b.Loop() {
		guard.Admit(context.Background(), asked(1))
	}
}

func BenchmarkAdmitBesideASuspicion(b *testing.B) {
	guard := NewGuard("n1", func([]Suspect) {}, zap.NewNop())
	lose(guard, 1, 1)
	for b.Loop() {
		guard.Admit(context.Background(), asked(2))
	}
}
