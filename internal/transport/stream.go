package transport

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/wire"
)

// ErrStreamEnded means that the peer ended the stream, or that the stream was closed because
// its receive buffer overflowed.
var ErrStreamEnded = errors.New("stream ended")

const (
	// streamBufferSize is the capacity, in envelopes, of a stream's receive buffer. Senders
	// must limit what they send ahead to less than this. A stream whose buffer overflows is
	// closed, so that it never blocks the other streams of its connection.
	streamBufferSize = 64
	// maxStreams is the maximum number of streams in one streamTable.
	maxStreams = 4096
)

// Stream is a bidirectional sequence of envelopes, multiplexed with other streams and calls
// over the connection between two nodes. It is safe for concurrent use, except that only one
// goroutine may call Receive.
type Stream struct {
	id    uint64
	reply bool
	conn  *connection
	// unregister removes the stream from its streamTable.
	unregister func()
	incoming   chan *wire.Envelope
	ended      chan struct{}
	endOnce    sync.Once
	closeOnce  sync.Once
}

func newStream(id uint64, reply bool, conn *connection, unregister func()) *Stream {
	return &Stream{
		id: id, reply: reply, conn: conn, unregister: unregister,
		incoming: make(chan *wire.Envelope, streamBufferSize), ended: make(chan struct{}),
	}
}

// Send queues an envelope. It never blocks; false means that the envelope certainly was
// not sent.
func (s *Stream) Send(envelope *wire.Envelope) bool {
	return s.send(envelope, wire.StreamPart_STREAM_PART_DATA)
}

func (s *Stream) send(envelope *wire.Envelope, part wire.StreamPart) bool {
	return s.conn.enqueue(s.setHeader(envelope, part))
}

// SendWhole queues an envelope and blocks while the send queue is full, for messages that
// consist of several envelopes, all of which are needed. False means that the envelope
// certainly was not sent, because the context ended or the connection was closed.
func (s *Stream) SendWhole(ctx context.Context, envelope *wire.Envelope) bool {
	select {
	case s.conn.outgoing <- s.setHeader(envelope, wire.StreamPart_STREAM_PART_DATA):
		return true
	case <-s.conn.closed:
	case <-ctx.Done():
	}
	return false
}

func (s *Stream) setHeader(envelope *wire.Envelope, part wire.StreamPart) *wire.Envelope {
	envelope.CallId, envelope.Reply, envelope.Stream = s.id, s.reply, part
	return envelope
}

// Receive returns the next envelope. Its error matches ErrStreamEnded, ErrConnectionLost
// or the context's.
func (s *Stream) Receive(ctx context.Context) (*wire.Envelope, error) {
	var err error
	select {
	case envelope := <-s.incoming:
		return envelope, nil
	case <-s.ended:
		err = ErrStreamEnded
	case <-s.conn.closed:
		err = ErrConnectionLost
	case <-ctx.Done():
		err = ctx.Err()
	}
	// An envelope that arrived before the end is still returned: after a pause of the process,
	// the envelope and the end are ready at the same time, and select chooses at random.
	select {
	case envelope := <-s.incoming:
		return envelope, nil
	default:
		return nil, err
	}
}

// SendLast queues the last envelope, which also ends the stream. It never blocks. The
// envelope waits for room if the send queue is full and is dropped only if the connection is
// lost.
func (s *Stream) SendLast(envelope *wire.Envelope) {
	s.closeOnce.Do(func() {
		s.unregister()
		s.conn.enqueueOrWait(s.setHeader(envelope, wire.StreamPart_STREAM_PART_END))
	})
}

// Close ends the stream and notifies the peer, unless the stream has already ended.
func (s *Stream) Close() {
	select {
	case <-s.ended:
		s.closeOnce.Do(s.unregister)
	default:
		s.SendLast(&wire.Envelope{})
	}
}

// deliver puts a received envelope into the receive buffer. It is called by the connection's
// read goroutine and never blocks.
func (s *Stream) deliver(envelope *wire.Envelope) {
	last := envelope.GetStream() == wire.StreamPart_STREAM_PART_END
	if last && envelope.GetBody() == nil {
		s.end()
		return
	}
	select {
	case s.incoming <- envelope:
	default:
		// Close must come before end, because it does not notify the peer once the stream has
		// ended.
		s.Close()
		last = true
	}
	if last {
		s.end()
	}
}

func (s *Stream) end() { s.endOnce.Do(func() { close(s.ended) }) }

// streamTable holds the open streams of one accepted connection or of one peer, by ID.
type streamTable struct {
	mutex sync.Mutex
	byID  map[uint64]*Stream
}

// add creates and registers a stream. It returns nil if maxStreams are open.
func (s *streamTable) add(id uint64, reply bool, conn *connection) *Stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.byID) >= maxStreams {
		return nil
	}
	if s.byID == nil {
		s.byID = make(map[uint64]*Stream)
	}
	stream := newStream(id, reply, conn, func() { s.remove(id) })
	s.byID[id] = stream
	return stream
}

func (s *streamTable) remove(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.byID, id)
}

func (s *streamTable) find(id uint64) *Stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id]
}

// Open opens a stream to a node by sending its first envelope. The error matches
// ErrNotSent if the envelope certainly did not leave this node.
func (c *Client) Open(ctx context.Context, address string, first *wire.Envelope) (*Stream, error) {
	p := c.peer(address)
	conn, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stream := p.streamTable.add(p.nextCall.Add(1), false, conn)
	if stream == nil {
		return nil, errors.Wrapf(ErrNotSent, "too many open streams to %s", address)
	}
	if !stream.send(first, wire.StreamPart_STREAM_PART_OPEN) {
		stream.unregister()
		return nil, errors.Wrapf(ErrNotSent, "send queue of %s is full or closed", address)
	}
	return stream, nil
}

// StreamHandler is a Handler that accepts streams. HandleStream runs on its own goroutine,
// gets the first envelope from stream.Receive, and must close the stream.
type StreamHandler interface {
	HandleStream(from *wire.Hello, stream *Stream)
}

// receiveStream delivers an envelope to the stream that the peer opened, or accepts a new
// stream if the envelope opens one. If streams are not supported or too many are open, it
// sends the end of the stream in response.
func (s *Server) receiveStream(streams *streamTable, conn *connection, from *wire.Hello, envelope *wire.Envelope) {
	id := envelope.GetCallId()
	if stream := streams.find(id); stream != nil {
		stream.deliver(envelope)
		return
	}
	if envelope.GetStream() != wire.StreamPart_STREAM_PART_OPEN {
		return
	}
	var accepted *Stream
	handler, supported := s.handler.(StreamHandler)
	if supported {
		accepted = streams.add(id, true, conn)
	}
	if accepted == nil {
		conn.enqueue(&wire.Envelope{CallId: id, Reply: true, Stream: wire.StreamPart_STREAM_PART_END})
		return
	}
	accepted.deliver(envelope)
	go handler.HandleStream(from, accepted)
}
