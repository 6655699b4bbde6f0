// Package transport carries wire envelopes between nodes over TCP: calls with a response,
// bidirectional streams, and one-way messages that may be lost.
package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/sockets"
	"github.com/micahaven/micahaven/internal/wire"
)

// Errors of the transport. They distinguish messages that were certainly not sent from
// messages that the peer may have received.
var (
	// ErrNotSent means that the message certainly did not leave this node.
	ErrNotSent = errors.New("message not sent")
	// ErrConnectionLost means that the peer may have received the message, and that
	// no response will arrive.
	ErrConnectionLost = errors.New("connection lost before the answer")
)

const (
	// sendQueueSize is the capacity, in envelopes, of the send queue of one connection.
	sendQueueSize = 1024
	// bufferBytes is the size of each of a connection's read and write buffers.
	bufferBytes = 8 << 10
	// writeTimeout is the write deadline of one envelope. It limits how long a peer may keep
	// its TCP receive window closed.
	writeTimeout = 5 * time.Second
	// ackTimeout is how long sent data may stay unacknowledged by the peer's host before the
	// connection is considered lost and the next message opens a new one. It is several
	// times the minimum TCP retransmission timeout (0.2 s).
	ackTimeout = time.Second
	// deliveryPollInterval is how often the delivery of what was sent is checked.
	deliveryPollInterval = 10 * time.Millisecond
)

// connection sends envelopes from a queue and receives envelopes in a read loop. Envelopes
// that are queued at the same time are written as one batch through the write buffer.
type connection struct {
	socket   net.Conn
	outgoing chan *wire.Envelope
	// flushes receives channels that writeLoop closes once it has written what was queued before.
	flushes   chan chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newConnection(socket net.Conn) *connection {
	return &connection{
		socket:   socket,
		outgoing: make(chan *wire.Envelope, sendQueueSize),
		flushes:  make(chan chan struct{}),
		closed:   make(chan struct{}),
	}
}

// enqueue queues an envelope without blocking. It returns false if the queue is full or the
// connection is closed.
func (c *connection) enqueue(envelope *wire.Envelope) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.outgoing <- envelope:
		return true
	default:
		return false
	}
}

// enqueueOrWait queues an envelope. If the queue is full, a goroutine waits for room, so
// that the caller never blocks. The goroutine ends at the latest when the connection is
// closed, which happens after writeTimeout if the peer reads nothing.
func (c *connection) enqueueOrWait(envelope *wire.Envelope) {
	if c.enqueue(envelope) {
		return
	}
	go func() {
		select {
		case c.outgoing <- envelope:
		case <-c.closed:
		}
	}()
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		// The socket is unusable after Close even if Close fails, so the error is ignored.
		_ = c.socket.Close()
	})
}

// writeLoop sends queued envelopes until the connection is closed.
func (c *connection) writeLoop() {
	defer c.close()
	writer := bufio.NewWriterSize(c.socket, bufferBytes)
	for {
		select {
		case <-c.closed:
			return
		case envelope := <-c.outgoing:
			if err := c.writeBatch(writer, envelope); err != nil {
				return
			}
		case flushed := <-c.flushes:
			if err := c.writeQueued(writer); err != nil {
				return
			}
			close(flushed)
		}
	}
}

func (c *connection) writeBatch(writer *bufio.Writer, first *wire.Envelope) error {
	if err := c.writeOne(writer, first); err != nil {
		return err
	}
	return c.writeQueued(writer)
}

// writeQueued writes the queued envelopes.
func (c *connection) writeQueued(writer *bufio.Writer) error {
	for {
		select {
		case next := <-c.outgoing:
			if err := c.writeOne(writer, next); err != nil {
				return err
			}
		default:
			return writer.Flush()
		}
	}
}

// writeOne writes an envelope. The write deadline is reset for each envelope, because a
// batch continues as long as the queue is not empty.
func (c *connection) writeOne(writer *bufio.Writer, envelope *wire.Envelope) error {
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return wire.WriteFrame(writer, envelope)
}

// flush waits until the envelopes that are queued have been written. It reports false if the context
// or the connection ends before.
func (c *connection) flush(ctx context.Context) bool {
	flushed := make(chan struct{})
	select {
	case c.flushes <- flushed:
	case <-c.closed:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-flushed:
		return true
	case <-c.closed:
		return false
	case <-ctx.Done():
		return false
	}
}

// awaitDelivery waits until the peer's host has acknowledged the envelopes that are queued, or the
// context or the connection ends.
func (c *connection) awaitDelivery(ctx context.Context) {
	if !c.flush(ctx) {
		return
	}
	socket := c.socket
	if encrypted, ok := socket.(*tls.Conn); ok {
		socket = encrypted.NetConn()
	}
	for ctx.Err() == nil && !sockets.PeerClosed(socket) {
		if count, err := sockets.Unacknowledged(socket); err != nil || count == 0 {
			return
		}
		periodic.Pause(ctx, deliveryPollInterval)
	}
}

// readLoop passes each received envelope to receive until reading fails or the connection
// is closed.
func (c *connection) readLoop(reader *bufio.Reader, receive func(*wire.Envelope)) error {
	defer c.close()
	for {
		envelope, err := wire.ReadFrame(reader)
		if err != nil {
			return err
		}
		receive(envelope)
	}
}
