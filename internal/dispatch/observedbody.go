package dispatch

import (
	"io"

	"github.com/cockroachdb/errors"
)

// errBodyClosed is the outcome of a body that was closed before its end.
var errBodyClosed = errors.New("closed before the end of the response")

// observedBody is the rest of a response. It calls onEnd once, with the error that ended it, or
// nil if it was read to its end.
type observedBody struct {
	body  io.ReadCloser
	onEnd func(error)
	ended bool
}

// Read implements io.Reader.
func (b *observedBody) Read(into []byte) (int, error) {
	count, err := b.body.Read(into)
	switch {
	case errors.Is(err, io.EOF):
		b.end(nil)
	case err != nil:
		b.end(err)
	}
	return count, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	b.end(errBodyClosed)
	return b.body.Close()
}

func (b *observedBody) end(err error) {
	if b.ended {
		return
	}
	b.ended = true
	b.onEnd(err)
}
