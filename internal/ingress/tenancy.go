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

// Quotas keep what tenants use within their limits.
type Quotas interface {
	Admit(ctx context.Context, tenant string, limit tenants.Limit) quota.Decision
	// GiveBack tells that a request that was admitted did not run.
	GiveBack(tenant string)
}

// Tenancy is what the handler decides by of tenants' requests.
type Tenancy struct {
	Quotas Quotas
	// Freshness returns how new the node's copy of the configuration is.
	Freshness func() tenants.Freshness
	Staleness tenants.Staleness
}

// alwaysFresh decides by the configuration alone.
func alwaysFresh() Tenancy {
	return Tenancy{
		Freshness: func() tenants.Freshness { return tenants.Freshness{Confirmed: true} },
		Staleness: tenants.Staleness{Unknown: time.Hour},
	}
}

// SetTenancy sets what is decided by. It must be called before the first request.
func (h *Handler) SetTenancy(tenancy Tenancy) { h.tenancy = tenancy }

// authorize finds whose request it is by the key that it shows. If it may not go on it is
// answered, and the result is false.
func (h *Handler) authorize(writer http.ResponseWriter, incoming *http.Request, table *routing.Table, route *routing.Route) (*tenants.Tenant, bool) {
	if table.Tenants().Empty() {
		return nil, true
	}
	freshness := h.tenancy.Freshness()
	tenant, verdict := table.Tenants().Authorize(route.Public, incoming.Header.Values(h.headers.Credential), freshness, h.tenancy.Staleness)
	authorizationsTotal.WithLabelValues(verdict.String()).Inc()
	switch verdict {
	case tenants.Anonymous, tenants.Known:
		return tenant, true
	case tenants.CopyOld:
		refuse(writer, http.StatusServiceUnavailable, "this node has not heard for a while which keys are in force", notReadyRetry)
	default:
		http.Error(writer, verdict.String(), http.StatusUnauthorized)
	}
	h.logger.Info("request not authorized", zap.String("request", incoming.Header.Get(h.headers.RequestID)),
		zap.String("route", route.Name), zap.Stringer("verdict", verdict), zap.Duration("copy_age", freshness.Age),
		zap.Bool("copy_confirmed", freshness.Confirmed), zap.Int64("version", table.Version()))
	return nil, false
}

// admit decides whether a tenant's request is within the tenant's limit. If it is not it is
// answered, and the result is false.
func (h *Handler) admit(writer http.ResponseWriter, incoming *http.Request, request *dispatch.Request, tenant *tenants.Tenant) bool {
	if tenant == nil || h.tenancy.Quotas == nil {
		return true
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), request.Deadline)
	defer cancel()
	askedAt := time.Now()
	decision := h.tenancy.Quotas.Admit(ctx, tenant.Name, tenant.Limit)
	if decision.Admitted {
		return true
	}
	h.logger.Info("request beyond its tenant's limit", zap.String("request", request.ID), zap.String("tenant", tenant.Name),
		zap.Float64("rate", tenant.Limit.Rate), zap.Float64("burst", tenant.Limit.Burst), zap.String("detail", decision.Detail),
		zap.Duration("come_back", decision.RetryAfter), zap.Duration("decided_in", time.Since(askedAt)))
	h.closeIfDraining(writer)
	refuse(writer, http.StatusTooManyRequests, decision.Detail, decision.RetryAfter)
	return false
}

// giveBack tells the tenant's account of a request that did not run.
func (h *Handler) giveBack(tenant *tenants.Tenant, err error) {
	if tenant != nil && h.tenancy.Quotas != nil && errors.Is(err, dispatch.ErrNotExecuted) {
		h.tenancy.Quotas.GiveBack(tenant.Name)
	}
}

// withTenant adds the name of the tenant, for servers.
func (h *Handler) withTenant(fields []upstream.Field, tenant *tenants.Tenant) []upstream.Field {
	if tenant == nil {
		return fields
	}
	return append(fields, upstream.Field{Name: h.headers.Tenant, Value: tenant.Name})
}

// priorityOf returns the rank of a request: its tenant's, or else its route's.
func priorityOf(route *routing.Route, tenant *tenants.Tenant) int {
	if tenant != nil && tenant.Priority != nil {
		return *tenant.Priority
	}
	return route.Priority
}
