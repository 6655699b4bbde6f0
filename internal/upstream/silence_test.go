package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// answerFirst answers the first request of each connection and reads on without a word.
func answerFirst(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(socket net.Conn) {
		reader := bufio.NewReader(socket)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = socket.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_, _ = http.ReadRequest(reader)
		_, _ = reader.ReadByte()
	}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(socket)
		}
	}()
	return listener.Addr().String()
}

// The kernel of one machine acknowledges everything, so the test says what it says.
func TestRequestOnASilentConnectionIsGivenUpEarly(t *testing.T) {
	const limit = 5 * time.Second
	for _, test := range []struct {
		name           string
		unacknowledged int
		silent         bool
	}{
		{"nothing is acknowledged", 100, true},
		{"the server works on it", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := NewPool(answerFirst(t))
			defer pool.Close()
			pool.unacknowledged = func(net.Conn) (int, error) { return test.unacknowledged, nil }
			request := &Request{Method: http.MethodGet, URI: "/", Host: "h", Silence: 50 * time.Millisecond}
			if _, err := pool.Exchange(t.Context(), request); err != nil {
				t.Fatal(err)
			}
			const patience = 400 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			startedAt := time.Now()
			_, err := pool.Exchange(ctx, request)
			if got := errors.Is(err, ErrSilent); got != test.silent {
				t.Errorf("%v after %v; silent: %v, want %v", err, time.Since(startedAt), got, test.silent)
			}
			if errors.Is(err, ErrNotSent) {
				t.Error("the request counts as not sent, but its bytes may arrive")
			}
			if test.silent && ctx.Err() != nil {
				t.Error("it was waited for to the end")
			}
			// A new connection works; waiting for it must not take long.
			if _, err := pool.Exchange(t.Context(), request); err != nil || time.Since(startedAt) > limit {
				t.Errorf("on a new connection: %v", err)
			}
		})
	}
}
