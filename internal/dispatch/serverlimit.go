package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/quota"
)

// A server in need names how many requests a second it takes from all nodes together. Its
// home sends most of them, but not all: large ones go past it, and another node takes its
// place when it is lost. So each request asks the one account of the server's limit before
// it is sent, whichever node sends it. Requests beyond the limit wait here or are refused,
// like those for a busy server.

// ServerLimits keeps what servers get from all nodes within the limits that they name.
type ServerLimits interface {
	// Observe takes in what a server named, and reports whether that is new.
	Observe(server string, limit quota.Observation) bool
	// Observed returns the limit that a server names, in requests a second; false if it
	// names none. It is called with the dispatcher's mutex held, and must not call back.
	Observed(server string) (rate float64, limited bool)
	// AdmitObserved decides whether a request may be sent to a server now.
	AdmitObserved(ctx context.Context, server string) quota.Decision
	// GiveBack tells that nothing of an admitted request reached its server.
	GiveBack(server string)
}

// SetServerLimits sets what keeps servers' limits. It must be called before the first
// request; without it servers' limits are passed over.
func (d *Dispatcher) SetServerLimits(limits ServerLimits) { d.limits = limits }

// noLimits is for servers that never name a limit.
type noLimits struct{}

func (noLimits) Observe(string, quota.Observation) bool { return false }

func (noLimits) Observed(string) (float64, bool) { return 0, false }

func (noLimits) AdmitObserved(context.Context, string) quota.Decision {
	return quota.Decision{Admitted: true}
}

func (noLimits) GiveBack(string) {}

// observeLimit takes in whether a server names a limit.
func (d *Dispatcher) observeLimit(s *server, signals backpressure.Signals) {
	limit := quota.Observation{Limited: signals.Limited, Rate: signals.Rate}
	if d.limits.Observe(string(s.id), limit) {
		d.signalled(s.id, Signal{Limit: &limit})
	}
}

// leastLimitPause keeps a request from asking for the same server again at once.
const leastLimitPause = 20 * time.Millisecond

// withinLimit reports whether a request may be sent to the server that was chosen for it.
// Otherwise its place is free again, and this node sends the server nothing until there is
// room, as far as is known.
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
		d.logger.Info("server's limit used up", zap.String("request", request.ID), zap.String("server", string(s.id)),
			zap.Duration("room_in", decision.RetryAfter), zap.String("detail", decision.Detail))
	}
	d.pump(s.Service)
	return false
}

// limitLeft returns for how long this node sends a server nothing because its limit is used
// up. The caller holds the mutex.
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

// throughput is how many requests this node has at a server on average if there are always
// some to send. The caller holds the mutex.
func (d *Dispatcher) throughput(now time.Time, s *server) float64 {
	allowed := s.throughput(now)
	rate, limited := d.limits.Observed(string(s.id))
	if !limited {
		return allowed
	}
	if !s.home {
		rate /= float64(max(1, d.nodes))
	}
	return min(allowed, rate*s.expected())
}
