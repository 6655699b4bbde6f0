package pipeline

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/micahaven/micahaven/internal/sentinel"
)

// Errors of ReadPrefix. The request has not run.
var (
	// ErrBodyRefused means that the server's budget for bodies is used up.
	ErrBodyRefused error = sentinel.Error("no memory for the request body")
	// ErrBodyTimeout means that the client has sent nothing of the body for too long.
	ErrBodyTimeout error = sentinel.Error("the request body does not arrive")
)

const (
	// unreservedBody is the memory that each body may take although the budget is used up, so that
	// ordinary requests are read at any time.
	unreservedBody = 16 << 10
	// initialChunkedBuffer is the first buffer of a body of unknown length.
	initialChunkedBuffer = 4 << 10
	// bufferGrowth is the factor by which a full buffer grows.
	bufferGrowth = 4
	// bodyStallTime is the time without data after which a body is stalled, and the age from which its
	// mean rate counts. A body below minBodyRate, in bytes per second, is stalled as well.
	bodyStallTime = time.Second
	minBodyRate   = 16 << 10
	// roomPause and roomPauses bound the wait for the memory of stalled bodies.
	roomPause  = 20 * time.Millisecond
	roomPauses = 5
)

// bodyReader reads the beginning of a request body into memory. Only received, lastAt and interruption
// are used by other goroutines.
type bodyReader struct {
	exchange *exchange
	// reserved is the part of the budget that the reader holds.
	reserved  int
	startedAt time.Time
	received  atomic.Int64
	// lastAt is the Unix time, in nanoseconds, at which data was received last.
	lastAt atomic.Int64
	// interruption is why the server gave up the body; nil if it did not.
	interruption atomic.Pointer[error]
}

// readAhead reads a body to its end, but not more than limit bytes. length is the length of the body, or
// unknownLength. The memory stays charged until the exchange ends.
func (e *exchange) readAhead(source io.Reader, length int64, limit int) ([]byte, error) {
	r := &bodyReader{exchange: e, startedAt: time.Now()}
	r.lastAt.Store(r.startedAt.UnixNano())
	server := e.connection.server
	server.addBody(r)
	content, err := r.read(source, length, limit)
	server.removeBody(r)
	if cause := r.interruption.Load(); cause != nil {
		if err != nil {
			err = *cause
		} else {
			// The body arrived just then, and reading goes on. It fails only if the socket is closed.
			_ = e.connection.socket.SetReadDeadline(time.Time{})
		}
	}
	e.connection.keepReserved(e, r.reserved)
	return content, err
}

func (r *bodyReader) read(source io.Reader, length int64, limit int) ([]byte, error) {
	first := min(limit, initialChunkedBuffer)
	if length >= 0 {
		first = min(limit, unreservedBody)
	}
	r.reserved = first
	r.exchange.connection.server.Bodies.reserve(first)
	content := make([]byte, 0, first)
	for len(content) < limit {
		if len(content) == cap(content) {
			grown, err := r.grow(content, limit)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		count, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if count > 0 {
			r.received.Add(int64(count))
			r.lastAt.Store(time.Now().UnixNano())
		}
		switch {
		case err == io.EOF && length >= 0 && int64(len(content)) < length:
			return content, io.ErrUnexpectedEOF
		case err == io.EOF:
			return content, nil
		case err != nil:
			return content, err
		}
	}
	return content, nil
}

// grow returns a larger buffer with the same content.
func (r *bodyReader) grow(content []byte, limit int) ([]byte, error) {
	server := r.exchange.connection.server
	size := min(limit, bufferGrowth*cap(content))
	if size <= unreservedBody {
		server.Bodies.reserve(size)
	} else if !server.reserveBody(size) {
		return nil, ErrBodyRefused
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	server.Bodies.release(r.reserved)
	r.reserved = size
	return grown, nil
}

// stalled reports whether the body arrives too slowly to keep memory that others need.
func (r *bodyReader) stalled(now time.Time) bool {
	age := now.Sub(r.startedAt)
	if age < bodyStallTime {
		return false
	}
	return r.silentFor(now) >= bodyStallTime || float64(r.received.Load()) < minBodyRate*age.Seconds()
}

// silentFor returns the time since data was received last.
func (r *bodyReader) silentFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, r.lastAt.Load()))
}

// keepReserved records the memory of a body that was read, which is released when the exchange ends.
func (c *connection) keepReserved(e *exchange, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.dropped {
		c.server.Bodies.release(count)
		return
	}
	e.reservedBody += count
}

// reserveBody charges bytes to the budget for bodies. If it is used up, stalled bodies are given up. It
// reports whether the bytes were charged.
func (s *Server) reserveBody(count int) bool {
	if s.Bodies.tryReserve(count) {
		return true
	}
	now := time.Now()
	if s.interruptBodies(ErrBodyRefused, func(r *bodyReader) bool { return r.stalled(now) }) == 0 {
		return false
	}
	for range roomPauses {
		time.Sleep(roomPause)
		if s.Bodies.tryReserve(count) {
			return true
		}
	}
	return false
}

// InterruptIdleBodies gives up the bodies of which nothing has arrived for the given time.
func (s *Server) InterruptIdleBodies(now time.Time, idle time.Duration) {
	s.interruptBodies(ErrBodyTimeout, func(r *bodyReader) bool { return r.silentFor(now) > idle })
}

// interruptBodies gives up the bodies that match, and returns how many.
func (s *Server) interruptBodies(cause error, matches func(*bodyReader) bool) int {
	s.bodiesMutex.Lock()
	defer s.bodiesMutex.Unlock()
	count := 0
	for r := range s.bodies {
		if !matches(r) || !r.interruption.CompareAndSwap(nil, &cause) {
			continue
		}
		count++
		// The reader fails. This fails only if the socket is closed, in which case it does as well.
		_ = r.exchange.connection.socket.SetReadDeadline(time.Unix(1, 0))
	}
	return count
}

func (s *Server) addBody(r *bodyReader) {
	s.bodiesMutex.Lock()
	defer s.bodiesMutex.Unlock()
	if s.bodies == nil {
		s.bodies = make(map[*bodyReader]struct{})
	}
	s.bodies[r] = struct{}{}
}

func (s *Server) removeBody(r *bodyReader) {
	s.bodiesMutex.Lock()
	defer s.bodiesMutex.Unlock()
	delete(s.bodies, r)
}
