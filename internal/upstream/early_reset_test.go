package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startResponder starts a server that sends a response as soon as it has read the head of a request, and then ends
// the connection.
func startResponder(t *testing.T, response string, end func(socket *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(socket)); err != nil {
					return
				}
				_, _ = io.WriteString(socket, response)
				end(socket.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

const (
	earlyBody     = "part of a body"
	earlyResponse = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n" + earlyBody
)

// Guards against a response without a length that is cut off by a reset while the request's body is sent.
func TestResetDuringAnUploadDoesNotEndAResponse(t *testing.T) {
	pool := NewPool(startResponder(t, earlyResponse, func(socket *net.TCPConn) {
		_ = socket.SetLinger(0)
		_ = socket.Close()
	}), NewLink())
	defer pool.Close()
	const plays, uploadBytes = 400, 3 << 20
	upload := make([]byte, uploadBytes)
	complete := 0
	for play := range plays {
		request := &Request{Method: http.MethodPost, URI: "/", Host: "h", Body: upload}
		if play%2 > 0 {
			request.Body, request.Rest = upload[:uploadBytes/2], bytes.NewReader(upload[uploadBytes/2:])
		}
		if _, err := pool.Exchange(context.Background(), request); err == nil {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d responses that a reset cut off were taken as complete", complete, plays)
	}
}

// Guards against complete responses to uploads that are taken as cut off.
func TestResponseWithoutALengthEndsWithItsConnectionDuringAnUpload(t *testing.T) {
	pool := NewPool(startResponder(t, earlyResponse, func(socket *net.TCPConn) {
		_ = socket.CloseWrite()
		_, _ = io.Copy(io.Discard, socket)
		_ = socket.Close()
	}), NewLink())
	defer pool.Close()
	const plays, uploadBytes = 50, 3 << 20
	for range plays {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		response, err := pool.Exchange(ctx, &Request{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, uploadBytes)})
		cancel()
		if err != nil || string(response.Body) != earlyBody {
			t.Fatalf("response %+v, error %v, want the whole body", response, err)
		}
	}
}
