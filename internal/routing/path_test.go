package routing_test

import (
	"net/url"
	"testing"

	"github.com/micahaven/micahaven/internal/routing"
)

// Guards against requests of one route that are taken for those of a route nested in it.
func TestEncodedSlashDividesNoPath(t *testing.T) {
	for target, want := range map[string]string{
		"/orders/status/1":       "/orders/status/1",
		"/orders/status%2F1":     "/orders/status%2F1",
		"/orders/status%2f1":     "/orders/status%2F1",
		"/orders%2Fstatus/1":     "/orders%2Fstatus/1",
		"/orders/%73tatus/1":     "/orders/status/1",
		"/orders/%73tatus%2F1":   "/orders/status%2F1",
		"/orders/a%20b":          "/orders/a b",
		"/orders/%252F":          "/orders/%2F",
		"/orders/%C3%A9/1?q=%2F": "/orders/é/1",
		"/orders/%2525%2F":       "/orders/%25%2F",
	} {
		parsed, err := url.ParseRequestURI(target)
		if err != nil {
			t.Fatal(err)
		}
		if got := routing.Path(parsed); got != want {
			t.Errorf("%s is matched as %s, want %s", target, got, want)
		}
	}
}
