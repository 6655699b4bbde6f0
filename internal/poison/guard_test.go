package poison

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// request returns a request of service "s" that is distinguished by its number.
func request(number int) Request {
	return Request{Service: "s", Method: "GET", URI: fmt.Sprintf("/%d", number)}
}

func asked(number int) func() Request { return func() Request { return request(number) } }

// newGuards returns the guards of several nodes that broadcast to each other synchronously. A
// node whose name is in cut receives nothing.
func newGuards(names ...string) (nodes map[string]*Guard, cut *sync.Map) {
	nodes, cut = make(map[string]*Guard), &sync.Map{}
	for _, name := range names {
		nodes[name] = NewGuard(name, func(suspects []Suspect) {
			for other, node := range nodes {
				if _, hearsNothing := cut.Load(other); other != name && !hearsNothing {
					node.Receive(suspects)
				}
			}
		}, zap.NewNop())
	}
	for _, node := range nodes {
		node.SetNodes(names)
	}
	return nodes, cut
}

// loseRequests reports to a node that a server crashed while running some of the node's
// requests, and waits until the crash has been attributed.
func loseRequests(node *Guard, server int, numbers ...int) {
	for _, number := range numbers {
		node.Lost(fmt.Sprintf("s%d", server), request(number), BeforeResponse)
	}
	time.Sleep(crashGroupingTime + 50*time.Millisecond)
}

// Each crash is seen by a different node. After the third crash all nodes must refuse the
// request.
func TestAllNodesRefuseWhatCrashesServers(t *testing.T) {
	nodes, _ := newGuards("n1", "n2", "n3")
	for server, name := range []string{"n1", "n2", "n3"} {
		for _, node := range nodes {
			if _, refused := node.Refused(asked(1)); refused {
				t.Fatalf("refused after %d crashes", server)
			}
		}
		loseRequests(nodes[name], server, 1, 10+server)
	}
	for name, node := range nodes {
		if after, refused := node.Refused(asked(1)); !refused || after <= 0 || after > refusalTime {
			t.Errorf("%s: refused %v, retry after %v", name, refused, after)
		}
		if decision := node.Admit(t.Context(), asked(1)); !decision.Refused {
			t.Errorf("%s sends a request that crashed three servers", name)
		}
		if decision := node.Admit(t.Context(), asked(10)); decision.Refused {
			t.Errorf("%s refuses a request with only one crash", name)
		}
	}
}

// A node that missed the evidence, because it was cut off or has just started, must learn of a
// confirmed suspect from the next repeated broadcast, also if it is one of the nodes that
// repeat it.
func TestNodesThatMissedItHearOfIt(t *testing.T) {
	for _, missed := range []string{"n1", "n2", "n3"} {
		nodes, cut := newGuards("n1", "n2", "n3")
		witness := map[string]string{"n1": "n2", "n2": "n3", "n3": "n1"}[missed]
		cut.Store(missed, true)
		for server := range refuseThreshold {
			loseRequests(nodes[witness], server, 1)
		}
		if _, refused := nodes[missed].Refused(asked(1)); refused {
			t.Fatalf("%s refuses the request although it was cut off", missed)
		}
		cut.Delete(missed)
		for _, node := range nodes {
			node.Rebroadcast()
		}
		if _, refused := nodes[missed].Refused(asked(1)); !refused {
			t.Errorf("%s does not refuse the request after the repeated broadcast", missed)
		}
	}
}

// Suspects with two crashes run one at a time; the others wait up to exclusiveWait.
func TestSuspectsRunOneAtATime(t *testing.T) {
	nodes, _ := newGuards("n1")
	node := nodes["n1"]
	for server := range exclusiveThreshold {
		loseRequests(node, server, 1, 2)
	}
	first := node.Admit(t.Context(), asked(1))
	if first.Refused || !first.Suspected {
		t.Fatalf("decision on the first suspect: %+v", first)
	}
	if second := node.Admit(t.Context(), asked(2)); !second.Refused || second.RetryAfter <= 0 {
		t.Errorf("another suspect is sent at the same time: %+v", second)
	}
	if innocent := node.Admit(t.Context(), asked(3)); innocent.Refused {
		t.Error("a request without any crash is refused")
	}
	time.AfterFunc(50*time.Millisecond, func() { node.Ended(request(1), first, Answered) })
	second := node.Admit(t.Context(), asked(2))
	if second.Refused {
		t.Error("the other suspect is refused although the first has ended")
	}
	node.Ended(request(2), second, Answered)
	if decision := node.Admit(t.Context(), asked(1)); decision.Suspected {
		t.Error("the request is still suspected after it was answered")
	}
}

func TestSuspectWhoseCallerLeavesWaitsNoMore(t *testing.T) {
	nodes, _ := newGuards("n1")
	node := nodes["n1"]
	for server := range exclusiveThreshold {
		loseRequests(node, server, 1)
	}
	node.Admit(t.Context(), asked(1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	if decision := node.Admit(ctx, asked(1)); !decision.Refused || time.Since(began) > exclusiveWait/2 {
		t.Errorf("decision %+v after %v, want a refusal at once", decision, time.Since(began))
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
	loseRequests(guard, 1, 1)
	for b.Loop() {
		guard.Admit(context.Background(), asked(2))
	}
}

// Guards an innocent request against nodes that see its crashes but not its responses.
func TestAnswerAfterOneCrashClearsAtAllNodes(t *testing.T) {
	nodes, _ := newGuards("n1", "n2")
	for server := range refuseThreshold {
		loseRequests(nodes["n1"], server, 1)
		decision := nodes["n1"].Admit(t.Context(), asked(1))
		nodes["n1"].Ended(request(1), decision, Answered)
	}
	if _, refused := nodes["n2"].Refused(asked(1)); refused {
		t.Error("n2 refuses a request that was answered after each crash")
	}
}

// crashOf reports to a node that a server of a service crashed while running request 1, and waits
// until the crash has been attributed.
func crashOf(node *Guard, service string, server int) {
	lost := request(1)
	lost.Service = service
	node.Lost(fmt.Sprintf("s%d", server), lost, BeforeResponse)
	time.Sleep(crashGroupingTime + 50*time.Millisecond)
}

// Guards against three more crashes in each service that a route is split over or moves to.
func TestCrashesInSeveralServicesAddUp(t *testing.T) {
	nodes, _ := newGuards("n1", "n2")
	for server, service := range []string{"a", "b", "a"} {
		crashOf(nodes["n1"], service, server)
	}
	for name, node := range nodes {
		for _, service := range []string{"a", "b", "c"} {
			sent := request(1)
			sent.Service = service
			if decision := node.Admit(t.Context(), func() Request { return sent }); !decision.Refused {
				t.Errorf("%s sends to service %s a request that crashed three servers of others", name, service)
			}
		}
	}
}

// Guards a canary against a request that the other version of its service answers.
func TestAnswerOfOneServiceClearsNoOther(t *testing.T) {
	nodes, _ := newGuards("n1", "n2")
	old, canary := request(1), request(1)
	old.Service, canary.Service = "old", "canary"
	for server := range refuseThreshold {
		crashOf(nodes["n1"], "canary", server)
		decision := nodes["n1"].Admit(t.Context(), func() Request { return old })
		nodes["n1"].Ended(old, decision, Answered)
	}
	for name, node := range nodes {
		if _, refused := node.Refused(func() Request { return old }); refused {
			t.Errorf("%s refuses the request at the service that answers it", name)
		}
		if _, refused := node.Refused(func() Request { return canary }); !refused {
			t.Errorf("%s sends the request to the service whose servers it crashes", name)
		}
	}
}

// Guards against a retry, or the next client, that crashes one more server meanwhile.
func TestSuspectIsNotSentBeforeItsLastCrashIsCounted(t *testing.T) {
	nodes, _ := newGuards("n1")
	node := nodes["n1"]
	for server := range exclusiveThreshold {
		loseRequests(node, server, 1)
	}
	first := node.Admit(t.Context(), asked(1))
	node.Ended(request(1), first, Lost)
	// The server is checked before the request is reported as lost.
	time.AfterFunc(30*time.Millisecond, func() { node.Lost("s9", request(1), BeforeResponse) })
	if second := node.Admit(t.Context(), asked(1)); !second.Refused {
		t.Errorf("sent again after its third crash: %+v", second)
	}
}
