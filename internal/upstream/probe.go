package upstream

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Reaches reports whether the server accepts a new connection within the timeout.
func (p *Pool) Reaches(ctx context.Context, timeout time.Duration) bool {
	return p.probe(ctx, timeout) == nil
}

// refusalTimeout bounds the wait for a server's machine to refuse a connection.
const refusalTimeout = 200 * time.Millisecond

// Refuses reports whether the server's machine refuses a new connection, which means that no
// process listens there now. A machine that does not respond does not count as refusing.
func (p *Pool) Refuses(ctx context.Context) bool {
	return errors.Is(p.probe(ctx, refusalTimeout), syscall.ECONNREFUSED)
}

// probe opens a connection and closes it.
func (p *Pool) probe(ctx context.Context, timeout time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	socket, err := p.dial(bounded, p.address)
	if err != nil {
		return err
	}
	// The connection has served its purpose; an error of closing it has no consequence.
	_ = socket.Close()
	return nil
}
