package upstream

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/sockets"
)

// delimitedBody is the body of a response that ends with its connection, received while the request's
// body is being sent. A reset ends it as well, and may look like its end: the error is reported to either
// the reader or the writer of the connection.
type delimitedBody struct {
	io.Reader
	connection *connection
	bodyDone   <-chan error
}

// Read implements io.Reader.
func (b *delimitedBody) Read(into []byte) (int, error) {
	count, err := b.Reader.Read(into)
	if err == io.EOF && !b.complete() {
		err = errors.Wrap(io.ErrUnexpectedEOF, "connection ended while the request was being sent")
	}
	return count, err
}

func (b *delimitedBody) complete() bool {
	if ended, known := sockets.EndedInOrder(b.connection.socket); known {
		return ended
	}
	return bodySent(b.bodyDone)
}

// responseBody returns the body of a response to a request whose body is sent until bodyDone, which is nil
// if it has been sent.
func (c *connection) responseBody(response *http.Response, bodyDone <-chan error) io.Reader {
	isDelimited := response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if bodyDone == nil || !isDelimited {
		return response.Body
	}
	return &delimitedBody{Reader: response.Body, connection: c, bodyDone: bodyDone}
}

// hidesCoding reports whether the next response is one of HTTP/1.0 with a transfer coding, which that
// version does not have: the end of its body is not known, and http.ReadResponse hides the field.
func (c *connection) hidesCoding() bool {
	const version = "HTTP/1.0"
	for size := len(version); ; size = c.reader.Buffered() + 1 {
		head, err := c.reader.Peek(min(size, readBufferBytes))
		if !bytes.HasPrefix(head, []byte(version)) {
			return false
		}
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		fields, _, whole := bytes.Cut(bytes.ReplaceAll(buffered, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
		if bytes.Contains(bytes.ToLower(fields), []byte("\ntransfer-encoding")) {
			return true
		}
		if whole || err != nil || len(buffered) >= readBufferBytes {
			return false
		}
	}
}
