package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
)

// result is what an attempt tells about its server.
type result int

const (
	// noResult: the server did not answer in time, or did not take the request.
	noResult result = iota
	// serverFailed: it answered with a failure of its own, or not properly.
	serverFailed
	// serverAnswered: it served the request.
	serverAnswered
)

// sending is one attempt: how long it took, whether its range was cold, and what the
// server told of its load, if it did.
type sending struct {
	took time.Duration
	cold bool
	load *discovery.Load
	// left is true if nobody waited for the answer any more: the caller left, or another
	// server answered.
	left bool
}

// finish takes in how an attempt ended and lets the next request have its place.
func (d *Dispatcher) finish(now time.Time, request *Request, s *server, sent sending, ended result) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.outstanding--
	defer d.pump(s.Service)
	alive := ended != noResult || now.Sub(s.answeredAt) < aliveTime
	if ended != noResult {
		s.answeredAt = now
	}
	if alive {
		d.coldOf(request.Service).observe(sent.took, sent.cold, ended == serverAnswered)
	}
	if sent.cold && alive {
		// How long it took says nothing about the server.
		return
	}
	d.observeUsual(request, sent.took, ended)
	if !sent.left || sent.took.Seconds() > s.expected() {
		s.failing.observe(now, ended != serverAnswered)
	}
	switch {
	case ended == serverAnswered, ended == serverFailed && d.divided(request):
		s.succeeded(now, sent.took, request.Route.Objective, sent.load)
	case ended == serverFailed:
		s.failed(now)
	default:
		s.gaveUp(now, sent)
	}
}

// divided reports whether a request's keys are divided among servers. The caller holds
// the mutex.
func (d *Dispatcher) divided(request *Request) bool {
	_, divided := d.owners(d.views.Current(), request)
	return divided
}

// fault takes in that a server did not answer or could not be reached.
func (d *Dispatcher) fault(s *server, cause error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if errors.Is(cause, upstream.ErrTurnedAway) {
		s.turnedAway(time.Now())
		return
	}
	if errors.Is(cause, upstream.ErrSilent) {
		// The connection was lost, not the server.
		return
	}
	s.failed(time.Now())
}

// loadIn returns what a server told of its load in an answer, or nil.
func (d *Dispatcher) loadIn(answer *upstream.Answer) *discovery.Load {
	if d.headers.Load == nil {
		return nil
	}
	load, told := d.headers.Load(answer.Header)
	if !told {
		return nil
	}
	return &load
}

// resultOf says what an answer tells about its server. A server that ran out of time was
// slow, which is another matter than a failure.
func resultOf(outcome attempt, answer *upstream.Answer) result {
	switch {
	case outcome == rejected, answer.Status == statusGatewayTimeout:
		return noResult
	case outcome == failedOver, answer.Status >= 500:
		return serverFailed
	default:
		return serverAnswered
	}
}
