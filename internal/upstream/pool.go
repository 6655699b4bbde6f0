package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/sockets"
)

// Pool holds the persistent connections to one server.
type Pool struct {
	address string
	// settleTime returns for how long a new connection is observed before use, given the time
	// that opening it took.
	settleTime func(opening time.Duration) time.Duration
	// unacknowledged returns the number of bytes written to a connection that the peer's
	// machine has not acknowledged.
	unacknowledged func(net.Conn) (int, error)
	// dial opens a connection to the server.
	dial func(ctx context.Context, address string) (net.Conn, error)
	link *Link

	mutex  sync.Mutex
	idle   []*connection
	closed bool
	// probing is true while probePath opens a connection to check that the network path to
	// the server works.
	probing bool
}

// NewPool returns a pool for a server's address. All pools of a process share one Link.
func NewPool(address string, link *Link) *Pool {
	return &Pool{address: address, settleTime: settleTime, unacknowledged: sockets.Unacknowledged, dial: dial, link: link}
}

// Address returns the server's address.
func (p *Pool) Address() string { return p.address }

// Close closes idle connections. Connections in use are closed when their request ends.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Prune closes connections that have been idle for longer than they may be reused.
func (p *Pool) Prune(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.usableFor {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// getIdle returns an idle connection that suits the request, is open and has no unread data, or nil.
// Data that arrived while the connection was idle belongs to no request, so such a connection is
// closed. waiting is true if there is an idle connection that was only opened too late for the request.
func (p *Pool) getIdle(request *Request) (found *connection, waiting bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for index := len(p.idle) - 1; index >= 0; index-- {
		c := p.idle[index]
		if request.Attempts.used(c) || request.NewConnection && c.used {
			continue
		}
		late := request.openedLate(c)
		if late && waiting {
			continue
		}
		if time.Since(c.idleSince) < c.usableFor && sockets.IsIdle(c.socket) {
			if late {
				waiting = true
				continue
			}
			p.idle = slices.Delete(p.idle, index, index+1)
			return c, false
		}
		p.idle = slices.Delete(p.idle, index, index+1)
		c.close()
	}
	return nil, waiting
}

// putIdle makes a connection available for reuse, or closes it if the pool is closed.
func (p *Pool) putIdle(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.releaseReader()
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// closeIdleSince closes the connections that have been idle since before the given time. It
// is called after another connection to the same server was lost, because the connections to
// one server are mostly lost together.
func (p *Pool) closeIdleSince(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		drop := c.idleSince.Before(before)
		if drop {
			c.close()
		}
		return drop
	})
}

// open returns an idle connection or, if there is none for the request or it asks for a new one, a
// new one. A connection that was opened too late for the request waits for later ones.
func (p *Pool) open(ctx context.Context, request *Request) (*connection, error) {
	c, waiting := p.getIdle(request)
	if c != nil {
		return c, nil
	}
	if !waiting {
		var err error
		if c, err = p.openNew(ctx); err != nil || !request.openedLate(c) {
			return c, err
		}
		p.putIdle(c)
	}
	return nil, errors.Mark(errors.Wrapf(ErrOpenedLate, "connect to %s", p.address), ErrNotSent)
}

// openNew opens a new connection even if there are idle ones.
func (p *Pool) openNew(ctx context.Context) (*connection, error) {
	startedAt := time.Now()
	socket, err := p.dial(ctx, p.address)
	if errors.Is(err, syscall.ECONNRESET) {
		err = errors.Mark(err, ErrConnectionLimit)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", p.address), ErrNotSent)
	}
	p.link.recordDelivery(startedAt)
	periodic.Pause(ctx, p.settleTime(time.Since(startedAt)))
	if !sockets.IsIdle(socket) {
		// The server has already closed it; an error of closing it has no consequence.
		_ = socket.Close()
		return nil, errors.Mark(errors.Wrapf(ErrConnectionLimit, "connect to %s", p.address), ErrNotSent)
	}
	return &connection{pool: p, socket: socket, openedAt: clock.Boot(), usableFor: defaultKeepAlive - keepAliveMargin}, nil
}
