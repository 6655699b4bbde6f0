package dispatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
)

// at makes servers of one service whose entries are their addresses.
type at struct{}

func (at) Table([]byte) (routing.Spec, error) { return routing.Spec{}, nil }

func (at) Server(id string, address []byte) (discovery.Server, error) {
	return discovery.Server{ID: discovery.ServerID(id), Service: "s", Address: string(address), Slots: 4}, nil
}

func dispatcherOf(servers map[string]string) *Dispatcher {
	builder := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, at{}, zap.NewNop())
	headers := Headers{RequestID: "Id", Deadline: "Deadline", Signature: "Signature", Target: "Target", NotExecuted: "Not-Executed"}
	d := New(Options{RetryWindow: time.Second, Headers: headers}, builder, zap.NewNop())
	var items []topo.Item
	for id, address := range servers {
		items = append(items, topo.Item{Key: "servers/" + id, Value: []byte(address), Revision: 1})
	}
	builder.Replace(items, 1)
	return d
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	return listener.Addr().String()
}

// order is a request that may not be repeated.
func order() *Request {
	now := time.Now()
	route := &routing.Route{Timeout: time.Second, Objective: time.Second, MaxAttempts: 1}
	return &Request{ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Route: route, ArrivedAt: now, Deadline: now.Add(time.Second)}
}

// An order that reached no server goes to another one, although it may be sent to one
// server only and there is no budget for repeats.
func TestOrderThatReachedNoServerGoesToAnother(t *testing.T) {
	serving := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		writer.Header().Set("Id", incoming.Header.Get("Id"))
		writer.Header().Set("Signature", "signed")
	}))
	defer serving.Close()
	d := dispatcherOf(map[string]string{"closed": closedAddress(t), "serving": strings.TrimPrefix(serving.URL, "http://")})
	d.server("closed").latency, d.server("serving").latency = 0.001, 1
	d.budget("s").tokens = 0
	request := order()
	request.Fields = append(request.Fields, upstream.Field{Name: "Id", Value: request.ID})
	answer, trace, err := d.Do(context.Background(), request)
	if err != nil || answer.Status != http.StatusOK {
		t.Fatalf("answer %v, %v", answer, err)
	}
	if trace.NotSent != 1 || trace.Attempts != 1 {
		t.Errorf("not sent %d times, sent %d times, want once each", trace.NotSent, trace.Attempts)
	}
}

// If no server takes it, its client is told that it has not run.
func TestOrderThatReachesNoServerIsRefused(t *testing.T) {
	d := dispatcherOf(map[string]string{"a": closedAddress(t), "b": closedAddress(t)})
	_, trace, err := d.Do(context.Background(), order())
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.RetryAfter <= 0 || trace.Attempts != 0 {
		t.Errorf("%v after %d attempts, want a refusal that says when to come back", err, trace.Attempts)
	}
}

// A server that takes no more connections is well: it is passed over for a moment, for
// longer with each refusal in a row, and its failures stay none.
func TestServerThatTakesNoMoreConnectionsIsPassedOverShortly(t *testing.T) {
	d := dispatcherOf(map[string]string{"full": closedAddress(t)})
	full := d.server("full")
	longest := time.Duration(0)
	for refusals := range 8 {
		before := time.Now()
		d.fault(full, errors.Mark(upstream.ErrTurnedAway, upstream.ErrNotSent))
		pause := full.blockedUntil.Sub(before)
		if pause < longest || pause > maxFullPause+time.Second {
			t.Errorf("passed over for %v after %d refusals, %v before that", pause, refusals+1, longest)
		}
		longest = pause.Truncate(fullPause)
	}
	if full.failures != 0 || longest < maxFullPause {
		t.Errorf("%d failures, longest pause %v, want none and %v", full.failures, longest, maxFullPause)
	}
	full.succeeded(time.Now(), time.Millisecond, time.Second, nil)
	if full.refusals != 0 || !full.blockedUntil.IsZero() {
		t.Error("an answer does not end the pause")
	}
}
