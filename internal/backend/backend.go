// Package backend is the one way to the servers that own keys. Another protocol
// of servers needs another implementation of Server, and nothing else.
package backend

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/holder"
	"github.com/micahaven/micahaven/internal/wire"
)

// Errors of a server call. They say what is known about the request.
var (
	// ErrNotOwner means that the server refused: it does not hold the slice
	// under this fence. The request did not run.
	ErrNotOwner = errors.New("server does not own the slice")
	// ErrShed means that the server refused for lack of room. The request did
	// not run.
	ErrShed = errors.New("server shed the request")
	// ErrNotSent means that no connection could be made. The request did not
	// run.
	ErrNotSent = errors.New("request was not sent")
	// ErrUncertain means that the request was sent, wholly or in part, and that
	// no whole answer came back. It may have run.
	ErrUncertain = errors.New("no whole answer came back")
)

// IsNotRun reports whether an error proves that the request did not run.
func IsNotRun(err error) bool {
	return errors.IsAny(err, ErrNotOwner, ErrShed, ErrNotSent)
}

// Dispatch is a request with the authority to run it.
type Dispatch struct {
	Request *wire.Request
	Slice   uint32
	Fence   *wire.Fence
	// Timeout is how long the answer is still of use.
	Timeout time.Duration
}

// Server reaches servers by address.
type Server interface {
	// Session delivers a session message.
	Session(ctx context.Context, address string, message *holder.Message) (*holder.Reply, error)
	// Run sends a request and returns the server's whole answer. Cancelling the
	// context tells the server that nobody waits any more.
	Run(ctx context.Context, address string, dispatch *Dispatch) (*wire.Response, error)
	// Limit sets how many connections may be open to a server.
	Limit(address string, connections int)
	// Release ends idle connections to all servers.
	Release()
}
