package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/lab/platform"
	"github.com/micahaven/micahaven/internal/settings"
	"github.com/micahaven/micahaven/internal/store/etcdjson"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/views"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	testedService = "formula"
	// operatorsLimit is how long the operators' interface waits for statuses.
	operatorsLimit = 5 * time.Second
)

// newLoneNode returns a node that no actor runs: it hears only what the test
// hands it.
func newLoneNode(t *testing.T) *Node {
	t.Helper()
	address := "http://" + serveHTTP(t, platform.New().Register)
	config, err := settings.Parse([]byte("node: n1\nzone: zone-1\n" +
		"listen: {callers: '127.0.0.1:0', nodes: '127.0.0.1:0', operators: '127.0.0.1:0'}\n" +
		"platform: {key_value: ['" + address + "'], machines: '" + address + "/machines'}\n" +
		"operators: {allow_anonymous: true}\n"))
	if err != nil {
		t.Fatal(err)
	}
	listeners, err := Listen(config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	callsPerSecond := 1000.0
	created, err := New(config, listeners, Platform{
		Store: etcdjson.New(config.Platform.KeyValue, http.DefaultClient, callsPerSecond),
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		created.Close()
		for _, listener := range []net.Listener{listeners.Callers, listeners.Nodes, listeners.Operators} {
			_ = listener.Close()
		}
	})
	return created
}

// policyItem returns the item that spreads the tested service's policy.
func policyItem(t *testing.T) *wire.GossipItem {
	t.Helper()
	policy := &table.Policy{Service: testedService, Slices: 8, Priority: "interactive", TimeoutMillis: 1000, QueueLimit: 10, Tolerance: 0.1}
	if err := policy.Validate(); err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(table.Change{Policy: policy})
	if err != nil {
		t.Fatal(err)
	}
	return &wire.GossipItem{Key: table.PolicyKey(policy.Service), Major: 1, Value: value}
}

// fakeLeader answers questions for a group's state as the test wants.
type fakeLeader struct {
	member *wire.Member
	asked  atomic.Int32
	// answer returns the status for a question, counted from 1, or nil for none.
	answer func(question int32) *group.Status
}

func startFakeLeader(t *testing.T, name string, answer func(question int32) *group.Status) *fakeLeader {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leader := &fakeLeader{
		member: &wire.Member{Node: name, Incarnation: uint64(identity.NewIncarnation()), Address: listener.Addr().String()},
		answer: answer,
	}
	hello := &wire.Hello{Node: name, Incarnation: leader.member.GetIncarnation(), ProtocolVersion: wire.ProtocolVersion}
	server := transport.NewServer(hello, listener, nil, leader, zap.NewNop())
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; err != nil {
			t.Errorf("fake leader: %v", err)
		}
	})
	return leader
}

func (l *fakeLeader) HandleMessage(*wire.Hello, *wire.Envelope) {}

func (l *fakeLeader) HandleCall(_ *wire.Hello, _ *wire.Envelope, reply func(*wire.Envelope)) {
	status := l.answer(l.asked.Add(1))
	if status == nil {
		return
	}
	text, err := json.Marshal(status)
	if err != nil {
		reply(failure(err.Error()))
		return
	}
	reply(&wire.Envelope{Body: &wire.Envelope_StatusReply{StatusReply: &wire.StatusReply{Json: text}}})
}

// lead tells a node that this leader leads the tested service in a term.
func (l *fakeLeader) lead(t *testing.T, n *Node, term uint64) {
	t.Helper()
	item, err := views.GossipItemOf(&wire.GroupView{Group: testedService, Generation: 1, Term: term, Leader: l.member})
	if err != nil {
		t.Fatal(err)
	}
	n.exchange.Publish([]*wire.GossipItem{item}, nil)
}

func always(status *group.Status) func(int32) *group.Status {
	return func(int32) *group.Status { return status }
}

// statusThrough asks the node as the operators' interface does.
func statusThrough(t *testing.T, n *Node) group.Status {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), operatorsLimit)
	defer cancel()
	statuses := n.serviceStatuses(ctx)
	if len(statuses) != 1 || statuses[0].Service != testedService {
		t.Fatalf("statuses %+v, want one of %s", statuses, testedService)
	}
	return statuses[0]
}

// TestStatusWaitsForALeader asks for a service whose group has no leader for a
// moment: this is a normal event, and the answer comes from the leader that follows.
func TestStatusWaitsForALeader(t *testing.T) {
	leading := &group.Status{Service: testedService, Term: 2, Leading: true}
	lapsed := &group.Status{Service: testedService, Term: 1, Role: "leader"}
	t.Run("lease lapsed", func(t *testing.T) {
		n := newLoneNode(t)
		n.exchange.Publish([]*wire.GossipItem{policyItem(t)}, nil)
		const lapsedAnswers = 3
		leader := startFakeLeader(t, "n2", func(question int32) *group.Status {
			if question <= lapsedAnswers {
				return lapsed
			}
			return leading
		})
		leader.lead(t, n, 1)
		if status := statusThrough(t, n); !status.Leading {
			t.Errorf("got %+v, want the answer of a leader", status)
		}
	})
	t.Run("no leader known", func(t *testing.T) {
		n := newLoneNode(t)
		n.exchange.Publish([]*wire.GossipItem{policyItem(t)}, nil)
		leader := startFakeLeader(t, "n2", always(leading))
		timer := time.AfterFunc(200*time.Millisecond, func() { leader.lead(t, n, 1) })
		defer timer.Stop()
		if status := statusThrough(t, n); !status.Leading {
			t.Errorf("got %+v, want the answer of a leader", status)
		}
	})
	t.Run("leader frozen and replaced", func(t *testing.T) {
		n := newLoneNode(t)
		n.exchange.Publish([]*wire.GossipItem{policyItem(t)}, nil)
		startFakeLeader(t, "n2", always(nil)).lead(t, n, 1)
		successor := startFakeLeader(t, "n3", always(leading))
		timer := time.AfterFunc(200*time.Millisecond, func() { successor.lead(t, n, 2) })
		defer timer.Stop()
		if status := statusThrough(t, n); !status.Leading {
			t.Errorf("got %+v, want the answer of a leader", status)
		}
	})
}

// TestStatusOfAGroupWithoutLeader is answered in time, with what a member said.
func TestStatusOfAGroupWithoutLeader(t *testing.T) {
	n := newLoneNode(t)
	n.exchange.Publish([]*wire.GossipItem{policyItem(t)}, nil)
	member := &group.Status{Service: testedService, Term: 7, Role: "follower"}
	startFakeLeader(t, "n2", always(member)).lead(t, n, 1)
	started := time.Now()
	status := statusThrough(t, n)
	if status.Leading || status.Term != member.Term {
		t.Errorf("got %+v, want what the member said", status)
	}
	if took := time.Since(started); took >= operatorsLimit {
		t.Errorf("answered after %v, want less than %v", took, operatorsLimit)
	}
}
