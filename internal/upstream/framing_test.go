package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against chunk sizes that reach clients as part of a body: HTTP/1.0 has no chunks, so that the end of such a response is not known.
func TestChunkedResponseOfHTTP10IsRejected(t *testing.T) {
	const chunked = "HTTP/1.0 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	pool := NewPool(startResponder(t, chunked, closeSocket), NewLink())
	defer pool.Close()
	response, err := pool.Exchange(context.Background(), &Request{Method: http.MethodGet, URI: "/", Host: "h"})
	if err == nil && string(response.Body) != "ok" {
		t.Fatalf("got status %d, body %q, want an error", response.Status, response.Body)
	}
}

// Guards against a response that never has a body taken as cut off.
func TestResponseToAHeadRequestWithABodyIsComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(socket))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n")
		time.Sleep(3 * time.Second)
		_ = socket.Close()
	}()
	pool := NewPool(listener.Addr().String(), NewLink())
	defer pool.Close()
	if _, err := pool.Exchange(context.Background(), &Request{Method: http.MethodHead, URI: "/", Host: "h", Body: make([]byte, 64<<10)}); err != nil {
		t.Fatal(err)
	}
}
