// Package upstream sends requests to servers over persistent HTTP/1.1 connections, one
// request at a time on each connection. Unlike net/http's transport it never retries a
// request on its own, and it matches responses to requests by a request id.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/micahaven/micahaven/internal/sentinel"
	"github.com/micahaven/micahaven/internal/sockets"
)

// Errors returned by Pool.Exchange.
var (
	// ErrNotSent means that no byte of the request reached the server process.
	ErrNotSent error = sentinel.Error("request was not sent")
	// ErrConnectionLimit is set in addition to ErrNotSent if the server closed a new connection
	// immediately: it is running, but at its connection limit.
	ErrConnectionLimit error = sentinel.Error("server takes no more connections")
	// ErrOpenedLate is set in addition to ErrNotSent if there is no connection that was open by
	// Request.OpenedBy.
	ErrOpenedLate error = sentinel.Error("connection was opened too late")
	// ErrNoResponse means that the request may have run but no response was received.
	ErrNoResponse error = sentinel.Error("no answer")
	// ErrUndelivered is set in addition if the server's machine had not acknowledged the whole
	// request when this node reset the connection: the remaining bytes never arrive.
	ErrUndelivered error = sentinel.Error("request was not delivered")
	// ErrUnacknowledged is set in addition if the server's machine did not acknowledge the
	// request on a reused connection in time: that connection is lost, but new ones may work.
	ErrUnacknowledged error = sentinel.Error("connection is silent")
	// ErrBadResponse means that the response is truncated or malformed. The request may have
	// run.
	ErrBadResponse error = sentinel.Error("answer is damaged")
)

// ConnectionEnded reports whether the error of reading a response means that the connection
// ended before the response did, at the server's side or on the way.
func ConnectionEnded(err error) bool {
	return errors.IsAny(err, io.ErrUnexpectedEOF, syscall.ECONNRESET)
}

const (
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is the time without acknowledgement from the server's machine after which
	// the kernel closes a connection, idle or not. Request.AckTimeout sets a shorter bound for
	// requests.
	ackTimeout = time.Second
	// maxSettleTime bounds the time for which a new connection is observed before a request is
	// sent on it. It is observed for one round trip, measured as the time that opening it
	// took: a server at its connection limit accepts a connection and resets it immediately,
	// and it would be unknown whether a request sent meanwhile has run.
	maxSettleTime = 5 * time.Millisecond
	// defaultKeepAlive is the assumed keep-alive timeout of servers that do not announce one.
	// Connections are reused until keepAliveMargin before the server closes them.
	defaultKeepAlive = 8 * time.Second
	keepAliveMargin  = 1200 * time.Millisecond
	readBufferBytes  = 4 << 10
	// maxBufferedBody is the size up to which a response is buffered before it is forwarded.
	// Most responses are smaller, so that their servers are free immediately. 200 callers
	// that do not read their long responses occupy 25 MB.
	maxBufferedBody = 128 << 10
	// maxResponsesRead bounds the number of responses that are read in search of the one with
	// the request's id.
	maxResponsesRead = 4
	// maxHead bounds the status line and the header of a response, and maxSkippedBody the body of a
	// response to another request, both in bytes of the connection.
	maxHead        = 64 << 10
	maxSkippedBody = 1 << 20
	// minConcurrentBody is the size from which a body is sent while the response is being
	// awaited, because a server may respond before it has read the whole body.
	minConcurrentBody = 32 << 10
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is a request to a server.
type Request struct {
	Method string
	// URI is the request target, exactly as sent by the client.
	URI    string
	Host   string
	Fields []Field
	Body   []byte
	// Rest is the part of the body after Body; nil if Body is complete.
	Rest io.Reader
	// AckTimeout is the time for which the request may stay unacknowledged on a reused
	// connection. After it, the connection is reset as soon as data sent later is known to
	// have arrived. 0 disables this check.
	AckTimeout time.Duration
	// NewConnection makes the request use a new connection, on which no surplus response to an earlier
	// request can arrive.
	NewConnection bool
	// OpenedBy is the time, on clock.Boot, by which the connection must have been open; 0 if any
	// connection will do. Whoever answers on it was running at that time.
	OpenedBy time.Duration
	// IDHeader and ID are the name and value of the header field that identifies the response
	// to this request; a request without an ID takes only a response without one. An empty
	// IDHeader accepts any response.
	IDHeader, ID string
	// Attempts links the attempts to send the same request under the same ID; nil if there is only one.
	Attempts *Attempts
	// Barrier follows the request on a reused connection; nil for none. Without a response to it, the
	// request has none either.
	Barrier *Barrier
}

// openedLate reports whether a connection was opened later than the request allows.
func (r *Request) openedLate(c *connection) bool { return r.OpenedBy > 0 && c.openedAt > r.OpenedBy }

// Response is a server's response.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is not nil. The caller must close Rest.
	Body []byte
	Rest io.ReadCloser
}

// connection is one persistent connection. It carries at most one request at a time.
type connection struct {
	pool   *Pool
	socket net.Conn
	// openedAt is when the connection was open, on clock.Boot.
	openedAt time.Duration
	// used is true once the connection has carried a request, and reused if it carries a further one.
	used, reused bool
	// reader and its source, input, are set only while a request is in progress on the connection.
	reader *bufio.Reader
	input  *sockets.LimitedReader
	// usableFor is the idle time after which the connection is not reused.
	usableFor time.Duration
	idleSince time.Time
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	return sockets.Dialer(dialTimeout, ackTimeout).DialContext(ctx, "tcp", address)
}

// settleTime returns for how long a new connection is observed before use: one round trip,
// bounded by maxSettleTime.
func settleTime(opening time.Duration) time.Duration { return min(opening, maxSettleTime) }

func (c *connection) close() {
	// The connection is discarded; an error of closing it has no consequence.
	_ = c.socket.Close()
}

// abort resets the connection, so that unacknowledged data is discarded and never arrives.
func (c *connection) abort() {
	if socket, ok := c.socket.(*net.TCPConn); ok {
		// If this fails, the connection is closed in the normal way instead.
		_ = socket.SetLinger(0)
	}
	c.close()
}

// undelivered reports whether the peer's machine has not yet acknowledged all written bytes.
func (c *connection) undelivered() bool {
	queued, err := c.pool.unacknowledged(c.socket)
	return err == nil && queued > 0
}

// readers pools read buffers, so that idle connections hold none: a node that renews the
// grants of some thousand servers keeps a connection to each, and few are in use at a time.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// attachReader attaches a pooled reader to the connection.
func (c *connection) attachReader() {
	c.reader = readers.Get().(*bufio.Reader)
	c.input = sockets.NewLimitedReader(c.socket)
	c.reader.Reset(c.input)
}

// releaseReader returns the connection's reader, if any, to the pool. The reader must not
// have buffered data.
func (c *connection) releaseReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader, c.input = nil, nil
}

// Exchange sends a request and returns the response. When the context ends, the connection
// is closed, which signals the server to stop processing the request.
func (p *Pool) Exchange(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.open(ctx, request)
	if err != nil {
		return nil, err
	}
	request.Attempts.record(c)
	c.reused, c.used = c.used, true
	var undelivered atomic.Bool
	stop := context.AfterFunc(ctx, func() {
		undelivered.Store(c.undelivered())
		c.abort()
	})
	stopMonitor := c.monitorAck(ctx, request)
	sentAt := time.Now()
	answer, reusable, err := c.exchange(request)
	if err == nil {
		p.link.recordDelivery(sentAt)
	}
	if stopMonitor() && err != nil {
		p.closeIdleSince(sentAt)
		err = errors.Mark(err, ErrUnacknowledged)
	}
	if !stop() && err == nil {
		// The context ended while the response arrived. The response is complete, but the
		// connection is being closed.
		reusable = false
	}
	if err != nil && undelivered.Load() {
		err = errors.Mark(err, ErrUndelivered)
	}
	if err != nil || (!reusable && answer.Rest == nil) {
		c.close()
		return answer, err
	}
	if answer.Rest == nil {
		p.putIdle(c)
		return answer, nil
	}
	answer.Rest = &responseRemainder{Reader: answer.Rest, connection: c, stop: context.AfterFunc(ctx, c.close)}
	return answer, nil
}

// responseRemainder reads the remainder of a long response. Its connection is not reused.
type responseRemainder struct {
	io.Reader
	connection *connection
	stop       func() bool
}

func (r *responseRemainder) Close() error {
	r.stop()
	return r.connection.socket.Close()
}

// exchange sends a request, reads the response and reports whether the connection can be
// reused.
func (c *connection) exchange(request *Request) (*Response, bool, error) {
	c.attachReader()
	bodyDone, err := c.write(request)
	if err != nil {
		return nil, false, errors.Mark(errors.Wrap(err, "send request"), ErrNoResponse)
	}
	response, skipped, err := c.readMatching(request)
	if err != nil {
		return nil, false, err
	}
	answer := &Response{Status: response.StatusCode, Header: response.Header}
	body := c.responseBody(response, bodyDone)
	answer.Body, err = io.ReadAll(io.LimitReader(body, maxBufferedBody))
	if err != nil {
		return nil, false, errors.Mark(errors.Wrap(err, "read answer"), ErrBadResponse)
	}
	passed := true
	if c.needsBarrier(request) {
		if passed, err = c.passBarrier(request); err != nil {
			return nil, false, err
		}
	}
	if len(answer.Body) == maxBufferedBody {
		answer.Rest = io.NopCloser(body)
		return answer, false, nil
	}
	c.recordKeepAlive(response.Header)
	reusable := passed && !response.Close && !skipped && c.reader.Buffered() == 0 && bodySent(bodyDone)
	return answer, reusable, nil
}

// bodySent reports whether the request body has been sent completely.
func bodySent(bodyDone <-chan error) bool {
	if bodyDone == nil {
		return true
	}
	select {
	case err := <-bodyDone:
		return err == nil
	default:
		return false
	}
}

// recordKeepAlive records the keep-alive timeout that the server announces.
func (c *connection) recordKeepAlive(header http.Header) {
	c.usableFor = defaultKeepAlive - keepAliveMargin
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.usableFor = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
}

// readMatching reads responses until it finds the one with the request's id, and reports whether
// it skipped others.
func (c *connection) readMatching(request *Request) (*http.Response, bool, error) {
	skipped := false
	for range maxResponsesRead {
		response, err := c.readHead(request.Method)
		if err != nil {
			return nil, skipped, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if request.IDHeader == "" || response.Header.Get(request.IDHeader) == request.ID {
			return response, skipped, nil
		}
		skipped = true
		if !c.skipBody(response) {
			break
		}
	}
	return nil, skipped, errors.Wrap(ErrNoResponse, "only answers to other requests came")
}

// readHead reads the head of the next response.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.input.Limit(maxHead)
	defer c.input.Unlimit()
	if c.hidesCoding() {
		return nil, errors.Wrap(ErrBadResponse, "HTTP/1.0 response with a transfer coding")
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	switch {
	case err != nil && c.input.Exhausted():
		// The error is not wrapped: it looks like the end of the connection.
		return nil, errors.Wrapf(ErrBadResponse, "head of the answer exceeds %d bytes", maxHead)
	case err != nil:
		return nil, errors.Mark(errors.Wrap(err, "read answer"), ErrNoResponse)
	default:
		return response, checkHead(response)
	}
}

// checkHead performs the checks that http.ReadResponse leaves to a client. A field whose name is no token
// may be one that decides where the response ends.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return errors.Wrapf(ErrBadResponse, "protocol %q", response.Proto)
	}
	if response.StatusCode < http.StatusContinue {
		return errors.Wrapf(ErrBadResponse, "status %d", response.StatusCode)
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrBadResponse, "field name %q", name)
		}
	}
	return nil
}

// skipBody reads the body of a response to another request. It reports false if the connection cannot
// be used for a further response.
func (c *connection) skipBody(response *http.Response) bool {
	c.input.Limit(maxSkippedBody)
	defer c.input.Unlimit()
	_, err := io.Copy(io.Discard, response.Body)
	// A body that the end of the connection delimits looks complete at the limit.
	return err == nil && !c.input.Exhausted()
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends the request. A long or streamed body is sent by a separate goroutine, whose
// result is delivered on the returned channel; the channel is nil if everything was sent.
func (c *connection) write(request *Request) (<-chan error, error) {
	head := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(head)
	head.Reset()
	appendHead(head, request)
	if request.Rest == nil && len(request.Body) < minConcurrentBody {
		head.Write(request.Body)
		if c.needsBarrier(request) {
			appendHead(head, request.Barrier.Request)
			head.Write(request.Barrier.Request.Body)
		}
		_, err := c.socket.Write(head.Bytes())
		return nil, err
	}
	if _, err := c.socket.Write(head.Bytes()); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() { done <- c.writeBody(request) }()
	return done, nil
}

func (c *connection) writeBody(request *Request) error {
	if request.Rest == nil {
		_, err := c.socket.Write(request.Body)
		return err
	}
	chunks := newChunkedWriter(c.socket)
	if _, err := chunks.Write(request.Body); err != nil {
		return err
	}
	source := &bodySource{body: request.Rest}
	if _, err := io.Copy(chunks, source); err != nil {
		if source.failed {
			// Closing the connection without the last chunk keeps the server from accepting the
			// body as complete. If the connection has failed instead, the response ends with
			// its error, which tells how the server ended.
			c.close()
		}
		return err
	}
	return chunks.Close()
}

// bodySource reads the body of a request and records whether that failed.
type bodySource struct {
	body   io.Reader
	failed bool
}

// Read implements io.Reader.
func (s *bodySource) Read(into []byte) (int, error) {
	count, err := s.body.Read(into)
	s.failed = err != nil && !errors.Is(err, io.EOF)
	return count, err
}

func appendHead(head *bytes.Buffer, request *Request) {
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.URI)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	for _, field := range request.Fields {
		head.WriteString(field.Name)
		head.WriteString(": ")
		head.WriteString(field.Value)
		head.WriteString("\r\n")
	}
	switch {
	case request.Rest != nil:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead):
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(request.Body)))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
}
