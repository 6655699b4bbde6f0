// Package ending bounds the requests of a node by the node's shutdown. The deadline of a request
// depends on its client and its route, but not on a shutdown of the node that serves it: anything
// that may outlast the node has to end while there is still time to send a response.
package ending

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrShutdown is the cause of contexts that ended because of the node's shutdown.
var ErrShutdown = errors.New("the node stops")

// Ending is the time by which all requests of a node must have their final response. It is unknown
// until the shutdown begins. It is safe for concurrent use.
//
// Invariant: a context from Bound is done by that time, whether it was created before or after the
// time was set.
type Ending struct {
	expired context.Context
	expire  context.CancelFunc

	mutex    sync.Mutex
	deadline time.Time
}

// New returns the Ending of a node that is not shutting down.
func New() *Ending {
	expired, expire := context.WithCancel(context.Background())
	return &Ending{expired: expired, expire: expire}
}

// Set sets the time by which requests must have ended. A later call can only bring it forward.
func (e *Ending) Set(deadline time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.deadline.IsZero() && !deadline.Before(e.deadline) {
		return
	}
	e.deadline = deadline
	time.AfterFunc(time.Until(deadline), e.expire)
}

// Deadline returns the time by which requests must have ended, and false if the node is not
// shutting down.
func (e *Ending) Deadline() (time.Time, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.deadline, !e.deadline.IsZero()
}

// Bounds controls the lifetime of a context from Bound.
type Bounds struct {
	detach  func() bool
	release context.CancelFunc
}

// Detach lets the context continue beyond the node's shutdown.
func (b Bounds) Detach() { b.detach() }

// Release cancels the context and frees its resources.
func (b Bounds) Release() { b.release() }

// Bound returns a context that ends at the limit or on the node's shutdown, and its bounds, which
// must be released.
func (e *Ending) Bound(ctx context.Context, limit time.Time) (context.Context, Bounds) {
	nodeCtx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(e.expired, func() { cancel(ErrShutdown) })
	bounded, release := context.WithDeadline(nodeCtx, limit)
	return bounded, Bounds{detach: detach, release: func() {
		detach()
		release()
		cancel(nil)
	}}
}

// EndedByShutdown reports whether a context ended because of the node's shutdown.
func EndedByShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrShutdown) }
