package ingress_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/ingress"
)

func TestIdleConnectionsFollowTheLimit(t *testing.T) {
	limit := 20 * time.Second
	idle := ingress.NewIdleLimit(func() time.Duration { return limit })
	near, far := net.Pipe()
	defer far.Close()
	closed := func() bool {
		_ = far.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := far.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		return !ok || !timeout.Timeout()
	}
	start := time.Now()
	idle.Track(near, http.StateIdle)
	idle.Prune(start.Add(15 * time.Second))
	if closed() {
		t.Fatal("closed before the limit")
	}
	// A request comes and ends; the time counts anew.
	idle.Track(near, http.StateActive)
	idle.Prune(start.Add(time.Hour))
	if closed() {
		t.Fatal("closed while a request runs")
	}
	idle.Track(near, http.StateIdle)
	limit = 5 * time.Second
	idle.Prune(time.Now().Add(7 * time.Second))
	if !closed() {
		t.Fatal("open beyond the limit")
	}
}
