package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// newSingleServerDispatcher returns a dispatcher with one server, which answers with serve,
// and the number of requests that reached it.
func newSingleServerDispatcher(t *testing.T, serve http.HandlerFunc) (*Dispatcher, *atomic.Int64) {
	t.Helper()
	var arrived atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		arrived.Add(1)
		serve(writer, incoming)
	}))
	t.Cleanup(backend.Close)
	return dispatcherOf(map[string]string{"a": strings.TrimPrefix(backend.URL, "http://")}), &arrived
}

// longRequest returns a request whose deadline is far beyond the shutdown of a node.
func longRequest() *Request {
	request := unsafeRequest()
	request.Route.Timeout = time.Minute
	request.Route.Objective = time.Minute
	request.Deadline = request.ArrivedAt.Add(time.Minute)
	return request
}

func blockUntilCanceled(_ http.ResponseWriter, incoming *http.Request) { <-incoming.Context().Done() }

// The client of a request that is at a server when the node shuts down is told that it may
// have been executed.
func TestRequestAtAServerEndsWithTheNode(t *testing.T) {
	d, arrived := newSingleServerDispatcher(t, blockUntilCanceled)
	end := time.Now().Add(300 * time.Millisecond)
	time.AfterFunc(50*time.Millisecond, func() { d.ShutDownBy(end) })
	_, _, err := d.Do(context.Background(), longRequest())
	if !errors.Is(err, ErrNodeStopping) || errors.Is(err, ErrNotExecuted) {
		t.Errorf("error %v, want ErrNodeStopping", err)
	}
	if arrived.Load() != 1 {
		t.Errorf("%d requests reached the server, want 1", arrived.Load())
	}
}

// A request that is still queued when the node shuts down was not executed.
func TestWaitingRequestEndsWithTheNode(t *testing.T) {
	d, arrived := newSingleServerDispatcher(t, blockUntilCanceled)
	d.server("a").outstanding = 100
	time.AfterFunc(50*time.Millisecond, func() { d.ShutDownBy(time.Now().Add(200 * time.Millisecond)) })
	_, _, err := d.Do(context.Background(), longRequest())
	var refusal *Refusal
	if !errors.As(err, &refusal) || arrived.Load() != 0 {
		t.Errorf("%v with %d requests at the server, want a refusal and none", err, arrived.Load())
	}
}

// Requests that cannot be answered before the node's end are refused at once and reach no
// server.
func TestHopelessRequestOfAStoppingNodeIsRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name    string
		left    time.Duration
		latency float64
	}{
		{name: "answers take longer than is left", left: time.Minute / 2, latency: 40},
		{name: "the end has come", left: -time.Second, latency: 0.001},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, arrived := newSingleServerDispatcher(t, blockUntilCanceled)
			d.server("a").latency = c.latency
			d.ShutDownBy(time.Now().Add(c.left))
			startedAt := time.Now()
			_, _, err := d.Do(context.Background(), longRequest())
			var refusal *Refusal
			if !errors.As(err, &refusal) || arrived.Load() != 0 {
				t.Errorf("%v with %d requests at the server, want a refusal and none", err, arrived.Load())
			}
			const atOnce = 5 * time.Second
			if took := time.Since(startedAt); took > atOnce {
				t.Errorf("refused after %v", took)
			}
			if outstanding := d.server("a").outstanding; outstanding != 0 {
				t.Errorf("%d slots at the server are still reserved", outstanding)
			}
		})
	}
}

// deadlineRecorder returns a handler that answers, and the remaining time in milliseconds
// that the last request's header stated.
func deadlineRecorder() (http.HandlerFunc, *atomic.Int64) {
	var told atomic.Int64
	return func(writer http.ResponseWriter, incoming *http.Request) {
		millis, _ := strconv.ParseInt(incoming.Header.Get("Deadline"), 10, 64)
		told.Store(millis)
		writer.Header().Set("Signature", "signed")
	}, &told
}

// Servers must be sent the remaining time to answer before the node's end.
func TestServersAreToldWhenTheNodeEnds(t *testing.T) {
	serve, told := deadlineRecorder()
	d, _ := newSingleServerDispatcher(t, serve)
	const left = 10 * time.Second
	d.ShutDownBy(time.Now().Add(left))
	request := longRequest()
	request.ID = ""
	if _, _, err := d.Do(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	if latest := (left - answerMargin).Milliseconds(); told.Load() <= 0 || told.Load() > latest {
		t.Errorf("server was told %d ms, want at most %d", told.Load(), latest)
	}
}
