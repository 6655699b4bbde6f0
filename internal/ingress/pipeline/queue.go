package pipeline

import (
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
)

// enqueue adds a request whose header was read to the queue. It reports false if the connection
// accepts no more requests.
func (c *connection) enqueue(e *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.inputClosed {
		e.cancel()
		c.releaseLocked(e)
		return false
	}
	c.queue = append(c.queue, e)
	c.trackReadLocked()
	return true
}

// trackReadLocked reports the connection as active after a request or its header was read.
func (c *connection) trackReadLocked() {
	c.server.Connections.Track(c.socket, http.StateActive)
	if c.reader.Buffered() > 0 && !c.onlyLineBreaks() {
		c.server.Connections.MarkPartialRead(c.socket)
	}
}

// stopReadingIfClosingLocked stops reading on a connection that is to be closed, unless part of
// a request has already been read: that request is still read completely and answered.
func (c *connection) stopReadingIfClosingLocked() {
	if !c.closing || c.inputClosed || len(c.queue) == 0 {
		return
	}
	if last := c.queue[len(c.queue)-1]; last.state == stateReading || !last.bodyRead {
		return
	}
	c.inputClosed = c.server.Connections.StopReading(c.socket)
}

// stopReading makes the connection close after the requests that have been read so far.
func (c *connection) stopReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = true
	c.stopReadingIfClosingLocked()
}

// schedule marks a request as fully read, and starts it if it may run.
func (c *connection) schedule(e *exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.dropped {
		return
	}
	e.reservedBytes = requestOverhead + e.bodyBytes
	c.server.MemoryBudget.reserve(e.reservedBytes)
	e.state = stateQueued
	c.trackReadLocked()
	c.stopReadingIfClosingLocked()
	c.startReadyLocked()
}

// startReadyLocked starts the queued requests that may run: concurrent ones together with each
// other, any other request alone.
func (c *connection) startReadyLocked() {
	for index, e := range c.queue {
		if e.state == stateReading || (index > 0 && !e.mayRunConcurrently()) {
			return
		}
		if e.state == stateQueued {
			e.state = stateRunning
			c.server.workerPool.run(e)
		}
		if index+1 < len(c.queue) && !e.mayRunConcurrently() {
			return
		}
	}
}

func (c *connection) handle(e *exchange) {
	defer func() {
		panicValue := recover()
		if panicValue != nil && panicValue != http.ErrAbortHandler {
			c.server.Logger.Error("panic while a request was served", zap.Any("panic", panicValue), zap.ByteString("stack", debug.Stack()))
		}
		e.cancel()
		c.complete(e, panicValue != nil)
	}()
	if e.request.Method == http.MethodOptions && e.request.RequestURI == "*" {
		// OPTIONS * concerns the server as a whole, not a resource.
		e.header.Set("Content-Length", "0")
		return
	}
	c.server.Handler.ServeHTTP(e, e.request)
}

// complete records that the handler of a request has returned, and writes the response if it is
// its turn.
func (c *connection) complete(e *exchange, aborted bool) {
	c.mutex.Lock()
	e.state, e.aborted, e.completedAt = stateDone, aborted, time.Now()
	c.wakeReaderLocked()
	if e.dropped {
		c.mutex.Unlock()
		e.notifyTurn(0)
		return
	}
	switch {
	case aborted:
		c.dropAfterLocked(e)
	case e.requestsClose():
		c.closing = true
		c.stopReadingIfClosingLocked()
	}
	if c.queue[0] != e || (c.writing != nil && c.writing != e) {
		c.mutex.Unlock()
		return
	}
	c.flush(e)
}

// flush writes the completed responses at the head of the queue. It must be called with the
// mutex held, and releases it.
func (c *connection) flush(owner *exchange) {
	defer c.mutex.Unlock()
	if c.writing != nil && c.writing != owner {
		return
	}
	for len(c.queue) > 0 && c.queue[0].state == stateDone {
		e := c.queue[0]
		c.writing = e
		c.mutex.Unlock()
		if e == owner {
			e.notifyTurn(e.headOfLineWait(time.Time{}))
		} else {
			e.notifyTurn(e.headOfLineWait(e.completedAt))
		}
		keepOpen := e.writeRemaining()
		c.mutex.Lock()
		c.writing = nil
		c.releaseLocked(e)
		if !keepOpen {
			c.inputClosed = true
			c.reset = c.reset || (e.aborted && e.closeDelimited())
			c.dropLocked(0)
			break
		}
		copy(c.queue, c.queue[1:])
		c.queue[len(c.queue)-1] = nil
		c.queue = c.queue[:len(c.queue)-1]
	}
	c.finishIfEmptyLocked()
	if len(c.queue) > 0 && c.queue[0].turn != nil {
		close(c.queue[0].turn)
		c.queue[0].turn = nil
	}
	c.startReadyLocked()
	c.wakeReaderLocked()
}

// finishIfEmptyLocked handles an empty queue: the connection becomes idle, or it is finished if
// it accepts no more requests.
func (c *connection) finishIfEmptyLocked() {
	if len(c.queue) > 0 || c.finished {
		return
	}
	if !c.inputClosed {
		c.server.Connections.Track(c.socket, http.StateIdle)
		return
	}
	c.finished = true
	c.wakeReaderLocked()
	// This interrupts a reader that is waiting for a request. It fails only if the socket is
	// closed, in which case the reader returns as well.
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
}

// dropAfterLocked drops the requests after an exchange, because the connection ends after it.
func (c *connection) dropAfterLocked(e *exchange) {
	c.inputClosed = true
	for index := range c.queue {
		if c.queue[index] == e {
			c.dropLocked(index + 1)
			return
		}
	}
}

// dropLocked drops the requests from an index on, and cancels those that are running.
func (c *connection) dropLocked(from int) {
	for _, e := range c.queue[from:] {
		e.dropped = true
		e.cancel()
		c.releaseLocked(e)
		if e.state == stateDone && e.onTurn != nil {
			// The callback may block, so it must not run with the mutex held.
			go e.notifyTurn(e.headOfLineWait(e.completedAt))
		}
		if e.turn != nil {
			close(e.turn)
			e.turn = nil
		}
	}
	clear(c.queue[from:])
	c.queue = c.queue[:from]
}

// releaseLocked releases the memory charged for an exchange.
func (c *connection) releaseLocked(e *exchange) {
	c.server.MemoryBudget.release(e.reservedBytes + e.reservedResponseBytes)
	c.buffered -= e.reservedResponseBytes
	c.server.Bodies.release(e.reservedBody)
	e.reservedBytes, e.reservedResponseBytes, e.reservedBody = 0, 0, 0
}
