package pipeline

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/sockets"
)

const (
	// mostAhead is how many requests of one connection may be read and not answered.
	// Callers that pipeline send a handful at a time; more would let one connection take
	// the room of others.
	mostAhead = 16
	// mostHeld is how many bytes of answers one connection may hold: two of the longest
	// usual answers.
	mostHeld = 1 << 20
	// requestCost is counted for a request beside its body: its head and what serving it
	// takes.
	requestCost = 4 << 10
	// watchInterval is how often a connection that isn't read is asked whether its client
	// has left, so that servers learn of it well within half a second.
	watchInterval = 100 * time.Millisecond
	// streamStall is how long a client may take nothing of an answer that a server still
	// sends, before its connection is reset; servers cut such answers off after some seconds.
	// wholeStall is the same for an answer that the node holds whole: no server waits, and a
	// link that is full for a while may recover.
	streamStall = 5 * time.Second
	wholeStall  = 15 * time.Second
	// mostUnsent is how much of an answer the kernel takes that it can't send yet. Without a
	// bound it takes megabytes for each client that doesn't read.
	mostUnsent = 64 << 10
	// lingerLimit is how long a connection stays open that ends with unread bytes, or before
	// its last answer has arrived: closed at once, unread bytes and those that still come
	// would take the answer from the client. The bytes stay unread: the client may send again
	// what was not read.
	lingerLimit = 500 * time.Millisecond
	readBuffer  = 4 << 10
)

// connection is a client's connection. One goroutine reads requests from it and lives as
// long as it does; each request runs in a goroutine of its own. The goroutine of a request
// whose answer has its turn writes it, and those behind it that are finished.
type connection struct {
	server *Server
	socket net.Conn
	input  *limitedReader
	reader *bufio.Reader
	remote string
	ctx    context.Context
	cancel context.CancelFunc
	// afterPost is true if the last request was a POST; only the reader uses it.
	afterPost bool
	// wake tells a reader that pauses to look again.
	wake chan struct{}

	// mutex guards what follows. Nothing that blocks is called with it held.
	mutex sync.Mutex
	// queue holds the requests that were read and are not answered, in order.
	queue []*exchange
	// writer is the one whose goroutine writes; nil if nobody does.
	writer *exchange
	// held is how many bytes of answers wait.
	held int
	// closing is true once an answer asked for the end of the connection. What was read
	// until then is answered first.
	closing bool
	// noMore is true once no further request is taken in.
	noMore bool
	// ended is true once nothing is left to answer and the connection can be closed.
	ended bool
	// paused is true while the reader waits for wake.
	paused bool
	// reset is true if the connection is not to end in order: the client took nothing and is
	// given up, or would take part of an answer for the whole.
	reset bool
	// aborted is true if an answer was broken off.
	aborted bool
}

func newConnection(server *Server, socket net.Conn) *connection {
	c := &connection{server: server, socket: socket, remote: socket.RemoteAddr().String(), wake: make(chan struct{}, 1)}
	c.input = &limitedReader{source: socket}
	c.reader = bufio.NewReaderSize(c.input, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run reads requests until the connection ends.
func (c *connection) run() {
	defer c.server.forget(c)
	defer c.cancel()
	for first := true; c.awaitRoom(); first = false {
		e, err := c.readHead(first)
		if err != nil {
			c.fail(err)
			break
		}
		if !c.add(e) {
			break
		}
		e.readBody()
		c.begin(e)
		if (e.body != nil && !c.awaitBody(e)) || e.final {
			c.stopReading()
			break
		}
	}
	c.pause(func() bool { return c.ended })
	c.close()
}

// awaitRoom waits until a further request may be read. It reports false if none will be.
func (c *connection) awaitRoom() bool {
	c.pause(func() bool {
		return c.noMore || len(c.queue) == 0 || (len(c.queue) < mostAhead && !c.server.Held.full())
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.noMore
}

// awaitBody waits until a handler has read the body of its request. It reports false if
// the handler has ended before.
func (c *connection) awaitBody(e *exchange) bool {
	c.pause(func() bool { return e.bodyRead || e.dropped || e.state == done })
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// If it was not read whole, who sends the body on may still be reading it.
	return e.bodyRead
}

// noteBody notes that a handler has read the body of its request. The reader waits for
// that, so that nothing else reads from the connection meanwhile. It is noted before the
// handler can answer: an answer that ends the connection must know that nothing of a
// further request was read.
func (c *connection) noteBody(e *exchange) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.bodyRead {
		// The handler asks again, and the next request may be read already.
		return
	}
	e.bodyRead = true
	c.noteReadLocked()
	c.stopIfClosingLocked()
	if len(c.queue) == 0 && !c.ended {
		c.server.Connections.Track(c.socket, http.StateIdle)
	}
	c.wakeLocked()
}

// pause waits until a condition holds that is asked with the mutex held. It watches the
// client meanwhile.
func (c *connection) pause(until func() bool) {
	var timer *time.Timer
	for {
		c.mutex.Lock()
		c.paused = !until()
		paused := c.paused
		c.mutex.Unlock()
		if !paused {
			return
		}
		if timer == nil {
			timer = time.NewTimer(watchInterval)
			defer timer.Stop()
		} else {
			timer.Reset(watchInterval)
		}
		select {
		case <-c.wake:
		case <-timer.C:
			if sockets.Left(c.socket) {
				c.leave()
			}
		}
	}
}

func (c *connection) wakeLocked() {
	if !c.paused {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// fail ends reading after an error: the client has left, or what it sent is no request.
func (c *connection) fail(err error) {
	c.mutex.Lock()
	if c.noMore {
		// Reading was stopped from this side.
		c.endIfDoneLocked()
		c.mutex.Unlock()
		return
	}
	answer := rejection(err)
	if answer == "" {
		c.mutex.Unlock()
		c.leave()
		return
	}
	e := &exchange{connection: c, state: done, raw: answer, cancel: func() {}}
	c.noMore = true
	c.queue = append(c.queue, e)
	c.server.Connections.Track(c.socket, http.StateActive)
	c.flush(e)
}

// leave notes that the client has left: what runs is cancelled, what doesn't is dropped.
func (c *connection) leave() {
	c.cancel()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.noMore = true
	for index, e := range c.queue {
		if e.state < running {
			c.dropLocked(index)
			break
		}
	}
	c.endIfDoneLocked()
	c.wakeLocked()
}

func (c *connection) stopReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.noMore = true
	c.endIfDoneLocked()
}

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

// write writes to the client, and gives it up if it takes nothing for some time.
func (c *connection) write(content []byte, stall time.Duration) error {
	for {
		if err := c.socket.SetWriteDeadline(time.Now().Add(stall)); err != nil {
			return errors.Wrap(err, "set deadline")
		}
		count, err := c.socket.Write(content)
		if err == nil {
			return nil
		}
		if !timedOut(err) {
			return errors.Wrap(err, "write answer")
		}
		if count == 0 {
			c.giveUp(stall)
			return errors.Wrap(err, "client takes nothing")
		}
		content = content[count:]
	}
}

func timedOut(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// giveUp notes that the client doesn't read.
func (c *connection) giveUp(stall time.Duration) {
	givenUpTotal.Inc()
	c.server.Logger.Warn("client given up, it takes nothing of its answer", zap.String("client", c.remote), zap.Duration("for", stall))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reset = true
}

// close closes the socket. The last answer may be on its way to the client; if bytes of the
// client lie unread or come meanwhile, closing at once would break it off.
func (c *connection) close() {
	c.mutex.Lock()
	reset, aborted := c.reset, c.aborted
	c.mutex.Unlock()
	switch {
	case reset:
		if socket, ok := c.socket.(interface{ SetLinger(int) error }); ok {
			// Without it the kernel would go on trying to send, and then end in order.
			_ = socket.SetLinger(0)
		}
	case !aborted && (!sockets.Quiet(c.socket) || !c.delivered()):
		c.linger()
	}
	// Nobody is left to tell of an error.
	_ = c.socket.Close()
}

// delivered reports whether the client's machine has all that was written.
func (c *connection) delivered() bool {
	count, err := sockets.Unacknowledged(c.socket)
	// A connection that can't tell is not waited for.
	return err != nil || count == 0
}

// linger waits until the client has seen the end of the connection.
func (c *connection) linger() {
	socket, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || socket.CloseWrite() != nil {
		return
	}
	for until := time.Now().Add(lingerLimit); time.Now().Before(until) && !sockets.Left(c.socket); {
		time.Sleep(watchInterval)
	}
}
