package pipeline

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/sockets"
)

const (
	// streamStall is how long a client may take nothing of an answer that a server still
	// sends, before its connection is reset; servers cut such answers off after some seconds.
	// wholeStall is the same for an answer that the node holds whole: no server waits, and a
	// link that is full for a while may recover.
	streamStall = 5 * time.Second
	wholeStall  = 15 * time.Second
	// lingerLimit is how long a connection stays open that ends with unread bytes, or before
	// its last answer has arrived: closed at once, unread bytes and those that still come
	// would take the answer from the client. The bytes stay unread: the client may send again
	// what was not read.
	lingerLimit = 500 * time.Millisecond
)

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
