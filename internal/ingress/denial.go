package ingress

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/tenants"
)

// Reasons for denials in metrics.
const (
	denialNoRoute  = "no route"
	denialTooLarge = "body too large"
)

// answerUnrouted responds to a request for which the configuration has no route. A copy of the
// configuration that is out of date may lack routes, so it is no reason for a final status.
func (h *Handler) answerUnrouted(writer http.ResponseWriter, incoming *http.Request, table *routing.Table) {
	freshness := h.tenancy.Freshness()
	denied := !h.mayBeOutdated(freshness)
	h.logger.Info("request without route", zap.String("request", incoming.Header.Get(h.headers.RequestID)),
		zap.String("host", incoming.Host), zap.String("path", incoming.URL.Path), zap.Int64("version", table.Version()),
		zap.Duration("copy_age", freshness.Age), zap.Bool("copy_confirmed", freshness.Confirmed), zap.Bool("denied", denied))
	if !denied {
		h.refuseStale(writer)
		return
	}
	denialsTotal.WithLabelValues(denialNoRoute).Inc()
	http.Error(writer, "no route", http.StatusNotFound)
}

// answerTooLarge responds to a request whose body exceeds the limit. declared is its
// Content-Length, -1 if unknown. A copy of the configuration that is out of date may have an
// earlier limit, so it is no reason for a final status.
func (h *Handler) answerTooLarge(writer http.ResponseWriter, request *dispatch.Request, declared, limit int64) {
	denied := !h.mayBeOutdated(h.tenancy.Freshness())
	h.logger.Info("request body too large", zap.String("request", request.ID), zap.String("route", request.Route.Name),
		zap.Int64("declared", declared), zap.Int64("limit", limit), zap.Bool("denied", denied))
	if !denied {
		h.refuseStale(writer)
		return
	}
	denialsTotal.WithLabelValues(denialTooLarge).Inc()
	http.Error(writer, "body is too large", http.StatusRequestEntityTooLarge)
}

// mayBeOutdated reports whether a copy of the configuration is too old for a final status.
func (h *Handler) mayBeOutdated(freshness tenants.Freshness) bool {
	return freshness.OlderThan(h.tenancy.Staleness.UnknownAfter)
}

// refuseStale refuses a request for now because the copy of the configuration is out of date.
func (h *Handler) refuseStale(writer http.ResponseWriter) {
	staleRefusalsTotal.Inc()
	writeRefusal(writer, http.StatusServiceUnavailable, "the configuration of this node may be out of date", notReadyRetryAfter)
}
