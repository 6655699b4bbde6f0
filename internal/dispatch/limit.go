package dispatch

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// firstLimit is the limit to begin with: with one, a request that hangs would hold up
	// all others of this node.
	firstLimit = 2
	// limitStep is how much one answer raises the limit.
	limitStep = 0.1
	// homeStep is that at the server's home, which knows what it has there and finds out
	// soon if that is too much.
	homeStep = 0.5

	// crowded is the part of the objective above which answers show that the server has
	// too many requests waiting, if it does not tell its load; such an answer lowers the
	// limit by limitCut, to one request at least.
	crowded  = 0.5
	limitCut = 0.5

	// queuePerSlot is how many requests for each slot may wait at a server that tells its
	// load. With one, a request waits for about as long as it is worked on; the slots never
	// run empty, and more would only wait longer.
	queuePerSlot = 1.0
	// mostCut is the factor by which one answer that tells of more lowers the limit at most,
	// and leastLimit bounds that: with some hundred nodes the sum is still a few requests.
	mostCut    = 0.25
	leastLimit = 0.03
	// limitGrowth is the time in which a limit below one request grows to 2.7 times of it
	// without any answer: what a server told is old by then, and the node must look again.
	limitGrowth = 2 * time.Second
)

// limit is how many requests a node has at a server at a time. Below one request, it is the
// part of the time in which there is one: each is followed by a pause.
type limit struct {
	value float64
	// changedAt is when the value was set; a value below one grows from then on.
	changedAt time.Time
	// pausedUntil is the end of the pause after the last request.
	pausedUntil time.Time
	// told is true once the server has told its load.
	told bool
	// sole is true at the server's home, which sends nearly all of its requests.
	sole bool
}

// most is the greatest limit for a server with a number of slots.
func (l *limit) most(slots int) float64 {
	if l.sole {
		return math.Ceil(homeQueue * float64(max(1, slots)))
	}
	return float64(max(1, slots))
}

// least is the smallest limit for a server with a number of slots. At the home as many
// requests as the server works on at a time do not wait there, however slow it is; a
// server that does not answer still gets one, which tells when it does again.
func (l *limit) least(slots int, answers bool) float64 {
	switch {
	case l.sole && answers:
		return float64(max(1, slots))
	case l.sole:
		return 1
	default:
		return leastLimit
	}
}

func (l *limit) step() float64 {
	if l.sole {
		return homeStep
	}
	return limitStep
}

// now returns the limit at a moment, for a server with a number of slots.
func (l *limit) now(now time.Time, slots int) float64 {
	if l.value == 0 {
		l.value = float64(min(max(1, slots), firstLimit))
	}
	if l.value >= 1 {
		return l.value
	}
	return min(1, l.value*math.Exp(now.Sub(l.changedAt).Seconds()/limitGrowth.Seconds()))
}

func (l *limit) set(now time.Time, value float64) { l.value, l.changedAt = value, now }

// requests is how many requests the node may have at the server.
func (l *limit) requests(now time.Time, slots int) int {
	if now.Before(l.pausedUntil) {
		return 0
	}
	return max(1, int(l.now(now, slots)))
}

// tell takes in what a server told of its load with an answer that took some time. All
// nodes share its queue: with a long one each of them sends less at a time.
func (l *limit) tell(now time.Time, took time.Duration, load discovery.Load) {
	l.told = true
	current := l.now(now, load.Slots)
	most := float64(max(1, load.Slots))
	if wanted := queuePerSlot * most; float64(load.Waiting) > wanted {
		least := l.least(load.Slots, true) / current
		l.cut(now, took, load.Slots, max(mostCut, wanted/float64(load.Waiting), least))
		return
	}
	l.set(now, min(l.most(load.Slots), current+l.step()))
	l.pause(now, took)
}

// cut lowers the limit by a factor after a request that took some time, because too many
// wait.
func (l *limit) cut(now time.Time, took time.Duration, slots int, factor float64) {
	l.set(now, max(l.least(slots, false), l.now(now, slots)*factor))
	l.pause(now, took)
}

// pause lets as much time pass after a request as a limit below one asks for.
func (l *limit) pause(now time.Time, took time.Duration) {
	if l.value < 1 {
		l.pausedUntil = now.Add(time.Duration((1/l.value - 1) * float64(took)))
	}
}

// guess takes in an answer of a server that does not tell its load.
func (l *limit) guess(now time.Time, slots int, slow bool) {
	current := l.now(now, slots)
	if slow {
		l.set(now, max(1, l.least(slots, true), current-limitCut))
		return
	}
	l.set(now, min(l.most(slots), current+l.step()))
}
