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

// idleGrace is added to the operators' limit, so that a request which was sent
// just before it is not cut off.
const idleGrace = time.Second

// errReadingStopped means that a connection reads nothing more by its own decision.
var errReadingStopped = errors.New("reading was stopped")

// ConnectionLimits ends clients' connections that are idle, or whose request
// header does not end, for longer than limits that may change at any time.
//
// Invariant: a connection is never closed while a request that has arrived on it
// waits to be read, or was read and is not served yet. It holds because reading
// from a waiting connection and noting that it was read are one step under its
// mutex, and so are looking for unread bytes and closing. Time-outs by the state of a
// connection alone do not keep it: on a busy machine some time may pass between the
// arrival of a request and the moment at which its connection is called active.
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
	// was, or when the connection began to wait if that was later.
	reading bool
	since   time.Time
	// stopped is true once nothing more is read, and closing once the connection is to be
	// closed.
	stopped, closing bool
}

// Read implements net.Conn.
func (c *limitedConnection) Read(into []byte) (int, error) {
	return sockets.Read(c.Conn, into, func(read func() (int, error)) (int, error) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		switch {
		case c.closing:
			return 0, net.ErrClosed
		case c.stopped:
			return 0, errReadingStopped
		}
		count, err := read()
		if count > 0 && !c.reading {
			c.reading, c.since = true, time.Now()
		}
		return count, err
	})
}

// CloseWrite tells the client that nothing more will come.
func (c *limitedConnection) CloseWrite() error {
	socket, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	return errors.Wrap(socket.CloseWrite(), "end writing")
}

// SyscallConn implements syscall.Conn.
func (c *limitedConnection) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no descriptor")
	}
	raw, err := socket.SyscallConn()
	return raw, errors.Wrap(err, "reach descriptor")
}

// SetLinger says for how long the kernel sends after the connection was closed.
func (c *limitedConnection) SetLinger(seconds int) error {
	socket, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	return errors.Wrap(socket.SetLinger(seconds), "bound sending")
}

// wait notes that the connection waits for a request from now on, if it has not read part
// of one already.
func (c *limitedConnection) wait() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active, c.since = false, time.Now()
}

// begin notes that a request was read, and nothing behind it.
func (c *limitedConnection) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active, c.reading = true, false
}

// Reading notes that bytes of a further request were read along with the last one.
func (l *ConnectionLimits) Reading(connection net.Conn) {
	limited, ok := connection.(*limitedConnection)
	if !ok {
		return
	}
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	limited.reading, limited.since = true, time.Now()
}

// StopReading makes a connection read nothing more, unless it has read part of a request
// that has not begun. It reports whether it did. What the client sends from then on stays
// unread, so that the client knows that it never ran.
func (l *ConnectionLimits) StopReading(connection net.Conn) bool {
	limited, ok := connection.(*limitedConnection)
	if !ok {
		return false
	}
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	if limited.reading {
		return false
	}
	limited.stopped = true
	return true
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

// Track follows the state of a connection. It may be a http.Server's ConnState.
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
