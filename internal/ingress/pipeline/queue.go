package pipeline

import (
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
)

// add notes that the head of a request was read. It reports false if the connection takes
// no more.
func (c *connection) add(e *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.noMore {
		e.cancel()
		return false
	}
	c.queue = append(c.queue, e)
	c.noteReadLocked()
	return true
}

// noteReadLocked notes that a request, or its head, was read.
func (c *connection) noteReadLocked() {
	c.server.Connections.Track(c.socket, http.StateActive)
	if c.reader.Buffered() > 0 && !c.onlyLineEnds() {
		c.server.Connections.Reading(c.socket)
	}
}

// stopIfClosingLocked stops reading on a connection that is to end, unless part of a
// request was read already: that one is still read and answered.
func (c *connection) stopIfClosingLocked() {
	if !c.closing || c.noMore || len(c.queue) == 0 {
		return
	}
	if last := c.queue[len(c.queue)-1]; last.state == arriving || !last.bodyRead {
		return
	}
	c.noMore = c.server.Connections.StopReading(c.socket)
}

// begin notes that a request was read whole, and runs it if its turn has come.
func (c *connection) begin(e *exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.dropped {
		return
	}
	e.cost = requestCost + e.bodyBytes
	c.server.Held.add(e.cost)
	e.state = waiting
	c.noteReadLocked()
	c.stopIfClosingLocked()
	c.startLocked()
}

// startLocked runs the requests whose turn has come: those that may run side by side
// beside each other, any other alone.
func (c *connection) startLocked() {
	for index, e := range c.queue {
		if e.state == arriving || (index > 0 && !e.mayRunBeside()) {
			return
		}
		if e.state == waiting {
			e.state = running
			c.server.workers.run(e)
		}
		if index+1 < len(c.queue) && !e.mayRunBeside() {
			return
		}
	}
}

func (c *connection) handle(e *exchange) {
	defer func() {
		failure := recover()
		if failure != nil && failure != http.ErrAbortHandler {
			c.server.Logger.Error("panic while a request was served", zap.Any("panic", failure), zap.ByteString("stack", debug.Stack()))
		}
		e.cancel()
		c.finish(e, failure != nil)
	}()
	if e.request.Method == http.MethodOptions && e.request.RequestURI == "*" {
		// It asks about the server itself, not for a resource.
		e.header.Set("Content-Length", "0")
		return
	}
	c.server.Handler.ServeHTTP(e, e.request)
}

// finish takes in that the handler of a request has returned.
func (c *connection) finish(e *exchange, aborted bool) {
	c.mutex.Lock()
	e.state, e.aborted, e.doneAt = done, aborted, time.Now()
	c.wakeLocked()
	if e.dropped {
		c.mutex.Unlock()
		e.report(0)
		return
	}
	switch {
	case aborted:
		c.dropBehindLocked(e)
	case e.asksToClose():
		c.closing = true
		c.stopIfClosingLocked()
	}
	if c.queue[0] != e || (c.writer != nil && c.writer != e) {
		c.mutex.Unlock()
		return
	}
	c.flush(e)
}

// flush writes the answers that have their turn. It is called with the mutex held, and
// releases it.
func (c *connection) flush(by *exchange) {
	defer c.mutex.Unlock()
	if c.writer != nil && c.writer != by {
		return
	}
	for len(c.queue) > 0 && c.queue[0].state == done {
		e := c.queue[0]
		c.writer = e
		c.mutex.Unlock()
		if e == by {
			e.report(e.behind(time.Time{}))
		} else {
			e.report(e.behind(e.doneAt))
		}
		goesOn := e.writeOut()
		c.mutex.Lock()
		c.writer = nil
		c.releaseLocked(e)
		if !goesOn {
			c.noMore = true
			c.aborted = c.aborted || e.aborted
			c.reset = c.reset || (e.aborted && e.endsWithConnection())
			c.dropLocked(0)
			break
		}
		copy(c.queue, c.queue[1:])
		c.queue[len(c.queue)-1] = nil
		c.queue = c.queue[:len(c.queue)-1]
	}
	c.endIfDoneLocked()
	if len(c.queue) > 0 && c.queue[0].turn != nil {
		close(c.queue[0].turn)
		c.queue[0].turn = nil
	}
	c.startLocked()
	c.wakeLocked()
}

// endIfDoneLocked acts on an empty queue: the connection is idle, or it ends.
func (c *connection) endIfDoneLocked() {
	if len(c.queue) > 0 || c.ended {
		return
	}
	if !c.noMore {
		c.server.Connections.Track(c.socket, http.StateIdle)
		return
	}
	c.ended = true
	c.wakeLocked()
	// A reader that waits for a request goes on with this; it fails only if the socket is
	// closed, and then the reader goes on as well.
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
}

// dropBehindLocked drops what follows a request: after it, the connection ends.
func (c *connection) dropBehindLocked(e *exchange) {
	c.noMore = true
	for index := range c.queue {
		if c.queue[index] == e {
			c.dropLocked(index + 1)
			return
		}
	}
}

// dropLocked drops the requests from an index on. Those that run are cancelled.
func (c *connection) dropLocked(from int) {
	for _, e := range c.queue[from:] {
		e.dropped = true
		e.cancel()
		c.releaseLocked(e)
		if e.state == done && e.onTurn != nil {
			// Nothing that may block is called with the mutex held.
			go e.report(e.behind(e.doneAt))
		}
		if e.turn != nil {
			close(e.turn)
			e.turn = nil
		}
	}
	clear(c.queue[from:])
	c.queue = c.queue[:from]
}

// releaseLocked counts what a request held as free.
func (c *connection) releaseLocked(e *exchange) {
	c.server.Held.release(e.cost + e.heldBytes)
	c.held -= e.heldBytes
	e.cost, e.heldBytes = 0, 0
}
