package dispatch

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Guards against a server that counts as warming up after a health response that it cut in its head.
func TestTruncatedHealthResponseIsNoEvidence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var text atomic.Value
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			const longerThanAProbe = 1 << 10
			_, _ = socket.Read(make([]byte, longerThanAProbe))
			_, _ = io.WriteString(socket, text.Load().(string))
			_ = socket.Close()
		}
	}()
	w, _ := newProbingNode(t, &fakeHealthServer{id: "s0"}, 6.7, time.Second)
	w.mutex.Lock()
	server := w.server("s0")
	server.pool = upstream.NewPool(listener.Addr().String(), w.link)
	w.mutex.Unlock()
	var found atomic.Int64
	w.onColdFound = func(discovery.ServerID, time.Duration) { found.Add(1) }
	const head = "HTTP/1.1 200 OK\r\nId: s0\r\nLeft: 60000\r\nContent-Length: 0\r\n\r\n"
	for cut := range len(head) + 1 {
		text.Store(head[:cut])
		w.probe(t.Context(), probe{server, "/health"})
		if got, want := found.Load() > 0, cut == len(head); got != want {
			t.Fatalf("cut at %d of %d: found warming up: %v", cut, len(head), got)
		}
	}
}
