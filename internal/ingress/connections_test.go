package ingress_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/ingress"
)

// acceptTracked returns both ends of a loopback connection; the server end was accepted through
// a listener of the tracker.
func acceptTracked(t *testing.T, limits *ingress.ConnectionTracker) (server, client net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = limits.Listener(listener).Accept()
	if err != nil {
		t.Fatal(err)
	}
	limits.Track(server, http.StateNew)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return server, client
}

// closedByPeer reports whether the peer of a connection has closed it.
func closedByPeer(connection net.Conn) bool {
	_ = connection.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := connection.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// sendAndWait sends text and returns once it has arrived at the other end.
func sendAndWait(t *testing.T, client net.Conn, text string) {
	t.Helper()
	if _, err := client.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	// Loopback delivery takes less than this.
	time.Sleep(50 * time.Millisecond)
}

func TestIdleConnectionsFollowTheLimit(t *testing.T) {
	limit := 20 * time.Second
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return limit, 0 })
	server, client := acceptTracked(t, limits)
	start := time.Now()
	limits.Track(server, http.StateIdle)
	limits.Prune(start.Add(15 * time.Second))
	if closedByPeer(client) {
		t.Fatal("closed before the timeout")
	}
	// A request starts and ends; the idle time starts again.
	limits.Track(server, http.StateActive)
	limits.Prune(start.Add(time.Hour))
	if closedByPeer(client) {
		t.Fatal("closed while a request is running")
	}
	limits.Track(server, http.StateIdle)
	limit = 5 * time.Second
	limits.Prune(time.Now().Add(7 * time.Second))
	if !closedByPeer(client) {
		t.Fatal("open after the timeout")
	}
}

// A request that has arrived but is still unread, because the node was busy, must be served
// regardless of how long its connection was idle.
func TestIdleConnectionWithUnreadRequestIsKept(t *testing.T) {
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Second, 0 })
	server, client := acceptTracked(t, limits)
	limits.Track(server, http.StateIdle)
	sendAndWait(t, client, "GET / HTTP/1.1\r\n")
	limits.Prune(time.Now().Add(time.Minute))
	if closedByPeer(client) {
		t.Fatal("closed with an unread request")
	}
}

// The same applies between the first byte of a request and the moment at which net/http reports
// its connection as active.
func TestIdleConnectionWithPartOfARequestReadIsKept(t *testing.T) {
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Second, 10 * time.Second })
	server, client := acceptTracked(t, limits)
	limits.Track(server, http.StateIdle)
	sendAndWait(t, client, "GET / HTTP/1.1\r\n")
	if _, err := server.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	limits.Prune(time.Now().Add(5 * time.Second))
	if closedByPeer(client) {
		t.Fatal("closed while a header is being read")
	}
	limits.Prune(time.Now().Add(12 * time.Second))
	if !closedByPeer(client) {
		t.Fatal("open although its header is incomplete")
	}
}

func TestNewConnectionsWithoutRequestAreIdle(t *testing.T) {
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Second, time.Second })
	server, client := acceptTracked(t, limits)
	limits.Track(server, http.StateNew)
	limits.Prune(time.Now().Add(10 * time.Second))
	if !closedByPeer(client) {
		t.Fatal("a connection without a request stays open")
	}
}

func TestIdleConnectionsAreClosedButForUnreadRequests(t *testing.T) {
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	idle, idleClient := acceptTracked(t, limits)
	pending, pendingClient := acceptTracked(t, limits)
	limits.Track(idle, http.StateIdle)
	limits.Track(pending, http.StateIdle)
	sendAndWait(t, pendingClient, "GET / HTTP/1.1\r\n")
	if remaining := limits.CloseIdle(); remaining != 1 {
		t.Fatalf("%d connections remain, want 1", remaining)
	}
	if !closedByPeer(idleClient) {
		t.Fatal("the idle connection is open")
	}
	if closedByPeer(pendingClient) {
		t.Fatal("closed with an unread request")
	}
}

// net/http always has a pending read on an idle connection; Prune must not block on it.
func TestIdleConnectionsArePrunedWhileTheyAreRead(t *testing.T) {
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Second, 0 })
	server, client := acceptTracked(t, limits)
	limits.Track(server, http.StateIdle)
	go func() { _, _ = server.Read(make([]byte, 1)) }()
	// The reader blocks within this time.
	time.Sleep(50 * time.Millisecond)
	pruned := make(chan struct{})
	go func() {
		defer close(pruned)
		limits.Prune(time.Now().Add(time.Minute))
	}()
	select {
	case <-pruned:
	case <-time.After(5 * time.Second):
		t.Fatal("Prune waits for the reader")
	}
	if !closedByPeer(client) {
		t.Fatal("open after the timeout")
	}
}

// Reading from a connection and closing it must exclude each other. When they overlapped, a
// stopping node closed connections whose requests it had just read, and 2 requests were lost.
func TestRequestsThatAreBeingReadAreNotCutOff(t *testing.T) {
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	const connections = 200
	type outcome struct {
		received int
		closed   bool
	}
	outcomes := make(chan outcome, connections)
	for range connections {
		server, client := acceptTracked(t, limits)
		go func() {
			received, _ := server.Read(make([]byte, 64))
			// The server detects a closed connection only when it writes after reading.
			_, err := server.Write([]byte("HTTP/1.1 200 OK\r\n"))
			outcomes <- outcome{received, err != nil}
		}()
		go func() { _, _ = client.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }()
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for range 50 {
			limits.CloseIdle()
		}
	}()
	for range connections {
		if result := <-outcomes; result.received > 0 && result.closed {
			t.Fatal("a connection was closed after a request had been read from it")
		}
	}
	<-stopped
}

// With pipelining, the next request may arrive while one is active; its partial read must still
// be recorded when the active request ends.
func TestConnectionWithPartOfARequestReadWhileActiveIsKept(t *testing.T) {
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	server, client := acceptTracked(t, limits)
	limits.Track(server, http.StateActive)
	sendAndWait(t, client, "GET / HTTP/1.1\r\n")
	if _, err := server.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	limits.Track(server, http.StateIdle)
	if remaining := limits.CloseIdle(); remaining != 1 || closedByPeer(client) {
		t.Fatal("closed after part of a request was read")
	}
	if limits.StopReading(server) {
		t.Fatal("reading was stopped in the middle of a request")
	}
	limits.Track(server, http.StateActive)
	limits.MarkPartialRead(server)
	limits.Track(server, http.StateIdle)
	if remaining := limits.CloseIdle(); remaining != 1 || closedByPeer(client) {
		t.Fatal("closed although part of a request was read together with the previous one")
	}
}

func TestNothingIsReadOnceReadingWasStopped(t *testing.T) {
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	server, client := acceptTracked(t, limits)
	limits.Track(server, http.StateActive)
	if !limits.StopReading(server) {
		t.Fatal("reading was not stopped")
	}
	sendAndWait(t, client, "GET / HTTP/1.1\r\n\r\n")
	if count, err := server.Read(make([]byte, 64)); count > 0 || err == nil {
		t.Fatalf("%d bytes read, error %v", count, err)
	}
}
