// Package ending bounds the requests of a node by the end of the node. A request's own
// time limit knows its client and its route, but not that the node that serves it was
// told to stop: whatever may last longer than the node has to end with it, while there
// is still time to send an answer.
package ending

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrReached is the cause of contexts that ended because the node stops.
var ErrReached = errors.New("the node stops")

// Ending is the moment by which the requests of a node have their final answers. It is
// unknown until the node is told to stop. It is safe for concurrent use.
//
// Invariant: a context from Bound is over by that moment, whether it was made before
// the moment was set or after it.
type Ending struct {
	reached context.Context
	reach   context.CancelFunc

	mutex sync.Mutex
	at    time.Time
}

// New returns the ending of a node that does not stop yet.
func New() *Ending {
	reached, reach := context.WithCancel(context.Background())
	return &Ending{reached: reached, reach: reach}
}

// Set tells when requests have to have ended. It is called once.
func (e *Ending) Set(at time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.at = at
	time.AfterFunc(time.Until(at), e.reach)
}

// At returns when requests have to have ended, and false if the node does not stop.
func (e *Ending) At() (time.Time, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.at, !e.at.IsZero()
}

// Bounds are what ends a context from Bound.
type Bounds struct {
	outlive func() bool
	release context.CancelFunc
}

// Outlive lets the context go on beyond the end of the node.
func (b Bounds) Outlive() { b.outlive() }

// Release ends the context and frees what belongs to it.
func (b Bounds) Release() { b.release() }

// Bound returns a context that ends at a limit or with the node, and its bounds, which
// must be released.
func (e *Ending) Bound(ctx context.Context, limit time.Time) (context.Context, Bounds) {
	withNode, end := context.WithCancelCause(ctx)
	outlive := context.AfterFunc(e.reached, func() { end(ErrReached) })
	bounded, release := context.WithDeadline(withNode, limit)
	return bounded, Bounds{outlive: outlive, release: func() {
		outlive()
		release()
		end(nil)
	}}
}

// Ended reports whether a context ended because the node stops.
func Ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrReached) }
