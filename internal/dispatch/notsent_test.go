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

// fullServer accepts connections and resets them at once, until the test ends.
func fullServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			_ = socket.(*net.TCPConn).SetLinger(0)
			_ = socket.Close()
		}
	}()
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
	d := dispatcherOf(map[string]string{"full": fullServer(t), "serving": strings.TrimPrefix(serving.URL, "http://")})
	d.servers["full"].latency, d.servers["serving"].latency = 0.001, 1
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
	d := dispatcherOf(map[string]string{"a": fullServer(t), "b": fullServer(t)})
	_, trace, err := d.Do(context.Background(), order())
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.RetryAfter <= 0 || trace.Attempts != 0 {
		t.Errorf("%v after %d attempts, want a refusal that says when to come back", err, trace.Attempts)
	}
}
