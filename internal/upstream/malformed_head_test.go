package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

func closeSocket(socket *net.TCPConn) { _ = socket.Close() }

// Guards against responses of faulty servers that reach clients with a malformed field, or with another body than the server's.
func TestResponseWithAMalformedHeadIsRejected(t *testing.T) {
	const rest = "X-Signature: s\r\nContent-Length: 2\r\n\r\nok"
	for name, head := range map[string]string{
		"blank in a name":                "HTTP/1.1 200 OK\r\nX Name: v\r\n",
		"blank before the colon":         "HTTP/1.1 200 OK\r\nX-Name : v\r\n",
		"tab before the colon":           "HTTP/1.1 200 OK\r\nX-Name\t: v\r\n",
		"length with a blank":            "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
		"coding with a blank":            "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"control byte in a name":         "HTTP/1.1 200 OK\r\nX\x01Name: v\r\n",
		"byte beyond ASCII in a name":    "HTTP/1.1 200 OK\r\nX\xffName: v\r\n",
		"separator in a name":            "HTTP/1.1 200 OK\r\nX(Name): v\r\n",
		"no name":                        "HTTP/1.1 200 OK\r\n: v\r\n",
		"no colon":                       "HTTP/1.1 200 OK\r\nX-Name\r\n",
		"control byte in a value":        "HTTP/1.1 200 OK\r\nX-Name: a\x01b\r\n",
		"null byte in a value":           "HTTP/1.1 200 OK\r\nX-Name: a\x00b\r\n",
		"carriage return in a value":     "HTTP/1.1 200 OK\r\nX-Name: a\rb\r\n",
		"status 000":                     "HTTP/1.1 000 OK\r\n",
		"status 099":                     "HTTP/1.1 099 OK\r\n",
		"status of two digits":           "HTTP/1.1 20 OK\r\n",
		"status with a sign":             "HTTP/1.1 +20 OK\r\n",
		"control byte before a field":    "HTTP/1.1 200 OK\r\n\x01X: v\r\n",
		"blank before the first field":   "HTTP/1.1 200 OK\r\n X-Name: v\r\n",
		"version of another protocol":    "HTTP/2.0 200 OK\r\n",
		"blank between name and nothing": "HTTP/1.1 200 OK\r\nX-Name \r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(startResponder(t, head+rest, closeSocket), NewLink())
			defer pool.Close()
			response, err := pool.Exchange(context.Background(), &Request{Method: http.MethodGet, URI: "/", Host: "h"})
			if err == nil {
				t.Fatalf("got status %d, header %q, body %q, want an error", response.Status, response.Header, response.Body)
			}
			if errors.Is(err, ErrNotSent) {
				t.Errorf("got error %v, although the request may have run", err)
			}
		})
	}
}

func TestResponseWithUnusualFieldsIsAccepted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Bytes: \xe9\ttab\r\nx_under.score: v\r\nContent-Length: 2\r\n\r\nok"
	pool := NewPool(startResponder(t, head, closeSocket), NewLink())
	defer pool.Close()
	response, err := pool.Exchange(context.Background(), &Request{Method: http.MethodGet, URI: "/", Host: "h"})
	if err != nil || string(response.Body) != "ok" {
		t.Fatalf("response %+v, error %v", response, err)
	}
}
