package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/tenants"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Quotas enforces the request limits of tenants.
type Quotas interface {
	Admit(ctx context.Context, tenant string, limit tenants.Limit) quota.Decision
	// GiveBack returns the quota of an admitted request that was not executed.
	GiveBack(tenant string)
}

// Tenancy holds what the handler needs to authorize and limit requests of tenants.
type Tenancy struct {
	Quotas Quotas
	// Freshness returns the age of the node's copy of the configuration and whether it is
	// confirmed.
	Freshness func() tenants.Freshness
	Staleness tenants.Staleness
}

// defaultTenancy authorizes by the configuration alone and enforces no quotas.
func defaultTenancy() Tenancy {
	return Tenancy{
		Freshness: func() tenants.Freshness { return tenants.Freshness{Confirmed: true} },
		Staleness: tenants.Staleness{UnknownAfter: time.Hour},
	}
}

// SetTenancy replaces the default tenancy. It must be called before the first request.
func (h *Handler) SetTenancy(tenancy Tenancy) { h.tenancy = tenancy }

// authorize identifies the tenant of a request by its API key. If the request is not
// authorized, authorize writes the response and returns false.
func (h *Handler) authorize(writer http.ResponseWriter, incoming *http.Request, table *routing.Table, route *routing.Route) (*tenants.Tenant, bool) {
	if table.Tenants().Empty() {
		return nil, true
	}
	freshness := h.tenancy.Freshness()
	tenant, verdict := table.Tenants().Authorize(route.Public, incoming.Header.Values(h.headers.Credential), freshness, h.tenancy.Staleness)
	authorizationsTotal.WithLabelValues(verdict.String()).Inc()
	switch verdict {
	case tenants.Anonymous, tenants.Authorized:
		return tenant, true
	case tenants.StaleCopy:
		writeRefusal(writer, http.StatusServiceUnavailable, "this node has not heard for a while which keys are in force", notReadyRetryAfter)
	default:
		http.Error(writer, verdict.String(), http.StatusUnauthorized)
	}
	h.logger.Info("request not authorized", zap.String("request", incoming.Header.Get(h.headers.RequestID)),
		zap.String("route", route.Name), zap.Stringer("verdict", verdict), zap.Duration("copy_age", freshness.Age),
		zap.Bool("copy_confirmed", freshness.Confirmed), zap.Int64("version", table.Version()))
	return nil, false
}

// admit checks a request against its tenant's limit. If the limit is exceeded, admit writes the
// response and returns false.
func (h *Handler) admit(writer http.ResponseWriter, incoming *http.Request, request *dispatch.Request, tenant *tenants.Tenant) bool {
	if tenant == nil || h.tenancy.Quotas == nil {
		return true
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), request.Deadline)
	defer cancel()
	startedAt := time.Now()
	decision := h.tenancy.Quotas.Admit(ctx, tenant.Name, tenant.Limit)
	if decision.Admitted {
		return true
	}
	h.logger.Info("request exceeds its tenant's limit", zap.String("request", request.ID), zap.String("tenant", tenant.Name),
		zap.Float64("rate", tenant.Limit.Rate), zap.Float64("burst", tenant.Limit.Burst), zap.String("detail", decision.Detail),
		zap.Duration("come_back", decision.RetryAfter), zap.Duration("decided_in", time.Since(startedAt)))
	h.closeIfDraining(writer)
	writeRefusal(writer, http.StatusTooManyRequests, decision.Detail, decision.RetryAfter)
	return false
}

// refundQuota returns a request that was not executed to its tenant's quota.
func (h *Handler) refundQuota(tenant *tenants.Tenant, err error) {
	if tenant != nil && h.tenancy.Quotas != nil && errors.Is(err, dispatch.ErrNotExecuted) {
		h.tenancy.Quotas.GiveBack(tenant.Name)
	}
}

// appendTenantHeader adds the header that carries the tenant's name to servers.
func (h *Handler) appendTenantHeader(fields []upstream.Field, tenant *tenants.Tenant) []upstream.Field {
	if tenant == nil {
		return fields
	}
	return append(fields, upstream.Field{Name: h.headers.Tenant, Value: tenant.Name})
}

// priorityOf returns the priority of a request: that of its tenant if set, otherwise that of
// its route.
func priorityOf(route *routing.Route, tenant *tenants.Tenant) int {
	if tenant != nil && tenant.Priority != nil {
		return *tenant.Priority
	}
	return route.Priority
}
