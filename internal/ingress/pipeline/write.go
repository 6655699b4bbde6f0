package pipeline

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/sockets"
)

const (
	// streamStallTimeout is how long a client may accept no data of a response that is still
	// being received from a server, before its connection is reset; servers abort such
	// responses after some seconds. bufferedStallTimeout applies to a response that the node
	// holds completely: no server is blocked by it, and a temporarily saturated link may
	// recover.
	streamStallTimeout   = 5 * time.Second
	bufferedStallTimeout = 15 * time.Second
	// lingerTimeout is how long a connection that ends with unread data or with an unacknowledged
	// response stays open once the client's host has acknowledged the response. If it were closed
	// earlier, the unread data and any that still arrives would cause a TCP reset, which discards
	// what is in transit. The data is left unread: the client may retry requests that were not read.
	lingerTimeout = 500 * time.Millisecond
)

// write sends content to the client, and gives up if the client accepts no data for
// stallTimeout.
func (c *connection) write(content []byte, stallTimeout time.Duration) error {
	for {
		if err := c.socket.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return errors.Wrap(err, "set write deadline")
		}
		count, err := c.socket.Write(content)
		if err == nil {
			return nil
		}
		if !isTimeout(err) {
			return errors.Wrap(err, "write response")
		}
		if count == 0 {
			c.resetStalled(stallTimeout)
			return errors.Wrap(err, "client does not read its response")
		}
		content = content[count:]
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// resetStalled marks the connection for a reset because the client does not read its response.
func (c *connection) resetStalled(stallTimeout time.Duration) {
	stalledClientsTotal.Inc()
	c.server.Logger.Warn("connection reset, client does not read its response", zap.String("client", c.remote), zap.Duration("for", stallTimeout))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reset = true
}

// close closes the socket. The last responses may still be in transit; if data of the client is
// unread or arrives before they do, closing immediately would discard them.
func (c *connection) close() {
	if !c.mustReset() && (!sockets.IsIdle(c.socket) || unacknowledged(c.socket) > 0) {
		c.linger()
	}
	if socket, ok := c.socket.(interface{ SetLinger(int) error }); ok && c.mustReset() {
		// Without this the kernel would keep trying to send and then close the connection
		// normally.
		_ = socket.SetLinger(0)
	}
	// The connection is no longer used, so an error has no consequence.
	_ = c.socket.Close()
}

func (c *connection) mustReset() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reset
}

// linger closes the writing side and waits until the client has closed its side or everything written
// has been acknowledged for lingerTimeout. It gives up if the client receives nothing for
// bufferedStallTimeout.
func (c *connection) linger() {
	socket, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || socket.CloseWrite() != nil {
		return
	}
	progress := trackDelivery(c.socket)
	for !sockets.PeerClosed(c.socket) {
		complete, unchangedFor := progress.check(time.Now())
		switch {
		case complete && unchangedFor >= lingerTimeout:
			return
		case unchangedFor >= bufferedStallTimeout:
			c.resetStalled(bufferedStallTimeout)
			return
		}
		time.Sleep(disconnectPollInterval)
	}
}
