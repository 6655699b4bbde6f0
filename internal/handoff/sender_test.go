package handoff

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/homes"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/wire"
)

// scriptedHandler is a node that handles handed-off requests with a function of the test.
type scriptedHandler struct {
	server *transport.Server
	handle func(server *transport.Server, stream *transport.Stream)
}

func (*scriptedHandler) HandleMessage(*wire.Hello, *wire.Envelope) {}

// HandleCall replies like a node that does not support handoff.
func (*scriptedHandler) HandleCall(_ *wire.Hello, _ *wire.Envelope, reply func(*wire.Envelope)) {
	reply(&wire.Envelope{Body: &wire.Envelope_Failure{Failure: &wire.Failure{Message: "unknown call"}}})
}

func (s *scriptedHandler) HandleStream(_ *wire.Hello, stream *transport.Stream) {
	s.handle(s.server, stream)
}

// serve starts a node with the given handler.
func serve(t testing.TB, name string, handler transport.Handler) (homes.Node, *transport.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewServer(&wire.Hello{Node: name, ProtocolVersion: wire.ProtocolVersion}, listener, nil, handler, zap.NewNop())
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	return homes.Node{Name: name, Address: listener.Addr().String(), Share: 1}, server
}

// newScriptedHome starts a home node that calls handle for each handed-off request.
func newScriptedHome(t testing.TB, name string, handle func(server *transport.Server, stream *transport.Stream)) homes.Node {
	handler := &scriptedHandler{handle: handle}
	node, server := serve(t, name, handler)
	handler.server = server
	return node
}

func newClient(t testing.TB) *transport.Client {
	client := transport.NewClient(&wire.Hello{Node: "sender", ProtocolVersion: wire.ProtocolVersion}, nil)
	t.Cleanup(client.Close)
	return client
}

func newSender(t testing.TB) *Sender { return NewSender("sender", newClient(t), zap.NewNop()) }

func newRequest(repeatable bool) *dispatch.Request {
	now := time.Now()
	route := &routing.Route{Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2, Repeatable: repeatable}
	return &dispatch.Request{
		ID: "r", Method: http.MethodPost, URI: "/order/1", Host: "h", Service: "s", Body: []byte("body"), Route: route,
		ArrivedAt: now, Deadline: now.Add(2 * time.Second),
	}
}

// handOff hands a request off to the given home nodes, in this order of preference.
func handOff(ctx context.Context, sender *Sender, request *dispatch.Request, candidates ...homes.Node) (*upstream.Response, error) {
	response, _, err := sender.Do(ctx, request, request.Deadline, dispatch.Destination{Homes: candidates, TableVersion: tableVersion})
	return response, err
}

func responseEnvelope(body string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_HandoffAnswer{HandoffAnswer: &wire.HandoffAnswer{Status: 200, Whole: true, Body: []byte(body)}}}
}

// receivesGoAhead receives the next message and reports whether it is the go-ahead.
func receivesGoAhead(stream *transport.Stream) bool {
	envelope, err := stream.Receive(context.Background())
	return err == nil && envelope.GetHandoffStep().GetStep() == wire.HandoffStep_STEP_GO
}

// respondAfterGoAhead responds to a request as a healthy home node does, after the go-ahead
// if the request needs one.
func respondAfterGoAhead(_ *transport.Server, stream *transport.Stream) {
	defer stream.Close()
	first, err := stream.Receive(context.Background())
	if err != nil {
		return
	}
	stream.Send(stepEnvelope(wire.HandoffStep_STEP_READY, ""))
	if first.GetHandoff().GetNeedsGo() && !receivesGoAhead(stream) {
		return
	}
	stream.Send(responseEnvelope(string(first.GetHandoff().GetRequestId())))
}

// Before the go-ahead a home node has certainly not sent the request, so the next home node
// is tried.
func TestBeforeTheGoTheNextHomeIsAsked(t *testing.T) {
	cases := map[string]func(*transport.Server, *transport.Stream){
		"dies at once": func(server *transport.Server, _ *transport.Stream) { server.Close() },
		"dies while it waits": func(server *transport.Server, stream *transport.Stream) {
			stream.Send(stepEnvelope(wire.HandoffStep_STEP_QUEUED, ""))
			time.Sleep(20 * time.Millisecond)
			server.Close()
		},
		"says nothing": func(*transport.Server, *transport.Stream) { time.Sleep(time.Second) },
		"falls silent": func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(stepEnvelope(wire.HandoffStep_STEP_QUEUED, ""))
		},
		"ends the stream": func(_ *transport.Server, stream *transport.Stream) { stream.Close() },
		"does not take it": func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(stepEnvelope(wire.HandoffStep_STEP_NOT_TAKEN, ""))
		},
		"stops": func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(stepEnvelope(wire.HandoffStep_STEP_LEAVING, ""))
		},
		"knows no handovers": func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(&wire.Envelope{Body: &wire.Envelope_Failure{Failure: &wire.Failure{}}})
		},
	}
	for name, handle := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sender := newSender(t)
			response, err := handOff(t.Context(), sender, newRequest(false), newScriptedHome(t, "bad", handle), newScriptedHome(t, "good", respondAfterGoAhead))
			if err != nil || string(response.Body) != "r" {
				t.Fatalf("response %v, error %v", response, err)
			}
		})
	}
}

// A home node that cannot be reached has not sent the request.
func TestNoHomeAnswers(t *testing.T) {
	gone, server := serve(t, "gone", &scriptedHandler{})
	server.Close()
	if _, err := handOff(t.Context(), newSender(t), newRequest(false), gone); !errors.Is(err, dispatch.ErrNoHome) {
		t.Errorf("error %v, want ErrNoHome", err)
	}
}

// After the go-ahead the sender cannot determine whether the request has run.
func TestAfterTheGoTheOutcomeIsUnknown(t *testing.T) {
	dying := newScriptedHome(t, "dying", func(server *transport.Server, stream *transport.Stream) {
		stream.Send(stepEnvelope(wire.HandoffStep_STEP_READY, ""))
		if !receivesGoAhead(stream) {
			// The first message was the request itself.
			receivesGoAhead(stream)
		}
		server.Close()
	})
	other := newScriptedHome(t, "other", func(*transport.Server, *transport.Stream) { t.Error("the request was sent to another home node") })
	if _, err := handOff(t.Context(), newSender(t), newRequest(false), dying, other); !errors.Is(err, dispatch.ErrHomeLost) {
		t.Errorf("error %v, want ErrHomeLost", err)
	}
}

// The head of a response may be dropped when the send queue of the home node is full. Chunks
// that arrive without it must not be taken as proof that the request has not run.
func TestAnswerWithoutItsHeadIsUnknown(t *testing.T) {
	for name, repeatable := range map[string]bool{"unsafe": false, "safe": true} {
		t.Run(name, func(t *testing.T) {
			headless := newScriptedHome(t, "headless", func(_ *transport.Server, stream *transport.Stream) {
				_, _ = stream.Receive(context.Background())
				stream.Send(stepEnvelope(wire.HandoffStep_STEP_READY, ""))
				if !repeatable {
					receivesGoAhead(stream)
				}
				stream.Send(&wire.Envelope{Body: &wire.Envelope_HandoffChunk{HandoffChunk: &wire.HandoffChunk{Body: []byte("rest")}}})
			})
			other := newScriptedHome(t, "other", func(*transport.Server, *transport.Stream) { t.Error("the request was sent to another home node") })
			if _, err := handOff(t.Context(), newSender(t), newRequest(repeatable), headless, other); !errors.Is(err, dispatch.ErrHomeLost) {
				t.Errorf("error %v, want ErrHomeLost", err)
			}
		})
	}
}

// A home node sends a safe request without a go-ahead, so it may have sent the request
// before it stopped responding.
func TestSafeRequestAtASilentHomeMayHaveRun(t *testing.T) {
	silent := newScriptedHome(t, "silent", func(*transport.Server, *transport.Stream) { time.Sleep(time.Second) })
	if _, err := handOff(t.Context(), newSender(t), newRequest(true), silent); !errors.Is(err, dispatch.ErrHomeLost) {
		t.Errorf("error %v, want ErrHomeLost", err)
	}
}

// Every server attempt that a home node announced before it was lost counts as an attempt.
func TestAttemptsOfALostHomeCount(t *testing.T) {
	dying := newScriptedHome(t, "dying", func(server *transport.Server, stream *transport.Stream) {
		stream.Send(stepEnvelope(wire.HandoffStep_STEP_READY, ""))
		stream.Send(stepEnvelope(wire.HandoffStep_STEP_READY, ""))
		time.Sleep(100 * time.Millisecond)
		server.Close()
	})
	request := newRequest(true)
	_, trace, err := newSender(t).Do(t.Context(), request, request.Deadline, dispatch.Destination{Homes: []homes.Node{dying}, TableVersion: tableVersion})
	if !errors.Is(err, dispatch.ErrHomeLost) || trace.Attempts != 2 {
		t.Errorf("error %v after %d attempts, want ErrHomeLost after two", err, trace.Attempts)
	}
}

// A home node that did not answer is skipped by the next requests and tried again after its
// backoff.
func TestSilentHomeIsPassedOverForAWhile(t *testing.T) {
	tried := make(chan struct{}, 8)
	silent := newScriptedHome(t, "silent", func(*transport.Server, *transport.Stream) { tried <- struct{}{} })
	good := newScriptedHome(t, "good", respondAfterGoAhead)
	sender := newSender(t)
	for range 3 {
		if _, err := handOff(t.Context(), sender, newRequest(false), silent, good); err != nil {
			t.Fatal(err)
		}
	}
	if len(tried) != 1 {
		t.Errorf("unresponsive home node tried %d times, want once", len(tried))
	}
	time.Sleep(initialBackoff)
	if _, err := handOff(t.Context(), sender, newRequest(false), silent, good); err != nil {
		t.Fatal(err)
	}
	if len(tried) != 2 {
		t.Errorf("unresponsive home node tried %d times after its backoff, want twice", len(tried))
	}
}

// If the caller disconnects, the home node learns of it within half a second.
func TestCallersCloseReachesTheHome(t *testing.T) {
	ended := make(chan error, 1)
	working := make(chan struct{})
	home := newScriptedHome(t, "home", func(_ *transport.Server, stream *transport.Stream) {
		_, _ = stream.Receive(context.Background())
		stream.Send(stepEnvelope(wire.HandoffStep_STEP_QUEUED, ""))
		close(working)
		_, err := stream.Receive(context.Background())
		ended <- err
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-working
		leave()
	}()
	_, err := handOff(ctx, newSender(t), newRequest(false), home)
	if !errors.Is(err, dispatch.ErrNoHome) {
		t.Errorf("error %v, want ErrNoHome", err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, transport.ErrStreamEnded) {
			t.Errorf("home node received %v, want ErrStreamEnded", err)
		}
	case <-time.After(500 * time.Millisecond):
		t.Error("home node was not notified within 500 ms that the caller disconnected")
	}
}

// A refusal by the home node reaches the caller unchanged.
func TestRefusalIsPassedOn(t *testing.T) {
	refusal := &dispatch.Refusal{Reason: dispatch.ReasonMoving, Detail: "key is moving", RetryAfter: 70 * time.Millisecond}
	home := newScriptedHome(t, "home", func(_ *transport.Server, stream *transport.Stream) {
		stream.Send(encodeRefusal(refusal, dispatch.Trace{}))
	})
	_, err := handOff(t.Context(), newSender(t), newRequest(false), home)
	var passed *dispatch.Refusal
	if !errors.As(err, &passed) || *passed != *refusal {
		t.Errorf("error %v, want %v", err, refusal)
	}
}

// The failure kind of a request that may have run reaches the caller as well.
func TestFailuresArePassedOn(t *testing.T) {
	for _, failure := range []error{dispatch.ErrUnknown, dispatch.ErrTimeout, dispatch.ErrNodeStopping} {
		home := newScriptedHome(t, "home", func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(encodeFailure(errors.Wrap(failure, "cause"), dispatch.Trace{}))
		})
		if _, err := handOff(t.Context(), newSender(t), newRequest(true), home); !errors.Is(err, failure) {
			t.Errorf("error %v, want %v", err, failure)
		}
	}
}

// A long response arrives complete and in bounded frames. A caller that does not read it
// must not delay other requests to the same home node.
func TestSlowReaderHoldsUpNoOther(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), maxBufferedBody)
	dispatcher := &fakeDispatcher{do: func(_ context.Context, request *dispatch.Request) (*upstream.Response, error) {
		if request.ID == "short" {
			return &upstream.Response{Status: 200, Body: []byte("short")}, nil
		}
		rest := io.NopCloser(bytes.NewReader(body[maxBufferedBody:]))
		return &upstream.Response{Status: 200, Header: http.Header{"A": {"1", "2"}}, Body: body[:maxBufferedBody], Rest: rest}, nil
	}}
	node, _ := newHome(t, dispatcher)
	sender := newSender(t)
	long, err := handOff(t.Context(), sender, newRequest(true), node)
	if err != nil || long.Rest == nil || len(long.Header["A"]) != 2 {
		t.Fatalf("response %v, error %v", long, err)
	}
	for range 50 {
		request := newRequest(true)
		request.ID = "short"
		if response, err := handOff(t.Context(), sender, request, node); err != nil || string(response.Body) != "short" {
			t.Fatalf("response %v, error %v", response, err)
		}
	}
	rest, err := io.ReadAll(long.Rest)
	if err != nil || !bytes.Equal(append(long.Body, rest...), body) {
		t.Errorf("got %d bytes, error %v, want %d", len(long.Body)+len(rest), err, len(body))
	}
}

// Many concurrent long responses fill the send queue of the connection between two nodes,
// and each must still arrive complete.
func TestManyLongAnswersComeWhole(t *testing.T) {
	const many = 300
	body := bytes.Repeat([]byte("0123456789abcdef"), maxBufferedBody/16)
	together := make(chan struct{})
	var waiting atomic.Int32
	node, _ := newHome(t, &fakeDispatcher{do: func(context.Context, *dispatch.Request) (*upstream.Response, error) {
		if waiting.Add(1) == many {
			close(together)
		}
		<-together
		return &upstream.Response{Status: 200, Body: body}, nil
	}})
	sender := newSender(t)
	results := make(chan error, many)
	for range many {
		go func() {
			request := newRequest(false)
			request.Deadline = time.Now().Add(20 * time.Second)
			response, err := handOff(t.Context(), sender, request, node)
			if err == nil && len(response.Body) != len(body) {
				err = errors.Newf("response body has %d bytes", len(response.Body))
			}
			results <- err
		}()
	}
	for range many {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
}

// One home node of an unsharded service may have no free server while another has one, so a
// second one is tried. After two refusals the request is refused.
func TestTwoHomesAreAskedForAFreeServer(t *testing.T) {
	full := func(_ *transport.Server, stream *transport.Stream) {
		stream.Send(encodeRefusal(&dispatch.Refusal{Reason: dispatch.ReasonNoServer, Detail: "busy"}, dispatch.Trace{}))
	}
	one, two, good := newScriptedHome(t, "one", full), newScriptedHome(t, "two", full), newScriptedHome(t, "good", respondAfterGoAhead)
	if response, err := handOff(t.Context(), newSender(t), newRequest(false), one, good); err != nil || string(response.Body) != "r" {
		t.Errorf("response %v, error %v", response, err)
	}
	var refusal *dispatch.Refusal
	if _, err := handOff(t.Context(), newSender(t), newRequest(false), one, two, good); !errors.As(err, &refusal) {
		t.Errorf("error %v, want a refusal", err)
	}
}

// Guards against refusals by a home node that has no path to a server which other nodes reach.
func TestHomeWithoutAPathToTheServerIsNotTheLast(t *testing.T) {
	cut := newScriptedHome(t, "cut", func(_ *transport.Server, stream *transport.Stream) {
		stream.Send(encodeRefusal(&dispatch.Refusal{Reason: dispatch.ReasonNoPath, Detail: "no path"}, dispatch.Trace{}))
	})
	good := newScriptedHome(t, "good", respondAfterGoAhead)
	if response, err := handOff(t.Context(), newSender(t), newRequest(false), cut, good); err != nil || string(response.Body) != "r" {
		t.Errorf("response %v, error %v", response, err)
	}
}

// Guards against requests at nodes without a path to a server, which other nodes could send.
func TestRequestIsOfferedToNodesThatAreNoHomes(t *testing.T) {
	asked := make(map[string]int)
	cut := func(name string) func(*transport.Server, *transport.Stream) {
		return func(_ *transport.Server, stream *transport.Stream) {
			asked[name]++
			stream.Send(encodeRefusal(&dispatch.Refusal{Reason: dispatch.ReasonNoPath, Detail: "no path"}, dispatch.Trace{}))
		}
	}
	sender := newSender(t)
	sender.nodes = []homes.Node{
		newScriptedHome(t, "one", cut("one")), newScriptedHome(t, "two", cut("two")), newScriptedHome(t, "good", respondAfterGoAhead),
		{Name: "sender", Address: "127.0.0.1:1"},
	}
	for range 5 {
		request := newRequest(false)
		response, _, err := sender.DoElsewhere(t.Context(), request, request.Deadline, dispatch.Destination{TableVersion: tableVersion})
		if err != nil || string(response.Body) != "r" {
			t.Fatalf("response %v, error %v", response, err)
		}
	}
	if asked["one"] > 1 || asked["two"] > 1 {
		t.Errorf("nodes without a path were asked %v times, want once at most", asked)
	}
}
