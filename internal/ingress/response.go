package ingress

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/upstream"
)

// reply writes the final response to a request: the server's response, or an error status that
// says whether the request may have run.
func (h *Handler) reply(writer http.ResponseWriter, method string, reply *upstream.Response, err error) {
	// The node may have started draining while the request was being processed.
	h.closeIfDraining(writer)
	var refusal *dispatch.Refusal
	switch {
	case err == nil && reply != nil:
		h.forwardResponse(writer, method, reply)
	case errors.As(err, &refusal):
		writeRefusal(writer, http.StatusServiceUnavailable, refusal.Detail, refusal.RetryAfter)
	case errors.Is(err, dispatch.ErrTimeout):
		http.Error(writer, "timed out; the request may have run", http.StatusGatewayTimeout)
	case errors.Is(err, dispatch.ErrNodeStopping):
		http.Error(writer, "the node stops; the request may have run", http.StatusGatewayTimeout)
	case errors.Is(err, dispatch.ErrCanceled), errors.Is(err, errForcedClose):
		panic(http.ErrAbortHandler)
	default:
		http.Error(writer, "no answer; the request may have run", http.StatusBadGateway)
	}
}

// writeRefusal reports that a request was not executed and sets Retry-After.
func writeRefusal(writer http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	http.Error(writer, reason, status)
}

// forwardResponse copies a server's response to the client.
func (h *Handler) forwardResponse(writer http.ResponseWriter, method string, response *upstream.Response) {
	options := connectionOptions(response.Header)
	header := writer.Header()
	for name, values := range response.Header {
		if h.hopByHop[name] || options[name] {
			continue
		}
		header[name] = values
	}
	if response.Rest == nil {
		setContentLength(header, method, response)
		writer.WriteHeader(response.Status)
		// A write error means that the client has left; the connection's read loop detects
		// that.
		_, _ = h.withPacing(writer, len(response.Body), false).Write(response.Body)
		return
	}
	defer response.Rest.Close()
	writer.WriteHeader(response.Status)
	body := h.withPacing(writer, len(response.Body), true)
	if _, err := body.Write(response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(body, response.Rest); err != nil {
		// The client must be able to see that the body is truncated.
		panic(http.ErrAbortHandler)
	}
}

// setContentLength sets the Content-Length of a fully buffered response.
func setContentLength(header http.Header, method string, response *upstream.Response) {
	switch {
	case response.Status == http.StatusNoContent, response.Status == http.StatusNotModified:
	case method == http.MethodHead:
		// The server declares the length that the body of a GET response would have.
		if declared := response.Header.Get("Content-Length"); declared != "" {
			header.Set("Content-Length", declared)
		}
	default:
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
}

// outcomeLabel returns the metric label for the outcome of a request.
func outcomeLabel(response *upstream.Response, err error) string {
	switch {
	case err == nil && response != nil && response.Status < http.StatusBadRequest:
		return "served"
	case err == nil:
		return "failed by server"
	case errors.Is(err, dispatch.ErrCanceled):
		return "client left"
	case errors.Is(err, dispatch.ErrNotExecuted):
		return "not executed"
	case errors.Is(err, dispatch.ErrTimeout):
		return "timed out"
	case errors.Is(err, dispatch.ErrNodeStopping):
		return "node stopped"
	case errors.Is(err, errForcedClose):
		return "cut off"
	default:
		return "unknown"
	}
}

// logRequest logs the outcome of a request. headOfLineWait is how long the response waited for
// earlier responses on its connection.
func (h *Handler) logRequest(
	request *dispatch.Request, trace dispatch.Trace, response *upstream.Response, err error, version int64, elapsed, headOfLineWait time.Duration,
) {
	fields := []zap.Field{
		zap.String("request", request.ID), zap.String("route", request.Route.Name),
		zap.String("service", request.Service), zap.String("server", trace.Server), zap.String("home", trace.Home),
		zap.Int("attempts", trace.Attempts), zap.Int("not_sent", trace.NotSent), zap.Duration("queued", trace.Queued),
		zap.Duration("at_servers", trace.AtServers), zap.Duration("took", elapsed), zap.Int64("version", version),
	}
	if headOfLineWait > 0 {
		fields = append(fields, zap.Duration("behind", headOfLineWait))
	}
	if request.HasKey {
		fields = append(fields, zap.Uint32("key", request.Key), zap.Int64("map", trace.MapRevision))
	}
	var refusal *dispatch.Refusal
	if errors.As(err, &refusal) {
		fields = append(fields, zap.Stringer("reason", refusal.Reason), zap.Duration("come_back", refusal.RetryAfter))
	}
	if err != nil {
		h.logger.Warn("request failed", append(fields, zap.String("error", err.Error()))...)
		return
	}
	h.logger.Info("request answered", append(fields, zap.Int("status", response.Status))...)
}
