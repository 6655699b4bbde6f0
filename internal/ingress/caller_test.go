package ingress

import (
	"net/http"
	"testing"
)

func TestCallersAreToldApartByAddress(t *testing.T) {
	first := callerAddress(&http.Request{RemoteAddr: "127.0.0.1:1000"})
	again := callerAddress(&http.Request{RemoteAddr: "127.0.0.1:2000"})
	other := callerAddress(&http.Request{RemoteAddr: "127.0.0.2:1000"})
	if first != again || first == other {
		t.Errorf("callers %q, %q and %q", first, again, other)
	}
}
