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

// addressDocuments decodes entries that hold addresses into servers of one service.
type addressDocuments struct{}

func (addressDocuments) Table([]byte) (routing.Spec, error) { return routing.Spec{}, nil }

func (addressDocuments) Server(id string, address []byte) (discovery.Server, error) {
	return discovery.Server{ID: discovery.ServerID(id), Service: "s", Address: string(address), Slots: 4}, nil
}

func dispatcherOf(servers map[string]string) *Dispatcher {
	builder := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, addressDocuments{}, zap.NewNop())
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

// unsafeRequest returns a request that must not be repeated.
func unsafeRequest() *Request {
	now := time.Now()
	route := &routing.Route{Timeout: time.Second, Objective: time.Second, MaxAttempts: 1}
	return &Request{ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Route: route, ArrivedAt: now, Deadline: now.Add(time.Second)}
}

// A request that reached no server goes to another one, although its route allows a single
// attempt and the retry budget is empty.
func TestOrderThatReachedNoServerGoesToAnother(t *testing.T) {
	serving := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		writer.Header().Set("Id", incoming.Header.Get("Id"))
		writer.Header().Set("Signature", "signed")
	}))
	defer serving.Close()
	d := dispatcherOf(map[string]string{"closed": closedAddress(t), "serving": strings.TrimPrefix(serving.URL, "http://")})
	d.server("closed").latency, d.server("serving").latency = 0.001, 1
	d.budget("s").tokens = 0
	request := unsafeRequest()
	request.Fields = append(request.Fields, upstream.Field{Name: "Id", Value: request.ID})
	answer, trace, err := d.Do(context.Background(), request)
	if err != nil || answer.Status != http.StatusOK {
		t.Fatalf("response %v, %v", answer, err)
	}
	if trace.NotSent != 1 || trace.Attempts != 1 {
		t.Errorf("%d attempts not sent and %d sent, want one each", trace.NotSent, trace.Attempts)
	}
}

// If no server accepts the request, its client is told that it was not executed.
func TestOrderThatReachesNoServerIsRefused(t *testing.T) {
	d := dispatcherOf(map[string]string{"a": closedAddress(t), "b": closedAddress(t)})
	_, trace, err := d.Do(context.Background(), unsafeRequest())
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.RetryAfter <= 0 || trace.Attempts != 0 {
		t.Errorf("error %v after %d attempts, want a refusal with a retry time", err, trace.Attempts)
	}
}

// A server that accepts no more connections has not failed. It is skipped for a short time,
// which grows with each consecutive refusal, and no failure is counted.
func TestServerThatTakesNoMoreConnectionsIsPassedOverShortly(t *testing.T) {
	d := dispatcherOf(map[string]string{"full": closedAddress(t)})
	full := d.server("full")
	longest := time.Duration(0)
	for refusedConnections := range 8 {
		before := time.Now()
		d.recordTransportError(full, errors.Mark(upstream.ErrConnectionLimit, upstream.ErrNotSent))
		pause := full.blockedUntil.Sub(before)
		if pause < longest || pause > maxOverloadPause+time.Second {
			t.Errorf("skipped for %v after %d refusals, previously %v", pause, refusedConnections+1, longest)
		}
		longest = pause.Truncate(overloadPause)
	}
	if full.failures != 0 || longest < maxOverloadPause {
		t.Errorf("%d failures, longest pause %v, want none and %v", full.failures, longest, maxOverloadPause)
	}
	full.recordSuccess(time.Now(), time.Millisecond, time.Second, nil)
	if full.refusedConnections != 0 || !full.blockedUntil.IsZero() {
		t.Error("a response did not end the pause")
	}
}
