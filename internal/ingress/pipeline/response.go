package pipeline

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// progress is how far a request has come.
type progress int

const (
	// arriving: its head was read, its body not yet.
	arriving progress = iota
	// waiting: it was read and doesn't run yet.
	waiting
	running
	// done: its handler has returned.
	done
)

const (
	unknownLength = -1
	// smallAnswer is how much of an answer without a length is held, so that a short one
	// gets one; the same as in net/http.
	smallAnswer = 2 << 10
	// joinedBody is up to which size a body is copied to its head, so that both take one
	// system call.
	joinedBody = 32 << 10
)

// errDropped means that the connection ended before the answer's turn.
var errDropped = errors.New("the connection of the answer has ended")

// exchange is a request and its answer. It implements http.ResponseWriter.
type exchange struct {
	connection *connection
	request    *http.Request
	cancel     context.CancelFunc
	arrivedAt  time.Time
	// final is true if nothing is read from the connection after the request.
	final bool
	// bodyBytes is how much of the body is held; body is what the handler reads of it
	// from the connection, nil if it was read whole.
	bodyBytes int
	body      *handlerBody
	// raw is an answer of the server itself.
	raw string

	// The connection's mutex guards these.
	state     progress
	bodyRead  bool
	aborted   bool
	dropped   bool
	beside    *bool
	cost      int
	heldBytes int
	doneAt    time.Time
	// turn is closed when a handler that waits for its turn may write.
	turn chan struct{}

	// onTurn is told when the answer has its turn.
	onTurn func(behind time.Duration)

	// The handler's goroutine uses these, and afterwards the one that writes the answer.
	header      http.Header
	status      int
	length      int64
	written     int64
	held        []byte
	headWritten bool
	chunked     bool
	// closes is true if the connection ends after the answer.
	closes bool
	// waitingSince is when bytes of the answer first had to wait for its turn.
	waitingSince time.Time
}

// Arrival returns when the head of a request was read, by the writer of its answer; now if
// the writer is another server's.
func Arrival(writer http.ResponseWriter) time.Time {
	if e, ok := writer.(*exchange); ok {
		return e.arrivedAt
	}
	return time.Now()
}

// OnTurn calls a function when an answer has its turn to be written, or is dropped, with the
// time that it has waited behind earlier answers of its connection. With the writer of
// another server it is called at once.
func OnTurn(writer http.ResponseWriter, call func(behind time.Duration)) {
	e, ok := writer.(*exchange)
	if !ok {
		call(0)
		return
	}
	e.onTurn = call
}

// behind returns how long the answer has waited for its turn, if it had to.
func (e *exchange) behind(doneAt time.Time) time.Duration {
	since := e.waitingSince
	if since.IsZero() {
		since = doneAt
	}
	if since.IsZero() {
		return 0
	}
	return time.Since(since)
}

// report tells the handler, once, how long the answer has waited.
func (e *exchange) report(behind time.Duration) {
	call := e.onTurn
	if call == nil {
		return
	}
	e.onTurn = nil
	if behind > 0 {
		behindSeconds.Observe(behind.Seconds())
	}
	call(behind)
}

// mayRunBeside reports whether the request may run beside others. It is called with the
// connection's mutex held, and asks only where there are others.
func (e *exchange) mayRunBeside() bool {
	if e.beside == nil {
		may := e.raw == "" && e.body == nil && e.connection.server.SideBySide(e.request)
		e.beside = &may
	}
	return *e.beside
}

// asksToClose reports whether the handler wants the connection to end.
func (e *exchange) asksToClose() bool {
	return len(e.header["Connection"]) > 0 && strings.EqualFold(e.header.Get("Connection"), "close")
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	if e.status != 0 || status < http.StatusOK {
		return
	}
	e.status = status
	if length := e.header.Get("Content-Length"); length != "" {
		parsed, err := strconv.ParseInt(length, 10, 64)
		if err != nil || parsed < 0 {
			e.header.Del("Content-Length")
			return
		}
		e.length = parsed
	}
}

// Write implements http.ResponseWriter. An answer that has to wait is held if there is
// room; otherwise Write returns when its turn has come.
func (e *exchange) Write(content []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if len(content) == 0 {
		return 0, nil
	}
	if !bodyAllowed(e.status) {
		return 0, http.ErrBodyNotAllowed
	}
	if e.length != unknownLength && e.written+int64(len(content)) > e.length {
		return 0, http.ErrContentLength
	}
	e.written += int64(len(content))
	if !e.headWritten && e.length == unknownLength && len(e.held)+len(content) <= smallAnswer {
		e.held = append(e.held, content...)
		return len(content), nil
	}
	hold, err := e.takeTurn(len(content))
	if err != nil {
		return 0, err
	}
	if hold {
		e.held = append(e.held, content...)
		return len(content), nil
	}
	e.report(e.behind(time.Time{}))
	if err := e.send(content, false); err != nil {
		return 0, err
	}
	return len(content), nil
}

// takeTurn returns when the answer may be written, or at once if there is room to hold
// some bytes of it until then.
func (e *exchange) takeTurn(count int) (hold bool, err error) {
	c := e.connection
	for {
		c.mutex.Lock()
		switch {
		case e.dropped:
			c.mutex.Unlock()
			return false, errDropped
		case c.queue[0] == e && (c.writer == nil || c.writer == e):
			c.writer = e
			c.mutex.Unlock()
			return false, nil
		}
		if e.waitingSince.IsZero() {
			e.waitingSince = time.Now()
		}
		if c.held+count <= mostHeld && c.server.Held.take(count) {
			c.held += count
			e.heldBytes += count
			c.mutex.Unlock()
			return true, nil
		}
		turn := make(chan struct{})
		e.turn = turn
		c.mutex.Unlock()
		select {
		case <-turn:
		case <-e.request.Context().Done():
			return false, errDropped
		}
	}
}

// writeOut writes an answer whose handler has returned. It reports whether the connection
// goes on.
func (e *exchange) writeOut() bool {
	if e.raw != "" {
		// Nothing follows.
		_ = e.connection.write([]byte(e.raw), wholeStall)
		return false
	}
	if e.aborted {
		return false
	}
	e.WriteHeader(http.StatusOK)
	if e.body != nil && !e.body.ended() {
		// The next bytes belong to the body and must not be taken for a request.
		e.closes = true
	}
	if !e.headWritten || e.chunked || len(e.held) > 0 {
		if err := e.send(nil, true); err != nil {
			return false
		}
	}
	short := e.length != unknownLength && e.written != e.length && e.request.Method != http.MethodHead && bodyAllowed(e.status)
	return !short && !e.closes
}

// endsWithConnection reports whether a client has only the end of the connection to tell it
// that the body, of which something was written, is whole: one that speaks HTTP/1.0 and was
// told no length.
func (e *exchange) endsWithConnection() bool {
	bounded := e.chunked || e.length != unknownLength || e.request.Method == http.MethodHead || !bodyAllowed(e.status)
	return e.headWritten && !bounded
}

func (b *handlerBody) ended() bool {
	b.exchange.connection.mutex.Lock()
	defer b.exchange.connection.mutex.Unlock()
	return b.exchange.bodyRead
}

var outputs = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// send writes the head, if it was not written, what is held, and some more.
func (e *exchange) send(content []byte, last bool) error {
	output := outputs.Get().(*bytes.Buffer)
	output.Reset()
	defer outputs.Put(output)
	if !e.headWritten {
		e.writeHead(output, content, last)
	}
	if e.request.Method == http.MethodHead || !bodyAllowed(e.status) {
		if output.Len() == 0 {
			return nil
		}
		return e.connection.write(output.Bytes(), e.stall(last))
	}
	held := e.held
	e.held = nil
	count := len(held) + len(content)
	if e.chunked && count > 0 {
		output.Write(strconv.AppendInt(output.AvailableBuffer(), int64(count), 16))
		output.WriteString("\r\n")
	}
	for _, part := range [][]byte{held, content} {
		if output.Len()+len(part) <= joinedBody {
			output.Write(part)
			continue
		}
		if err := e.flushOutput(output, e.stall(last)); err != nil {
			return err
		}
		if err := e.connection.write(part, e.stall(last)); err != nil {
			return err
		}
	}
	if e.chunked && count > 0 {
		output.WriteString("\r\n")
	}
	if e.chunked && last {
		output.WriteString("0\r\n\r\n")
	}
	return e.flushOutput(output, e.stall(last))
}

// stall returns how long the client may take nothing. An answer of known length is held
// whole by its handler, also if it is written in pieces.
func (e *exchange) stall(last bool) time.Duration {
	if last || e.length != unknownLength {
		return wholeStall
	}
	return streamStall
}

func (e *exchange) flushOutput(output *bytes.Buffer, stall time.Duration) error {
	if output.Len() == 0 {
		return nil
	}
	err := e.connection.write(output.Bytes(), stall)
	output.Reset()
	return err
}

// writeHead appends the head of the answer, whose body begins with what is held and some
// more. It decides how the body ends and whether the connection does.
func (e *exchange) writeHead(output *bytes.Buffer, more []byte, last bool) {
	e.headWritten = true
	request, header := e.request, e.header
	head := request.Method == http.MethodHead
	modern := request.ProtoAtLeast(1, 1)
	if last && e.length == unknownLength && e.written <= smallAnswer && bodyAllowed(e.status) && (!head || len(e.held) > 0) {
		e.length = e.written
		header["Content-Length"] = []string{strconv.FormatInt(e.length, 10)}
	}
	delete(header, "Transfer-Encoding")
	bounded := head || e.length != unknownLength || !bodyAllowed(e.status)
	switch {
	case !bodyAllowed(e.status):
		delete(header, "Content-Length")
		if e.status != http.StatusNotModified {
			delete(header, "Content-Type")
		}
	case header["Content-Type"] == nil && header.Get("Content-Encoding") == "" && len(e.held)+len(more) > 0:
		begin := e.held
		if len(begin) == 0 {
			begin = more
		}
		header["Content-Type"] = []string{http.DetectContentType(begin)}
	}
	e.chunked = modern && !bounded
	e.closes = e.closes || e.final || (!modern && !bounded)
	e.decideToClose()
	delete(header, "Connection")
	switch {
	case e.closes && modern:
		header["Connection"] = []string{"close"}
	case !e.closes && !modern:
		header["Connection"] = []string{"keep-alive"}
	}
	if e.chunked {
		header["Transfer-Encoding"] = []string{"chunked"}
	}
	if header["Date"] == nil {
		header["Date"] = []string{time.Now().UTC().Format(http.TimeFormat)}
	}
	writeStatusLine(output, modern, e.status)
	// Writing to a buffer doesn't fail.
	_ = header.Write(output)
	output.WriteString("\r\n")
}

// decideToClose makes the answer close the connection if it is the last one. If the
// handler asks for it while others are to come, the last of them closes it.
func (e *exchange) decideToClose() {
	c := e.connection
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.asksToClose() {
		c.closing = true
	}
	c.stopIfClosingLocked()
	if e.closes {
		c.noMore = true
		if index := slices.Index(c.queue, e); index >= 0 {
			c.dropLocked(index + 1)
		}
		return
	}
	e.closes = c.noMore && len(c.queue) > 0 && c.queue[len(c.queue)-1] == e
}

func writeStatusLine(output *bytes.Buffer, modern bool, status int) {
	if modern {
		output.WriteString("HTTP/1.1 ")
	} else {
		output.WriteString("HTTP/1.0 ")
	}
	output.Write(strconv.AppendInt(output.AvailableBuffer(), int64(status), 10))
	output.WriteByte(' ')
	if text := http.StatusText(status); text != "" {
		output.WriteString(text)
	} else {
		output.WriteString("status code ")
		output.Write(strconv.AppendInt(output.AvailableBuffer(), int64(status), 10))
	}
	output.WriteString("\r\n")
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
