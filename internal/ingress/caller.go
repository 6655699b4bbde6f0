package ingress

import (
	"net"
	"net/http"
)

// callerAddress identifies a caller by its IP address without the port, so that a client with
// many connections counts as one caller.
func callerAddress(incoming *http.Request) string {
	host, _, err := net.SplitHostPort(incoming.RemoteAddr)
	if err != nil {
		return incoming.RemoteAddr
	}
	return host
}
