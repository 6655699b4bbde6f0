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
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/periodic"
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
	// IDHeader and ID are the name and value of the header field that identifies the response
	// to this request. An empty ID accepts any response.
	IDHeader, ID string
}

// Response is a server's response.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is not nil. The caller must close Rest.
	Body []byte
	Rest io.ReadCloser
}

// Pool holds the persistent connections to one server.
type Pool struct {
	address string
	// settleTime returns for how long a new connection is observed before use, given the time
	// that opening it took.
	settleTime func(opening time.Duration) time.Duration
	// unacknowledged returns the number of bytes written to a connection that the peer's
	// machine has not acknowledged.
	unacknowledged func(net.Conn) (int, error)
	// dial opens a connection to the server.
	dial func(ctx context.Context, address string) (net.Conn, error)
	link *Link

	mutex  sync.Mutex
	idle   []*connection
	closed bool
	// probing is true while probePath opens a connection to check that the network path to
	// the server works.
	probing bool
}

// connection is one persistent connection. It carries at most one request at a time.
type connection struct {
	pool   *Pool
	socket net.Conn
	// reused is true once the connection has carried a request.
	reused bool
	// reader is set only while a request is in progress on the connection.
	reader *bufio.Reader
	// usableFor is the idle time after which the connection is not reused.
	usableFor time.Duration
	idleSince time.Time
}

// NewPool returns a pool for a server's address. All pools of a process share one Link.
func NewPool(address string, link *Link) *Pool {
	return &Pool{address: address, settleTime: settleTime, unacknowledged: sockets.Unacknowledged, dial: dial, link: link}
}

// Address returns the server's address.
func (p *Pool) Address() string { return p.address }

func dial(ctx context.Context, address string) (net.Conn, error) {
	return sockets.Dialer(dialTimeout, ackTimeout).DialContext(ctx, "tcp", address)
}

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

// settleTime returns for how long a new connection is observed before use: one round trip,
// bounded by maxSettleTime.
func settleTime(opening time.Duration) time.Duration { return min(opening, maxSettleTime) }

// Close closes idle connections. Connections in use are closed when their request ends.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Prune closes connections that have been idle for longer than they may be reused.
func (p *Pool) Prune(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.usableFor {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

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

// getIdle returns an idle connection that is open and has no unread data, or nil. Data that
// arrived while the connection was idle belongs to no request, so such a connection is
// closed.
func (p *Pool) getIdle() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if time.Since(c.idleSince) < c.usableFor && sockets.IsIdle(c.socket) {
			return c
		}
		c.close()
	}
	return nil
}

// putIdle makes a connection available for reuse, or closes it if the pool is closed.
func (p *Pool) putIdle(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.releaseReader()
	c.idleSince = time.Now()
	c.reused = true
	p.idle = append(p.idle, c)
}

// closeIdleSince closes the connections that have been idle since before the given time. It
// is called after another connection to the same server was lost, because the connections to
// one server are mostly lost together.
func (p *Pool) closeIdleSince(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *connection) bool {
		drop := c.idleSince.Before(before)
		if drop {
			c.close()
		}
		return drop
	})
}

// open returns an idle connection or, if there is none, a new one.
func (p *Pool) open(ctx context.Context) (*connection, error) {
	if c := p.getIdle(); c != nil {
		return c, nil
	}
	return p.openNew(ctx)
}

// openNew opens a new connection even if there are idle ones.
func (p *Pool) openNew(ctx context.Context) (*connection, error) {
	startedAt := time.Now()
	socket, err := p.dial(ctx, p.address)
	if errors.Is(err, syscall.ECONNRESET) {
		err = errors.Mark(err, ErrConnectionLimit)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", p.address), ErrNotSent)
	}
	p.link.recordDelivery(startedAt)
	periodic.Pause(ctx, p.settleTime(time.Since(startedAt)))
	if !sockets.IsIdle(socket) {
		// The server has already closed it; an error of closing it has no consequence.
		_ = socket.Close()
		return nil, errors.Mark(errors.Wrapf(ErrConnectionLimit, "connect to %s", p.address), ErrNotSent)
	}
	return &connection{pool: p, socket: socket, usableFor: defaultKeepAlive - keepAliveMargin}, nil
}

// readers pools read buffers, so that idle connections hold none: a node that renews the
// grants of some thousand servers keeps a connection to each, and few are in use at a time.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// attachReader attaches a pooled reader to the connection.
func (c *connection) attachReader() {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.socket)
}

// releaseReader returns the connection's reader, if any, to the pool. The reader must not
// have buffered data.
func (c *connection) releaseReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// Exchange sends a request and returns the response. When the context ends, the connection
// is closed, which signals the server to stop processing the request.
func (p *Pool) Exchange(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
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
	answer.Body, err = io.ReadAll(io.LimitReader(response.Body, maxBufferedBody))
	if err != nil {
		return nil, false, errors.Mark(errors.Wrap(err, "read answer"), ErrBadResponse)
	}
	if len(answer.Body) == maxBufferedBody {
		answer.Rest = response.Body
		return answer, false, nil
	}
	c.recordKeepAlive(response.Header)
	reusable := !response.Close && !skipped && c.reader.Buffered() == 0 && bodySent(bodyDone)
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
	method := &http.Request{Method: request.Method}
	skipped := false
	for range maxResponsesRead {
		response, err := http.ReadResponse(c.reader, method)
		if err != nil {
			return nil, skipped, errors.Mark(errors.Wrap(err, "read answer"), ErrNoResponse)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if request.ID == "" || response.Header.Get(request.IDHeader) == request.ID {
			return response, skipped, nil
		}
		skipped = true
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			break
		}
	}
	return nil, skipped, errors.Wrap(ErrNoResponse, "only answers to other requests came")
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
