package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/micahaven/micahaven/internal/schedule"
)

// comeBack returns after what time a refused request should come back. The caller holds
// the mutex.
func (d *Dispatcher) comeBack(reason Reason, request *Request) time.Duration {
	now := time.Now()
	scheduled := d.scheduled(request, request.limit())
	line := d.line(now, request, scheduled, nil)
	return d.returnsOf(request).After(now, scheduled, line, d.lasts(now, reason, request), rand.Float64())
}

// returnsOf returns who else comes back for the servers that a request needs. The caller
// holds the mutex.
func (d *Dispatcher) returnsOf(request *Request) *schedule.Returns {
	if s := d.keyServer(request); s != nil {
		return &s.returns
	}
	known := d.returns[request.Service]
	if known == nil {
		known = &schedule.Returns{}
		d.returns[request.Service] = known
	}
	return known
}

// lasts is how long what a request was refused for is known to last. The caller holds the
// mutex.
func (d *Dispatcher) lasts(now time.Time, reason Reason, request *Request) time.Duration {
	switch reason {
	case ReasonOwnerWarming:
		left, _ := d.ownerWarms(now, request)
		return left
	case ReasonKeyWarming:
		left, _ := d.keyHopeless(now, request)
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
		return d.restLeft(now, request)
	case ReasonServerRefused:
		if left := d.restLeft(now, request); left > 0 {
			return left
		}
		// It was full. In the time of one answer it works off as many as it has slots; that
		// is an estimate, for which no caller is told to come back later than it would.
		if s := d.keyServer(request); s != nil {
			return min(seconds(s.expected()), schedule.LongestReturn(request.callerDeadline().Sub(now)))
		}
	}
	return 0
}

// restLeft is for how long the owner of a request's key still wants nothing from this node.
// The caller holds the mutex.
func (d *Dispatcher) restLeft(now time.Time, request *Request) time.Duration {
	s := d.keyServer(request)
	if s == nil {
		return 0
	}
	return max(0, s.restUntil.Sub(now))
}
