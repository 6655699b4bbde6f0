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

// answer gives a client the final answer to its request of some method: a server's, or one that says what is known.
func (h *Handler) answer(writer http.ResponseWriter, method string, answer *upstream.Answer, err error) {
	// The node may have begun to drain since the request came.
	h.closeIfDraining(writer)
	var refusal *dispatch.Refusal
	switch {
	case err == nil && answer != nil:
		h.pass(writer, method, answer)
	case errors.As(err, &refusal):
		refuse(writer, http.StatusServiceUnavailable, refusal.Detail, refusal.RetryAfter)
	case errors.Is(err, dispatch.ErrTimeout):
		http.Error(writer, "timed out; the request may have run", http.StatusGatewayTimeout)
	case errors.Is(err, dispatch.ErrNodeEnds):
		http.Error(writer, "the node stops; the request may have run", http.StatusGatewayTimeout)
	case errors.Is(err, dispatch.ErrCanceled), errors.Is(err, errCutOff):
		panic(http.ErrAbortHandler)
	default:
		http.Error(writer, "no answer; the request may have run", http.StatusBadGateway)
	}
}

// refuse says that a request has not run and when to come back.
func refuse(writer http.ResponseWriter, status int, reason string, after time.Duration) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(writer, reason, status)
}

// pass writes a server's answer to a request of some method to the client.
func (h *Handler) pass(writer http.ResponseWriter, method string, answer *upstream.Answer) {
	named := connectionNamed(answer.Header)
	into := writer.Header()
	for name, values := range answer.Header {
		if h.hopByHop[name] || named[name] {
			continue
		}
		into[name] = values
	}
	if answer.Rest == nil {
		setLength(into, method, answer)
		writer.WriteHeader(answer.Status)
		// A client that has left is noticed by the server's own reading.
		_, _ = h.paced(writer, len(answer.Body), false).Write(answer.Body)
		return
	}
	defer answer.Rest.Close()
	writer.WriteHeader(answer.Status)
	body := h.paced(writer, len(answer.Body), true)
	if _, err := body.Write(answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(body, answer.Rest); err != nil {
		// The rest is missing, and the client must see that.
		panic(http.ErrAbortHandler)
	}
}

// setLength sets the length of an answer that was read whole.
func setLength(header http.Header, method string, answer *upstream.Answer) {
	switch {
	case answer.Status == http.StatusNoContent, answer.Status == http.StatusNotModified:
	case method == http.MethodHead:
		// The server names the length that the body would have.
		if named := answer.Header.Get("Content-Length"); named != "" {
			header.Set("Content-Length", named)
		}
	default:
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
}

// outcomeOf names how a request ended, for the metrics.
func outcomeOf(answer *upstream.Answer, err error) string {
	switch {
	case err == nil && answer != nil && answer.Status < http.StatusBadRequest:
		return "served"
	case err == nil:
		return "failed by server"
	case errors.Is(err, dispatch.ErrNotExecuted):
		return "not executed"
	case errors.Is(err, dispatch.ErrTimeout):
		return "timed out"
	case errors.Is(err, dispatch.ErrNodeEnds):
		return "node stopped"
	case errors.Is(err, dispatch.ErrCanceled):
		return "client left"
	case errors.Is(err, errCutOff):
		return "cut off"
	default:
		return "unknown"
	}
}

// log writes the line of a request: behind is how long its answer has waited for earlier
// ones of its connection.
func (h *Handler) log(
	request *dispatch.Request, trace dispatch.Trace, answer *upstream.Answer, err error, version int64, took, behind time.Duration,
) {
	fields := []zap.Field{
		zap.String("request", request.ID), zap.String("route", request.Route.Name),
		zap.String("service", request.Service), zap.String("server", trace.Server), zap.String("home", trace.Home),
		zap.Int("attempts", trace.Attempts), zap.Int("not_sent", trace.NotSent), zap.Duration("queued", trace.Queued),
		zap.Duration("at_servers", trace.AtServers), zap.Duration("took", took), zap.Int64("version", version),
	}
	if behind > 0 {
		fields = append(fields, zap.Duration("behind", behind))
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
	h.logger.Info("request answered", append(fields, zap.Int("status", answer.Status))...)
}
