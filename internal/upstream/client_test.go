package upstream_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/upstream"
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
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			_ = socket.(*net.TCPConn).SetLinger(0)
			_ = socket.Close()
		}
	}()
	pool := upstream.NewPool(listener.Addr().String())
	defer pool.Close()
	const plays = 50
	for range plays {
		_, err := pool.Exchange(context.Background(), &upstream.Request{Method: http.MethodPost, URI: "/", Host: "h"})
		if !errors.Is(err, upstream.ErrNotSent) || !errors.Is(err, upstream.ErrTurnedAway) {
			t.Fatalf("%v, want ErrNotSent and ErrTurnedAway", err)
		}
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
	pool := upstream.NewPool(listener.Addr().String())
	defer pool.Close()
	_, err = pool.Exchange(context.Background(), &upstream.Request{Method: http.MethodPost, URI: "/", Host: "h"})
	if !errors.Is(err, upstream.ErrNoAnswer) || errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("%v, want ErrNoAnswer only", err)
	}
	if accepted.Load() != 1 {
		t.Errorf("%d connections, want one", accepted.Load())
	}
}
