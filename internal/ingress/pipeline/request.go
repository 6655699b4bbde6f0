package pipeline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// mostBodyAhead is how much of a body is read before its request is served. A longer
	// one is read by its handler, and its request runs alone.
	mostBodyAhead = 1 << 20
	// headerSlack is what net/http reads beyond the limit of a head; the two refuse the
	// same heads.
	headerSlack = 4 << 10
	// bodyAtOnce is how much room a body gets before anything of it has come. A longer one
	// gets more as it comes, so that a client that only announces it takes none.
	bodyAtOnce = 16 << 10
	// leastLine is what must have come of a further request before it is taken for one.
	leastLine = 4
)

// rejected is a request that is answered by the server itself, which then closes the
// connection.
type rejected struct {
	status int
	detail string
	// old is true if the answer has to be of HTTP/1.0.
	old bool
}

// Error implements error.
func (r *rejected) Error() string {
	text := fmt.Sprintf("%d %s", r.status, http.StatusText(r.status))
	if r.detail != "" {
		text += ": " + r.detail
	}
	return text
}

// errNoRequest means that a connection ended between two requests.
var errNoRequest = errors.New("no request")

// limitedReader reads from a connection, and while a head is read no more than a limit.
type limitedReader struct {
	source net.Conn
	left   int
	head   bool
}

// Read implements io.Reader.
func (l *limitedReader) Read(into []byte) (int, error) {
	if !l.head {
		return l.source.Read(into)
	}
	if l.left <= 0 {
		return 0, io.EOF
	}
	count, err := l.source.Read(into[:min(len(into), l.left)])
	l.left -= count
	return count, err
}

// readHead reads the head of the next request.
func (c *connection) readHead(first bool) (*exchange, error) {
	if !first {
		if _, err := c.reader.Peek(leastLine); err != nil {
			return nil, errNoRequest
		}
	}
	c.input.head, c.input.left = true, c.server.HeaderBytes+headerSlack
	if c.afterPost {
		c.skipLineEnds()
	}
	request, err := http.ReadRequest(c.reader)
	c.input.head = false
	if err != nil {
		if c.input.left <= 0 {
			return nil, &rejected{status: http.StatusRequestHeaderFieldsTooLarge}
		}
		return nil, err
	}
	arrivedAt := time.Now()
	c.afterPost = request.Method == http.MethodPost
	if err := check(request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	request.RemoteAddr = c.remote
	return &exchange{
		connection: c, request: request.WithContext(ctx), cancel: cancel, arrivedAt: arrivedAt,
		header: make(http.Header), length: unknownLength, bodyRead: true, final: isFinal(request),
	}, nil
}

// skipLineEnds passes over the line ends that some clients send after the body of a POST.
func (c *connection) skipLineEnds() {
	// The error comes again when the request is read.
	ahead, _ := c.reader.Peek(leastLine)
	_, _ = c.reader.Discard(len(ahead) - len(bytes.TrimLeft(ahead, "\r\n")))
}

// onlyLineEnds reports whether no more was read than line ends that are passed over. A
// connection with nothing else is idle.
func (c *connection) onlyLineEnds() bool {
	count := c.reader.Buffered()
	if !c.afterPost || count > leastLine {
		return false
	}
	// What is buffered is there at once.
	ahead, _ := c.reader.Peek(count)
	return len(bytes.TrimLeft(ahead, "\r\n")) == 0
}

// check looks at what http.ReadRequest leaves to a server.
func check(request *http.Request) error {
	switch {
	case request.ProtoMajor != 1:
		return &rejected{status: http.StatusHTTPVersionNotSupported, detail: "unsupported protocol version"}
	case request.ProtoAtLeast(1, 1) && request.Host == "" && request.Method != http.MethodConnect:
		return &rejected{status: http.StatusBadRequest, detail: "missing required Host header"}
	case request.URL.Host == "" && !validHost(request.Host):
		return &rejected{status: http.StatusBadRequest, detail: "malformed Host header"}
	}
	for name, values := range request.Header {
		if !validName(name) {
			return &rejected{status: http.StatusBadRequest, detail: "invalid header name"}
		}
		if !validValues(values) {
			return &rejected{status: http.StatusBadRequest, detail: "invalid header value"}
		}
	}
	expected := request.Header.Get("Expect")
	if expected != "" && !expectsContinue(request) {
		return &rejected{status: http.StatusExpectationFailed, old: !request.ProtoAtLeast(1, 1)}
	}
	return nil
}

// isFinal reports whether a client wants its connection to end after a request.
func isFinal(request *http.Request) bool {
	if request.ProtoAtLeast(1, 1) {
		return request.Close || names(request.Header.Get("Connection"), "close")
	}
	return !names(request.Header.Get("Connection"), "keep-alive")
}

func expectsContinue(request *http.Request) bool {
	return names(request.Header.Get("Expect"), "100-continue")
}

// names reports whether the value of a header has a token. It takes the value as loosely
// as net/http's server does.
func names(value, token string) bool {
	parts := strings.FieldsFunc(value, func(character rune) bool {
		return character == ' ' || character == ',' || character == '\t'
	})
	return slices.ContainsFunc(parts, func(part string) bool { return strings.EqualFold(part, token) })
}

// validName reports whether the name of a header is a token as in RFC 9110.
func validName(name string) bool {
	for _, character := range []byte(name) {
		letter := character|0x20 >= 'a' && character|0x20 <= 'z'
		digit := character >= '0' && character <= '9'
		if !letter && !digit && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(character)) {
			return false
		}
	}
	return name != ""
}

// validValues reports whether no value has control characters.
func validValues(values []string) bool {
	for _, value := range values {
		for _, character := range []byte(value) {
			if (character < ' ' && character != '\t') || character == 0x7f {
				return false
			}
		}
	}
	return true
}

// validHost reports whether a host has only characters that RFC 3986 allows in one.
func validHost(host string) bool {
	for _, character := range []byte(host) {
		letter := character|0x20 >= 'a' && character|0x20 <= 'z'
		digit := character >= '0' && character <= '9'
		if !letter && !digit && !strings.ContainsRune("!$%&'()*+,-.:;=[]_~", rune(character)) {
			return false
		}
	}
	return true
}

// rejection returns the answer to what could not be read as a request; empty if the
// client has left.
func rejection(err error) string {
	const end = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	var refused *rejected
	var network *net.OpError
	switch {
	case errors.As(err, &refused):
		if refused.status == http.StatusExpectationFailed {
			version := "HTTP/1.1"
			if refused.old {
				version = "HTTP/1.0"
			}
			return version + " 417 Expectation Failed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		}
		return "HTTP/1.1 " + refused.Error() + end + refused.Error()
	case errors.Is(err, errNoRequest), errors.Is(err, io.EOF), errors.As(err, &network), errors.Is(err, net.ErrClosed):
		return ""
	case strings.HasPrefix(err.Error(), "unsupported transfer encoding"), strings.HasPrefix(err.Error(), "too many transfer encodings"):
		// net/http doesn't export the type of these.
		return "HTTP/1.1 501 Not Implemented" + end + "Unsupported transfer encoding"
	default:
		return "HTTP/1.1 400 Bad Request" + end + "400 Bad Request"
	}
}

// readBody reads the body of a request that was just added. A long one, and one that the
// client sends only when asked to, is left to the handler.
func (e *exchange) readBody() {
	request := e.request
	if request.ContentLength == 0 {
		return
	}
	source := request.Body
	if request.ProtoAtLeast(1, 1) && expectsContinue(request) {
		e.leaveBody(source, nil, true)
		return
	}
	if request.ContentLength > mostBodyAhead {
		e.leaveBody(source, nil, false)
		return
	}
	content, err := readAhead(source, request.ContentLength)
	e.bodyBytes = len(content)
	switch {
	case err != nil:
		// The handler sees the error where it reads; what follows is no request.
		e.final = true
		request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(content), failingReader{err}))
	case len(content) > mostBodyAhead:
		e.leaveBody(source, content, false)
	default:
		request.Body = io.NopCloser(bytes.NewReader(content))
	}
}

// readAhead reads a body, or one byte more than is read ahead.
func readAhead(source io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(source, mostBodyAhead+1))
	}
	if length > bodyAtOnce {
		var content bytes.Buffer
		content.Grow(bodyAtOnce)
		count, err := content.ReadFrom(io.LimitReader(source, length))
		if err == nil && count < length {
			err = io.ErrUnexpectedEOF
		}
		return content.Bytes(), err
	}
	content := make([]byte, length)
	count, err := io.ReadFull(source, content)
	return content[:count], err
}

type failingReader struct{ err error }

// Read implements io.Reader.
func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// leaveBody leaves a body to the handler.
func (e *exchange) leaveBody(source io.Reader, begun []byte, asks bool) {
	e.bodyRead = false
	e.body = &handlerBody{exchange: e, source: source, begun: begun, asks: asks}
	e.request.Body = io.NopCloser(e.body)
}

// handlerBody is a body that is read by the handler. No further request is read before
// its end.
type handlerBody struct {
	exchange *exchange
	source   io.Reader
	// begun is what was read already.
	begun []byte
	// asks is true until the client was asked to send the body.
	asks bool
}

// Read implements io.Reader.
func (b *handlerBody) Read(into []byte) (int, error) {
	if len(b.begun) > 0 {
		count := copy(into, b.begun)
		b.begun = b.begun[count:]
		return count, nil
	}
	c := b.exchange.connection
	if b.asks && !b.exchange.headWritten {
		// The request runs alone, so that its turn has come.
		if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), streamStall); err != nil {
			return 0, err
		}
	}
	b.asks = false
	count, err := b.source.Read(into)
	if err == io.EOF {
		c.noteBody(b.exchange)
	}
	return count, err
}
