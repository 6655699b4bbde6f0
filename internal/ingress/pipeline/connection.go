package pipeline

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

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
	// mostUnsent is how much of an answer the kernel takes that it can't send yet. Without a
	// bound it takes megabytes for each client that doesn't read.
	mostUnsent = 64 << 10
	readBuffer = 4 << 10
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
