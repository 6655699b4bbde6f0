package dispatch

import (
	"time"

	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
)

const (
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// latencyGain is the weight of one answer in the moving mean.
	latencyGain = 0.2
)

// server is what this node knows of a server beyond the view. It is guarded by
// Dispatcher.mutex, but for the pool.
type server struct {
	*view.Server
	pool        *upstream.Pool
	outstanding int
	// latency is the moving mean of the answers' times, in seconds.
	latency float64
	// failures counts failures in a row; blockedUntil follows from them.
	failures     int
	blockedUntil time.Time
	// answers and busy sum up what is to be reported.
	answers uint32
	busy    time.Duration
}

func (s *server) succeeded(took time.Duration) {
	s.failures = 0
	s.blockedUntil = time.Time{}
	s.answers++
	s.busy += took
	if s.latency == 0 {
		s.latency = took.Seconds()
		return
	}
	s.latency += latencyGain * (took.Seconds() - s.latency)
}

func (s *server) failed(now time.Time) {
	backoff := firstBackoff << min(s.failures, 6)
	s.failures++
	s.blockedUntil = now.Add(min(backoff, maxBackoff))
}

// capacity is how many requests this node has at the server at a time.
func (s *server) capacity() int { return max(1, s.Slots/2) }

// usable reports whether a request may be sent to the server now. A server whose
// entry is missing is used a little longer, because entries may lapse while the
// store is down and come back.
func (s *server) usable(now time.Time, leaveGrace time.Duration) bool {
	if now.Before(s.blockedUntil) || s.outstanding >= s.capacity() {
		return false
	}
	return s.reachable(now, leaveGrace)
}

// reachable reports whether requests may go to the server at all.
func (s *server) reachable(now time.Time, leaveGrace time.Duration) bool {
	if !s.GoneSince.IsZero() && now.Sub(s.GoneSince) > leaveGrace {
		return false
	}
	return s.DrainingSince.IsZero() || now.Sub(s.DrainingSince) <= leaveGrace
}
