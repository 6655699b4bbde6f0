package ingress

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/ingress/pipeline"
)

// readBody buffers the request body, or its first maxBufferedBody bytes if it is longer. It
// reports whether the request can proceed; if not, a response has been written.
func (h *Handler) readBody(writer http.ResponseWriter, incoming *http.Request, request *dispatch.Request, maxBytes int64) bool {
	if maxBytes > 0 && incoming.ContentLength > maxBytes {
		h.answerTooLarge(writer, request, incoming.ContentLength, maxBytes)
		return false
	}
	if incoming.ContentLength == 0 {
		return true
	}
	body, err := pipeline.ReadPrefix(writer, incoming, maxBufferedBody)
	if err != nil {
		h.refuseBody(writer, request, err)
		return false
	}
	if maxBytes > 0 && int64(len(body)) > maxBytes {
		h.answerTooLarge(writer, request, incoming.ContentLength, maxBytes)
		return false
	}
	request.Body = body
	if len(body) < maxBufferedBody {
		return true
	}
	request.Rest = incoming.Body
	if maxBytes > 0 {
		request.Rest = http.MaxBytesReader(writer, incoming.Body, maxBytes-maxBufferedBody)
	}
	return true
}

// refuseBody answers a request whose body was not read completely. It has not run.
func (h *Handler) refuseBody(writer http.ResponseWriter, request *dispatch.Request, cause error) {
	switch {
	case errors.Is(cause, pipeline.ErrNoMemory):
		h.logRefusedBody(request, cause)
		bodiesRefusedTotal.WithLabelValues("memory").Inc()
		writeRefusal(writer, http.StatusServiceUnavailable, cause.Error(), bodyRetryAfter)
	case errors.Is(cause, pipeline.ErrBodyTimeout):
		h.logRefusedBody(request, cause)
		bodiesRefusedTotal.WithLabelValues("timeout").Inc()
		http.Error(writer, cause.Error(), http.StatusRequestTimeout)
	default:
		// The client aborted the request, so no response can be delivered.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) logRefusedBody(request *dispatch.Request, cause error) {
	h.logger.Info("request body refused", zap.String("request", request.ID), zap.String("service", request.Service),
		zap.String("client", request.Caller), zap.Duration("after", time.Since(request.ArrivedAt)), zap.String("cause", cause.Error()))
}
