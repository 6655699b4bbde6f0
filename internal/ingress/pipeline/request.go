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
	"golang.org/x/net/http/httpguts"
)

const (
	// headerSlack is how far net/http reads beyond its header limit; using the same value makes
	// both servers reject the same headers.
	headerSlack = 4 << 10
	// minRequestBytes is how many bytes must arrive after the first request before they are
	// treated as the start of another one.
	minRequestBytes = 4
)

// requestError describes a request that the server rejects with an error status before it
// closes the connection.
type requestError struct {
	status int
	detail string
	// http10 is true if the response must use HTTP/1.0.
	http10 bool
}

// Error implements error.
func (r *requestError) Error() string {
	text := fmt.Sprintf("%d %s", r.status, http.StatusText(r.status))
	if r.detail != "" {
		text += ": " + r.detail
	}
	return text
}

// errNoRequest means that the connection ended between two requests.
var errNoRequest = errors.New("connection ended between requests")

// readHead reads the request line and the header of the next request.
func (c *connection) readHead(first bool) (*exchange, error) {
	if !first {
		if _, err := c.reader.Peek(minRequestBytes); err != nil {
			return nil, errNoRequest
		}
	}
	c.input.Limit(c.server.HeaderBytes + headerSlack)
	if c.afterPost {
		c.skipLineBreaks()
	}
	c.heads.begin()
	request, err := http.ReadRequest(c.reader)
	reserved, err := c.heads.end(err)
	c.input.Unlimit()
	arrivedAt := time.Now()
	if err == nil {
		c.afterPost = request.Method == http.MethodPost
		err = validateRequest(request)
	} else if c.input.Exhausted() {
		err = &requestError{status: http.StatusRequestHeaderFieldsTooLarge}
	}
	if err != nil {
		c.server.Bodies.release(reserved)
		return nil, err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	request.RemoteAddr = c.remote
	return &exchange{
		connection: c, request: request.WithContext(ctx), cancel: cancel, arrivedAt: arrivedAt,
		header: make(http.Header), contentLength: unknownLength, bodyRead: true, lastRequest: wantsClose(request),
		reservedBody: reserved,
	}, nil
}

// skipLineBreaks discards the line breaks that some clients send after the body of a POST.
func (c *connection) skipLineBreaks() {
	// An error is returned again when the request is read.
	ahead, _ := c.reader.Peek(minRequestBytes)
	_, _ = c.reader.Discard(len(ahead) - len(bytes.TrimLeft(ahead, "\r\n")))
}

// onlyLineBreaks reports whether the buffer holds only line breaks that will be discarded. A
// connection with nothing else in its buffer is idle.
func (c *connection) onlyLineBreaks() bool {
	count := c.reader.Buffered()
	if !c.afterPost || count > minRequestBytes {
		return false
	}
	// The bytes are buffered, so Peek does not block.
	ahead, _ := c.reader.Peek(count)
	return len(bytes.TrimLeft(ahead, "\r\n")) == 0
}

// validateRequest performs the checks that http.ReadRequest leaves to a server.
func validateRequest(request *http.Request) error {
	switch {
	case request.ProtoMajor != 1:
		return &requestError{status: http.StatusHTTPVersionNotSupported, detail: "unsupported protocol version"}
	case request.ProtoAtLeast(1, 1) && request.Host == "" && request.Method != http.MethodConnect:
		return &requestError{status: http.StatusBadRequest, detail: "missing required Host header"}
	case request.URL.Host == "" && !httpguts.ValidHostHeader(request.Host):
		return &requestError{status: http.StatusBadRequest, detail: "malformed Host header"}
	}
	for name, values := range request.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &requestError{status: http.StatusBadRequest, detail: "invalid header name"}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &requestError{status: http.StatusBadRequest, detail: "invalid header value"}
			}
		}
	}
	expected := request.Header.Get("Expect")
	if expected != "" && !expectsContinue(request) {
		return &requestError{status: http.StatusExpectationFailed, http10: !request.ProtoAtLeast(1, 1)}
	}
	return nil
}

// wantsClose reports whether the client asks to close the connection after this request.
func wantsClose(request *http.Request) bool {
	if request.ProtoAtLeast(1, 1) {
		return request.Close || hasToken(request.Header.Get("Connection"), "close")
	}
	return !hasToken(request.Header.Get("Connection"), "keep-alive")
}

func expectsContinue(request *http.Request) bool {
	return hasToken(request.Header.Get("Expect"), "100-continue")
}

// hasToken reports whether a header value contains a token. It splits the value as leniently as
// net/http's server does.
func hasToken(value, token string) bool {
	parts := strings.FieldsFunc(value, func(character rune) bool {
		return character == ' ' || character == ',' || character == '\t'
	})
	return slices.ContainsFunc(parts, func(part string) bool { return strings.EqualFold(part, token) })
}

// errorResponse returns the status and the response to data that could not be parsed as a
// request; the response is empty if the client has left.
func errorResponse(err error) (status int, response string) {
	const end = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	var rejected *requestError
	var netErr *net.OpError
	switch {
	case errors.As(err, &rejected):
		if rejected.status == http.StatusExpectationFailed {
			version := "HTTP/1.1"
			if rejected.http10 {
				version = "HTTP/1.0"
			}
			return rejected.status, version + " 417 Expectation Failed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		}
		return rejected.status, "HTTP/1.1 " + rejected.Error() + end + rejected.Error()
	case errors.Is(err, ErrNoMemory):
		return http.StatusServiceUnavailable, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1" + end + err.Error()
	case errors.Is(err, ErrBodyTimeout):
		return http.StatusRequestTimeout, "HTTP/1.1 408 Request Timeout" + end + err.Error()
	case errors.Is(err, errNoRequest), errors.Is(err, io.EOF), errors.As(err, &netErr), errors.Is(err, net.ErrClosed):
		return 0, ""
	case strings.HasPrefix(err.Error(), "unsupported transfer encoding"), strings.HasPrefix(err.Error(), "too many transfer encodings"):
		// net/http does not export the error type.
		return http.StatusNotImplemented, "HTTP/1.1 501 Not Implemented" + end + "Unsupported transfer encoding"
	default:
		return http.StatusBadRequest, "HTTP/1.1 400 Bad Request" + end + "400 Bad Request"
	}
}
