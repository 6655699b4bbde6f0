package dispatch

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// firstLimit is the initial limit. With an initial limit of one, a single request that
	// hangs would block all other requests of this node.
	firstLimit = 2
	// increaseStep is how much one response raises the limit.
	increaseStep = 0.1
	// homeIncreaseStep is the step at the server's home. It can be larger because the home
	// tracks its own requests at the server and soon detects when there are too many.
	homeIncreaseStep = 0.5

	// slowFraction applies to servers that do not report their load. Responses that take more
	// than this fraction of the objective indicate that too many requests wait at the
	// server. Such a response lowers the limit by decreaseStep, to a minimum of one request.
	slowFraction = 0.5
	decreaseStep = 0.5

	// queuePerSlot is the number of waiting requests per slot that is accepted at a server
	// that reports its load. With one, a request waits for about one service time and the
	// slots are never idle; a longer queue would only add latency.
	queuePerSlot = 1.0
	// minDecreaseFactor is the smallest factor by which one response that reports a longer
	// queue lowers the limit, and minLimit the smallest limit. With about a hundred nodes
	// at minLimit, the server still gets only a few requests at a time.
	minDecreaseFactor = 0.25
	minLimit          = 0.03
	// recoveryTime is the time constant with which a limit below one request grows without
	// responses (by a factor of 2.7). The reported load is outdated by then, and the node has
	// to try again.
	recoveryTime = 2 * time.Second
)

// limit is the maximum number of concurrent requests from a node to a server. A limit below
// one is the fraction of the time during which one request is in flight: each request is
// followed by a pause.
type limit struct {
	value float64
	// changedAt is when value was set. A value below one grows from then on.
	changedAt time.Time
	// pausedUntil is the end of the pause after the last request.
	pausedUntil time.Time
	// reportsLoad is true once the server has reported its load.
	reportsLoad bool
	// atHome is true at the server's home, which sends nearly all of its requests.
	atHome bool
}

// maximum is the upper bound of the limit for a server with the given number of slots.
func (l *limit) maximum(slots int) float64 {
	if l.atHome {
		return math.Ceil(homeRequestsPerSlot * float64(max(1, slots)))
	}
	return float64(max(1, slots))
}

// minimum is the lower bound of the limit for a server with the given number of slots. At
// the home, one request per slot is always allowed while the server answers, because that
// many do not queue at the server however slow it is. A server that does not answer still
// gets one request, which shows when it recovers.
func (l *limit) minimum(slots int, answers bool) float64 {
	switch {
	case l.atHome && answers:
		return float64(max(1, slots))
	case l.atHome:
		return 1
	default:
		return minLimit
	}
}

func (l *limit) step() float64 {
	if l.atHome {
		return homeIncreaseStep
	}
	return increaseStep
}

// now returns the limit at a given time, for a server with the given number of slots.
func (l *limit) now(now time.Time, slots int) float64 {
	if l.value == 0 {
		l.value = float64(min(max(1, slots), firstLimit))
	}
	if l.value >= 1 {
		return l.value
	}
	return min(1, l.value*math.Exp(now.Sub(l.changedAt).Seconds()/recoveryTime.Seconds()))
}

func (l *limit) set(now time.Time, value float64) { l.value, l.changedAt = value, now }

// requests is the number of concurrent requests that the node may have at the server now.
func (l *limit) requests(now time.Time, slots int) int {
	if now.Before(l.pausedUntil) {
		return 0
	}
	return max(1, int(l.now(now, slots)))
}

// observeLoad adapts the limit to the load that a server reported with a response; elapsed
// is the latency of that response. All nodes share the server's queue, so each of them
// lowers its limit when the queue is long.
func (l *limit) observeLoad(now time.Time, elapsed time.Duration, load discovery.Load) {
	l.reportsLoad = true
	current := l.now(now, load.Slots)
	maximum := float64(max(1, load.Slots))
	if wanted := queuePerSlot * maximum; float64(load.Waiting) > wanted {
		minimum := l.minimum(load.Slots, true) / current
		l.decrease(now, elapsed, load.Slots, max(minDecreaseFactor, wanted/float64(load.Waiting), minimum))
		return
	}
	l.set(now, min(l.maximum(load.Slots), current+l.step()))
	l.pause(now, elapsed)
}

// decrease multiplies the limit by factor because too many requests wait at the server.
// elapsed is the latency of the request that showed this.
func (l *limit) decrease(now time.Time, elapsed time.Duration, slots int, factor float64) {
	l.set(now, max(l.minimum(slots, false), l.now(now, slots)*factor))
	l.pause(now, elapsed)
}

// pause starts the pause that a limit below one requires after a request.
func (l *limit) pause(now time.Time, elapsed time.Duration) {
	if l.value < 1 {
		l.pausedUntil = now.Add(time.Duration((1/l.value - 1) * float64(elapsed)))
	}
}

// observeLatency adapts the limit to a response of a server that does not report its load.
func (l *limit) observeLatency(now time.Time, slots int, slow bool) {
	current := l.now(now, slots)
	if slow {
		l.set(now, max(1, l.minimum(slots, true), current-decreaseStep))
		return
	}
	l.set(now, min(l.maximum(slots), current+l.step()))
}
