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
	// latencyGain is the weight of one answer in the moving mean.
	latencyGain = 0.2
)

// server is what this node knows of a server beyond the view. It is guarded by
// Dispatcher.mutex, but for its id and pool.
type server struct {
	*view.Server
	// id never changes, and pool does not once there is one, which is before anything is
	// sent, so they are read without the mutex.
	id   discovery.ServerID
	pool *upstream.Pool
	of   *service
	// countedSlots is how many slots it counts with among the servers that may be preferred;
	// 0 while it may not.
	countedSlots int
	// homeName is the node that is the server's home if its service is undivided and it is
	// in this node's zone, and dividedSlots how many slots it counts with there.
	homeName     string
	dividedSlots int
	outstanding  int
	// limit is how many requests this node has at the server at a time.
	limit limit
	// rank is how much this node prefers the server to others, and preferred whether it
	// is one of those to which the node sends if its service is undivided.
	rank      uint64
	preferred bool
	// evacuated is true while nothing is to be sent to the server's zone, and
	// evacuatedSince when that was first seen.
	evacuated      bool
	evacuatedSince time.Time
	// returns spreads the callers that were refused because of this server.
	returns schedule.Returns
	// coldUntil is until when the server warms up by what it answered to a probe, and
	// probeAt when it may be probed next.
	coldUntil time.Time
	probeAt   time.Time
	// home is true if this node is the server's home.
	home bool
	// homeAt is when this node last was the home of a server of a divided service.
	homeAt time.Time
	// latency is the moving mean of the answers' times, in seconds.
	latency float64
	// answeredAt is when it last answered a request; zero if it never did.
	answeredAt time.Time
	// failing is the share of its last requests that it failed.
	failing failureShare
	// failures counts failures in a row; blockedUntil follows from them.
	failures int
	// refusals counts connections in a row that the server refused.
	refusals     int
	blockedUntil time.Time
	// restUntil is until when the server wants nothing from this node, as it said itself when
	// it turned a request away. Nothing but time ends that.
	restUntil time.Time
	// limitedUntil is until when this node sends it nothing because the limit that it names
	// is used up.
	limitedUntil time.Time
	// signals are what the server asked for with its last answer.
	signals backpressure.Signals
	// attempts and busy sum up what is to be reported.
	attempts uint32
	busy     time.Duration
}

func (s *server) succeeded(now time.Time, took, objective time.Duration, load *discovery.Load) {
	s.adapt(now, took, objective, load)
	s.failures, s.refusals = 0, 0
	s.blockedUntil = time.Time{}
	s.observe(took)
}

// observe takes in how long the server had a request.
func (s *server) observe(took time.Duration) {
	s.attempts++
	s.busy += took
	if s.latency == 0 {
		s.latency = took.Seconds()
		return
	}
	s.latency += latencyGain * (took.Seconds() - s.latency)
}

// gaveUp takes in that an answer did not come within some time. That says
// something only if the server usually answers sooner.
func (s *server) gaveUp(now time.Time, sent sending) {
	slow := sent.took.Seconds() > s.expected()
	if slow {
		s.observe(sent.took)
	}
	switch {
	case sent.load != nil:
		s.limit.tell(now, sent.took, *sent.load)
	case slow && s.limit.told:
		// What does not fit into its queue a server may leave without an answer.
		s.limit.cut(now, sent.took, s.Slots, mostCut)
	}
}

// fullPause is for how long a server that said that it is full is passed over: about
// as long as it takes to work off a few requests.
const fullPause = 30 * time.Millisecond

// maxFullPause bounds that pause for a server that goes on refusing connections: each
// one that it refuses costs it time as well.
const maxFullPause = 480 * time.Millisecond

// pause passes the server over for a moment, because it is full but well.
func (s *server) pause(now time.Time) { s.blockedUntil = now.Add(fullPause) }

// turnedAway takes in that the server refused a connection.
func (s *server) turnedAway(now time.Time) {
	s.blockedUntil = now.Add(min(fullPause<<min(s.refusals, 4), maxFullPause))
	s.refusals++
}

func (s *server) failed(now time.Time) {
	backoff := firstBackoff << min(s.failures, 6)
	s.failures++
	s.blockedUntil = now.Add(min(backoff, maxBackoff))
}

// adapt follows the server's queue, which all nodes share.
func (s *server) adapt(now time.Time, took, objective time.Duration, load *discovery.Load) {
	if load != nil {
		s.limit.tell(now, took, *load)
		return
	}
	slow := crowded * objective.Seconds()
	s.limit.guess(now, s.Slots, took.Seconds() > slow && s.latency > slow)
}

// capacity is how many requests this node has at the server at a time.
func (s *server) capacity(now time.Time) int {
	allowed := s.limit.requests(now, s.Slots)
	if places := s.connections(); places > 0 {
		return min(allowed, places)
	}
	return allowed
}

// throughput is how many requests this node has at the server on average if there are
// always some to send.
func (s *server) throughput(now time.Time) float64 {
	allowed := s.limit.now(now, s.Slots)
	if places := s.connections(); places > 0 {
		return min(allowed, float64(places))
	}
	return allowed
}

// expected is how long an answer of the server takes, in seconds.
func (s *server) expected() float64 {
	if s.latency == 0 {
		return defaultLatency
	}
	return s.latency
}

// passedOver reports whether this node sends the server nothing for a while, although it is
// there.
func (s *server) passedOver(now time.Time) bool {
	return now.Before(s.blockedUntil) || now.Before(s.restUntil)
}

// rest passes the server over for as long as it asked for.
func (s *server) rest(now time.Time, asked time.Duration) {
	if until := now.Add(asked); until.After(s.restUntil) {
		s.restUntil = until
	}
}

// usable reports whether a request may be sent to the server now. A server whose
// entry is missing is used a little longer, because entries may lapse while the
// store is down and come back.
func (s *server) usable(now time.Time, leaveGrace time.Duration) bool {
	if s.passedOver(now) || s.outstanding >= s.capacity(now) {
		return false
	}
	return s.reachable(now, leaveGrace)
}

// reachable reports whether requests may go to the server at all.
func (s *server) reachable(now time.Time, leaveGrace time.Duration) bool {
	if s.Gone(now, leaveGrace) {
		return false
	}
	if s.evacuated && now.Sub(s.evacuatedSince) > leaveGrace {
		return false
	}
	return s.DrainingSince.IsZero() || now.Sub(s.DrainingSince) <= leaveGrace
}
