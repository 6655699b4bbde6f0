// Package upstream sends requests to servers over HTTP/1.1 connections that are
// kept, one request at a time on each. Unlike net/http's transport it never
// repeats a request by itself, and it matches answers to requests by their id.
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
	"github.com/micahaven/micahaven/internal/sockets"
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request reached the server's process.
	ErrNotSent = errors.New("request was not sent")
	// ErrTurnedAway means, besides, that the server ended a new connection at once: it
	// runs, and has as many connections as it takes.
	ErrTurnedAway = errors.New("server takes no more connections")
	// ErrNoAnswer means that the request may have run and no answer came.
	ErrNoAnswer = errors.New("no answer")
	// ErrUndelivered means, besides, that the server's machine had not
	// acknowledged the whole request when its connection was reset: the rest of
	// it never arrives.
	ErrUndelivered = errors.New("request was not delivered")
	// ErrSilent means, besides, that the server's machine acknowledged nothing of the
	// request on a kept connection: such a connection is lost, and others may work.
	ErrSilent = errors.New("connection is silent")
	// ErrBadAnswer means that what came is not the whole answer to the request;
	// the request may have run.
	ErrBadAnswer = errors.New("answer is damaged")
)

const (
	dialTimeout = 400 * time.Millisecond
	// silenceLimit is how long a server's machine may acknowledge nothing on a connection,
	// idle or not, before the kernel ends it. Request.Silence bounds requests sooner.
	silenceLimit = time.Second
	// maxSettle bounds how long a new connection is watched before anything is sent on
	// it. It is watched for one round trip, as its opening took: a server beyond its
	// limit of connections accepts one and resets it at once, and a request that was
	// sent meanwhile might have run.
	maxSettle = 5 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the server does not
	// say; reuse stops idleMargin before the server closes it.
	defaultIdle = 8 * time.Second
	idleMargin  = 1200 * time.Millisecond
	bufferBytes = 4 << 10
	// maxBufferedBody is how much of an answer is read before it is passed on. Most answers
	// are shorter, and their servers are free at once; 200 callers that don't read their
	// long answers hold 25 MB.
	maxBufferedBody = 128 << 10
	// maxSurplus is how many answers to other requests are skipped.
	maxSurplus = 4
	// concurrentBody is the size from which a body is sent while the answer is
	// awaited, because a server may answer before it has read everything.
	concurrentBody = 32 << 10
)

// Field is one header line.
type Field struct{ Name, Value string }

// Request is one request to a server.
type Request struct {
	Method string
	// URI is the request target exactly as the client sent it.
	URI    string
	Host   string
	Fields []Field
	Body   []byte
	// Rest follows Body; nil if Body is everything.
	Rest io.Reader
	// Silence is how long the request may stay unacknowledged on a kept connection before
	// it is compared with what was sent later, and the connection given up if that arrived;
	// 0 means that it is waited for.
	Silence time.Duration
	// IDHeader and ID are how the server marks the answer to this request.
	IDHeader, ID string
}

// Answer is a server's answer.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is not nil.
	Body []byte
	Rest io.ReadCloser
}

// Pool keeps connections to one server.
type Pool struct {
	address string
	// settleTime is for how long a new connection is watched, by the time that its
	// opening took.
	settleTime func(opening time.Duration) time.Duration
	// unacknowledged returns how many bytes written to a connection its peer has not
	// acknowledged.
	unacknowledged func(net.Conn) (int, error)
	// dial opens a connection to the server.
	dial func(ctx context.Context, address string) (net.Conn, error)
	link *Link

	mutex  sync.Mutex
	idle   []*connection
	closed bool
	// probing is true while a connection is being opened only to learn whether the path
	// to the server works.
	probing bool
}

type connection struct {
	pool   *Pool
	socket net.Conn
	// used is true once the connection has carried a request.
	used bool
	// reader is there while a request is on the connection.
	reader    *bufio.Reader
	usableFor time.Duration
	idleSince time.Time
}

// NewPool returns a pool for a server's address. Pools of one process share its link.
func NewPool(address string, link *Link) *Pool {
	return &Pool{address: address, settleTime: settleTime, unacknowledged: sockets.Unacknowledged, dial: dial, link: link}
}

// Address returns where the server is.
func (p *Pool) Address() string { return p.address }

func dial(ctx context.Context, address string) (net.Conn, error) {
	return sockets.Dialer(dialTimeout, silenceLimit).DialContext(ctx, "tcp", address)
}

// refusesTimeout bounds how long a server's machine may take to refuse a connection.
const refusesTimeout = 200 * time.Millisecond

// Refuses reports whether the server's machine refuses a new connection: nothing listens there
// any more. A machine that says nothing does not refuse.
func (p *Pool) Refuses(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, refusesTimeout)
	defer cancel()
	socket, err := p.dial(bounded, p.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// It was opened only to see; there is nobody to tell.
	_ = socket.Close()
	return false
}

func settleTime(opening time.Duration) time.Duration { return min(opening, maxSettle) }

// Close ends idle connections; those in use end with their request.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Prune ends connections that have been idle for too long.
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
	// The connection is given up; there is nobody to tell.
	_ = c.socket.Close()
}

// abort resets the connection, so that nothing more of what was written arrives.
func (c *connection) abort() {
	if socket, ok := c.socket.(*net.TCPConn); ok {
		// Without it the connection is closed in order, which is what close does.
		_ = socket.SetLinger(0)
	}
	c.close()
}

// undelivered reports whether written bytes are not acknowledged yet.
func (c *connection) undelivered() bool {
	queued, err := c.pool.unacknowledged(c.socket)
	return err == nil && queued > 0
}

// take returns an idle connection that is open and silent: an idle server has
// nothing to say, so bytes there belong to no request.
func (p *Pool) take() *connection {
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

func (p *Pool) put(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.giveReaderBack()
	c.idleSince = time.Now()
	c.used = true
	p.idle = append(p.idle, c)
}

// dropIdle ends the connections that have been idle since before a moment: one to the
// same server went silent then, and connections mostly do so together.
func (p *Pool) dropIdle(before time.Time) {
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

func (p *Pool) open(ctx context.Context) (*connection, error) {
	if c := p.take(); c != nil {
		return c, nil
	}
	return p.openNew(ctx)
}

// openNew opens a connection although there may be idle ones.
func (p *Pool) openNew(ctx context.Context) (*connection, error) {
	startedAt := time.Now()
	socket, err := p.dial(ctx, p.address)
	if errors.Is(err, syscall.ECONNRESET) {
		err = errors.Mark(err, ErrTurnedAway)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", p.address), ErrNotSent)
	}
	p.link.passed(startedAt)
	periodic.Pause(ctx, p.settleTime(time.Since(startedAt)))
	if !sockets.IsIdle(socket) {
		// It was ended by the server; there is nobody to tell.
		_ = socket.Close()
		return nil, errors.Mark(errors.Wrapf(ErrTurnedAway, "connect to %s", p.address), ErrNotSent)
	}
	return &connection{pool: p, socket: socket, usableFor: defaultIdle - idleMargin}, nil
}

// readers are those of connections that are idle: a node that renews the grants of some
// thousand servers keeps a connection to each, of which few are in use at a time.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}

// takeReader gives the connection a reader.
func (c *connection) takeReader() {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.socket)
}

// giveReaderBack takes it away, if it has one; nothing is buffered in it.
func (c *connection) giveReaderBack() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// Exchange sends a request and returns its answer. When the context ends, the
// connection is closed, which tells the server to stop.
func (p *Pool) Exchange(ctx context.Context, request *Request) (*Answer, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	var undelivered atomic.Bool
	stop := context.AfterFunc(ctx, func() {
		undelivered.Store(c.undelivered())
		c.abort()
	})
	silent := c.watchSilence(ctx, request)
	wroteAt := time.Now()
	answer, reusable, err := c.exchange(request)
	if err == nil {
		p.link.passed(wroteAt)
	}
	if silent() && err != nil {
		p.dropIdle(wroteAt)
		err = errors.Mark(err, ErrSilent)
	}
	if !stop() && err == nil {
		// The context ended while the answer arrived; it is whole.
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
		p.put(c)
		return answer, nil
	}
	answer.Rest = &rest{Reader: answer.Rest, connection: c, stop: context.AfterFunc(ctx, c.close)}
	return answer, nil
}

// rest is the end of a long answer; its connection is not used again.
type rest struct {
	io.Reader
	connection *connection
	stop       func() bool
}

func (r *rest) Close() error {
	r.stop()
	return r.connection.socket.Close()
}

func (c *connection) exchange(request *Request) (*Answer, bool, error) {
	c.takeReader()
	wrote, err := c.write(request)
	if err != nil {
		return nil, false, errors.Mark(errors.Wrap(err, "send request"), ErrNoAnswer)
	}
	response, skipped, err := c.readOwn(request)
	if err != nil {
		return nil, false, err
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header}
	answer.Body, err = io.ReadAll(io.LimitReader(response.Body, maxBufferedBody))
	if err != nil {
		return nil, false, errors.Mark(errors.Wrap(err, "read answer"), ErrBadAnswer)
	}
	if len(answer.Body) == maxBufferedBody {
		answer.Rest = response.Body
		return answer, false, nil
	}
	c.noteKeepAlive(response.Header)
	reusable := !response.Close && !skipped && c.reader.Buffered() == 0 && finished(wrote)
	return answer, reusable, nil
}

func finished(wrote <-chan error) bool {
	if wrote == nil {
		return true
	}
	select {
	case err := <-wrote:
		return err == nil
	default:
		return false
	}
}

// noteKeepAlive takes in how long the server keeps idle connections.
func (c *connection) noteKeepAlive(header http.Header) {
	c.usableFor = defaultIdle - idleMargin
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.usableFor = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}

// readOwn reads answers until that of the request comes.
func (c *connection) readOwn(request *Request) (*http.Response, bool, error) {
	method := &http.Request{Method: request.Method}
	skipped := false
	for range maxSurplus {
		response, err := http.ReadResponse(c.reader, method)
		if err != nil {
			return nil, skipped, errors.Mark(errors.Wrap(err, "read answer"), ErrNoAnswer)
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
	return nil, skipped, errors.Wrap(ErrNoAnswer, "only answers to other requests came")
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends the request. A long body is sent on a goroutine of its own, whose
// end is told on the channel.
func (c *connection) write(request *Request) (<-chan error, error) {
	head := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(head)
	head.Reset()
	appendHead(head, request)
	if request.Rest == nil && len(request.Body) < concurrentBody {
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
	writer := newChunkedWriter(c.socket)
	if _, err := writer.Write(request.Body); err != nil {
		return err
	}
	if _, err := io.Copy(writer, request.Rest); err != nil {
		// The client's body ended early; the server must not take it as whole.
		c.close()
		return err
	}
	return writer.Close()
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
