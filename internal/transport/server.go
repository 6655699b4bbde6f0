package transport

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/sockets"
	"github.com/micahaven/micahaven/internal/wire"
)

// Handler receives what other nodes send. Its methods run on the connection's
// reading goroutine and must not block; a call is answered through reply, at
// any later time and from any goroutine.
type Handler interface {
	HandleMessage(from *wire.Hello, envelope *wire.Envelope)
	HandleCall(from *wire.Hello, envelope *wire.Envelope, reply func(*wire.Envelope))
}

// Server accepts connections of other nodes.
type Server struct {
	hello    *wire.Hello
	listener net.Listener
	handler  Handler
	logger   *zap.Logger

	mutex       sync.Mutex
	connections map[*connection]struct{}
	closed      bool
}

// NewServer returns a server on a listener. A nil tls configuration means plain
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

// acceptPause is how long the server waits while its process has no file descriptor left.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until Close. A shortage of file descriptors passes, and
// does not end it.
func (s *Server) Serve() error {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				s.logger.Warn("peer connection not accepted", zap.Error(err))
				time.Sleep(acceptPause)
				continue
			}
			return errors.Wrap(err, "accept peer connection")
		}
		go s.serveConnection(socket)
	}
}

// Close stops accepting and ends all connections.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	// Serve sees the closed listener; nothing else can fail here.
	_ = s.listener.Close()
	for live := range s.connections {
		live.close()
	}
}

func (s *Server) serveConnection(socket net.Conn) {
	live := newConnection(socket)
	defer live.close()
	if err := sockets.SetAckTimeout(socket, silenceLimit); err != nil {
		s.logger.Warn("silence of a peer is not bounded", zap.Stringer("remote", socket.RemoteAddr()), zap.Error(err))
	}
	reader := bufio.NewReaderSize(socket, bufferBytes)
	from, err := s.introduce(socket, reader)
	if err != nil {
		badFrames.Inc()
		s.logger.Warn("peer refused", zap.Stringer("remote", socket.RemoteAddr()), zap.Error(err))
		return
	}
	if !s.register(live) {
		return
	}
	defer s.unregister(live)
	go live.writeLoop()
	opened := &streams{}
	err = live.readLoop(reader, func(envelope *wire.Envelope) { s.receive(opened, live, from, envelope) })
	if errors.Is(err, wire.ErrBadFrame) || errors.Is(err, wire.ErrFrameTooLarge) {
		badFrames.Inc()
		s.logger.Warn("peer broke the protocol", zap.String("peer", from.GetNode()), zap.Error(err))
	} else if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.logger.Debug("peer connection ended", zap.String("peer", from.GetNode()), zap.Error(err))
	}
}

func (s *Server) receive(opened *streams, live *connection, from *wire.Hello, envelope *wire.Envelope) {
	if envelope.GetStream() != wire.StreamPart_STREAM_PART_NONE {
		s.receiveStream(opened, live, from, envelope)
		return
	}
	if envelope.GetCallId() == 0 {
		s.handler.HandleMessage(from, envelope)
		return
	}
	id := envelope.GetCallId()
	s.handler.HandleCall(from, envelope, func(answer *wire.Envelope) {
		answer.CallId = id
		answer.Reply = true
		live.enqueue(answer)
	})
}

func (s *Server) introduce(socket net.Conn, reader *bufio.Reader) (*wire.Hello, error) {
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
		return nil, errors.Newf("field protocol_version: %d, allowed: %d", from.GetProtocolVersion(), wire.ProtocolVersion)
	}
	hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: s.hello}}
	if err := wire.WriteFrame(socket, hello); err != nil {
		return nil, err
	}
	return from, socket.SetDeadline(time.Time{})
}

func (s *Server) register(live *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.connections[live] = struct{}{}
	return true
}

func (s *Server) unregister(live *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, live)
}
