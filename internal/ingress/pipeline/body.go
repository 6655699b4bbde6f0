package pipeline

import (
	"bytes"
	"io"
	"net/http"
)

// maxBufferedBody is how much of a request body is read before the request starts. A longer
// body is read by the handler, and its request runs alone.
const maxBufferedBody = 1 << 20

// readBody reads the body of a request that was just enqueued. A long body, or one that the
// client sends only after 100 Continue, is left to the handler.
func (e *exchange) readBody() {
	request := e.request
	if request.ContentLength == 0 {
		return
	}
	source := request.Body
	if request.ProtoAtLeast(1, 1) && expectsContinue(request) {
		e.deferBody(source, nil, true)
		return
	}
	if request.ContentLength > maxBufferedBody {
		e.deferBody(source, nil, false)
		return
	}
	limit := int64(maxBufferedBody + 1)
	if request.ContentLength > 0 {
		limit = request.ContentLength
	}
	content, err := e.readAhead(source, request.ContentLength, int(limit))
	e.bodyBytes = len(content)
	switch {
	case err != nil:
		// The handler gets the error when it reads the body; the data after it cannot be parsed
		// as a request.
		e.lastRequest = true
		e.bodyErr = err
		request.Body = io.NopCloser(errorReader{err})
	case len(content) > maxBufferedBody:
		e.deferBody(source, content, false)
	default:
		e.content = bytes.NewReader(content)
		e.whole = content
		request.Body = io.NopCloser(e.content)
	}
}

// ReadPrefix returns the first bytes of a request body, at most limit, given the request and its
// ResponseWriter. The memory is taken from the server's budget for bodies; if that is used up, the error
// matches ErrNoMemory. What follows is read from the request's body.
func ReadPrefix(writer http.ResponseWriter, request *http.Request, limit int) ([]byte, error) {
	e, ok := writer.(*exchange)
	switch {
	case !ok:
		return io.ReadAll(io.LimitReader(request.Body, int64(limit)))
	case e.bodyErr != nil:
		return nil, e.bodyErr
	case e.content != nil:
		prefix := e.whole[:min(len(e.whole), limit)]
		// The reader has not been used yet, so this does not fail.
		_, _ = e.content.Seek(int64(len(prefix)), io.SeekStart)
		return prefix, nil
	case e.body == nil:
		return nil, nil
	default:
		return e.body.readPrefix(limit)
	}
}

type errorReader struct{ err error }

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// deferBody leaves the body to the handler. The prefix has already been read.
func (e *exchange) deferBody(source io.Reader, prefix []byte, expectsContinue bool) {
	e.bodyRead = false
	e.body = &handlerBody{exchange: e, source: source, prefix: prefix, expectsContinue: expectsContinue}
	e.request.Body = io.NopCloser(e.body)
}

// handlerBody is a request body that the handler reads from the connection. No further request
// is read before its end.
type handlerBody struct {
	exchange *exchange
	source   io.Reader
	// prefix is the part of the body that has already been read.
	prefix []byte
	// expectsContinue is true until 100 Continue has been sent to the client.
	expectsContinue bool
}

// readPrefix returns the first bytes of the body, at most limit.
func (b *handlerBody) readPrefix(limit int) ([]byte, error) {
	if len(b.prefix) >= limit {
		prefix := b.prefix[:limit:limit]
		b.prefix = b.prefix[limit:]
		return prefix, nil
	}
	content, err := b.exchange.readAhead(b, unknownLength, limit)
	if err != nil {
		// The rest of the body cannot be parsed as a request.
		b.exchange.lastRequest = true
	}
	return content, err
}

// Read implements io.Reader.
func (b *handlerBody) Read(buffer []byte) (int, error) {
	if len(b.prefix) > 0 {
		count := copy(buffer, b.prefix)
		b.prefix = b.prefix[count:]
		return count, nil
	}
	c := b.exchange.connection
	if b.expectsContinue && !b.exchange.headWritten {
		// The request runs alone, so it is at the head of the queue and may write.
		if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), streamStallTimeout); err != nil {
			return 0, err
		}
	}
	b.expectsContinue = false
	// Only the time in which the client sends nothing counts, not that in which the server takes nothing.
	waiting := newArrival(c)
	c.server.addArrival(waiting)
	count, err := b.source.Read(buffer)
	c.server.removeArrival(waiting)
	if err == io.EOF {
		_ = waiting.result(nil)
		c.markBodyRead(b.exchange)
		return count, err
	}
	return count, waiting.result(err)
}
