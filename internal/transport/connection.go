// Package transport carries wire envelopes between nodes over TCP: calls that
// are answered, and one-way messages that may be lost.
package transport

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/wire"
)

// Errors of the transport. They tell whether a message can have been received.
var (
	// ErrNotSent means that the message certainly did not leave this node.
	ErrNotSent = errors.New("message not sent")
	// ErrConnectionLost means that the message may have been received, and that
	// its answer will not come.
	ErrConnectionLost = errors.New("connection lost before the answer")
)

const (
	// sendQueue is the number of envelopes that may wait for one connection.
	sendQueue = 1024
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 8 << 10
	// writeTimeout is how long a peer may leave its receive window shut.
	writeTimeout = 5 * time.Second
	// silenceLimit is how long a peer's machine may acknowledge nothing before the
	// connection counts as lost and the next message opens another one: several times
	// what TCP waits before it sends a lost packet again (0.2 s).
	silenceLimit = time.Second
)

// connection writes envelopes from a queue and reads them in a loop. Several
// envelopes that wait together are sent with one write.
type connection struct {
	socket   net.Conn
	outgoing chan *wire.Envelope
	closed   chan struct{}
	once     sync.Once
}

func newConnection(socket net.Conn) *connection {
	return &connection{
		socket:   socket,
		outgoing: make(chan *wire.Envelope, sendQueue),
		closed:   make(chan struct{}),
	}
}

// enqueue queues an envelope and reports whether it was taken.
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

// enqueueSurely queues an envelope, after those that wait if the queue is full. It never
// blocks; what waits ends with the connection, which a peer that reads nothing loses after
// writeTimeout.
func (c *connection) enqueueSurely(envelope *wire.Envelope) {
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
	c.once.Do(func() {
		close(c.closed)
		// The socket is gone either way; there is nobody to tell.
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
		}
	}
}

func (c *connection) writeBatch(writer *bufio.Writer, first *wire.Envelope) error {
	if err := c.writeOne(writer, first); err != nil {
		return err
	}
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

// writeOne writes an envelope. Its time begins anew with each: a batch lasts as long as
// there is more to send.
func (c *connection) writeOne(writer *bufio.Writer, envelope *wire.Envelope) error {
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return wire.WriteFrame(writer, envelope)
}

// readLoop hands every envelope to receive until the connection ends.
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
