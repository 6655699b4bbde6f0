package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/micahaven/micahaven/internal/sockets"
)

// idleGrace is added to the operators' limit, so that a request which was sent
// just before it is not cut off.
const idleGrace = time.Second

// ConnectionLimits ends clients' connections that are idle, or whose request
// header does not end, for longer than limits that may change at any time.
//
// Invariant: a connection is never closed while a request that has arrived on it
// waits to be read, or was read and is not served yet. It holds because reading
// from a waiting connection and noting that it was read are one step under its
// mutex, and so are looking for unread bytes and closing. net/http's own time-outs
// and its Shutdown do not keep it: on a busy machine some time may pass between
// the arrival of a request and the moment at which its connection is called active.
type ConnectionLimits struct {
	limits func() (idle, header time.Duration)

	mutex sync.Mutex
	open  map[*limitedConnection]struct{}
}

// NewConnectionLimits returns limits; a limit of zero means that there is none.
func NewConnectionLimits(limits func() (idle, header time.Duration)) *ConnectionLimits {
	return &ConnectionLimits{limits: limits, open: make(map[*limitedConnection]struct{})}
}

// Listener returns a listener whose connections the limits hold for.
func (l *ConnectionLimits) Listener(inner net.Listener) net.Listener {
	return &limitedListener{inner}
}

type limitedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		// The server that accepts needs the error as it is.
		return nil, err
	}
	return &limitedConnection{Conn: socket, since: time.Now()}, nil
}

// limitedConnection is a client's connection. Until a server says that a request
// on it is active, it waits for one.
type limitedConnection struct {
	net.Conn

	// mutex guards what follows. Nothing that blocks is called with it held.
	mutex  sync.Mutex
	active bool
	// reading is true once a byte of the next request was read; since is when that
	// was, or else when the connection began to wait.
	reading bool
	since   time.Time
	// closing is true once the connection is to be closed: nothing is read from it then.
	closing bool
}

// Read implements net.Conn.
func (c *limitedConnection) Read(into []byte) (int, error) {
	return sockets.Read(c.Conn, into, func(read func() (int, error)) (int, error) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if c.closing {
			return 0, net.ErrClosed
		}
		count, err := read()
		if count > 0 && !c.active && !c.reading {
			c.reading, c.since = true, time.Now()
		}
		return count, err
	})
}

// wait notes that the connection waits for a request from now on.
func (c *limitedConnection) wait() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active, c.reading, c.since = false, false, time.Now()
}

func (c *limitedConnection) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active = true
}

// closeIf closes a connection that waits if due agrees and no request has arrived.
// It reports whether it did. The end of a connection waits for who reads from it, who
// waits for the mutex, so that it is closed without the mutex.
func (c *limitedConnection) closeIf(due func(since time.Time, reading bool) bool) bool {
	if !c.decideClosing(due) {
		return false
	}
	// The client sees the end of the connection; there is nobody to tell.
	_ = c.Conn.Close()
	return true
}

// decideClosing reports whether the connection is to be closed; nothing is read from it
// any more then.
func (c *limitedConnection) decideClosing(due func(since time.Time, reading bool) bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.active || !due(c.since, c.reading) || !sockets.Quiet(c.Conn) {
		return false
	}
	c.closing = true
	return true
}

// Track follows the state of a connection. It is a http.Server's ConnState.
func (l *ConnectionLimits) Track(connection net.Conn, state http.ConnState) {
	limited, ok := connection.(*limitedConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		l.mutex.Lock()
		l.open[limited] = struct{}{}
		l.mutex.Unlock()
	case http.StateIdle:
		limited.wait()
	case http.StateActive:
		limited.begin()
	case http.StateClosed, http.StateHijacked:
		l.mutex.Lock()
		delete(l.open, limited)
		l.mutex.Unlock()
	}
}

// Prune ends the connections that have waited for too long.
func (l *ConnectionLimits) Prune(now time.Time) {
	idle, header := l.limits()
	for _, connection := range l.connections() {
		connection.closeIf(func(since time.Time, reading bool) bool {
			limit := idle
			if reading {
				limit = header
			}
			return limit > 0 && now.Sub(since) > limit+idleGrace
		})
	}
}

// CloseIdle ends the connections that wait for a request. It returns how many are
// left.
func (l *ConnectionLimits) CloseIdle() int {
	left := 0
	for _, connection := range l.connections() {
		if !connection.closeIf(func(_ time.Time, reading bool) bool { return !reading }) {
			left++
		}
	}
	return left
}

// connections returns the open connections.
func (l *ConnectionLimits) connections() []*limitedConnection {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open := make([]*limitedConnection, 0, len(l.open))
	for connection := range l.open {
		open = append(open, connection)
	}
	return open
}
