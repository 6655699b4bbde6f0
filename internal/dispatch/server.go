package dispatch

import (
	"time"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/schedule"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
)

const (
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// latencyGain is the weight of one response in the moving mean of latencies.
	latencyGain = 0.2
)

// server is the state that this node keeps about a server, in addition to its entry in the
// view. It is guarded by Dispatcher.mutex, except id and pool.
type server struct {
	*view.Server
	// id never changes. pool is set once, before anything is sent to the server, and not
	// changed afterwards. Both may therefore be read without the mutex.
	id   discovery.ServerID
	pool *upstream.Pool
	svc  *service
	// eligibleSlots is the number of slots with which the server counts among those that
	// may be preferred; 0 while it may not be preferred.
	eligibleSlots int
	// homeName is the server's home node, and assignedSlots the number of slots with which
	// the server counts there. Both are set only for servers of unsharded services in this
	// node's zone.
	homeName      string
	assignedSlots int
	// outstanding is the number of requests that this node has reserved a slot for at the
	// server.
	outstanding int
	// limit bounds the concurrent requests from this node to the server.
	limit limit
	// rank is this node's rendezvous score for the server; higher is preferred. preferred
	// is set if the server is in the subset that this node sends to, for an unsharded
	// service.
	rank      uint64
	preferred bool
	// evacuated is true while the server's zone is evacuated, and evacuatedSince is when
	// that was first seen.
	evacuated      bool
	evacuatedSince time.Time
	// returns spreads the retries of callers that were refused because of this server.
	returns schedule.RetrySchedule
	// coldUntil is when the server's warm-up ends according to its response to a probe.
	// probeAt is when it may be probed next.
	coldUntil time.Time
	probeAt   time.Time
	// isHome is true if this node is the server's home.
	isHome bool
	// lastHomeAt is when this node last was the home of a server of a sharded service.
	lastHomeAt time.Time
	// latency is the moving mean of the responses' latencies, in seconds.
	latency float64
	// answeredAt is when the server last answered a request; zero if it never did.
	answeredAt time.Time
	// errorRate is the recent rate of requests that the server failed.
	errorRate failureRate
	// failures counts consecutive failures; blockedUntil follows from them.
	failures int
	// refusedConnections counts consecutive connections that the server refused.
	refusedConnections int
	blockedUntil       time.Time
	// requestedBackoffUntil is the end of the backoff that the server asked this node for
	// when it rejected a request. Successful responses do not shorten it.
	requestedBackoffUntil time.Time
	// limitedUntil is until when this node sends nothing to the server because the rate
	// limit that the server announced is used up.
	limitedUntil time.Time
	// signals are the backpressure signals in the server's last response.
	signals backpressure.Signals
	// attempts and busy are totals since the last load report.
	attempts uint32
	busy     time.Duration
}

// recordSuccess updates the state after a response that shows the server to be working.
func (s *server) recordSuccess(now time.Time, elapsed, objective time.Duration, load *discovery.Load) {
	s.adaptLimit(now, elapsed, objective, load)
	s.failures, s.refusedConnections = 0, 0
	s.blockedUntil = time.Time{}
	s.observe(elapsed)
}

// observe updates the mean latency and the totals for the load report.
func (s *server) observe(elapsed time.Duration) {
	s.attempts++
	s.busy += elapsed
	if s.latency == 0 {
		s.latency = elapsed.Seconds()
		return
	}
	s.latency += latencyGain * (elapsed.Seconds() - s.latency)
}

// recordNoAnswer updates the state after an attempt that was given up without a response.
// That is evidence about the server only if its responses usually take less time.
func (s *server) recordNoAnswer(now time.Time, sent sentAttempt) {
	slow := sent.elapsed.Seconds() > s.expected()
	if slow {
		s.observe(sent.elapsed)
	}
	switch {
	case sent.load != nil:
		s.limit.observeLoad(now, sent.elapsed, *sent.load)
	case slow && s.limit.reportsLoad:
		// An overloaded server may leave requests that do not fit into its queue
		// unanswered.
		s.limit.decrease(now, sent.elapsed, s.Slots, minDecreaseFactor)
	}
}

// overloadPause is how long a server that reported that it is full gets no requests: about
// the time in which it completes a few.
const overloadPause = 30 * time.Millisecond

// maxOverloadPause bounds the pause for a server that keeps refusing connections. The pause
// grows because refusing connections costs the server time too.
const maxOverloadPause = 480 * time.Millisecond

// pause keeps requests from a server for a moment because it is full. It does not count as
// a failure.
func (s *server) pause(now time.Time) { s.blockedUntil = now.Add(overloadPause) }

// recordConnectionRefused handles a connection that the server refused because it has too
// many. The pause doubles with each consecutive refusal.
func (s *server) recordConnectionRefused(now time.Time) {
	s.blockedUntil = now.Add(min(overloadPause<<min(s.refusedConnections, 4), maxOverloadPause))
	s.refusedConnections++
}

// recordFailure backs off from the server exponentially.
func (s *server) recordFailure(now time.Time) {
	backoff := firstBackoff << min(s.failures, 6)
	s.failures++
	s.blockedUntil = now.Add(min(backoff, maxBackoff))
}

// adaptLimit adapts the concurrency limit to the server's queue, which all nodes share.
func (s *server) adaptLimit(now time.Time, elapsed, objective time.Duration, load *discovery.Load) {
	if load != nil {
		s.limit.observeLoad(now, elapsed, *load)
		return
	}
	slow := slowFraction * objective.Seconds()
	s.limit.observeLatency(now, s.Slots, elapsed.Seconds() > slow && s.latency > slow)
}

// capacity is the maximum number of concurrent requests from this node to the server.
func (s *server) capacity(now time.Time) int {
	allowed := s.limit.requests(now, s.Slots)
	if bound := s.connectionBound(); bound > 0 {
		return min(allowed, bound)
	}
	return allowed
}

// throughput is the mean number of concurrent requests from this node to the server if
// there are always requests to send.
func (s *server) throughput(now time.Time) float64 {
	allowed := s.limit.now(now, s.Slots)
	if bound := s.connectionBound(); bound > 0 {
		return min(allowed, float64(bound))
	}
	return allowed
}

// expected is the expected latency of the server, in seconds.
func (s *server) expected() float64 {
	if s.latency == 0 {
		return defaultLatency
	}
	return s.latency
}

// inBackoff reports whether this node currently sends nothing to the server although it is
// registered.
func (s *server) inBackoff(now time.Time) bool {
	return now.Before(s.blockedUntil) || now.Before(s.requestedBackoffUntil)
}

// extendBackoff applies a backoff that the server asked for. It never shortens one.
func (s *server) extendBackoff(now time.Time, requested time.Duration) {
	if until := now.Add(requested); until.After(s.requestedBackoffUntil) {
		s.requestedBackoffUntil = until
	}
}

// usable reports whether a request may be sent to the server now. A server whose
// registration is missing is used for a while longer, because registrations may expire
// while the store is down and return afterwards.
func (s *server) usable(now time.Time, leaveGrace time.Duration) bool {
	if s.inBackoff(now) || s.outstanding >= s.capacity(now) {
		return false
	}
	return s.reachable(now, leaveGrace)
}

// reachable reports whether requests may go to the server at all, regardless of its load:
// it is registered, not draining and not in an evacuated zone, each with the given grace
// period.
func (s *server) reachable(now time.Time, leaveGrace time.Duration) bool {
	if s.Gone(now, leaveGrace) {
		return false
	}
	if s.evacuated && now.Sub(s.evacuatedSince) > leaveGrace {
		return false
	}
	return s.DrainingSince.IsZero() || now.Sub(s.DrainingSince) <= leaveGrace
}
