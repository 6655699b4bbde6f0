package handoff

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/homes"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// fakeDispatcher assigns each request a slot after a delay and then runs the function of the
// test.
type fakeDispatcher struct {
	// delay is how long a request waits for its slot.
	delay time.Duration
	do    func(ctx context.Context, request *dispatch.Request) (*upstream.Response, error)
	sent  atomic.Int32
	// ended receives the context error of each request that is canceled while it waits for
	// its slot.
	ended chan error
}

func (f *fakeDispatcher) Do(ctx context.Context, request *dispatch.Request) (*upstream.Response, dispatch.Trace, error) {
	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
		f.ended <- ctx.Err()
		return nil, dispatch.Trace{}, dispatch.ErrCanceled
	}
	if err := request.IncomingHandoff.Confirm(ctx); err != nil {
		return nil, dispatch.Trace{}, &dispatch.Refusal{Detail: err.Error()}
	}
	f.sent.Add(1)
	if f.do == nil {
		return &upstream.Response{Status: 200, Body: []byte("done")}, dispatch.Trace{}, nil
	}
	response, err := f.do(ctx, request)
	return response, dispatch.Trace{}, err
}

func (*fakeDispatcher) Takes(*dispatch.Request, dispatch.Destination) bool { return true }

func (*fakeDispatcher) TakeHome(discovery.ServerID) {}

// documents decodes a table with a single route that matches every path of host h.
type documents struct{}

const tableVersion = 7

func (documents) Table([]byte) (routing.Spec, error) {
	return routing.Spec{
		Version:  tableVersion,
		Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Timeout: 2 * time.Second, Objective: time.Second,
			Backends: []routing.Backend{{Service: "s", Weight: 1}},
		}},
	}, nil
}

func (documents) Server(string, []byte) (discovery.Server, error) { return discovery.Server{}, nil }

// homeNode is a transport.Handler that passes streams to a Home.
type homeNode struct {
	scriptedHandler
	*Home
}

func (n *homeNode) HandleStream(from *wire.Hello, stream *transport.Stream) {
	n.Home.HandleStream(from, stream)
}

func newHome(t testing.TB, dispatcher Dispatcher) (homes.Node, *Home) {
	t.Helper()
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, documents{}, zap.NewNop())
	views.Replace([]topo.Item{{Key: "table", Revision: 1}}, 1)
	home := NewHome(views, dispatcher, zap.NewNop())
	node, _ := serve(t, "home", &homeNode{Home: home})
	return node, home
}

// open starts a handoff without a Sender, so that the test controls each step.
func open(t *testing.T, client *transport.Client, node homes.Node, repeatable bool) *transport.Stream {
	t.Helper()
	request := newRequest(repeatable)
	stream, err := client.Open(t.Context(), node.Address, encodeRequest(request, request.Deadline, dispatch.Destination{TableVersion: tableVersion}))
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// awaitStep returns once the home node sends one of the wanted steps.
func awaitStep(t *testing.T, stream *transport.Stream, wanted ...wire.HandoffStep_Step) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for {
		envelope, err := stream.Receive(ctx)
		if err != nil {
			t.Fatalf("step %v not received: %v", wanted, err)
		}
		if taken := envelope.GetHandoffStep(); taken != nil && slices.Contains(wanted, taken.GetStep()) {
			return
		}
	}
}

// A request that must run at most once is sent only after the go-ahead. If its slot was
// released because the go-ahead did not arrive in time, a late go-ahead must not send it.
func TestUnsafeRequestNeedsTheGo(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	node, _ := newHome(t, dispatcher)
	stream := open(t, newClient(t), node, false)
	awaitStep(t, stream, wire.HandoffStep_STEP_READY)
	awaitStep(t, stream, wire.HandoffStep_STEP_NOT_TAKEN)
	stream.Send(stepEnvelope(wire.HandoffStep_STEP_GO, ""))
	time.Sleep(50 * time.Millisecond)
	if sent := dispatcher.sent.Load(); sent != 0 {
		t.Errorf("sent %d times without a go-ahead", sent)
	}
}

// With the go-ahead the request is sent once, even if the go-ahead arrives twice.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	node, _ := newHome(t, dispatcher)
	stream := open(t, newClient(t), node, false)
	awaitStep(t, stream, wire.HandoffStep_STEP_READY)
	stream.Send(stepEnvelope(wire.HandoffStep_STEP_GO, ""))
	stream.Send(stepEnvelope(wire.HandoffStep_STEP_GO, ""))
	if envelope, err := stream.Receive(t.Context()); err != nil || envelope.GetHandoffAnswer().GetStatus() != 200 {
		t.Fatalf("got %v, error %v", envelope, err)
	}
	if sent := dispatcher.sent.Load(); sent != 1 {
		t.Errorf("sent %d times, want once", sent)
	}
}

// A home node that was frozen receives requests that their sending nodes have abandoned
// meanwhile. It must send none that may run at most once.
func TestReturningHomeSendsNothingThatWasGivenUp(t *testing.T) {
	dispatcher := &fakeDispatcher{delay: time.Millisecond, ended: make(chan error, 100)}
	node, home := newHome(t, dispatcher)
	client := newClient(t)
	for range 100 {
		open(t, client, node, false).Close()
	}
	waitUntil(t, func() bool { return home.Active() == 0 })
	time.Sleep(50 * time.Millisecond)
	if sent := dispatcher.sent.Load(); sent != 0 {
		t.Errorf("sent %d abandoned requests", sent)
	}
}

// A safe request needs no go-ahead. One that its sending node abandoned while it waited for
// a slot must not be sent either, because it would be a retry that no retry budget accounts
// for.
func TestSafeRequestThatWasGivenUpIsNotSent(t *testing.T) {
	dispatcher := &lateDispatcher{began: make(chan error, 1)}
	node, _ := newHome(t, dispatcher)
	stream := open(t, newClient(t), node, true)
	awaitStep(t, stream, wire.HandoffStep_STEP_QUEUED)
	stream.Close()
	if err := <-dispatcher.began; err == nil {
		t.Error("an abandoned request was confirmed for sending")
	}
}

// lateDispatcher assigns a slot to a request just when its sending node has abandoned it.
type lateDispatcher struct {
	fakeDispatcher
	began chan error
}

func (l *lateDispatcher) Do(ctx context.Context, request *dispatch.Request) (*upstream.Response, dispatch.Trace, error) {
	<-ctx.Done()
	err := request.IncomingHandoff.Confirm(ctx)
	l.began <- err
	return nil, dispatch.Trace{}, dispatch.ErrCanceled
}

// If the sending node cancels a request or is lost, the home node cancels it within half a
// second.
func TestRequestsEndWithTheirSender(t *testing.T) {
	for name, end := range map[string]func(*transport.Client, *transport.Stream){
		"ended": func(_ *transport.Client, stream *transport.Stream) { stream.Close() },
		"lost":  func(client *transport.Client, _ *transport.Stream) { client.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{delay: time.Minute, ended: make(chan error, 1)}
			node, _ := newHome(t, dispatcher)
			client := newClient(t)
			stream := open(t, client, node, true)
			awaitStep(t, stream, wire.HandoffStep_STEP_QUEUED)
			end(client, stream)
			select {
			case <-dispatcher.ended:
			case <-time.After(500 * time.Millisecond):
				t.Error("the request was not canceled within 500 ms")
			}
		})
	}
}

// The home node sends keepalives while a request waits, so that the sending node does not
// abandon it.
func TestWaitingRequestsHearFromTheirHome(t *testing.T) {
	node, _ := newHome(t, &fakeDispatcher{delay: keepaliveTimeout + 2*keepaliveInterval})
	if response, err := handOffTo(t, newSender(t), node); err != nil || string(response.Body) != "done" {
		t.Errorf("response %v, error %v", response, err)
	}
}

func handOffTo(t testing.TB, sender *Sender, node homes.Node) (*upstream.Response, error) {
	t.Helper()
	request := newRequest(false)
	to := dispatch.Destination{Homes: []homes.Node{node}, TableVersion: tableVersion}
	response, _, err := sender.Do(t.Context(), request, request.Deadline, to)
	return response, err
}

// A stopping home node returns queued requests, accepts no new ones, and completes those
// that servers are processing.
func TestStoppingHome(t *testing.T) {
	atServer, finish := make(chan struct{}), make(chan struct{})
	dispatcher := &fakeDispatcher{do: func(context.Context, *dispatch.Request) (*upstream.Response, error) {
		close(atServer)
		<-finish
		return &upstream.Response{Status: 200, Body: []byte("ended")}, nil
	}}
	waiting := &fakeDispatcher{delay: time.Minute, ended: make(chan error, 1)}
	both := &splitDispatcher{first: dispatcher, then: waiting}
	node, home := newHome(t, both)
	client := newClient(t)
	begun := open(t, client, node, true)
	<-atServer
	queued := open(t, client, node, false)
	awaitStep(t, queued, wire.HandoffStep_STEP_QUEUED)
	home.Stop()
	awaitStep(t, queued, wire.HandoffStep_STEP_LEAVING)
	awaitStep(t, open(t, client, node, false), wire.HandoffStep_STEP_LEAVING)
	if sent := waiting.sent.Load(); sent != 0 {
		t.Errorf("a returned request was sent")
	}
	close(finish)
	awaitStep(t, begun, wire.HandoffStep_STEP_READY)
	for {
		envelope, err := begun.Receive(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if response := envelope.GetHandoffAnswer(); response != nil {
			if string(response.GetBody()) != "ended" {
				t.Errorf("response %q", response.GetBody())
			}
			return
		}
	}
}

// splitDispatcher passes the first request to one dispatcher and all others to another.
type splitDispatcher struct {
	first, then Dispatcher
	count       atomic.Int32
}

func (f *splitDispatcher) Do(ctx context.Context, request *dispatch.Request) (*upstream.Response, dispatch.Trace, error) {
	if f.count.Add(1) == 1 {
		return f.first.Do(ctx, request)
	}
	return f.then.Do(ctx, request)
}

func (*splitDispatcher) Takes(*dispatch.Request, dispatch.Destination) bool { return true }

func (*splitDispatcher) TakeHome(discovery.ServerID) {}

// A home node with another configuration version than the sending node rejects the request,
// because the route might have other settings there.
func TestOtherConfigurationIsNotTaken(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	node, _ := newHome(t, dispatcher)
	request := newRequest(true)
	to := dispatch.Destination{Homes: []homes.Node{node}, TableVersion: tableVersion + 1}
	if _, _, err := newSender(t).Do(t.Context(), request, request.Deadline, to); !errors.Is(err, dispatch.ErrNoHome) {
		t.Errorf("error %v, want ErrNoHome", err)
	}
	if dispatcher.sent.Load() != 0 {
		t.Error("the request was sent")
	}
}

// Bytes from a caller or server that are not valid UTF-8 are forwarded unchanged and do not
// break the connection that other requests share.
func TestBytesThatAreNoTextPass(t *testing.T) {
	const odd = "caf\xe9"
	passed := make(chan *dispatch.Request, 1)
	node, _ := newHome(t, &fakeDispatcher{do: func(_ context.Context, request *dispatch.Request) (*upstream.Response, error) {
		passed <- request
		return &upstream.Response{Status: 200, Header: http.Header{"A": {odd}}, Body: []byte("done")}, nil
	}})
	request := newRequest(false)
	request.ID, request.Caller, request.URI = odd, odd, "/"+odd
	request.Fields = []upstream.Field{{Name: "A", Value: odd}}
	response, err := handOff(t.Context(), newSender(t), request, node)
	if err != nil || response.Header.Get("A") != odd {
		t.Fatalf("response %v, error %v", response, err)
	}
	got := <-passed
	if got.ID != odd || got.Caller != odd || got.URI != "/"+odd || got.Fields[0].Value != odd {
		t.Errorf("forwarded as %q", []string{got.ID, got.Caller, got.URI, got.Fields[0].Value})
	}
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); !condition(); {
		if time.Now().After(deadline) {
			t.Fatal("condition did not hold within 2 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkHop measures the latency that a handoff with go-ahead adds to a request, with a
// response of 8 KB.
func BenchmarkHop(b *testing.B) {
	body := make([]byte, 8<<10)
	node, _ := newHome(b, &fakeDispatcher{do: func(context.Context, *dispatch.Request) (*upstream.Response, error) {
		return &upstream.Response{Status: 200, Body: body}, nil
	}})
	sender := newSender(b)
	took := make([]time.Duration, 0, b.N)
	for b.Loop() {
		startedAt := time.Now()
		if _, err := handOffTo(b, sender, node); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(startedAt))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}
