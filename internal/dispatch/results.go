package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
)

// serverResult is what an attempt shows about its server.
type serverResult int

const (
	// noResult: the server did not answer in time, or did not accept the request.
	noResult serverResult = iota
	// serverFailed: the server answered with an error of its own or with an invalid response.
	serverFailed
	// serverAnswered: the server served the request.
	serverAnswered
)

// sentAttempt describes one attempt: its latency, whether its key range was cold, and the
// load that the server reported, if any.
type sentAttempt struct {
	elapsed time.Duration
	cold    bool
	load    *discovery.Load
	// abandoned is true if the response was no longer needed: the client disconnected, or
	// another server answered.
	abandoned bool
	// responded is true if the server sent a response of any kind.
	responded bool
}

// finish records the result of an attempt and releases its slot to the next request.
func (d *Dispatcher) finish(now time.Time, request *Request, s *server, sent sentAttempt, result serverResult) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.outstanding--
	defer d.serveWaiters(s.Service)
	alive := result != noResult || now.Sub(s.answeredAt) < livenessWindow
	if result != noResult {
		s.answeredAt = now
	}
	if sent.responded {
		d.recordAnswer(now, s)
	}
	if alive {
		d.coldRangesOf(request.Service).observe(sent.elapsed, sent.cold, result == serverAnswered)
	}
	if sent.cold && alive {
		// A response for a cold range says nothing about the server's usual latency.
		return
	}
	d.observeLatency(request, sent.elapsed, result)
	if !sent.abandoned || sent.elapsed.Seconds() > s.expected() {
		s.errorRate.observe(now, result != serverAnswered)
	}
	switch {
	case result == serverAnswered, result == serverFailed && d.divided(request):
		s.recordSuccess(now, sent.elapsed, request.Route.Objective, sent.load)
	case result == serverFailed:
		s.recordFailure(now)
	default:
		s.recordNoAnswer(now, sent)
	}
}

// divided reports whether a request's service is sharded. The caller holds the mutex.
func (d *Dispatcher) divided(request *Request) bool {
	_, divided := d.owners(d.views.Current(), request)
	return divided
}

// recordTransportError records that a server did not answer or could not be reached.
func (d *Dispatcher) recordTransportError(s *server, cause error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if errors.Is(cause, upstream.ErrConnectionLimit) {
		s.recordConnectionRefused(time.Now())
		return
	}
	if errors.Is(cause, upstream.ErrUnacknowledged) {
		// The connection was lost, not the server.
		return
	}
	now := time.Now()
	s.recordFailure(now)
	d.recordNoContact(now, s)
}

// loadIn returns the load that a server reported in a response, or nil.
func (d *Dispatcher) loadIn(answer *upstream.Response) *discovery.Load {
	if d.headers.Load == nil {
		return nil
	}
	load, reported := d.headers.Load(answer.Header)
	if !reported {
		return nil
	}
	return &load
}

// resultOf derives what a response shows about its server. A gateway timeout means that the
// server was slow, which does not make this node back off as a failure does.
func resultOf(outcome attemptOutcome, answer *upstream.Response) serverResult {
	switch {
	case outcome == rejected, answer.Status == statusGatewayTimeout:
		return noResult
	case outcome == failed, answer.Status >= 500:
		return serverFailed
	default:
		return serverAnswered
	}
}
