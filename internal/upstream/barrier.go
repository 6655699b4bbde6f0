package upstream

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// Barrier is a request that follows another one on a connection which has carried requests before. A
// server answers the requests of a connection in order, so the response to the first one is not a
// surplus response to an earlier request if exactly one response precedes the barrier's.
type Barrier struct {
	// Request is sent behind the other one, in one write: both have short bodies. It must have no effect
	// whenever a server executes it.
	Request *Request
	// Statuses are the statuses of its response. Responses to the other request that matter to the
	// caller have none of them.
	Statuses []int
}

// needsBarrier reports whether the request's barrier is sent: nothing else can be answered on a new
// connection.
func (c *connection) needsBarrier(request *Request) bool { return request.Barrier != nil && c.reused }

// passBarrier reads the response to the request's barrier, and reports whether the connection can be
// reused after it. An error means that the response before it may belong to an earlier request.
func (c *connection) passBarrier(request *Request) (bool, error) {
	response, _, err := c.readMatching(request.Barrier.Request)
	if err != nil {
		return false, errors.Wrap(err, "read answer to barrier")
	}
	if !slices.Contains(request.Barrier.Statuses, response.StatusCode) {
		return false, errors.Wrapf(ErrNoResponse, "answer to barrier has status %d", response.StatusCode)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody)); err != nil {
		return false, errors.Mark(errors.Wrap(err, "read answer to barrier"), ErrBadResponse)
	}
	// With a third response it is open which two are those to these requests.
	if c.reader.Buffered() > 0 {
		return false, errors.Wrap(ErrNoResponse, "surplus answer after the barrier")
	}
	return !response.Close, nil
}
