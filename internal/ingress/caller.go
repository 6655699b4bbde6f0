package ingress

import (
	"net"
	"net/http"
)

// callerOf tells callers apart by their address without the port: one that opens many
// connections is still one caller.
func callerOf(incoming *http.Request) string {
	host, _, err := net.SplitHostPort(incoming.RemoteAddr)
	if err != nil {
		return incoming.RemoteAddr
	}
	return host
}
