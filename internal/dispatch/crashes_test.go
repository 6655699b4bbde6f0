package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/poison"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
)

// recordingGuard counts requests that were lost in crashes, and refuses all requests if
// refuses is set.
type recordingGuard struct {
	noGuard
	lost    atomic.Int32
	refuses bool
}

func (g *recordingGuard) Lost(string, poison.Request, poison.LossPoint) { g.lost.Add(1) }

func (g *recordingGuard) Refused(func() poison.Request) (time.Duration, bool) {
	return time.Minute, g.refuses
}

// A home has the tenant from the header alone.
func TestRequestsOfTwoTenantsAreToldApart(t *testing.T) {
	d, _ := newAbortingNode(t, nil)
	d.headers.Tenant = "Tenant"
	ofTenant := func(name string) poison.Request {
		request := requestFor("plain", false)
		request.Fields = append(request.Fields, upstream.Field{Name: "Tenant", Value: name})
		return d.identity(request)
	}
	if poison.DigestOf(ofTenant("a")) == poison.DigestOf(ofTenant("b")) {
		t.Error("requests of two tenants have the same digest")
	}
}

// newAbortingNode returns a node whose only server calls before and then closes each
// connection without a response.
func newAbortingNode(t *testing.T, before func(server *httptest.Server, builder *view.Builder)) (*Dispatcher, *recordingGuard) {
	t.Helper()
	var builder *view.Builder
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		before(server, builder)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	d, guard := newNodeOf(t, server)
	builder = d.views
	return d, guard
}

// newNodeOf returns a node whose view has one server.
func newNodeOf(t *testing.T, server *httptest.Server) (*Dispatcher, *recordingGuard) {
	t.Helper()
	layout := view.Layout{TableKey: "table", ServerPrefix: "servers/"}
	builder := view.NewBuilder(layout, probedDocuments{strings.TrimPrefix(server.URL, "http://"), 0}, zap.NewNop())
	headers := Headers{RequestID: "Id", Deadline: "Deadline", Target: "Target", Signature: "Signed", NotExecuted: "Refused"}
	d := New(Options{Node: "n0", Zone: "z", RetryWindow: time.Second, Headers: headers}, builder, zap.NewNop())
	guard := &recordingGuard{}
	d.SetGuard(guard)
	builder.Replace([]topo.Item{{Key: "table", Revision: 1}, {Key: "servers/s0", Revision: 1}}, 1)
	return d, guard
}

// A connection may end without a response for many reasons. A server has crashed only if
// its machine refuses the next connection and the server was not leaving.
func TestOnlyServersThatRefuseConnectionsHaveCrashed(t *testing.T) {
	closeAll := func(server *httptest.Server, _ *view.Builder) { _ = server.Listener.Close() }
	for _, c := range []struct {
		name   string
		before func(*httptest.Server, *view.Builder)
		lost   int32
	}{
		{"a connection ends", func(*httptest.Server, *view.Builder) {}, 0},
		{"the process ends", closeAll, 1},
		{"a leaving process ends", func(server *httptest.Server, builder *view.Builder) {
			builder.MarkLeaving("s0")
			closeAll(server, builder)
		}, 0},
		{"a process ends whose entry is gone", func(server *httptest.Server, builder *view.Builder) {
			builder.Apply([]topo.Event{{Item: topo.Item{Key: "servers/s0", Revision: 2}, Deleted: true}}, 2)
			closeAll(server, builder)
		}, 0},
		{"a process ends whose entry lapsed while the store was away", func(server *httptest.Server, builder *view.Builder) {
			builder.SetLapse(func() (time.Time, bool) { return time.Now().Add(time.Minute), true })
			builder.Apply([]topo.Event{{Item: topo.Item{Key: "servers/s0", Revision: 2}, Deleted: true}}, 2)
			closeAll(server, builder)
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, guard := newAbortingNode(t, c.before)
			if _, _, err := d.Do(t.Context(), requestFor("plain", false)); !errors.Is(err, ErrUnknown) {
				t.Fatalf("error %v, want an unknown outcome", err)
			}
			time.Sleep(crashCheckDelay + 100*time.Millisecond)
			if got := guard.lost.Load(); got != c.lost {
				t.Errorf("%d requests reported as lost in a crash, want %d", got, c.lost)
			}
		})
	}
}

func TestRequestsThatCrashServersAreSentNowhere(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, nil, warmDivided)
	w.setOwner(t, "s0")
	w.SetGuard(&recordingGuard{refuses: true})
	_, trace, err := w.Do(t.Context(), requestFor("divided", false))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonCrashesServers || refusal.RetryAfter != time.Minute {
		t.Errorf("error %v, want a refusal for a minute", err)
	}
	if handover.count != 0 || trace.Attempts != 0 {
		t.Errorf("handed over %d times, sent %d times", handover.count, trace.Attempts)
	}
}

// newTruncatingNode returns a node whose only server sends the head and a part of its response,
// calls before and then closes the connection.
func newTruncatingNode(t *testing.T, part, declared int, before func(server *httptest.Server)) (*Dispatcher, *recordingGuard) {
	t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		w.Header().Set("Id", "r")
		w.Header().Set("Content-Length", strconv.Itoa(declared))
		_, _ = io.WriteString(w, strings.Repeat("x", part))
		_ = http.NewResponseController(w).Flush()
		before(server)
		if part < declared {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return newNodeOf(t, server)
}

const (
	shortResponse = 4000
	// longResponse is more than a node buffers.
	longResponse = 1 << 20
)

// readResponse sends a request and reads its response to the end.
func readResponse(ctx context.Context, d *Dispatcher) error {
	answer, _, err := d.Do(ctx, requestFor("plain", false))
	if err != nil || answer.Rest == nil {
		return err
	}
	defer answer.Rest.Close()
	_, err = io.Copy(io.Discard, answer.Rest)
	return err
}

// Guards against uncounted crashes, and against blame for responses that a living server broke off.
func TestCrashDuringAResponseIsEvidence(t *testing.T) {
	crash := func(server *httptest.Server) { _ = server.Listener.Close() }
	live := func(*httptest.Server) {}
	for _, c := range []struct {
		name           string
		part, declared int
		before         func(*httptest.Server)
		lost           int32
	}{
		{"crash after the head", 0, shortResponse, crash, 1},
		{"crash in a buffered body", shortResponse / 2, shortResponse, crash, 1},
		{"crash in a streamed body", longResponse / 2, longResponse, crash, 1},
		{"buffered body broken off", shortResponse / 2, shortResponse, live, 0},
		{"streamed body broken off", longResponse / 2, longResponse, live, 0},
		{"process ends after a buffered body", shortResponse, shortResponse, crash, 0},
		{"process ends after a streamed body", longResponse, longResponse, crash, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, guard := newTruncatingNode(t, c.part, c.declared, c.before)
			if err := readResponse(t.Context(), d); (err != nil) != (c.part < c.declared) {
				t.Fatalf("error %v", err)
			}
			time.Sleep(crashCheckDelay + 100*time.Millisecond)
			if got := guard.lost.Load(); got != c.lost {
				t.Errorf("%d requests reported as lost in a crash, want %d", got, c.lost)
			}
		})
	}
}

// Guards against blame for a server that ends at the moment at which the client leaves.
func TestClientThatLeavesDuringAResponseIsNoEvidence(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	d, guard := newTruncatingNode(t, longResponse/2, longResponse, func(server *httptest.Server) {
		leave()
		_ = server.Listener.Close()
	})
	if err := readResponse(ctx, d); err == nil {
		t.Fatal("the response is complete although the client left")
	}
	time.Sleep(crashCheckDelay + 100*time.Millisecond)
	if got := guard.lost.Load(); got != 0 {
		t.Errorf("%d requests reported as lost in a crash, want none", got)
	}
}

// suspectingGuard suspects every request and records how each one ended.
type suspectingGuard struct {
	recordingGuard
	outcomes []poison.Outcome
}

func (g *suspectingGuard) Admit(context.Context, func() poison.Request) poison.Decision {
	return poison.Decision{Suspected: true}
}

func (g *suspectingGuard) Ended(_ poison.Request, _ poison.Decision, outcome poison.Outcome) {
	g.outcomes = append(g.outcomes, outcome)
}

// Only a response that was read to its end may clear a suspect.
func TestSuspectIsClearedByAWholeResponse(t *testing.T) {
	live := func(*httptest.Server) {}
	for _, c := range []struct {
		name           string
		part, declared int
		closeEarly     bool
		want           poison.Outcome
	}{
		{"buffered", shortResponse, shortResponse, false, poison.Answered},
		{"buffered, broken off", shortResponse / 2, shortResponse, false, poison.Lost},
		{"streamed", longResponse, longResponse, false, poison.Answered},
		{"streamed, broken off", longResponse / 2, longResponse, false, poison.Lost},
		{"streamed, not read to its end", longResponse, longResponse, true, poison.Inconclusive},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, _ := newTruncatingNode(t, c.part, c.declared, live)
			guard := &suspectingGuard{}
			d.SetGuard(guard)
			if c.closeEarly {
				answer, _, err := d.Do(t.Context(), requestFor("plain", false))
				if err != nil || len(guard.outcomes) != 0 {
					t.Fatalf("error %v, ended %v before the rest was read", err, guard.outcomes)
				}
				_ = answer.Rest.Close()
			} else if err := readResponse(t.Context(), d); (err != nil) != (c.part < c.declared) {
				t.Fatalf("error %v", err)
			}
			if len(guard.outcomes) != 1 || guard.outcomes[0] != c.want {
				t.Errorf("ended with %v, want once with %v", guard.outcomes, c.want)
			}
		})
	}
}

// Guards against blaming a request for a crash although no part of it reached the server.
func TestRequestThatWasNotSentIsNotLost(t *testing.T) {
	reset := errors.Mark(errors.Wrap(syscall.ECONNRESET, "connect"), upstream.ErrNotSent)
	if point, lost := lossPoint(reset); lost {
		t.Errorf("a connection that was reset before the request was sent counts as lost %s", point)
	}
}

// endlessBody is a request body that never ends.
type endlessBody struct{}

func (endlessBody) Read(into []byte) (int, error) {
	time.Sleep(100 * time.Microsecond)
	return min(len(into), 1000), nil
}

// Guards against crashes that the node notices while it sends the body and does not count.
func TestCrashWhileTheBodyIsSentIsEvidence(t *testing.T) {
	const runs = 60
	missed := 0
	for range runs {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signed", "yes")
			w.Header().Set("Id", "r")
			w.Header().Set("Content-Length", strconv.Itoa(shortResponse))
			controller := http.NewResponseController(w)
			_ = controller.EnableFullDuplex()
			_, _ = io.WriteString(w, strings.Repeat("x", shortResponse/2))
			_ = controller.Flush()
			time.Sleep(10 * time.Millisecond)
			_ = server.Listener.Close()
			connection, _, err := controller.Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}))
		d, guard := newNodeOf(t, server)
		request := requestFor("plain", false)
		request.Method, request.Body, request.Rest = http.MethodPost, []byte("b"), endlessBody{}
		if _, _, err := d.Do(t.Context(), request); err == nil {
			t.Fatal("answered although the server crashed")
		}
		time.Sleep(crashCheckDelay + 50*time.Millisecond)
		if guard.lost.Load() != 1 {
			missed++
		}
		server.Close()
	}
	if missed > 0 {
		t.Errorf("%d of %d crashes were not counted", missed, runs)
	}
}
