package upstream

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/clock"
)

// Guards against a request that reaches a process which started after the time that the request names.
func TestRequestUsesOnlyConnectionsThatWereOpenInTime(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	pool := NewPool(strings.TrimPrefix(server.URL, "http://"), NewLink())
	defer pool.Close()
	exchange := func(request Request) error {
		request.Method, request.URI, request.Host = http.MethodPost, "/", "h"
		_, err := pool.Exchange(t.Context(), &request)
		return err
	}
	before := clock.Boot()
	for range 2 {
		if err := exchange(Request{OpenedBy: before}); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrOpenedLate) {
			t.Fatalf("a request on a later connection ended with %v, want ErrNotSent and ErrOpenedLate", err)
		}
	}
	if count := len(pool.idle); count != 1 {
		t.Fatalf("%d connections wait for later requests, want 1", count)
	}
	after := clock.Boot()
	if err := exchange(Request{OpenedBy: after, NewConnection: true}); err != nil {
		t.Fatalf("a request on a connection that waited, and has carried none, ended with %v", err)
	}
	if err := exchange(Request{OpenedBy: after}); err != nil {
		t.Fatalf("a request on a connection that was open in time ended with %v", err)
	}
	if err := exchange(Request{OpenedBy: after, NewConnection: true}); !errors.Is(err, ErrNotSent) {
		t.Fatalf("a request that asks for a new connection ended with %v, want ErrNotSent", err)
	}
}
