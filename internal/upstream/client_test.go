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

// Seen on the large deployments: servers beyond their limit of connections reset new
// ones, and 1,825 requests of a day were answered "may have run" although no server
// ever saw them, so that their clients could not ask again.
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
			// However busy this machine is, the server has reset the connection by then.
			wait()
			return pause
		}
		_, err := pool.Exchange(context.Background(), &Request{Method: http.MethodPost, URI: "/", Host: "h"})
		if !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrTurnedAway) {
			t.Fatalf("%v, want ErrNotSent and ErrTurnedAway", err)
		}
		wait()
	}
}

// A connection that closes later than that leaves it open whether the request ran.
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
	if !errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrNotSent) {
		t.Errorf("%v, want ErrNoAnswer only", err)
	}
	if accepted.Load() != 1 {
		t.Errorf("%d connections, want one", accepted.Load())
	}
}

// A connection that is kept for long needs no buffer while nothing is on it.
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
