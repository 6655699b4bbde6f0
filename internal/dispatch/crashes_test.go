package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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

func (g *recordingGuard) Lost(string, poison.Request) { g.lost.Add(1) }

func (g *recordingGuard) Refused(func() poison.Request) (time.Duration, bool) {
	return time.Minute, g.refuses
}

// Guards against counting the crashes of two tenants' requests together, also at a home, which
// has the tenant from the header alone.
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
	layout := view.Layout{TableKey: "table", ServerPrefix: "servers/"}
	builder = view.NewBuilder(layout, probedDocuments{strings.TrimPrefix(server.URL, "http://"), 0}, zap.NewNop())
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
