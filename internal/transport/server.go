package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/sockets"
	"github.com/micahaven/micahaven/internal/wire"
)

// Handler processes envelopes from other nodes. Its methods run on the connection's
// read goroutine and must not block. The response to a call is sent through reply, at
// any later time and from any goroutine.
type Handler interface {
	HandleMessage(from *wire.Hello, envelope *wire.Envelope)
	HandleCall(from *wire.Hello, envelope *wire.Envelope, reply func(*wire.Envelope))
}

// Server accepts connections from other nodes and passes their envelopes to a Handler.
type Server struct {
	hello    *wire.Hello
	listener net.Listener
	handler  Handler
	logger   *zap.Logger

	mutex       sync.Mutex
	connections map[*connection]struct{}
	closed      bool
}

// NewServer returns a server on a listener. A nil TLS configuration means plain
// TCP.
func NewServer(hello *wire.Hello, listener net.Listener, config *tls.Config, handler Handler, logger *zap.Logger) *Server {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return &Server{
		hello:       hello,
		listener:    listener,
		handler:     handler,
		logger:      logger,
		connections: make(map[*connection]struct{}),
	}
}

// acceptRetryDelay is the delay before the next Accept after the process ran out of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until Close. It retries Accept when the process or the system
// is out of file descriptors, because that condition is temporary.
func (s *Server) Serve() error {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				s.logger.Warn("cannot accept peer connection, out of file descriptors", zap.Error(err))
				time.Sleep(acceptRetryDelay)
				continue
			}
			return errors.Wrap(err, "accept peer connection")
		}
		go s.serveConnection(socket)
	}
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	// Serve returns once the listener is closed. An error from Close changes nothing.
	_ = s.listener.Close()
	for conn := range s.connections {
		conn.close()
	}
}

func (s *Server) serveConnection(socket net.Conn) {
	conn := newConnection(socket)
	defer conn.close()
	if err := sockets.SetAckTimeout(socket, ackTimeout); err != nil {
		s.logger.Warn("cannot set acknowledgement timeout on peer connection", zap.Stringer("remote", socket.RemoteAddr()), zap.Error(err))
	}
	reader := bufio.NewReaderSize(socket, bufferBytes)
	from, err := s.handshake(socket, reader)
	if err != nil {
		badFrames.Inc()
		s.logger.Warn("peer connection rejected, handshake failed", zap.Stringer("remote", socket.RemoteAddr()), zap.Error(err))
		return
	}
	if !s.register(conn) {
		return
	}
	defer s.unregister(conn)
	go conn.writeLoop()
	streams := &streamTable{}
	err = conn.readLoop(reader, func(envelope *wire.Envelope) { s.receive(streams, conn, from, envelope) })
	if errors.Is(err, wire.ErrBadFrame) || errors.Is(err, wire.ErrFrameTooLarge) {
		badFrames.Inc()
		s.logger.Warn("peer connection closed, invalid frame received", zap.String("peer", from.GetNode()), zap.Error(err))
	} else if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.logger.Debug("peer connection failed", zap.String("peer", from.GetNode()), zap.Error(err))
	}
}

func (s *Server) receive(streams *streamTable, conn *connection, from *wire.Hello, envelope *wire.Envelope) {
	if envelope.GetStream() != wire.StreamPart_STREAM_PART_NONE {
		s.receiveStream(streams, conn, from, envelope)
		return
	}
	if envelope.GetCallId() == 0 {
		s.handler.HandleMessage(from, envelope)
		return
	}
	id := envelope.GetCallId()
	s.handler.HandleCall(from, envelope, func(response *wire.Envelope) {
		response.CallId = id
		response.Reply = true
		conn.enqueue(response)
	})
}

// handshake reads the peer's Hello, checks its protocol version and sends this node's Hello.
func (s *Server) handshake(socket net.Conn, reader *bufio.Reader) (*wire.Hello, error) {
	if err := socket.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return nil, err
	}
	first, err := wire.ReadFrame(reader)
	if err != nil {
		return nil, err
	}
	from := first.GetHello()
	if from == nil {
		return nil, errors.Wrap(wire.ErrBadFrame, "first frame is not a hello")
	}
	if from.GetProtocolVersion() != wire.ProtocolVersion {
		return nil, errors.Newf("unsupported protocol_version %d, want %d", from.GetProtocolVersion(), wire.ProtocolVersion)
	}
	hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: s.hello}}
	if err := wire.WriteFrame(socket, hello); err != nil {
		return nil, err
	}
	return from, socket.SetDeadline(time.Time{})
}

// register adds a connection to those that Close closes. It returns false if the server is
// already closed.
func (s *Server) register(conn *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.connections[conn] = struct{}{}
	return true
}

func (s *Server) unregister(conn *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, conn)
}

// Drain returns once the peers' hosts have received what had been sent to them on accepted
// connections, or when the context is done. Closing a connection earlier may discard it.
func (s *Server) Drain(ctx context.Context) {
	var draining sync.WaitGroup
	for _, conn := range s.openConnections() {
		draining.Go(func() { conn.awaitDelivery(ctx) })
	}
	draining.Wait()
}

func (s *Server) openConnections() []*connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Keys(s.connections))
}
