package pipeline

import (
	"io"

	"github.com/micahaven/micahaven/internal/sentinel"
)

// Errors of ReadPrefix. The request has not run.
var (
	// ErrNoMemory means that the server's budget for requests that arrive is used up.
	ErrNoMemory error = sentinel.Error("no memory for the request")
	// ErrBodyTimeout means that the client has sent nothing of the body for too long.
	ErrBodyTimeout error = sentinel.Error("the request body does not arrive")
)

const (
	// unreservedBody is the memory that each body may take although the budget is used up, so that
	// ordinary requests are read at any time.
	unreservedBody = 16 << 10
	// initialChunkedBuffer is the first buffer of a body of unknown length.
	initialChunkedBuffer = 4 << 10
	// bufferGrowth is the factor by which a full buffer grows.
	bufferGrowth = 4
)

// bodyReader reads the beginning of a request body into memory.
type bodyReader struct {
	*arrival
	// reserved is the part of the budget that the reader holds.
	reserved int
}

// readAhead reads a body to its end, but not more than limit bytes. length is the length of the body, or
// unknownLength. The memory stays charged until the exchange ends; a body that cannot be read keeps none.
func (e *exchange) readAhead(source io.Reader, length int64, limit int) ([]byte, error) {
	r := &bodyReader{arrival: newArrival(e.connection)}
	server := e.connection.server
	server.addArrival(r.arrival)
	content, err := r.read(source, length, limit)
	server.removeArrival(r.arrival)
	if err = r.result(err); err != nil {
		server.Bodies.release(r.reserved)
		return nil, err
	}
	e.connection.keepReserved(e, r.reserved)
	return content, nil
}

func (r *bodyReader) read(source io.Reader, length int64, limit int) ([]byte, error) {
	first := min(limit, initialChunkedBuffer)
	if length >= 0 {
		first = min(limit, unreservedBody)
	}
	r.reserved = first
	r.connection.server.Bodies.reserve(first)
	content := make([]byte, 0, first)
	for len(content) < limit {
		if len(content) == cap(content) {
			grown, err := r.grow(content, limit)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		count, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		r.record(count)
		switch {
		case err == io.EOF && length >= 0 && int64(len(content)) < length:
			return content, io.ErrUnexpectedEOF
		case err == io.EOF:
			return content, nil
		case err != nil:
			return content, err
		}
	}
	return content, nil
}

// grow returns a larger buffer with the same content.
func (r *bodyReader) grow(content []byte, limit int) ([]byte, error) {
	server := r.connection.server
	size := min(limit, bufferGrowth*cap(content))
	if size <= unreservedBody {
		server.Bodies.reserve(size)
	} else if !server.reserveArrival(size) {
		return nil, ErrNoMemory
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	server.Bodies.release(r.reserved)
	r.reserved = size
	return grown, nil
}

// keepReserved records the memory of a body that was read, which is released when the exchange ends.
func (c *connection) keepReserved(e *exchange, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.dropped {
		c.server.Bodies.release(count)
		return
	}
	e.reservedBody += count
}
