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
	// lingerTimeout is how long a connection stays open if it ends with unread data or with an
	// unacknowledged response. If it were closed immediately, the unread data and any that
	// still arrives would cause a TCP reset, which discards the response. The data is left
	// unread: the client may retry requests that were not read.
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

// close closes the socket. The last response may still be in transit; if data of the client is
// unread or arrives before the response, closing immediately would abort it.
func (c *connection) close() {
	c.mutex.Lock()
	reset, aborted := c.reset, c.aborted
	c.mutex.Unlock()
	switch {
	case reset:
		if socket, ok := c.socket.(interface{ SetLinger(int) error }); ok {
			// Without this the kernel would keep trying to send and then close the connection
			// normally.
			_ = socket.SetLinger(0)
		}
	case !aborted && (!sockets.IsIdle(c.socket) || !c.fullyAcknowledged()):
		c.linger()
	}
	// The connection is no longer used, so an error has no consequence.
	_ = c.socket.Close()
}

// fullyAcknowledged reports whether the client's host has acknowledged all data written.
func (c *connection) fullyAcknowledged() bool {
	count, err := sockets.Unacknowledged(c.socket)
	// A connection that does not support the query is not waited for.
	return err != nil || count == 0
}

// linger waits until the client has closed its side, at most lingerTimeout.
func (c *connection) linger() {
	socket, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || socket.CloseWrite() != nil {
		return
	}
	for until := time.Now().Add(lingerTimeout); time.Now().Before(until) && !sockets.PeerClosed(c.socket); {
		time.Sleep(disconnectPollInterval)
	}
}
