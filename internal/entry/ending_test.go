package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/examples"
	"github.com/micahaven/micahaven/internal/ending"
	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/wire"
)

// silentLeader takes calls and never answers them.
type silentLeader struct{}

// Call implements entry.Caller.
func (silentLeader) Call(ctx context.Context, _ string, _ *wire.Envelope) (*wire.Envelope, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Send implements entry.Caller.
func (silentLeader) Send(string, *wire.Envelope) {}

// The same cause as of requests that a stopping router cut off: callers may wait for a
// day, and a node that stops does not.
func TestRequestsEndWithTheNode(t *testing.T) {
	loaded, err := table.ParseYAML(examples.Tintamezcla)
	if err != nil {
		t.Fatal(err)
	}
	changed := make(chan struct{})
	leader := &wire.GroupView{Group: "formula", Leader: &wire.Member{Node: "n2", Address: "n2"}}
	end := ending.New()
	handler := &entry.Handler{
		Forwarder: &entry.Forwarder{
			Node:   "n1",
			Leader: func(string) (*wire.GroupView, <-chan struct{}) { return leader, changed },
			Local:  func(string) *group.Group { return nil },
			Caller: silentLeader{},
		},
		Table:        func() *table.Table { return loaded },
		MaxBodyBytes: 1 << 10,
		Ending:       end,
		Logger:       zap.NewNop(),
	}
	server := echo.New()
	handler.Register(server)
	request := httptest.NewRequest(http.MethodPost, "/formula/red", http.NoBody)
	request.Header.Set(entry.HeaderDeadline, "1h")
	request.Header.Set(entry.HeaderIdempotencyKey, "k")
	answered := httptest.NewRecorder()
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.ServeHTTP(answered, request)
	}()
	end.Set(time.Now().Add(50 * time.Millisecond))
	const atOnce = 10 * time.Second
	select {
	case <-served:
	case <-time.After(atOnce):
		t.Fatal("no answer although the node ends")
	}
	if outcome := answered.Header().Get(entry.HeaderOutcome); outcome != entry.OutcomeUnknown {
		t.Errorf("outcome %q (%d %s) of a request that a leader has, want %q", outcome, answered.Code, answered.Body, entry.OutcomeUnknown)
	}
	if reason := answered.Header().Get(entry.HeaderReason); reason != "stopping" {
		t.Errorf("reason %q, want that the node stops", reason)
	}
}
