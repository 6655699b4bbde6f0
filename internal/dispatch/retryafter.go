package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/micahaven/micahaven/internal/schedule"
)

// retryAfter returns the time after which the client of a refused request should retry. The
// caller holds the mutex.
func (d *Dispatcher) retryAfter(reason Reason, request *Request) time.Duration {
	now := time.Now()
	scheduled := d.scheduled(request, request.deadline())
	queueState := d.queueState(now, request, scheduled, nil)
	return d.returnsOf(request).After(now, scheduled, queueState, d.refusalDuration(now, reason, request), rand.Float64())
}

// returnsOf returns the expected retries of other refused callers of the same servers. The
// caller holds the mutex.
func (d *Dispatcher) returnsOf(request *Request) *schedule.RetrySchedule {
	if s := d.keyServer(request); s != nil {
		return &s.returns
	}
	known := d.returns[request.Service]
	if known == nil {
		known = &schedule.RetrySchedule{}
		d.returns[request.Service] = known
	}
	return known
}

// refusalDuration is how long the cause of a refusal is known to last; 0 if unknown. The
// caller holds the mutex.
func (d *Dispatcher) refusalDuration(now time.Time, reason Reason, request *Request) time.Duration {
	switch reason {
	case ReasonOwnerWarming:
		left, _ := d.ownerWarmingUp(now, request)
		return left
	case ReasonKeyWarming:
		left, _ := d.coldKeyTooSlow(now, request)
		return left
	case ReasonOwnerFailing:
		if s := d.keyServer(request); s != nil {
			return s.blockedUntil.Sub(now)
		}
	case ReasonOwnerLimited:
		if s := d.keyServer(request); s != nil {
			return d.limitLeft(now, s)
		}
	case ReasonOwnerResting:
		return d.backoffLeft(now, request)
	case ReasonServerRefused:
		if left := d.backoffLeft(now, request); left > 0 {
			return left
		}
		if s := d.keyServer(request); s != nil {
			// The server was full. Within the time of one response it completes as many
			// requests as it has slots. That is an estimate, so no client is asked to retry
			// later than it would on its own.
			return min(seconds(s.expected()), schedule.MaxRetryDelay(request.callerDeadline().Sub(now)))
		}
	}
	return 0
}

// backoffLeft is the remaining backoff that the owner of a request's key asked this node
// for. The caller holds the mutex.
func (d *Dispatcher) backoffLeft(now time.Time, request *Request) time.Duration {
	s := d.keyServer(request)
	if s == nil {
		return 0
	}
	return max(0, s.requestedBackoffUntil.Sub(now))
}
