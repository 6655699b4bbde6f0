package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/micahaven/micahaven/internal/holder"
	"github.com/micahaven/micahaven/internal/wire"
)

// Headers between micahaven and an HTTP server.
const (
	HeaderSlice          = "Micahaven-Slice"
	HeaderFence          = "Micahaven-Fence"
	HeaderRequestID      = "Micahaven-Request-Id"
	HeaderKey            = "Micahaven-Key"
	HeaderTimeout        = "Micahaven-Timeout-Millis"
	HeaderIdempotencyKey = "Micahaven-Idempotency-Key"
	// HeaderRefused is set by a server that did not run a request.
	HeaderRefused = "Micahaven-Refused"
)

// Values of HeaderRefused.
const (
	RefusedNotOwner = "not-owner"
	RefusedShed     = "shed"
)

// SessionPath is where servers accept session messages.
const SessionPath = "/micahaven/session"

const (
	connectTimeout = 300 * time.Millisecond
	idleTimeout    = 30 * time.Second
	// defaultConnections is used until Limit names a number.
	defaultConnections = 4
	maxReplyBytes      = 4 << 20
	maxHeadBytes       = 64 << 10
)

// HTTP is a Server that speaks HTTP/1.1. It is safe for concurrent use.
type HTTP struct {
	maxAnswerBytes int64

	mutex   sync.Mutex
	clients map[string]*client
}

type client struct {
	http        *http.Client
	transport   *http.Transport
	connections int
}

// NewHTTP returns a client that accepts answers up to a size in bytes.
func NewHTTP(maxAnswerBytes int64) *HTTP {
	return &HTTP{maxAnswerBytes: maxAnswerBytes, clients: make(map[string]*client)}
}

// Limit implements Server.
func (h *HTTP) Limit(address string, connections int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.clients[address]
	if known != nil && known.connections == connections {
		return
	}
	if known != nil {
		known.transport.CloseIdleConnections()
	}
	h.clients[address] = newClient(connections)
}

// Release implements Server.
func (h *HTTP) Release() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, known := range h.clients {
		known.transport.CloseIdleConnections()
	}
}

func (h *HTTP) client(address string) *http.Client {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.clients[address]
	if known == nil {
		known = newClient(defaultConnections)
		h.clients[address] = known
	}
	return known.http
}

func newClient(connections int) *client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{
		http:        &http.Client{Transport: transport, CheckRedirect: noRedirect},
		transport:   transport,
		connections: connections,
	}
}

// Session implements Server.
func (h *HTTP) Session(ctx context.Context, address string, message *holder.Message) (*holder.Reply, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode session message")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+SessionPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "server address %s", address)
	}
	response, err := h.client(address).Do(request)
	if err != nil {
		return nil, errors.Wrapf(ErrUncertain, "session with %s: %v", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUncertain, "session with %s: %s", address, response.Status)
	}
	reply := &holder.Reply{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply); err != nil {
		return nil, errors.Wrapf(ErrUncertain, "session with %s: %v", address, err)
	}
	return reply, nil
}

// Run implements Server.
func (h *HTTP) Run(ctx context.Context, address string, dispatch *Dispatch) (*wire.Response, error) {
	// Set once the connection is handed to the request: before that, nothing
	// of it can have reached the server.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, dispatch)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	response, err := h.client(address).Do(request)
	if err != nil {
		if !connected.Load() {
			return nil, errors.Wrapf(ErrNotSent, "server %s: %v", address, err)
		}
		return nil, errors.Wrapf(ErrUncertain, "server %s: %v", address, err)
	}
	defer response.Body.Close()
	switch response.Header.Get(HeaderRefused) {
	case RefusedNotOwner:
		return nil, errors.Wrapf(ErrNotOwner, "server %s, slice %d", address, dispatch.Slice)
	case RefusedShed:
		return nil, errors.Wrapf(ErrShed, "server %s", address)
	}
	return h.readAnswer(address, response)
}

// readAnswer reads the whole answer: net/http reports an error when the body
// ends before the length that was announced.
func (h *HTTP) readAnswer(address string, response *http.Response) (*wire.Response, error) {
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, errors.Wrapf(ErrUncertain, "answer of %s: field name %q", address, name)
		}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, h.maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrUncertain, "answer of %s: %v", address, err)
	}
	if int64(len(body)) > h.maxAnswerBytes {
		return nil, errors.Wrapf(ErrUncertain, "answer of %s: more than %d bytes", address, h.maxAnswerBytes)
	}
	return &wire.Response{
		Outcome: wire.Outcome_OUTCOME_DONE,
		Status:  uint32(response.StatusCode),
		Headers: collectHeaders(response.Header),
		Body:    body,
	}, nil
}

// newRequest builds the request for a server. The idempotency key travels under
// a name of our own: net/http sends a request that carries the standard header
// again by itself when a connection breaks, which must not happen here.
func newRequest(ctx context.Context, address string, dispatch *Dispatch) (*http.Request, error) {
	source := dispatch.Request
	var body io.Reader
	if len(source.GetBody()) > 0 {
		body = bytes.NewReader(source.GetBody())
	}
	request, err := http.NewRequestWithContext(ctx, source.GetMethod(), "http://"+address+source.GetPath(), body)
	if err != nil {
		return nil, errors.Wrapf(err, "request for %s", address)
	}
	for _, header := range source.GetHeaders() {
		request.Header.Add(header.GetName(), header.GetValue())
	}
	request.Header.Set(HeaderSlice, strconv.FormatUint(uint64(dispatch.Slice), 10))
	request.Header.Set(HeaderFence, FormatFence(dispatch.Fence))
	request.Header.Set(HeaderRequestID, source.GetRequestId())
	request.Header.Set(HeaderKey, source.GetKey())
	request.Header.Set(HeaderTimeout, strconv.FormatInt(dispatch.Timeout.Milliseconds(), 10))
	if source.GetIdempotencyKey() != "" {
		request.Header.Set(HeaderIdempotencyKey, source.GetIdempotencyKey())
	}
	return request, nil
}

// hopHeaders are those of one connection, which are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// IsHopHeader reports whether a canonical header name belongs to one connection
// only.
func IsHopHeader(name string) bool { return hopHeaders[name] }

func collectHeaders(source http.Header) []*wire.Header {
	var headers []*wire.Header
	for name, values := range source {
		if hopHeaders[name] {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}

// FormatFence writes a fence as generation.counter.
func FormatFence(fence *wire.Fence) string {
	return fmt.Sprintf("%d.%d", fence.GetGeneration(), fence.GetCounter())
}

// ParseFence reads what FormatFence wrote.
func ParseFence(text string) (*wire.Fence, error) {
	fence := &wire.Fence{}
	if _, err := fmt.Sscanf(text, "%d.%d", &fence.Generation, &fence.Counter); err != nil {
		return nil, errors.Newf("header %s: %q, allowed: generation.counter", HeaderFence, text)
	}
	return fence, nil
}
