package ingress

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/sockets"
)

// timeoutGrace is added to the configured timeouts, so that a request sent just before a
// timeout expires still arrives in time.
const timeoutGrace = time.Second

// errReadStopped is returned by reads after StopReading.
var errReadStopped = errors.New("reading from the connection was stopped")

// ConnectionTracker closes client connections that exceed the idle timeout or the timeout for
// receiving a request header. The timeouts may change at any time.
//
// Invariant: a connection is never closed while a request that has arrived on it is unread, or
// has been read but not yet served. To keep it, reading from a waiting connection and recording
// that data was read are one step under the connection's mutex, and so are checking for unread
// data and closing. Timeouts based on the connection state alone do not keep it: on a loaded
// machine, some time may pass between the arrival of a request and the moment at which its
// connection becomes active.
type ConnectionTracker struct {
	timeouts func() (idle, header time.Duration)

	mutex sync.Mutex
	open  map[*trackedConnection]struct{}
}

// NewConnectionTracker returns a tracker that calls timeouts on every check; zero disables a
// timeout.
func NewConnectionTracker(timeouts func() (idle, header time.Duration)) *ConnectionTracker {
	return &ConnectionTracker{timeouts: timeouts, open: make(map[*trackedConnection]struct{})}
}

// Listener wraps a listener so that the tracker covers the connections it accepts.
func (l *ConnectionTracker) Listener(inner net.Listener) net.Listener {
	return &trackedListener{inner}
}

type trackedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		// The accept loop inspects the error, so it is not wrapped.
		return nil, err
	}
	return &trackedConnection{Conn: socket, stateSince: time.Now()}, nil
}

// trackedConnection is a client connection. It counts as waiting for a request until the server
// reports it as active.
type trackedConnection struct {
	net.Conn

	// mutex guards the fields below. It is not held during blocking calls.
	mutex  sync.Mutex
	active bool
	// partialRead is true once a byte of the next request has been read. stateSince is when
	// that happened, or when the connection became idle if that was later.
	partialRead bool
	stateSince  time.Time
	// readStopped is true once further reads are refused, and markedForClose once the
	// connection is about to be closed.
	readStopped, markedForClose bool
}

// Read implements net.Conn.
func (c *trackedConnection) Read(buffer []byte) (int, error) {
	return sockets.Read(c.Conn, buffer, func(read func() (int, error)) (int, error) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		switch {
		case c.markedForClose:
			return 0, net.ErrClosed
		case c.readStopped:
			return 0, errReadStopped
		}
		count, err := read()
		if count > 0 && !c.partialRead {
			c.partialRead, c.stateSince = true, time.Now()
		}
		return count, err
	})
}

// CloseWrite closes the writing side of the connection.
func (c *trackedConnection) CloseWrite() error {
	socket, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	return errors.Wrap(socket.CloseWrite(), "close writing side")
}

// SyscallConn implements syscall.Conn.
func (c *trackedConnection) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no file descriptor")
	}
	raw, err := socket.SyscallConn()
	return raw, errors.Wrap(err, "access file descriptor")
}

// SetLinger sets how long the kernel keeps sending buffered data after the connection is
// closed.
func (c *trackedConnection) SetLinger(seconds int) error {
	socket, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	return errors.Wrap(socket.SetLinger(seconds), "set linger time")
}

// markIdle records that the connection waits for a request from now on. It keeps partialRead,
// because part of the next request may have been read already.
func (c *trackedConnection) markIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active, c.stateSince = false, time.Now()
}

// markActive records that a request was read, and nothing after it.
func (c *trackedConnection) markActive() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active, c.partialRead = true, false
}

// MarkPartialRead records that data of the next request was read together with the previous
// request.
func (l *ConnectionTracker) MarkPartialRead(connection net.Conn) {
	tracked, ok := connection.(*trackedConnection)
	if !ok {
		return
	}
	tracked.mutex.Lock()
	defer tracked.mutex.Unlock()
	tracked.partialRead, tracked.stateSince = true, time.Now()
}

// StopReading refuses further reads on a connection, unless part of the next request has
// already been read. It reports whether reads are now refused. Data that the client sends
// afterwards stays unread, which indicates to the client that those requests were not executed.
func (l *ConnectionTracker) StopReading(connection net.Conn) bool {
	tracked, ok := connection.(*trackedConnection)
	if !ok {
		return false
	}
	tracked.mutex.Lock()
	defer tracked.mutex.Unlock()
	if tracked.partialRead {
		return false
	}
	tracked.readStopped = true
	return true
}

// closeIfExpired closes a waiting connection if expired returns true and no request has
// arrived, and reports whether it is closed. Close waits for a pending Read, which may wait for the
// mutex, so the mutex is not held during Close.
func (c *trackedConnection) closeIfExpired(expired func(stateSince time.Time, partialRead bool) bool) bool {
	if !c.markForClose(expired) {
		return false
	}
	if count, err := sockets.Unacknowledged(c.Conn); err == nil && count > 0 {
		// The failing read makes the server close the connection once the client has received its
		// responses. It can only fail if the connection is closed already.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return false
	}
	// A close error has no consequence: the connection is no longer used.
	_ = c.Conn.Close()
	return true
}

// markForClose reports whether the connection is to be closed; if so, it refuses all further
// reads.
func (c *trackedConnection) markForClose(expired func(stateSince time.Time, partialRead bool) bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.markedForClose || c.active || !expired(c.stateSince, c.partialRead) || !sockets.IsIdle(c.Conn) {
		return false
	}
	c.markedForClose = true
	return true
}

// Track updates the state of a connection. It can serve as http.Server's ConnState callback.
func (l *ConnectionTracker) Track(connection net.Conn, state http.ConnState) {
	tracked, ok := connection.(*trackedConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		l.mutex.Lock()
		l.open[tracked] = struct{}{}
		l.mutex.Unlock()
	case http.StateIdle:
		tracked.markIdle()
	case http.StateActive:
		tracked.markActive()
	case http.StateClosed, http.StateHijacked:
		l.mutex.Lock()
		delete(l.open, tracked)
		l.mutex.Unlock()
	}
}

// Prune closes the connections whose timeout has expired.
func (l *ConnectionTracker) Prune(now time.Time) {
	idle, header := l.timeouts()
	for _, connection := range l.openConnections() {
		connection.closeIfExpired(func(since time.Time, partialRead bool) bool {
			limit := idle
			if partialRead {
				limit = header
			}
			return limit > 0 && now.Sub(since) > limit+timeoutGrace
		})
	}
}

// CloseIdle closes the connections that wait for a request, and returns the number of
// connections that remain open.
func (l *ConnectionTracker) CloseIdle() int {
	remaining := 0
	for _, connection := range l.openConnections() {
		if !connection.closeIfExpired(func(_ time.Time, partialRead bool) bool { return !partialRead }) {
			remaining++
		}
	}
	return remaining
}

// openConnections returns a snapshot of the open connections.
func (l *ConnectionTracker) openConnections() []*trackedConnection {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open := make([]*trackedConnection, 0, len(l.open))
	for connection := range l.open {
		open = append(open, connection)
	}
	return open
}
