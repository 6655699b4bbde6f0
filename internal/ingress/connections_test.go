package ingress_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/ingress"
)

// accepted returns both ends of a loopback connection; the first one was accepted
// by a listener with the limits.
func accepted(t *testing.T, limits *ingress.ConnectionLimits) (server, client net.Conn) {
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

// closed reports whether the peer of a connection has closed it.
func closed(connection net.Conn) bool {
	_ = connection.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := connection.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// waitUnread sends text and returns when it has arrived at the other end.
func waitUnread(t *testing.T, client net.Conn, text string) {
	t.Helper()
	if _, err := client.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	// The bytes cross the loopback device within this time.
	time.Sleep(50 * time.Millisecond)
}

func TestIdleConnectionsFollowTheLimit(t *testing.T) {
	limit := 20 * time.Second
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return limit, 0 })
	server, client := accepted(t, limits)
	start := time.Now()
	limits.Track(server, http.StateIdle)
	limits.Prune(start.Add(15 * time.Second))
	if closed(client) {
		t.Fatal("closed before the limit")
	}
	// A request comes and ends; the time counts anew.
	limits.Track(server, http.StateActive)
	limits.Prune(start.Add(time.Hour))
	if closed(client) {
		t.Fatal("closed while a request runs")
	}
	limits.Track(server, http.StateIdle)
	limit = 5 * time.Second
	limits.Prune(time.Now().Add(7 * time.Second))
	if !closed(client) {
		t.Fatal("open beyond the limit")
	}
}

// A request that has arrived but was not read yet, because the node was busy,
// must be served, however long its connection was idle before.
func TestIdleConnectionWithUnreadRequestIsKept(t *testing.T) {
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Second, 0 })
	server, client := accepted(t, limits)
	limits.Track(server, http.StateIdle)
	waitUnread(t, client, "GET / HTTP/1.1\r\n")
	limits.Prune(time.Now().Add(time.Minute))
	if closed(client) {
		t.Fatal("closed with a request that was not read")
	}
}

// The same holds between the first byte of a request and the moment at which
// net/http calls its connection active.
func TestIdleConnectionWithPartOfARequestReadIsKept(t *testing.T) {
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Second, 10 * time.Second })
	server, client := accepted(t, limits)
	limits.Track(server, http.StateIdle)
	waitUnread(t, client, "GET / HTTP/1.1\r\n")
	if _, err := server.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	limits.Prune(time.Now().Add(5 * time.Second))
	if closed(client) {
		t.Fatal("closed while a header is being read")
	}
	limits.Prune(time.Now().Add(12 * time.Second))
	if !closed(client) {
		t.Fatal("open although its header does not end")
	}
}

func TestNewConnectionsWithoutRequestAreIdle(t *testing.T) {
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Second, time.Second })
	server, client := accepted(t, limits)
	limits.Track(server, http.StateNew)
	limits.Prune(time.Now().Add(10 * time.Second))
	if !closed(client) {
		t.Fatal("a connection without a request stays open")
	}
}

func TestIdleConnectionsAreClosedButForUnreadRequests(t *testing.T) {
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	idle, idleClient := accepted(t, limits)
	asking, askingClient := accepted(t, limits)
	limits.Track(idle, http.StateIdle)
	limits.Track(asking, http.StateIdle)
	waitUnread(t, askingClient, "GET / HTTP/1.1\r\n")
	if left := limits.CloseIdle(); left != 1 {
		t.Fatalf("%d connections are left, want 1", left)
	}
	if !closed(idleClient) {
		t.Fatal("the idle connection is open")
	}
	if closed(askingClient) {
		t.Fatal("closed with a request that was not read")
	}
}

// net/http always reads from an idle connection; looking at one must not wait for
// that.
func TestIdleConnectionsArePrunedWhileTheyAreRead(t *testing.T) {
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Second, 0 })
	server, client := accepted(t, limits)
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
		t.Fatal("waits for the reader")
	}
	if !closed(client) {
		t.Fatal("open beyond the limit")
	}
}

// Seen on kervran-hq trouble-2 (LOST 2): a stopping node closed connections whose
// requests it had just read. Reading and closing must not overlap.
func TestRequestsThatAreBeingReadAreNotCutOff(t *testing.T) {
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	const connections = 200
	type outcome struct {
		received int
		closed   bool
	}
	outcomes := make(chan outcome, connections)
	for range connections {
		server, client := accepted(t, limits)
		go func() {
			received, _ := server.Read(make([]byte, 64))
			// The server sees its own end only after what it received.
			_, err := server.Write([]byte("HTTP/1.1 200 OK\r\n"))
			outcomes <- outcome{received, err != nil}
		}()
		go func() { _, _ = client.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }()
	}
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for range 50 {
			limits.CloseIdle()
		}
	}()
	for range connections {
		if seen := <-outcomes; seen.received > 0 && seen.closed {
			t.Fatal("a connection was closed after a request had been read from it")
		}
	}
	<-stop
}

// With requests that are read ahead, the next one may arrive while one is active; it must
// not be forgotten when that one ends.
func TestConnectionWithPartOfARequestReadWhileActiveIsKept(t *testing.T) {
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	server, client := accepted(t, limits)
	limits.Track(server, http.StateActive)
	waitUnread(t, client, "GET / HTTP/1.1\r\n")
	if _, err := server.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	limits.Track(server, http.StateIdle)
	if left := limits.CloseIdle(); left != 1 || closed(client) {
		t.Fatal("closed with part of a request read")
	}
	if limits.StopReading(server) {
		t.Fatal("reading was stopped within a request")
	}
	limits.Track(server, http.StateActive)
	limits.Reading(server)
	limits.Track(server, http.StateIdle)
	if left := limits.CloseIdle(); left != 1 || closed(client) {
		t.Fatal("closed with part of a request read along with the one before")
	}
}

func TestNothingIsReadOnceReadingWasStopped(t *testing.T) {
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	server, client := accepted(t, limits)
	limits.Track(server, http.StateActive)
	if !limits.StopReading(server) {
		t.Fatal("reading was not stopped")
	}
	waitUnread(t, client, "GET / HTTP/1.1\r\n\r\n")
	if count, err := server.Read(make([]byte, 64)); count > 0 || err == nil {
		t.Fatalf("%d bytes read, error %v", count, err)
	}
}
