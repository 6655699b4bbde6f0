package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleGrace is added to the operators' limit, so that a request which was sent
// just before it is not cut off.
const idleGrace = time.Second

// IdleLimit ends clients' connections that are idle for longer than a limit that
// may change at any time. Its Track method is a http.Server's ConnState.
type IdleLimit struct {
	limit func() time.Duration

	mutex sync.Mutex
	// since is when each idle connection became idle.
	since map[net.Conn]time.Time
}

// NewIdleLimit returns a limit; zero means that there is none.
func NewIdleLimit(limit func() time.Duration) *IdleLimit {
	return &IdleLimit{limit: limit, since: make(map[net.Conn]time.Time)}
}

// Track follows the state of a connection.
func (l *IdleLimit) Track(connection net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		l.since[connection] = time.Now()
		return
	}
	delete(l.since, connection)
}

// Prune ends the connections that have been idle for too long.
func (l *IdleLimit) Prune(now time.Time) {
	limit := l.limit()
	if limit <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection, since := range l.since {
		if now.Sub(since) > limit+idleGrace {
			// The client sees the end of the connection; there is nobody to tell.
			_ = connection.Close()
			delete(l.since, connection)
		}
	}
}
