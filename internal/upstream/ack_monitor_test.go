package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// serveOneRequest starts a server that answers only the first request of each connection and
// keeps the connection open afterwards. It returns the server's address.
func serveOneRequest(t *testing.T) string {
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

// On the loopback interface the kernel acknowledges all data immediately, so the test
// replaces the number of unacknowledged bytes.
func TestRequestOnASilentConnectionIsGivenUpEarly(t *testing.T) {
	const limit = 5 * time.Second
	for _, test := range []struct {
		name           string
		unacknowledged int
		silent         bool
	}{
		{"request not acknowledged", 100, true},
		{"request acknowledged, server still processing it", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := NewPool(serveOneRequest(t), NewLink())
			defer pool.Close()
			pool.unacknowledged = func(net.Conn) (int, error) { return test.unacknowledged, nil }
			request := &Request{Method: http.MethodGet, URI: "/", Host: "h", AckTimeout: 50 * time.Millisecond}
			if _, err := pool.Exchange(t.Context(), request); err != nil {
				t.Fatal(err)
			}
			const requestTimeout = 400 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
			defer cancel()
			startedAt := time.Now()
			_, err := pool.Exchange(ctx, request)
			if got := errors.Is(err, ErrUnacknowledged); got != test.silent {
				t.Errorf("got error %v after %v; matches ErrUnacknowledged: %v, want %v", err, time.Since(startedAt), got, test.silent)
			}
			if errors.Is(err, ErrNotSent) {
				t.Error("got ErrNotSent, but bytes of the request may still arrive")
			}
			if test.silent && ctx.Err() != nil {
				t.Error("connection was not reset before the context ended")
			}
			// The next request must succeed on a new connection without a long wait.
			if _, err := pool.Exchange(t.Context(), request); err != nil || time.Since(startedAt) > limit {
				t.Errorf("request on a new connection: %v", err)
			}
		})
	}
}

// On machines whose 10 Mbit/s link was saturated by responses of 90 KB, a request took 130
// to 200 ms to arrive. Its connection was reset after 160 ms, and a stopping node answered
// 502 to requests that servers were processing. The loopback interface adds no delay, so the
// test delays the server, the acknowledgement and new connections.
func TestRequestBehindAFullLinkIsWaitedFor(t *testing.T) {
	const delay, silence = 200 * time.Millisecond, 50 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/delayed" {
			time.Sleep(delay)
		}
	}))
	defer server.Close()
	pool := NewPool(server.Listener.Addr().String(), NewLink())
	defer pool.Close()
	request := func(path string) *Request {
		return &Request{Method: http.MethodGet, URI: path, Host: "h", AckTimeout: silence}
	}
	if _, err := pool.Exchange(t.Context(), request("/")); err != nil {
		t.Fatal(err)
	}
	sentAt := time.Now()
	pool.unacknowledged = func(net.Conn) (int, error) {
		if time.Since(sentAt) < delay {
			return 100, nil
		}
		return 0, nil
	}
	pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(delay)
		return dial(ctx, address)
	}
	if _, err := pool.Exchange(t.Context(), request("/delayed")); err != nil {
		t.Errorf("got error %v, want a response: no data sent later has arrived before the request", err)
	}
}

// A server that vanished without closing its connections does not accept new ones either,
// so a probe proves nothing. Responses of other servers show that the link works.
func TestRequestToAServerThatIsGoneIsGivenUpOnceOthersAnswer(t *testing.T) {
	link := NewLink()
	gone, other := NewPool(serveOneRequest(t), link), NewPool(serveOneRequest(t), link)
	defer gone.Close()
	defer other.Close()
	request := &Request{Method: http.MethodGet, URI: "/", Host: "h", AckTimeout: 50 * time.Millisecond}
	if _, err := gone.Exchange(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	gone.unacknowledged = func(net.Conn) (int, error) { return 100, nil }
	gone.dial = func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	const pause = 10 * time.Millisecond
	time.AfterFunc(pause, func() { _, _ = other.Exchange(ctx, request) })
	if _, err := gone.Exchange(ctx, request); !errors.Is(err, ErrUnacknowledged) {
		t.Errorf("got error %v, want ErrUnacknowledged", err)
	}
}
