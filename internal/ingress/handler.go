// Package ingress takes clients' requests over HTTP/1.1, hands them to the
// dispatcher and passes the answers on.
package ingress

import (
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/ingress/pipeline"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
)

// errCutOff means that the node itself closed the connection of a request that was
// not answered, because its time to stop was over.
var errCutOff = errors.New("cut off by the end of the node")

// Headers are the names of the headers between clients, router and servers.
type Headers struct {
	// RequestID names a client attempt; answers carry it too.
	RequestID string
	// Deadline is how long the client waits, in milliseconds.
	Deadline string
	// Signature marks an answer as a server's.
	Signature string
	// Target names the one server that may run a request.
	Target string
	// NotExecuted marks an answer of a server that did not run the request.
	NotExecuted string
	// Key is the request's key.
	Key string
	// Credential holds the key that says whose request it is, and Tenant names the tenant
	// to servers.
	Credential, Tenant string
	// Load reads what a server tells of its load in an answer, if it does.
	Load func(answer http.Header) (discovery.Load, bool)
	// Health reads which server gave a health answer, and for how long it warms up.
	Health func(answer http.Header) (instance string, warmUp time.Duration)
	// Signals reads what a server asks of the nodes that send to it in an answer with a
	// status; nil if no server asks anything.
	Signals func(status int, answer http.Header) backpressure.Signals
}

const (
	// maxBufferedBody is how much of a body is read before it is passed on.
	maxBufferedBody = 1 << 20
	// notReadyRetry is when a client should come back to a node that knows no
	// configuration yet.
	notReadyRetry = 300 * time.Millisecond
)

// Handler serves clients. It implements http.Handler.
type Handler struct {
	headers    Headers
	views      *view.Builder
	first      *firstTable
	dispatcher *dispatch.Dispatcher
	logger     *zap.Logger
	// link paces large answers; nil if they are not paced.
	link *answerLink
	// hopByHop holds the headers that concern one connection or that the router
	// sets itself.
	hopByHop map[string]bool
	// sequence spreads requests over the parts of a split route.
	sequence atomic.Uint64
	draining atomic.Bool
	// ended is set once the node closes connections whether requests run or not.
	ended  atomic.Bool
	active atomic.Int64
	// tenancy is what is decided of tenants' requests.
	tenancy Tenancy
}

// NewHandler returns a handler.
func NewHandler(headers Headers, views *view.Builder, dispatcher *dispatch.Dispatcher, logger *zap.Logger) *Handler {
	h := &Handler{tenancy: alwaysFresh(), headers: headers, views: views, first: newFirstTable(views), dispatcher: dispatcher, logger: logger, hopByHop: make(map[string]bool)}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
		"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", headers.Deadline, headers.Target,
		headers.Credential, headers.Tenant,
	} {
		h.hopByHop[http.CanonicalHeaderKey(name)] = true
	}
	h.sequence.Store(rand.Uint64())
	return h
}

// Drain makes every answer ask the client to use another connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// closeIfDraining makes an answer ask for that if the node drains.
func (h *Handler) closeIfDraining(writer http.ResponseWriter) {
	if h.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
}

// End notes that the node closes its clients' connections now, so that a request that
// is cut off is not taken for one whose client left. It counts what is cut off: bodies
// that still arrive, and answers that are not written.
func (h *Handler) End() {
	h.ended.Store(true)
	cutOffTotal.Add(float64(h.active.Load()))
}

// Active returns how many requests are being served.
func (h *Handler) Active() int { return int(h.active.Load()) }

// SideBySide reports whether a request may run beside others of its connection: those of
// routes that may be repeated. Callers count on the order of the others.
func (h *Handler) SideBySide(incoming *http.Request) bool {
	table := h.views.Current().Table
	if table == nil {
		return false
	}
	route := table.Match(incoming.Host, incoming.URL.Path)
	return route != nil && route.Repeatable
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	arrivedAt := pipeline.Arrival(writer)
	h.closeIfDraining(writer)
	table := h.first.await(incoming.Context(), h.startPatience(incoming.Header))
	if table == nil {
		startRefusalsTotal.Inc()
		refuse(writer, http.StatusServiceUnavailable, "no configuration is known yet", notReadyRetry)
		return
	}
	route := table.Match(incoming.Host, incoming.URL.Path)
	if route == nil {
		h.logger.Info("request without route", zap.String("request", incoming.Header.Get(h.headers.RequestID)),
			zap.String("host", incoming.Host), zap.String("path", incoming.URL.Path), zap.Int64("version", table.Version()))
		http.Error(writer, "no route", http.StatusNotFound)
		return
	}
	tenant, allowed := h.authorize(writer, incoming, table, route)
	if !allowed {
		return
	}
	request := &dispatch.Request{
		ID: incoming.Header.Get(h.headers.RequestID), Method: incoming.Method, URI: incoming.RequestURI,
		Host: incoming.Host, Route: route, ArrivedAt: arrivedAt,
		Service:  route.Choose(h.position()),
		Priority: priorityOf(route, tenant),
		Caller:   callerOf(incoming),
		Fields:   h.withTenant(h.forwarded(incoming.Header), tenant),
	}
	request.Deadline = arrivedAt.Add(route.Timeout)
	if wait, known := h.clientDeadline(incoming.Header); known {
		request.Deadline = arrivedAt.Add(wait)
	}
	if key, err := strconv.ParseUint(incoming.Header.Get(h.headers.Key), 10, 32); err == nil {
		request.Key, request.HasKey = uint32(key), true
	}
	if !h.readBody(writer, incoming, request, table.Limits().BodyBytes) {
		return
	}
	if !h.admit(writer, incoming, request, tenant) {
		return
	}
	answer, trace, err := h.dispatcher.Do(incoming.Context(), request)
	h.giveBack(tenant, err)
	if errors.Is(err, dispatch.ErrCanceled) && h.ended.Load() {
		err = errCutOff
	}
	took := time.Since(arrivedAt)
	pipeline.OnTurn(writer, func(behind time.Duration) {
		h.log(request, trace, answer, err, table.Version(), took, behind)
	})
	requestSeconds.WithLabelValues(request.Service, outcomeOf(answer, err)).Observe(took.Seconds())
	h.answer(writer, incoming.Method, answer, err)
}

// position returns evenly spread numbers between 0 and 1: multiples of the
// golden ratio's fraction.
func (h *Handler) position() float64 {
	const goldenFraction = 0.6180339887498949
	_, fraction := math.Modf(float64(h.sequence.Add(1)%(1<<32)) * goldenFraction)
	return fraction
}

func (h *Handler) forwarded(header http.Header) []upstream.Field {
	named := connectionNamed(header)
	fields := make([]upstream.Field, 0, len(header))
	for name, values := range header {
		if h.hopByHop[name] || named[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, upstream.Field{Name: name, Value: value})
		}
	}
	return fields
}

// connectionNamed returns the headers that the Connection header names.
func connectionNamed(header http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range header.Values("Connection") {
		for _, token := range strings.Split(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return named
}

// readBody reads the body, or its beginning if it is long. It reports whether
// the request can go on.
func (h *Handler) readBody(writer http.ResponseWriter, incoming *http.Request, request *dispatch.Request, limit int64) bool {
	if limit > 0 && incoming.ContentLength > limit {
		http.Error(writer, "body is too large", http.StatusRequestEntityTooLarge)
		return false
	}
	if incoming.ContentLength == 0 {
		return true
	}
	var source io.Reader = incoming.Body
	if limit > 0 {
		source = http.MaxBytesReader(writer, incoming.Body, limit)
	}
	body, err := io.ReadAll(io.LimitReader(source, maxBufferedBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(writer, "body is too large", http.StatusRequestEntityTooLarge)
			return false
		}
		// The client broke off; there is nobody to answer.
		panic(http.ErrAbortHandler)
	}
	request.Body = body
	if len(body) == maxBufferedBody {
		request.Rest = source
	}
	return true
}
