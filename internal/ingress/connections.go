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
// was not read. net/http's own time-outs do not keep that: on a busy machine a
// request may wait in the socket until after the time-out.
type ConnectionLimits struct {
	limits func() (idle, header time.Duration)

	mutex sync.Mutex
	// waiting holds the connections that serve no request.
	waiting map[net.Conn]waitingConnection
}

// waitingConnection is a connection that serves no request.
type waitingConnection struct {
	since time.Time
	// reading is true once the first byte of a request was read; since is then
	// when that was.
	reading bool
}

// NewConnectionLimits returns limits; a limit of zero means that there is none.
func NewConnectionLimits(limits func() (idle, header time.Duration)) *ConnectionLimits {
	return &ConnectionLimits{limits: limits, waiting: make(map[net.Conn]waitingConnection)}
}

// Listener returns a listener whose connections tell when a request begins.
func (l *ConnectionLimits) Listener(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, limits: l}
}

type limitedListener struct {
	net.Listener
	limits *ConnectionLimits
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		// The server that accepts needs the error as it is.
		return nil, err
	}
	return &limitedConnection{Conn: socket, limits: l.limits}, nil
}

type limitedConnection struct {
	net.Conn
	limits *ConnectionLimits
}

// Read implements net.Conn.
func (c *limitedConnection) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count > 0 {
		c.limits.received(c)
	}
	return count, err
}

// received notes that a byte of a connection's next request was read.
func (l *ConnectionLimits) received(connection net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known, waits := l.waiting[connection]; waits && !known.reading {
		l.waiting[connection] = waitingConnection{since: time.Now(), reading: true}
	}
}

// Track follows the state of a connection. It is a http.Server's ConnState.
func (l *ConnectionLimits) Track(connection net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		l.waiting[connection] = waitingConnection{since: time.Now()}
		return
	}
	delete(l.waiting, connection)
}

// Prune ends the connections that have waited for too long.
func (l *ConnectionLimits) Prune(now time.Time) {
	idle, header := l.limits()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection, known := range l.waiting {
		limit := idle
		if known.reading {
			limit = header
		}
		if limit <= 0 || now.Sub(known.since) <= limit+idleGrace || !silent(connection) {
			continue
		}
		// The client sees the end of the connection; there is nobody to tell.
		_ = connection.Close()
		delete(l.waiting, connection)
	}
}

// CloseIdle ends the connections that wait for a request, but for those with one
// that was not read yet. It returns how many of those are left.
func (l *ConnectionLimits) CloseIdle() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection, known := range l.waiting {
		if known.reading || !silent(connection) {
			continue
		}
		// The client sees the end of the connection; there is nobody to tell.
		_ = connection.Close()
		delete(l.waiting, connection)
	}
	return len(l.waiting)
}

// silent reports whether nothing that a client sent waits to be read.
func silent(connection net.Conn) bool {
	if limited, ok := connection.(*limitedConnection); ok {
		return sockets.Quiet(limited.Conn)
	}
	return sockets.Quiet(connection)
}
