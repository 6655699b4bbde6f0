package entry

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backend"
	"github.com/micahaven/micahaven/internal/ending"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/wire"
)

// Headers between callers and micahaven.
const (
	HeaderOutcome        = "Micahaven-Outcome"
	HeaderReason         = "Micahaven-Reason"
	HeaderRequestID      = "Micahaven-Request-Id"
	HeaderDeadline       = "Micahaven-Deadline"
	HeaderPriority       = "Micahaven-Priority"
	HeaderReplayed       = "Micahaven-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Values of HeaderOutcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

const (
	maxKeyLength            = 512
	maxIdempotencyKeyLength = 200
	minDeadline             = time.Millisecond
	maxDeadline             = 24 * time.Hour
)

// ErrBadRequest means that a caller's request cannot be understood. The message
// names the field, its value and what is allowed.
var ErrBadRequest = errors.New("bad request")

// Handler serves callers over HTTP.
type Handler struct {
	Forwarder    *Forwarder
	Table        func() *table.Table
	MaxBodyBytes int64
	// Ending is when callers must have their answers because the node stops.
	Ending *ending.Ending
	Logger *zap.Logger
}

// Register adds the callers' routes: any method on /{service}/{key}, with an
// optional rest of the path for the server.
func (h *Handler) Register(server *echo.Echo) {
	server.Any("/:service/:key", h.serve)
	server.Any("/:service/:key/*", h.serve)
}

func (h *Handler) serve(c echo.Context) error {
	started := time.Now()
	request, timeout, err := h.parse(c)
	if err != nil {
		return h.refuse(c, request, err)
	}
	ctx, bounds := h.Ending.Bound(c.Request().Context(), time.Now().Add(timeout))
	defer bounds.Release()
	response := h.Forwarder.Forward(ctx, request)
	requestSeconds.WithLabelValues(request.GetService(), outcomeName(response.GetOutcome())).Observe(time.Since(started).Seconds())
	return h.write(c, response)
}

// parse builds the request and returns its timeout.
func (h *Handler) parse(c echo.Context) (*wire.Request, time.Duration, error) {
	source := c.Request()
	request := &wire.Request{
		RequestId:      ulid.Make().String(),
		Service:        c.Param("service"),
		Key:            c.Param("key"),
		Method:         source.Method,
		Path:           serverPath(source, c.Param("service")),
		IdempotencyKey: source.Header.Get(HeaderIdempotencyKey),
	}
	policy := h.Table().Policy(identity.ServiceName(request.GetService()))
	if policy == nil {
		return request, 0, errors.Wrapf(errUnknownService, "service %q is not in the table", request.GetService())
	}
	request.Repeatable = policy.MayRepeat(source.Method)
	if err := checkKeys(request); err != nil {
		return request, 0, err
	}
	timeout, err := parseDeadline(source.Header.Get(HeaderDeadline), policy)
	if err != nil {
		return request, 0, err
	}
	request.Priority, err = parsePriority(source.Header.Get(HeaderPriority), policy)
	if err != nil {
		return request, 0, err
	}
	request.Headers = endToEndHeaders(source.Header)
	if err := h.readBody(source, request); err != nil {
		return request, 0, err
	}
	return request, timeout, nil
}

var (
	errUnknownService = errors.New("unknown service")
	errTooLarge       = errors.New("request too large")
)

func checkKeys(request *wire.Request) error {
	if length := len(request.GetKey()); length == 0 || length > maxKeyLength {
		return errors.Wrapf(ErrBadRequest, "key: %d bytes, allowed: 1 to %d", length, maxKeyLength)
	}
	key := request.GetIdempotencyKey()
	if len(key) > maxIdempotencyKeyLength {
		return errors.Wrapf(ErrBadRequest, "header %s: %d bytes, allowed: at most %d", HeaderIdempotencyKey, len(key), maxIdempotencyKeyLength)
	}
	if !request.GetRepeatable() && key == "" {
		return errors.Wrapf(ErrBadRequest, "header %s: missing, required for %s, which may not be repeated", HeaderIdempotencyKey, request.GetMethod())
	}
	return nil
}

func parseDeadline(text string, policy *table.Policy) (time.Duration, error) {
	if text == "" {
		return time.Duration(policy.TimeoutMillis) * time.Millisecond, nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline < minDeadline || deadline > maxDeadline {
		return 0, errors.Wrapf(ErrBadRequest, "header %s: %q, allowed: a duration from %v to %v, like 800ms", HeaderDeadline, text, minDeadline, maxDeadline)
	}
	return deadline, nil
}

func parsePriority(text string, policy *table.Policy) (wire.Priority, error) {
	if text == "" {
		text = policy.Priority
	}
	switch text {
	case "interactive":
		return wire.Priority_PRIORITY_INTERACTIVE, nil
	case "background":
		return wire.Priority_PRIORITY_BACKGROUND, nil
	}
	return 0, errors.Wrapf(ErrBadRequest, "header %s: %q, allowed: interactive or background", HeaderPriority, text)
}

func (h *Handler) readBody(source *http.Request, request *wire.Request) error {
	body, err := io.ReadAll(io.LimitReader(source.Body, h.MaxBodyBytes+1))
	if err != nil {
		return errors.Wrapf(ErrBadRequest, "body: %v", err)
	}
	if int64(len(body)) > h.MaxBodyBytes {
		return errors.Wrapf(errTooLarge, "body: more than %d bytes", h.MaxBodyBytes)
	}
	request.Body = body
	request.BodyHash = fingerprint(request)
	return nil
}

// fingerprint tells two requests with the same idempotency key apart.
func fingerprint(request *wire.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.GetMethod(), request.GetPath(), string(request.GetBody())} {
		// Writing to a digest never fails.
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	return digest.Sum64()
}

// serverPath is the path for the server: the caller's without the service.
func serverPath(source *http.Request, service string) string {
	return strings.TrimPrefix(source.URL.RequestURI(), "/"+service)
}

func endToEndHeaders(source http.Header) []*wire.Header {
	var headers []*wire.Header
	for name, values := range source {
		isOwn := strings.HasPrefix(name, "Micahaven-") || name == HeaderIdempotencyKey
		if isOwn || backend.IsHopHeader(name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}

// write sends a final answer.
func (h *Handler) write(c echo.Context, response *wire.Response) error {
	header := c.Response().Header()
	for _, field := range response.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set(HeaderRequestID, response.GetRequestId())
	header.Set(HeaderOutcome, outcomeName(response.GetOutcome()))
	if response.GetReplayed() {
		header.Set(HeaderReplayed, "true")
	}
	if response.GetOutcome() == wire.Outcome_OUTCOME_DONE {
		return writeBody(c, int(response.GetStatus()), response.GetBody())
	}
	header.Set(HeaderReason, reasonName(response.GetReason()))
	if response.GetReason() != wire.Reason_REASON_KEY_REUSED {
		header.Set(echo.HeaderRetryAfter, retryAfterSeconds(time.Duration(response.GetRetryAfterNanos())))
	}
	message := fmt.Sprintf("%s: %s\n", outcomeName(response.GetOutcome()), explanations[response.GetReason()])
	return c.String(statusOf(response), message)
}

func writeBody(c echo.Context, status int, body []byte) error {
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	c.Response().WriteHeader(status)
	_, err := c.Response().Write(body)
	return err
}

// refuse answers a request that was not even tried.
func (h *Handler) refuse(c echo.Context, request *wire.Request, cause error) error {
	status := http.StatusBadRequest
	switch {
	case errors.Is(cause, errUnknownService):
		status = http.StatusNotFound
	case errors.Is(cause, errTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	c.Response().Header().Set(HeaderOutcome, OutcomeNotRun)
	c.Response().Header().Set(HeaderRequestID, request.GetRequestId())
	return c.String(status, cause.Error()+"\n")
}

func statusOf(response *wire.Response) int {
	switch {
	case response.GetReason() == wire.Reason_REASON_KEY_REUSED:
		return http.StatusUnprocessableEntity
	case response.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

func outcomeName(outcome wire.Outcome) string {
	switch outcome {
	case wire.Outcome_OUTCOME_DONE:
		return OutcomeDone
	case wire.Outcome_OUTCOME_NOT_RUN:
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// reasonName turns REASON_NO_OWNER into no-owner.
func reasonName(reason wire.Reason) string {
	name := strings.TrimPrefix(reason.String(), "REASON_")
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}

// explanations tells callers what each reason means.
var explanations = map[wire.Reason]string{
	wire.Reason_REASON_UNSPECIFIED: "no reason was given",
	wire.Reason_REASON_NOT_LEADER:  "the service is changing its leader",
	wire.Reason_REASON_OVERLOADED:  "the server has too much to do",
	wire.Reason_REASON_NO_OWNER:    "no server owns the key at the moment",
	wire.Reason_REASON_DEADLINE:    "the deadline passed",
	wire.Reason_REASON_KEY_REUSED:  "the idempotency key was used for another request",
	wire.Reason_REASON_SERVER_LOST: "the server was lost before it answered",
	wire.Reason_REASON_STOPPING:    "the node is stopping",
	wire.Reason_REASON_CANCELLED:   "the request was cancelled",
}

// retryAfterSeconds rounds up, because the header knows whole seconds only.
func retryAfterSeconds(after time.Duration) string {
	return strconv.Itoa(int(math.Ceil(max(after, time.Second).Seconds())))
}
