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

// fakeDispatcher gives each request a place at once and then does what a test says.
type fakeDispatcher struct {
	// wait is for how long a request waits for its place.
	wait time.Duration
	do   func(ctx context.Context, request *dispatch.Request) (*upstream.Answer, error)
	sent atomic.Int32
	// ended receives how the context of each request that waits for its place ended.
	ended chan error
}

func (f *fakeDispatcher) Do(ctx context.Context, request *dispatch.Request) (*upstream.Answer, dispatch.Trace, error) {
	select {
	case <-time.After(f.wait):
	case <-ctx.Done():
		f.ended <- ctx.Err()
		return nil, dispatch.Trace{}, dispatch.ErrCanceled
	}
	if err := request.IncomingHandoff.Confirm(ctx); err != nil {
		return nil, dispatch.Trace{}, &dispatch.Refusal{Detail: err.Error()}
	}
	f.sent.Add(1)
	if f.do == nil {
		return &upstream.Answer{Status: 200, Body: []byte("done")}, dispatch.Trace{}, nil
	}
	answer, err := f.do(ctx, request)
	return answer, dispatch.Trace{}, err
}

func (*fakeDispatcher) Takes(*dispatch.Request, dispatch.Destination) bool { return true }

func (*fakeDispatcher) TakeHome(discovery.ServerID) {}

// documents has one route for everything.
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

// homeNode is a transport.Handler with a home.
type homeNode struct {
	script
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

// open opens a handover by hand.
func open(t *testing.T, client *transport.Client, node homes.Node, repeatable bool) *transport.Stream {
	t.Helper()
	request := newRequest(repeatable)
	stream, err := client.Open(t.Context(), node.Address, encodeRequest(request, request.Deadline, dispatch.Destination{TableVersion: tableVersion}))
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// awaitStep returns once the home says a step.
func awaitStep(t *testing.T, stream *transport.Stream, wanted ...wire.HandoffStep_Step) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for {
		envelope, err := stream.Receive(ctx)
		if err != nil {
			t.Fatalf("step %v did not come: %v", wanted, err)
		}
		if taken := envelope.GetHandoffStep(); taken != nil && slices.Contains(wanted, taken.GetStep()) {
			return
		}
	}
}

// A request that must run at most once is sent only after the go, and never once its place
// was freed because the go did not come.
func TestUnsafeRequestNeedsTheGo(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	node, _ := newHome(t, dispatcher)
	stream := open(t, newClient(t), node, false)
	awaitStep(t, stream, wire.HandoffStep_STEP_READY)
	awaitStep(t, stream, wire.HandoffStep_STEP_NOT_TAKEN)
	stream.Send(step(wire.HandoffStep_STEP_GO, ""))
	time.Sleep(50 * time.Millisecond)
	if sent := dispatcher.sent.Load(); sent != 0 {
		t.Errorf("sent %d times without a go", sent)
	}
}

// With the go the request is sent once, however often the go comes.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	node, _ := newHome(t, dispatcher)
	stream := open(t, newClient(t), node, false)
	awaitStep(t, stream, wire.HandoffStep_STEP_READY)
	stream.Send(step(wire.HandoffStep_STEP_GO, ""))
	stream.Send(step(wire.HandoffStep_STEP_GO, ""))
	if envelope, err := stream.Receive(t.Context()); err != nil || envelope.GetHandoffAnswer().GetStatus() != 200 {
		t.Fatalf("got %v, error %v", envelope, err)
	}
	if sent := dispatcher.sent.Load(); sent != 1 {
		t.Errorf("sent %d times", sent)
	}
}

// A home that was frozen finds requests which their senders gave up meanwhile: it sends
// none that must run at most once.
func TestReturningHomeSendsNothingThatWasGivenUp(t *testing.T) {
	dispatcher := &fakeDispatcher{wait: time.Millisecond, ended: make(chan error, 100)}
	node, home := newHome(t, dispatcher)
	client := newClient(t)
	for range 100 {
		open(t, client, node, false).Close()
	}
	waitUntil(t, func() bool { return home.Active() == 0 })
	time.Sleep(50 * time.Millisecond)
	if sent := dispatcher.sent.Load(); sent != 0 {
		t.Errorf("sent %d requests that were given up", sent)
	}
}

// A safe request needs no go, but one that its sender gave up while it waited for its place
// is not sent either: it would be a repeat that no budget knows.
func TestSafeRequestThatWasGivenUpIsNotSent(t *testing.T) {
	dispatcher := &lateDispatcher{began: make(chan error, 1)}
	node, _ := newHome(t, dispatcher)
	stream := open(t, newClient(t), node, true)
	awaitStep(t, stream, wire.HandoffStep_STEP_QUEUED)
	stream.Close()
	if err := <-dispatcher.began; err == nil {
		t.Error("a request that was given up was let go")
	}
}

// lateDispatcher finds a place for a request just when its sender has given it up.
type lateDispatcher struct {
	fakeDispatcher
	began chan error
}

func (l *lateDispatcher) Do(ctx context.Context, request *dispatch.Request) (*upstream.Answer, dispatch.Trace, error) {
	<-ctx.Done()
	err := request.IncomingHandoff.Confirm(ctx)
	l.began <- err
	return nil, dispatch.Trace{}, dispatch.ErrCanceled
}

// A sender that ends its request, or is lost, ends it at the home within half a second.
func TestRequestsEndWithTheirSender(t *testing.T) {
	for name, end := range map[string]func(*transport.Client, *transport.Stream){
		"ended": func(_ *transport.Client, stream *transport.Stream) { stream.Close() },
		"lost":  func(client *transport.Client, _ *transport.Stream) { client.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{wait: time.Minute, ended: make(chan error, 1)}
			node, _ := newHome(t, dispatcher)
			client := newClient(t)
			stream := open(t, client, node, true)
			awaitStep(t, stream, wire.HandoffStep_STEP_QUEUED)
			end(client, stream)
			select {
			case <-dispatcher.ended:
			case <-time.After(500 * time.Millisecond):
				t.Error("the request goes on")
			}
		})
	}
}

// A home says that it is alive while a request waits, so that its sender does not give it
// up.
func TestWaitingRequestsHearFromTheirHome(t *testing.T) {
	node, _ := newHome(t, &fakeDispatcher{wait: silentAfter + 2*aliveEvery})
	if answer, err := handOverTo(t, newSender(t), node); err != nil || string(answer.Body) != "done" {
		t.Errorf("answer %v, error %v", answer, err)
	}
}

func handOverTo(t testing.TB, sender *Sender, node homes.Node) (*upstream.Answer, error) {
	t.Helper()
	request := newRequest(false)
	to := dispatch.Destination{Homes: []homes.Node{node}, TableVersion: tableVersion}
	answer, _, err := sender.Do(t.Context(), request, request.Deadline, to)
	return answer, err
}

// A stopping home gives back what waits, takes nothing more, and ends what servers have.
func TestStoppingHome(t *testing.T) {
	atServer, finish := make(chan struct{}), make(chan struct{})
	dispatcher := &fakeDispatcher{do: func(context.Context, *dispatch.Request) (*upstream.Answer, error) {
		close(atServer)
		<-finish
		return &upstream.Answer{Status: 200, Body: []byte("ended")}, nil
	}}
	waiting := &fakeDispatcher{wait: time.Minute, ended: make(chan error, 1)}
	both := &firstThen{first: dispatcher, then: waiting}
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
		t.Errorf("a request that was given back was sent")
	}
	close(finish)
	awaitStep(t, begun, wire.HandoffStep_STEP_READY)
	for {
		envelope, err := begun.Receive(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if answer := envelope.GetHandoffAnswer(); answer != nil {
			if string(answer.GetBody()) != "ended" {
				t.Errorf("answer %q", answer.GetBody())
			}
			return
		}
	}
}

// firstThen gives the first request to one dispatcher and the others to another.
type firstThen struct {
	first, then Dispatcher
	count       atomic.Int32
}

func (f *firstThen) Do(ctx context.Context, request *dispatch.Request) (*upstream.Answer, dispatch.Trace, error) {
	if f.count.Add(1) == 1 {
		return f.first.Do(ctx, request)
	}
	return f.then.Do(ctx, request)
}

func (*firstThen) Takes(*dispatch.Request, dispatch.Destination) bool { return true }

func (*firstThen) TakeHome(discovery.ServerID) {}

// A home with another configuration than the sender's takes nothing: what holds for the
// request might differ.
func TestOtherConfigurationIsNotTaken(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	node, _ := newHome(t, dispatcher)
	request := newRequest(true)
	to := dispatch.Destination{Homes: []homes.Node{node}, TableVersion: tableVersion + 1}
	if _, _, err := newSender(t).Do(t.Context(), request, request.Deadline, to); !errors.Is(err, dispatch.ErrNoHome) {
		t.Errorf("error %v, wanted that no home takes it", err)
	}
	if dispatcher.sent.Load() != 0 {
		t.Error("the request was sent")
	}
}

// Bytes of a caller or server that are no text pass as they are, and do not end the
// connection that other requests share.
func TestBytesThatAreNoTextPass(t *testing.T) {
	const odd = "caf\xe9"
	passed := make(chan *dispatch.Request, 1)
	node, _ := newHome(t, &fakeDispatcher{do: func(_ context.Context, request *dispatch.Request) (*upstream.Answer, error) {
		passed <- request
		return &upstream.Answer{Status: 200, Header: http.Header{"A": {odd}}, Body: []byte("done")}, nil
	}})
	request := newRequest(false)
	request.ID, request.Caller, request.URI = odd, odd, "/"+odd
	request.Fields = []upstream.Field{{Name: "A", Value: odd}}
	answer, err := handOver(t.Context(), newSender(t), request, node)
	if err != nil || answer.Header.Get("A") != odd {
		t.Fatalf("answer %v, error %v", answer, err)
	}
	got := <-passed
	if got.ID != odd || got.Caller != odd || got.URI != "/"+odd || got.Fields[0].Value != odd {
		t.Errorf("passed on as %q", []string{got.ID, got.Caller, got.URI, got.Fields[0].Value})
	}
}

func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); !holds(); {
		if time.Now().After(deadline) {
			t.Fatal("did not come true")
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkHop measures what a handover with the go adds to a request, with an answer of
// 8 KB.
func BenchmarkHop(b *testing.B) {
	body := make([]byte, 8<<10)
	node, _ := newHome(b, &fakeDispatcher{do: func(context.Context, *dispatch.Request) (*upstream.Answer, error) {
		return &upstream.Answer{Status: 200, Body: body}, nil
	}})
	sender := newSender(b)
	took := make([]time.Duration, 0, b.N)
	for b.Loop() {
		startedAt := time.Now()
		if _, err := handOverTo(b, sender, node); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(startedAt))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}
