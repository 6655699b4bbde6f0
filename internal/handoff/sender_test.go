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

// script is a node that does with a handed-over request what a test says.
type script struct {
	server *transport.Server
	play   func(server *transport.Server, stream *transport.Stream)
}

func (*script) HandleMessage(*wire.Hello, *wire.Envelope) {}

// HandleCall answers like a node that does not know of handovers.
func (*script) HandleCall(_ *wire.Hello, _ *wire.Envelope, reply func(*wire.Envelope)) {
	reply(&wire.Envelope{Body: &wire.Envelope_Failure{Failure: &wire.Failure{Message: "unknown call"}}})
}

func (s *script) HandleStream(_ *wire.Hello, stream *transport.Stream) { s.play(s.server, stream) }

// serve makes a node with a handler.
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

// scripted makes a home that plays a script.
func scripted(t testing.TB, name string, play func(server *transport.Server, stream *transport.Stream)) homes.Node {
	handler := &script{play: play}
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

// handOver hands a request to homes in their order.
func handOver(ctx context.Context, sender *Sender, request *dispatch.Request, asked ...homes.Node) (*upstream.Answer, error) {
	answer, _, err := sender.Do(ctx, request, request.Deadline, dispatch.Destination{Homes: asked, TableVersion: tableVersion})
	return answer, err
}

func answerOf(body string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_HandoffAnswer{HandoffAnswer: &wire.HandoffAnswer{Status: 200, Whole: true, Body: []byte(body)}}}
}

// goesOn waits for the sender's go.
func goesOn(stream *transport.Stream) bool {
	envelope, err := stream.Receive(context.Background())
	return err == nil && envelope.GetHandoffStep().GetStep() == wire.HandoffStep_STEP_GO
}

// serving is a home that answers each request, after the go if it needs one.
func serving(_ *transport.Server, stream *transport.Stream) {
	defer stream.Close()
	first, err := stream.Receive(context.Background())
	if err != nil {
		return
	}
	stream.Send(step(wire.HandoffStep_STEP_READY, ""))
	if first.GetHandoff().GetNeedsGo() && !goesOn(stream) {
		return
	}
	stream.Send(answerOf(string(first.GetHandoff().GetRequestId())))
}

// Until the go a home has certainly not sent the request: it goes to the next one.
func TestBeforeTheGoTheNextHomeIsAsked(t *testing.T) {
	cases := map[string]func(*transport.Server, *transport.Stream){
		"dies at once": func(server *transport.Server, _ *transport.Stream) { server.Close() },
		"dies while it waits": func(server *transport.Server, stream *transport.Stream) {
			stream.Send(step(wire.HandoffStep_STEP_QUEUED, ""))
			time.Sleep(20 * time.Millisecond)
			server.Close()
		},
		"says nothing": func(*transport.Server, *transport.Stream) { time.Sleep(time.Second) },
		"falls silent": func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(step(wire.HandoffStep_STEP_QUEUED, ""))
		},
		"ends the stream": func(_ *transport.Server, stream *transport.Stream) { stream.Close() },
		"does not take it": func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(step(wire.HandoffStep_STEP_NOT_TAKEN, ""))
		},
		"stops": func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(step(wire.HandoffStep_STEP_LEAVING, ""))
		},
		"knows no handovers": func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(&wire.Envelope{Body: &wire.Envelope_Failure{Failure: &wire.Failure{}}})
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sender := newSender(t)
			answer, err := handOver(t.Context(), sender, newRequest(false), scripted(t, "bad", play), scripted(t, "good", serving))
			if err != nil || string(answer.Body) != "r" {
				t.Fatalf("answer %v, error %v", answer, err)
			}
		})
	}
}

// A home that cannot be reached has not sent the request.
func TestNoHomeAnswers(t *testing.T) {
	gone, server := serve(t, "gone", &script{})
	server.Close()
	if _, err := handOver(t.Context(), newSender(t), newRequest(false), gone); !errors.Is(err, dispatch.ErrNoHome) {
		t.Errorf("error %v, wanted that there is no home", err)
	}
}

// After the go nobody but the home knows whether the request has run.
func TestAfterTheGoTheOutcomeIsUnknown(t *testing.T) {
	dying := scripted(t, "dying", func(server *transport.Server, stream *transport.Stream) {
		stream.Send(step(wire.HandoffStep_STEP_READY, ""))
		if !goesOn(stream) {
			// The request itself came first.
			goesOn(stream)
		}
		server.Close()
	})
	other := scripted(t, "other", func(*transport.Server, *transport.Stream) { t.Error("the request went to another home") })
	if _, err := handOver(t.Context(), newSender(t), newRequest(false), dying, other); !errors.Is(err, dispatch.ErrHomeLost) {
		t.Errorf("error %v, wanted that the home was lost", err)
	}
}

// The head of an answer may be lost where the home's queue of envelopes is full; what comes
// after it does not say that the request has not run.
func TestAnswerWithoutItsHeadIsUnknown(t *testing.T) {
	for name, repeatable := range map[string]bool{"unsafe": false, "safe": true} {
		t.Run(name, func(t *testing.T) {
			headless := scripted(t, "headless", func(_ *transport.Server, stream *transport.Stream) {
				_, _ = stream.Receive(context.Background())
				stream.Send(step(wire.HandoffStep_STEP_READY, ""))
				if !repeatable {
					goesOn(stream)
				}
				stream.Send(&wire.Envelope{Body: &wire.Envelope_HandoffChunk{HandoffChunk: &wire.HandoffChunk{Body: []byte("rest")}}})
			})
			other := scripted(t, "other", func(*transport.Server, *transport.Stream) { t.Error("the request went to another home") })
			if _, err := handOver(t.Context(), newSender(t), newRequest(repeatable), headless, other); !errors.Is(err, dispatch.ErrHomeLost) {
				t.Errorf("error %v, wanted that the home was lost", err)
			}
		})
	}
}

// A home that sends a safe request without a go may have sent it when it falls silent.
func TestSafeRequestAtASilentHomeMayHaveRun(t *testing.T) {
	silent := scripted(t, "silent", func(*transport.Server, *transport.Stream) { time.Sleep(time.Second) })
	if _, err := handOver(t.Context(), newSender(t), newRequest(true), silent); !errors.Is(err, dispatch.ErrHomeLost) {
		t.Errorf("error %v, wanted that the home was lost", err)
	}
}

// What a home sent more than once before it was lost counts as often among the attempts.
func TestAttemptsOfALostHomeCount(t *testing.T) {
	dying := scripted(t, "dying", func(server *transport.Server, stream *transport.Stream) {
		stream.Send(step(wire.HandoffStep_STEP_READY, ""))
		stream.Send(step(wire.HandoffStep_STEP_READY, ""))
		time.Sleep(100 * time.Millisecond)
		server.Close()
	})
	request := newRequest(true)
	_, trace, err := newSender(t).Do(t.Context(), request, request.Deadline, dispatch.Destination{Homes: []homes.Node{dying}, TableVersion: tableVersion})
	if !errors.Is(err, dispatch.ErrHomeLost) || trace.Attempts != 2 {
		t.Errorf("error %v after %d attempts, wanted a lost home after two", err, trace.Attempts)
	}
}

// A home that did not answer is not asked by the next request, and again later.
func TestSilentHomeIsPassedOverForAWhile(t *testing.T) {
	asked := make(chan struct{}, 8)
	silent := scripted(t, "silent", func(*transport.Server, *transport.Stream) { asked <- struct{}{} })
	good := scripted(t, "good", serving)
	sender := newSender(t)
	for range 3 {
		if _, err := handOver(t.Context(), sender, newRequest(false), silent, good); err != nil {
			t.Fatal(err)
		}
	}
	if len(asked) != 1 {
		t.Errorf("silent home asked %d times, wanted once", len(asked))
	}
	time.Sleep(firstPause)
	if _, err := handOver(t.Context(), sender, newRequest(false), silent, good); err != nil {
		t.Fatal(err)
	}
	if len(asked) != 2 {
		t.Errorf("home asked %d times after its pause, wanted twice", len(asked))
	}
}

// A caller that leaves ends its request at the home within half a second.
func TestCallersCloseReachesTheHome(t *testing.T) {
	ended := make(chan error, 1)
	working := make(chan struct{})
	home := scripted(t, "home", func(_ *transport.Server, stream *transport.Stream) {
		_, _ = stream.Receive(context.Background())
		stream.Send(step(wire.HandoffStep_STEP_QUEUED, ""))
		close(working)
		_, err := stream.Receive(context.Background())
		ended <- err
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-working
		leave()
	}()
	_, err := handOver(ctx, newSender(t), newRequest(false), home)
	if !errors.Is(err, dispatch.ErrNoHome) {
		t.Errorf("error %v, wanted that it has not run", err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, transport.ErrStreamEnded) {
			t.Errorf("home sees %v, wanted the stream's end", err)
		}
	case <-time.After(500 * time.Millisecond):
		t.Error("home does not learn that the caller left")
	}
}

// What the home says of a refusal reaches the caller as it is.
func TestRefusalIsPassedOn(t *testing.T) {
	refusal := &dispatch.Refusal{Reason: dispatch.ReasonMoving, Detail: "key is moving", RetryAfter: 70 * time.Millisecond}
	home := scripted(t, "home", func(_ *transport.Server, stream *transport.Stream) {
		stream.Send(encodeRefusal(refusal, dispatch.Trace{}))
	})
	_, err := handOver(t.Context(), newSender(t), newRequest(false), home)
	var passed *dispatch.Refusal
	if !errors.As(err, &passed) || *passed != *refusal {
		t.Errorf("error %v, wanted %v", err, refusal)
	}
}

// What is known of a request that may have run is passed on as well.
func TestFailuresArePassedOn(t *testing.T) {
	for _, failure := range []error{dispatch.ErrUnknown, dispatch.ErrTimeout, dispatch.ErrNodeStopping} {
		home := scripted(t, "home", func(_ *transport.Server, stream *transport.Stream) {
			stream.Send(encodeFailure(errors.Wrap(failure, "cause"), dispatch.Trace{}))
		})
		if _, err := handOver(t.Context(), newSender(t), newRequest(true), home); !errors.Is(err, failure) {
			t.Errorf("error %v, wanted %v", err, failure)
		}
	}
}

// A long answer comes whole and in bounded frames; a caller that reads none of it holds up
// no other request to the same home.
func TestSlowReaderHoldsUpNoOther(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), maxCollected)
	dispatcher := &fakeDispatcher{do: func(_ context.Context, request *dispatch.Request) (*upstream.Answer, error) {
		if request.ID == "short" {
			return &upstream.Answer{Status: 200, Body: []byte("short")}, nil
		}
		rest := io.NopCloser(bytes.NewReader(body[maxCollected:]))
		return &upstream.Answer{Status: 200, Header: http.Header{"A": {"1", "2"}}, Body: body[:maxCollected], Rest: rest}, nil
	}}
	node, _ := newHome(t, dispatcher)
	sender := newSender(t)
	long, err := handOver(t.Context(), sender, newRequest(true), node)
	if err != nil || long.Rest == nil || len(long.Header["A"]) != 2 {
		t.Fatalf("answer %v, error %v", long, err)
	}
	for range 50 {
		request := newRequest(true)
		request.ID = "short"
		if answer, err := handOver(t.Context(), sender, request, node); err != nil || string(answer.Body) != "short" {
			t.Fatalf("answer %v, error %v", answer, err)
		}
	}
	rest, err := io.ReadAll(long.Rest)
	if err != nil || !bytes.Equal(append(long.Body, rest...), body) {
		t.Errorf("got %d bytes, error %v, wanted %d", len(long.Body)+len(rest), err, len(body))
	}
}

// Many long answers at a time fill the queue of the connection between two nodes, and each
// still comes whole.
func TestManyLongAnswersComeWhole(t *testing.T) {
	const many = 300
	body := bytes.Repeat([]byte("0123456789abcdef"), maxCollected/16)
	together := make(chan struct{})
	var waiting atomic.Int32
	node, _ := newHome(t, &fakeDispatcher{do: func(context.Context, *dispatch.Request) (*upstream.Answer, error) {
		if waiting.Add(1) == many {
			close(together)
		}
		<-together
		return &upstream.Answer{Status: 200, Body: body}, nil
	}})
	sender := newSender(t)
	results := make(chan error, many)
	for range many {
		go func() {
			request := newRequest(false)
			request.Deadline = time.Now().Add(20 * time.Second)
			answer, err := handOver(t.Context(), sender, request, node)
			if err == nil && len(answer.Body) != len(body) {
				err = errors.Newf("%d bytes", len(answer.Body))
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

// One home of an undivided service may be full while another is not; two that are full
// speak for all.
func TestTwoHomesAreAskedForAFreeServer(t *testing.T) {
	full := func(_ *transport.Server, stream *transport.Stream) {
		stream.Send(encodeRefusal(&dispatch.Refusal{Reason: dispatch.ReasonNoServer, Detail: "busy"}, dispatch.Trace{}))
	}
	one, two, good := scripted(t, "one", full), scripted(t, "two", full), scripted(t, "good", serving)
	if answer, err := handOver(t.Context(), newSender(t), newRequest(false), one, good); err != nil || string(answer.Body) != "r" {
		t.Errorf("answer %v, error %v", answer, err)
	}
	var refusal *dispatch.Refusal
	if _, err := handOver(t.Context(), newSender(t), newRequest(false), one, two, good); !errors.As(err, &refusal) {
		t.Errorf("error %v, wanted a refusal", err)
	}
}
