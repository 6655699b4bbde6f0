// Package pipeline serves clients' HTTP/1.1 connections and runs the requests of one
// connection side by side where the handler allows it; answers go out in the order of
// the requests. net/http reads a request only after the answer before it, so one slow
// request delays all that were sent behind it, and a client that leaves meanwhile is not
// noticed.
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
	// leastAcceptPause and mostAcceptPause bound the pause after a connection could not
	// be accepted, for example because descriptors ran out.
	leastAcceptPause, mostAcceptPause = 5 * time.Millisecond, time.Second
	// shutdownPause is the pause between two looks for connections that have become idle.
	shutdownPause = 20 * time.Millisecond
)

// Connections is told what the connections of a server do. Its methods don't block.
type Connections interface {
	// Track notes the state of a connection. StateActive says that the head of a request
	// was read, StateIdle that all that were read are answered.
	Track(connection net.Conn, state http.ConnState)
	// Reading notes that bytes of a further request were read along with the last one.
	Reading(connection net.Conn)
	// StopReading makes a connection read nothing more, unless bytes of a further request
	// were read. It reports whether it did.
	StopReading(connection net.Conn) bool
	// CloseIdle ends the connections on which no request has arrived; it returns how many
	// are left.
	CloseIdle() int
}

// Server serves HTTP/1.1 connections. Its fields are not changed while it serves.
type Server struct {
	Handler http.Handler
	// SideBySide reports whether a request may run while others of its connection run. It
	// doesn't block.
	SideBySide func(*http.Request) bool
	// Connections is told of the connections.
	Connections Connections
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// Held counts what the node holds for its clients.
	Held   *Held
	Logger *zap.Logger

	// unbounded logs once that the kernel takes as much as it likes.
	unbounded sync.Once
	workers   workers

	// mutex guards what follows. A connection's mutex is never taken with it held.
	mutex     sync.Mutex
	open      map[*connection]struct{}
	listeners []net.Listener
	closed    bool
}

// Serve accepts connections until the server is shut down or the listener fails.
func (s *Server) Serve(listener net.Listener) error {
	if !s.listen(listener) {
		return errors.CombineErrors(http.ErrServerClosed, listener.Close())
	}
	pause := leastAcceptPause
	for {
		socket, err := listener.Accept()
		if err == nil {
			pause = leastAcceptPause
			s.begin(socket)
			continue
		}
		if s.isClosed() {
			return http.ErrServerClosed
		}
		if errors.Is(err, net.ErrClosed) || !temporary(err) {
			return errors.Wrap(err, "accept")
		}
		s.Logger.Warn("connection not accepted", zap.Error(err), zap.Duration("pause", pause))
		time.Sleep(pause)
		pause = min(2*pause, mostAcceptPause)
	}
}

// temporary reports whether accepting may work again: the process or the system has too
// many descriptors, or a client left before it was accepted.
func temporary(err error) bool {
	var failure interface{ Temporary() bool }
	return errors.As(err, &failure) && failure.Temporary()
}

func (s *Server) listen(listener net.Listener) bool {
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

func (s *Server) begin(socket net.Conn) {
	if err := sockets.BoundUnsent(socket, mostUnsent); err != nil {
		// It still works; the kernel takes more than it should.
		s.unbounded.Do(func() { s.Logger.Warn("unsent bytes are not bounded", zap.Error(err)) })
	}
	c := newConnection(s, socket)
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		// Nothing was read from it.
		_ = socket.Close()
		return
	}
	if s.open == nil {
		s.open = make(map[*connection]struct{})
	}
	s.open[c] = struct{}{}
	s.mutex.Unlock()
	s.Connections.Track(socket, http.StateNew)
	go c.run()
}

// forget notes that a connection has ended.
func (s *Server) forget(c *connection) {
	s.Connections.Track(c.socket, http.StateClosed)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, c)
}

// Shutdown accepts no more connections, ends those that are idle, and returns when all
// have ended or the context is done. The handler must make answers close their
// connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.closeListeners()
	for s.Connections.CloseIdle() > 0 || s.count() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for requests")
		case <-time.After(shutdownPause):
		}
	}
	return err
}

// Close ends all connections at once.
func (s *Server) Close() error {
	err := s.closeListeners()
	s.workers.close()
	s.mutex.Lock()
	open := make([]*connection, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	s.mutex.Unlock()
	for _, c := range open {
		// The reader of the connection sees that and ends its requests.
		_ = c.socket.Close()
		c.leave()
	}
	return err
}

func (s *Server) closeListeners() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	var failed error
	for _, listener := range s.listeners {
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			failed = errors.CombineErrors(failed, errors.Wrap(err, "close listener"))
		}
	}
	s.listeners = nil
	return failed
}

func (s *Server) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}
