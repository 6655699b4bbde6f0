package pipeline

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/sockets"
)

const (
	// maxPipelined is the maximum number of unanswered requests read from one connection.
	// Clients that pipeline send a few requests at a time; a higher limit would let one
	// connection use up the memory budget of the others.
	maxPipelined = 16
	// maxConnectionBuffer is the maximum number of buffered response bytes per connection: room
	// for two of the longest usual responses.
	maxConnectionBuffer = 1 << 20
	// requestOverhead is charged for each request in addition to its body: its header and the
	// memory needed to serve it.
	requestOverhead = 4 << 10
	// disconnectPollInterval is how often a connection that is not being read is checked for a
	// client that has left, so that servers learn of it well within half a second.
	disconnectPollInterval = 100 * time.Millisecond
	// maxUnsent bounds the response data that the kernel buffers but can't send yet. Without a
	// bound it buffers megabytes for each client that doesn't read.
	maxUnsent      = 64 << 10
	readBufferSize = 4 << 10
)

// connection is a client connection. One goroutine reads its requests for as long as the
// connection lives; each request runs in a goroutine of its own. When a response reaches the
// head of the queue, the goroutine of its request writes it, followed by the completed
// responses that come next in the queue.
type connection struct {
	server *Server
	socket net.Conn
	// heads reads from the socket, input from heads, and reader from input.
	heads  headReader
	input  *sockets.LimitedReader
	reader *bufio.Reader
	remote string
	ctx    context.Context
	cancel context.CancelFunc
	// afterPost is true if the last request was a POST. Only the reader goroutine uses it.
	afterPost bool
	// wake makes a waiting reader check its condition again.
	wake chan struct{}

	// mutex guards the fields below. It is not held during blocking calls.
	mutex sync.Mutex
	// queue holds the requests that were read but not yet answered, in order of arrival.
	queue []*exchange
	// writing is the exchange whose goroutine currently writes to the socket; nil if none does.
	writing *exchange
	// buffered is the number of response bytes waiting for their turn to be written.
	buffered int
	// closing is true once a response has asked to close the connection, or the server is shutting
	// down. Requests read before that are still answered.
	closing bool
	// inputClosed is true once no further requests are accepted.
	inputClosed bool
	// finished is true once nothing is left to answer and the connection can be closed.
	finished bool
	// readerWaiting is true while the reader waits on wake.
	readerWaiting bool
	// reset is true if the connection must be closed with a TCP reset: the client stopped
	// reading its response, or it would take a truncated response for a complete one.
	reset bool
}

func newConnection(server *Server, socket net.Conn) *connection {
	c := &connection{server: server, socket: socket, remote: socket.RemoteAddr().String(), wake: make(chan struct{}, 1)}
	c.heads.connection = c
	c.input = sockets.NewLimitedReader(&c.heads)
	c.reader = bufio.NewReaderSize(c.input, readBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends, and then closes it.
func (c *connection) serve() {
	defer c.server.remove(c)
	defer c.cancel()
	for first := true; c.waitForCapacity(); first = false {
		e, err := c.readHead(first)
		if err != nil {
			c.handleReadError(err)
			break
		}
		if !c.enqueue(e) {
			break
		}
		e.readBody()
		c.schedule(e)
		if (e.body != nil && !c.waitForBody(e)) || e.lastRequest {
			c.closeInput()
			break
		}
	}
	c.waitUntil(func() bool { return c.finished })
	c.close()
}

// waitForCapacity waits until another request may be read. It reports false if no more requests
// are accepted.
func (c *connection) waitForCapacity() bool {
	c.waitUntil(func() bool {
		return c.inputClosed || len(c.queue) == 0 || (len(c.queue) < maxPipelined && !c.server.MemoryBudget.exhausted())
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.inputClosed
}

// waitForBody waits until the handler has read the request body. It reports false if the
// handler returned without reading all of it.
func (c *connection) waitForBody(e *exchange) bool {
	c.waitUntil(func() bool { return e.bodyRead || e.dropped || e.state == stateDone })
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// If the body was not fully read, the goroutine that forwards it may still be reading from
	// the connection.
	return e.bodyRead
}

// markBodyRead records that a handler has read the request body to its end. The reader waits
// for this, so that only one goroutine reads from the connection. It must be recorded before
// the handler can respond: when a response closes the connection, it must be certain that no data
// of a further request was read.
func (c *connection) markBodyRead(e *exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.bodyRead {
		// The handler read again after the end of the body; the next request may already have
		// been read.
		return
	}
	e.bodyRead = true
	c.trackReadLocked()
	c.stopReadingIfClosingLocked()
	if len(c.queue) == 0 && !c.finished {
		c.server.Connections.Track(c.socket, http.StateIdle)
	}
	c.wakeReaderLocked()
}

// waitUntil waits until a condition holds, which is evaluated with the mutex held. In the
// meantime it checks whether the client has left.
func (c *connection) waitUntil(condition func() bool) {
	var timer *time.Timer
	for {
		c.mutex.Lock()
		c.readerWaiting = !condition()
		readerWaiting := c.readerWaiting
		c.mutex.Unlock()
		if !readerWaiting {
			return
		}
		if timer == nil {
			timer = time.NewTimer(disconnectPollInterval)
			defer timer.Stop()
		} else {
			timer.Reset(disconnectPollInterval)
		}
		select {
		case <-c.wake:
		case <-timer.C:
			if sockets.PeerClosed(c.socket) {
				c.handleDisconnect()
			}
		}
	}
}

func (c *connection) wakeReaderLocked() {
	if !c.readerWaiting {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// handleReadError ends reading after an error: the client has left, or it sent a malformed
// request.
func (c *connection) handleReadError(err error) {
	c.mutex.Lock()
	if c.inputClosed {
		// The server itself stopped reading.
		c.finishIfEmptyLocked()
		c.mutex.Unlock()
		return
	}
	status, response := errorResponse(err)
	if response == "" {
		c.mutex.Unlock()
		c.handleDisconnect()
		return
	}
	malformedTotal.WithLabelValues(strconv.Itoa(status)).Inc()
	c.server.Logger.Info("malformed request, connection closed", zap.String("client", c.remote), zap.Int("status", status),
		zap.Int("pending", len(c.queue)), zap.Error(err))
	e := &exchange{connection: c, state: stateDone, rawResponse: response, cancel: func() {}}
	c.inputClosed = true
	c.queue = append(c.queue, e)
	c.server.Connections.Track(c.socket, http.StateActive)
	c.flush(e)
}

// handleDisconnect cancels the running requests and drops the others after the client has left.
func (c *connection) handleDisconnect() {
	c.cancel()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inputClosed = true
	for index, e := range c.queue {
		if e.state < stateRunning {
			c.dropLocked(index)
			break
		}
	}
	c.finishIfEmptyLocked()
	c.wakeReaderLocked()
}

func (c *connection) closeInput() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inputClosed = true
	c.finishIfEmptyLocked()
}
