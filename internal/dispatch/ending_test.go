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

// stopping returns a dispatcher with one server, which answers with serve, and a count
// of the requests that reached it.
func stopping(t *testing.T, serve http.HandlerFunc) (*Dispatcher, *atomic.Int64) {
	t.Helper()
	var arrived atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		arrived.Add(1)
		serve(writer, incoming)
	}))
	t.Cleanup(backend.Close)
	return dispatcherOf(map[string]string{"a": strings.TrimPrefix(backend.URL, "http://")}), &arrived
}

// patient is a request that has far more time than a stopping node.
func patient() *Request {
	request := order()
	request.Route.Timeout = time.Minute
	request.Route.Objective = time.Minute
	request.Deadline = request.ArrivedAt.Add(time.Minute)
	return request
}

func untilLeft(_ http.ResponseWriter, incoming *http.Request) { <-incoming.Context().Done() }

// A request that is at a server when the node ends is told that it may have run.
func TestRequestAtAServerEndsWithTheNode(t *testing.T) {
	d, arrived := stopping(t, untilLeft)
	end := time.Now().Add(300 * time.Millisecond)
	time.AfterFunc(50*time.Millisecond, func() { d.EndBy(end) })
	_, _, err := d.Do(context.Background(), patient())
	if !errors.Is(err, ErrNodeEnds) || errors.Is(err, ErrNotExecuted) {
		t.Errorf("%v, want that the node ends", err)
	}
	if arrived.Load() != 1 {
		t.Errorf("%d requests reached the server, want 1", arrived.Load())
	}
}

// A request that waits for a server when the node ends has not run.
func TestWaitingRequestEndsWithTheNode(t *testing.T) {
	d, arrived := stopping(t, untilLeft)
	d.server("a").outstanding = 100
	time.AfterFunc(50*time.Millisecond, func() { d.EndBy(time.Now().Add(200 * time.Millisecond)) })
	_, _, err := d.Do(context.Background(), patient())
	var refusal *Refusal
	if !errors.As(err, &refusal) || arrived.Load() != 0 {
		t.Errorf("%v with %d requests at the server, want a refusal and none", err, arrived.Load())
	}
}

// What cannot be answered before the end is refused at once and reaches no server.
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
			d, arrived := stopping(t, untilLeft)
			d.server("a").latency = c.latency
			d.EndBy(time.Now().Add(c.left))
			startedAt := time.Now()
			_, _, err := d.Do(context.Background(), patient())
			var refusal *Refusal
			if !errors.As(err, &refusal) || arrived.Load() != 0 {
				t.Errorf("%v with %d requests at the server, want a refusal and none", err, arrived.Load())
			}
			const atOnce = 5 * time.Second
			if took := time.Since(startedAt); took > atOnce {
				t.Errorf("refused after %v", took)
			}
			if outstanding := d.server("a").outstanding; outstanding != 0 {
				t.Errorf("%d places at the server are still taken", outstanding)
			}
		})
	}
}

// telling returns a server's handler that answers, and what the last request told it of
// the time that is left, in milliseconds.
func telling() (http.HandlerFunc, *atomic.Int64) {
	var told atomic.Int64
	return func(writer http.ResponseWriter, incoming *http.Request) {
		millis, _ := strconv.ParseInt(incoming.Header.Get("Deadline"), 10, 64)
		told.Store(millis)
		writer.Header().Set("Signature", "signed")
	}, &told
}

// Servers must know how little time is left, so that they answer before the node ends.
func TestServersAreToldWhenTheNodeEnds(t *testing.T) {
	serve, told := telling()
	d, _ := stopping(t, serve)
	const left = 10 * time.Second
	d.EndBy(time.Now().Add(left))
	request := patient()
	request.ID = ""
	if _, _, err := d.Do(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	if latest := (left - answerMargin).Milliseconds(); told.Load() <= 0 || told.Load() > latest {
		t.Errorf("server was told %d ms, at most %d are left", told.Load(), latest)
	}
}
