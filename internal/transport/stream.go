package transport

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/wire"
)

// ErrStreamEnded means that the peer ended the stream, or that it was given up because
// its receiver took too little from it.
var ErrStreamEnded = errors.New("stream ended")

const (
	// streamBuffer is how many envelopes of a stream wait for its receiver. Senders bound
	// what they send ahead below it; a stream that has more is given up, so that it never
	// holds up the others on its connection.
	streamBuffer = 64
	// maxStreams bounds the streams that a peer may have open on one connection.
	maxStreams = 4096
)

// Stream carries several envelopes in both directions over the connection of two nodes,
// next to all others. It is safe for concurrent use, but for Receive, which one goroutine
// calls.
type Stream struct {
	id    uint64
	reply bool
	live  *connection
	// forget takes the stream out of its connection's list.
	forget   func()
	incoming chan *wire.Envelope
	ended    chan struct{}
	endOnce  sync.Once
	closing  sync.Once
}

func newStream(id uint64, reply bool, live *connection, forget func()) *Stream {
	return &Stream{
		id: id, reply: reply, live: live, forget: forget,
		incoming: make(chan *wire.Envelope, streamBuffer), ended: make(chan struct{}),
	}
}

// Send queues an envelope. It never blocks; false means that the envelope certainly was
// not sent.
func (s *Stream) Send(envelope *wire.Envelope) bool {
	return s.send(envelope, wire.StreamPart_STREAM_PART_DATA)
}

func (s *Stream) send(envelope *wire.Envelope, part wire.StreamPart) bool {
	return s.live.enqueue(s.address(envelope, part))
}

// SendWhole queues an envelope of several that make up one whole, and waits for room; false
// means that it certainly was not sent, because the context or the connection ended.
func (s *Stream) SendWhole(ctx context.Context, envelope *wire.Envelope) bool {
	select {
	case s.live.outgoing <- s.address(envelope, wire.StreamPart_STREAM_PART_DATA):
		return true
	case <-s.live.closed:
	case <-ctx.Done():
	}
	return false
}

func (s *Stream) address(envelope *wire.Envelope, part wire.StreamPart) *wire.Envelope {
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
	case <-s.live.closed:
		err = ErrConnectionLost
	case <-ctx.Done():
		err = ctx.Err()
	}
	// What arrived before the end counts; a process that was paused finds both at once.
	select {
	case envelope := <-s.incoming:
		return envelope, nil
	default:
		return nil, err
	}
}

// SendLast queues the last envelope and ends the stream with it. It is sent unless the
// connection is lost.
func (s *Stream) SendLast(envelope *wire.Envelope) {
	s.closing.Do(func() {
		s.forget()
		s.live.enqueueSurely(s.address(envelope, wire.StreamPart_STREAM_PART_END))
	})
}

// Close ends the stream and tells the peer, unless that ended it before.
func (s *Stream) Close() {
	select {
	case <-s.ended:
		s.closing.Do(s.forget)
	default:
		s.SendLast(&wire.Envelope{})
	}
}

// deliver takes an envelope from the connection's reading goroutine and never blocks.
func (s *Stream) deliver(envelope *wire.Envelope) {
	last := envelope.GetStream() == wire.StreamPart_STREAM_PART_END
	if last && envelope.GetBody() == nil {
		s.end()
		return
	}
	select {
	case s.incoming <- envelope:
	default:
		// The peer is told first: a stream that has ended tells nobody.
		s.Close()
		last = true
	}
	if last {
		s.end()
	}
}

func (s *Stream) end() { s.endOnce.Do(func() { close(s.ended) }) }

// streams are those of one connection or of one peer, by their ids.
type streams struct {
	mutex sync.Mutex
	byID  map[uint64]*Stream
}

// add makes a stream unless there are too many.
func (s *streams) add(id uint64, reply bool, live *connection) *Stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.byID) >= maxStreams {
		return nil
	}
	if s.byID == nil {
		s.byID = make(map[uint64]*Stream)
	}
	added := newStream(id, reply, live, func() { s.remove(id) })
	s.byID[id] = added
	return added
}

func (s *streams) remove(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.byID, id)
}

func (s *streams) find(id uint64) *Stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id]
}

// Open sends the first envelope of a stream to a node. The error matches ErrNotSent if
// the envelope certainly did not leave this node.
func (c *Client) Open(ctx context.Context, address string, first *wire.Envelope) (*Stream, error) {
	p := c.peer(address)
	live, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	opened := p.streams.add(p.nextCall.Add(1), false, live)
	if opened == nil {
		return nil, errors.Wrapf(ErrNotSent, "too many streams to %s", address)
	}
	if !opened.send(first, wire.StreamPart_STREAM_PART_OPEN) {
		opened.forget()
		return nil, errors.Wrapf(ErrNotSent, "send queue of %s is full or closed", address)
	}
	return opened, nil
}

// StreamHandler is a Handler that takes streams. HandleStream runs on a goroutine of its
// own; it receives the first envelope from the stream, and closes it.
type StreamHandler interface {
	HandleStream(from *wire.Hello, stream *Stream)
}

// receiveStream takes an envelope of a stream that the peer opened.
func (s *Server) receiveStream(opened *streams, live *connection, from *wire.Hello, envelope *wire.Envelope) {
	id := envelope.GetCallId()
	if known := opened.find(id); known != nil {
		known.deliver(envelope)
		return
	}
	if envelope.GetStream() != wire.StreamPart_STREAM_PART_OPEN {
		return
	}
	var added *Stream
	handler, takes := s.handler.(StreamHandler)
	if takes {
		added = opened.add(id, true, live)
	}
	if added == nil {
		live.enqueue(&wire.Envelope{CallId: id, Reply: true, Stream: wire.StreamPart_STREAM_PART_END})
		return
	}
	added.deliver(envelope)
	go handler.HandleStream(from, added)
}
