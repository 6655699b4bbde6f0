package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Servers at their connection limit reset new connections. Requests sent on such a
// connection were reported as "may have run" although no server received them, so that
// clients could not retry: 1,825 requests in one day on large deployments.
func TestRequestIsNotSentOnAConnectionThatIsResetAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var resets atomic.Int64
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			_ = socket.(*net.TCPConn).SetLinger(0)
			_ = socket.Close()
			resets.Add(1)
		}
	}()
	pool := NewPool(listener.Addr().String(), NewLink())
	defer pool.Close()
	const plays, pause = 50, time.Millisecond
	for play := range int64(plays) {
		wait := func() {
			for resets.Load() <= play {
				time.Sleep(pause)
			}
		}
		pool.settleTime = func(time.Duration) time.Duration {
			// Wait for the reset, so that the test does not depend on the load of the machine.
			wait()
			return pause
		}
		_, err := pool.Exchange(context.Background(), &Request{Method: http.MethodPost, URI: "/", Host: "h"})
		if !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrConnectionLimit) {
			t.Fatalf("got error %v, want ErrNotSent and ErrConnectionLimit", err)
		}
		wait()
	}
}

// If the server closes a connection after the request was sent, it is unknown whether the request
// ran.
func TestConnectionThatEndsLaterIsNoAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var accepted atomic.Int64
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			const later = 50 * time.Millisecond
			time.AfterFunc(later, func() { _ = socket.Close() })
		}
	}()
	pool := NewPool(listener.Addr().String(), NewLink())
	defer pool.Close()
	_, err = pool.Exchange(context.Background(), &Request{Method: http.MethodPost, URI: "/", Host: "h"})
	if !errors.Is(err, ErrNoResponse) || errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrNoResponse only", err)
	}
	if accepted.Load() != 1 {
		t.Errorf("%d connections, want one", accepted.Load())
	}
}

// An idle connection must not hold a read buffer.
func TestIdleConnectionsKeepNoBuffer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	pool := NewPool(strings.TrimPrefix(server.URL, "http://"), NewLink())
	defer pool.Close()
	for range 3 {
		if _, err := pool.Exchange(context.Background(), &Request{Method: http.MethodGet, URI: "/", Host: "a"}); err != nil {
			t.Fatal(err)
		}
		if len(pool.idle) != 1 || pool.idle[0].reader != nil {
			t.Fatalf("%d idle connections, want one without a buffer", len(pool.idle))
		}
	}
}

// Guards against a retry on the connection of an earlier attempt, and against giving that one up.
func TestAttemptsOfARequestUseDifferentConnections(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	pool := NewPool(strings.TrimPrefix(server.URL, "http://"), NewLink())
	defer pool.Close()
	request := Request{Method: http.MethodGet, URI: "/", Host: "a", Attempts: &Attempts{}}
	other := Request{Method: http.MethodGet, URI: "/", Host: "a", Attempts: &Attempts{}}
	for _, step := range []struct {
		request *Request
		want    int64
	}{{&request, 1}, {&request, 2}, {&other, 2}, {&other, 2}, {&other, 3}} {
		if _, err := pool.Exchange(context.Background(), step.request); err != nil {
			t.Fatal(err)
		}
		if got := connections.Load(); got != step.want {
			t.Fatalf("%d connections, want %d", got, step.want)
		}
	}
}

// Guards against a surplus response to another request that is taken for that to a request without an id.
func TestRequestWithoutAnIDTakesNoResponseToAnother(t *testing.T) {
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
		_, _ = socket.Read(make([]byte, readBufferBytes))
		_, _ = socket.Write([]byte("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"))
		_, _ = socket.Write([]byte("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"))
	}()
	pool := NewPool(listener.Addr().String(), NewLink())
	defer pool.Close()
	response, err := pool.Exchange(t.Context(), &Request{Method: http.MethodGet, URI: "/", Host: "h", IDHeader: "Id"})
	if err != nil || response.Status != http.StatusBadRequest {
		t.Errorf("response %v, error %v, want the one without an id", response, err)
	}
}
