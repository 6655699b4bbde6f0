// Package pipeline serves HTTP/1.1 client connections with pipelining: the requests of one
// connection run concurrently where the handler allows it, and responses are written in the
// order of the requests. net/http reads a request only after the response to the previous one,
// so a slow request delays all requests sent after it (head-of-line blocking), and a client
// that leaves in the meantime is not detected.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/sockets"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the exponential backoff after a failed
	// accept, for example when file descriptors have run out.
	minAcceptBackoff, maxAcceptBackoff = 5 * time.Millisecond, time.Second
	// shutdownPollInterval is how often Shutdown checks for connections that have become idle.
	shutdownPollInterval = 20 * time.Millisecond
)

// Connections tracks the state of a server's connections. Its methods do not block.
type Connections interface {
	// Track records the state of a connection. StateActive means that the header of a request
	// was read, StateIdle that all requests read so far have been answered.
	Track(connection net.Conn, state http.ConnState)
	// MarkPartialRead records that data of the next request was read together with the previous
	// request.
	MarkPartialRead(connection net.Conn)
	// StopReading refuses further reads on a connection, unless data of the next request has
	// been read. It reports whether reads are now refused.
	StopReading(connection net.Conn) bool
	// CloseIdle closes the connections on which no request has arrived and returns the number
	// of connections that remain open.
	CloseIdle() int
}

// Server serves HTTP/1.1 connections. Its exported fields must not change while it serves.
type Server struct {
	Handler http.Handler
	// MayRunConcurrently reports whether a request may run concurrently with others on its
	// connection. It must not block.
	MayRunConcurrently func(*http.Request) bool
	// Connections tracks the connections' states.
	Connections Connections
	// HeaderBytes limits the size of a request header, including the request line.
	HeaderBytes int
	// MemoryBudget accounts for the memory held on behalf of clients.
	MemoryBudget *MemoryBudget
	// Bodies bounds the memory of request bodies, and of long headers, from when they begin to arrive.
	Bodies *BodyBudget
	Logger *zap.Logger

	// warnUnsentOnce limits the warning that unsent data could not be bounded to once per
	// server.
	warnUnsentOnce sync.Once
	workerPool     workerPool

	// arrivalsMutex guards arrivals, the bodies and long headers that are being read. No other mutex is
	// acquired while it is held.
	arrivalsMutex sync.Mutex
	arrivals      map[*arrival]struct{}

	// mutex guards the fields below. A connection's mutex is never acquired while it is held.
	mutex     sync.Mutex
	open      map[*connection]struct{}
	listeners []net.Listener
	closed    bool
}

// Serve accepts connections until the server is shut down or the listener fails.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		return errors.CombineErrors(http.ErrServerClosed, listener.Close())
	}
	backoff := minAcceptBackoff
	for {
		socket, err := listener.Accept()
		if err == nil {
			backoff = minAcceptBackoff
			s.startConnection(socket)
			continue
		}
		if s.isClosed() {
			return http.ErrServerClosed
		}
		if errors.Is(err, net.ErrClosed) || !temporary(err) {
			return errors.Wrap(err, "accept")
		}
		s.Logger.Warn("connection not accepted", zap.Error(err), zap.Duration("pause", backoff))
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// temporary reports whether accepting may succeed later: the process or the system has run out
// of file descriptors, or a client left before its connection was accepted.
func temporary(err error) bool {
	var temporaryErr interface{ Temporary() bool }
	return errors.As(err, &temporaryErr) && temporaryErr.Temporary()
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
	return !s.closed
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

func (s *Server) startConnection(socket net.Conn) {
	if err := sockets.LimitUnsent(socket, maxUnsent); err != nil {
		// The connection still works, but the kernel may buffer more of its responses than
		// intended.
		s.warnUnsentOnce.Do(func() { s.Logger.Warn("unsent data in the kernel is not bounded", zap.Error(err)) })
	}
	c := newConnection(s, socket)
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		// No request has been read from the connection.
		_ = socket.Close()
		return
	}
	if s.open == nil {
		s.open = make(map[*connection]struct{})
	}
	s.open[c] = struct{}{}
	s.mutex.Unlock()
	s.Connections.Track(socket, http.StateNew)
	go c.serve()
}

// remove records that a connection has been closed.
func (s *Server) remove(c *connection) {
	s.Connections.Track(c.socket, http.StateClosed)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, c)
}

// CloseIdle closes the connections that are idle, reads no further request on the others, and
// returns the number of connections that remain open. A request of which part has been read is
// still read and answered.
func (s *Server) CloseIdle() int {
	open := s.openConnections()
	for _, c := range open {
		c.stopReading()
	}
	return max(s.Connections.CloseIdle(), len(open))
}

// Shutdown stops accepting connections, closes those that are idle, and returns when all are
// closed or the context is done. The handler must set "Connection: close" on its responses.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.closeListeners()
	for s.CloseIdle() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for requests")
		case <-time.After(shutdownPollInterval):
		}
	}
	return err
}

// Close closes all connections immediately.
func (s *Server) Close() error {
	err := s.closeListeners()
	s.workerPool.close()
	for _, c := range s.openConnections() {
		// The connection's reader fails and cancels its requests.
		_ = c.socket.Close()
		c.handleDisconnect()
	}
	return err
}

func (s *Server) closeListeners() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	var closeErr error
	for _, listener := range s.listeners {
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			closeErr = errors.CombineErrors(closeErr, errors.Wrap(err, "close listener"))
		}
	}
	s.listeners = nil
	return closeErr
}

// openConnections returns a snapshot of the open connections.
func (s *Server) openConnections() []*connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := make([]*connection, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	return open
}
