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
			pool := NewPool(answerFirst(t), NewLink())
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

// Seen on machines whose link of 10 Mbit/s was full of answers of 90 KB: a request was
// 130 to 200 ms on its way, its connection was given up after 160 ms, and a stopping node
// answered 502 to requests at which servers worked. The kernel of one machine delays
// nothing, so the test delays the server, what is acknowledged, and new connections.
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
		return &Request{Method: http.MethodGet, URI: path, Host: "h", Silence: silence}
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
		t.Errorf("%v, want the answer: nothing sent later has arrived before it", err)
	}
}

// A server that is gone without a word cannot be reached by new connections either, but
// what other servers answer shows that the link works.
func TestRequestToAServerThatIsGoneIsGivenUpOnceOthersAnswer(t *testing.T) {
	link := NewLink()
	gone, other := NewPool(answerFirst(t), link), NewPool(answerFirst(t), link)
	defer gone.Close()
	defer other.Close()
	request := &Request{Method: http.MethodGet, URI: "/", Host: "h", Silence: 50 * time.Millisecond}
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
	if _, err := gone.Exchange(ctx, request); !errors.Is(err, ErrSilent) {
		t.Errorf("%v, want ErrSilent", err)
	}
}
