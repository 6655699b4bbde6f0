package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/quota"
)

// ServerLimits enforces the rate limits that servers announce, across all nodes.
//
// An overloaded server announces how many requests per second it accepts from all nodes
// together. Its home sends most of them, but not all: large requests bypass it, and another
// node replaces it when it is lost. Each request therefore has to be admitted by the single
// account of the server's limit, whichever node sends it. Requests beyond the limit wait
// here or are refused, as for a busy server.
type ServerLimits interface {
	// Observe records the limit that a server announced, and reports whether it has
	// changed.
	Observe(server string, limit quota.Observation) bool
	// Observed returns the limit that a server announced, in requests per second; false if
	// there is none. It is called with the dispatcher's mutex held and must not call back.
	Observed(server string) (rate float64, limited bool)
	// AdmitObserved decides whether a request may be sent to a server now.
	AdmitObserved(ctx context.Context, server string) quota.Decision
	// GiveBack returns the admission of a request of which nothing reached its server.
	GiveBack(server string)
}

// SetServerLimits sets the enforcement of servers' limits. It must be called before the
// first request. Without it, limits that servers announce are ignored.
func (d *Dispatcher) SetServerLimits(limits ServerLimits) { d.limits = limits }

// noLimits is the default, which ignores the limits that servers announce.
type noLimits struct{}

func (noLimits) Observe(string, quota.Observation) bool { return false }

func (noLimits) Observed(string) (float64, bool) { return 0, false }

func (noLimits) AdmitObserved(context.Context, string) quota.Decision {
	return quota.Decision{Admitted: true}
}

func (noLimits) GiveBack(string) {}

// observeLimit records whether a server announces a limit, and notifies the other nodes of
// changes.
func (d *Dispatcher) observeLimit(s *server, signals backpressure.Signals) {
	limit := quota.Observation{Limited: signals.Limited, Rate: signals.Rate}
	if d.limits.Observe(string(s.id), limit) {
		d.onSignal(s.id, Signal{Limit: &limit})
	}
}

// leastLimitPause is the minimum pause after a denied admission. It keeps a request from
// asking for the same server again at once.
const leastLimitPause = 20 * time.Millisecond

// withinLimit reports whether the server's announced limit admits a request. If not, the
// reserved slot is released and this node sends nothing to the server until the account is
// expected to admit requests again.
func (d *Dispatcher) withinLimit(ctx context.Context, request *Request, s *server) bool {
	decision := d.limits.AdmitObserved(ctx, string(s.id))
	if decision.Admitted {
		return true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.outstanding--
	if ctx.Err() == nil {
		s.limitedUntil = time.Now().Add(max(leastLimitPause, decision.RetryAfter))
		d.logger.Info("server rate limit exhausted", zap.String("request", request.ID), zap.String("server", string(s.id)),
			zap.Duration("room_in", decision.RetryAfter), zap.String("detail", decision.Detail))
	}
	d.serveWaiters(s.Service)
	return false
}

// limitLeft returns for how long this node sends nothing to a server because its announced
// limit is used up. The caller holds the mutex.
func (d *Dispatcher) limitLeft(now time.Time, s *server) time.Duration {
	if !now.Before(s.limitedUntil) {
		return 0
	}
	if _, limited := d.limits.Observed(string(s.id)); !limited {
		s.limitedUntil = time.Time{}
		return 0
	}
	return s.limitedUntil.Sub(now)
}

// throughput is the mean number of concurrent requests from this node to a server if there
// are always requests to send, with the server's announced limit taken into account. The
// caller holds the mutex.
func (d *Dispatcher) throughput(now time.Time, s *server) float64 {
	allowed := s.throughput(now)
	rate, limited := d.limits.Observed(string(s.id))
	if !limited {
		return allowed
	}
	if !s.isHome {
		rate /= float64(max(1, d.nodes))
	}
	return min(allowed, rate*s.expected())
}
