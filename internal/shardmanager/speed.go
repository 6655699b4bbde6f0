package shardmanager

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// minAttempts is the number of requests needed before a server's speed counts for the mean of
	// all servers.
	minAttempts = 8
	// priorAttempts is the weight, in requests, of the mean of all servers in the estimate of one
	// server's speed, because a few requests give a poor estimate.
	priorAttempts = 6
	// speedWindow is the time constant with which requests lose weight in the estimate of a
	// server's speed; changeWindow is the one for detecting a sudden change.
	speedWindow  = 20 * time.Second
	changeWindow = 2400 * time.Millisecond
	// reportInterval is the time that the first report of a server is assumed to cover.
	reportInterval = 200 * time.Millisecond
	// If the recent time per request differs from the long-term one by more than changeFactor, over
	// at least minChangeAttempts requests, the long-term sums are replaced by the recent ones.
	changeFactor      = 2.5
	minChangeAttempts = 3
	// minRelativeSpeed and maxRelativeSpeed bound a server's capacity relative to its slots.
	minRelativeSpeed, maxRelativeSpeed = 0.02, 2.5
	// reducedFraction is the fraction of its slots below which a server's capacity counts as
	// reduced.
	reducedFraction = 0.1
)

// decayingSum sums requests with exponentially decaying weight.
type decayingSum struct {
	window      time.Duration
	attempts    float64
	busySeconds float64
	// covered is the time in seconds that the sums represent; it approaches window.
	covered float64
}

func (f *decayingSum) record(elapsed time.Duration, load ServerLoad) {
	decay := math.Exp(-elapsed.Seconds() / f.window.Seconds())
	f.covered = f.covered*decay + f.window.Seconds()*(1-decay)
	f.attempts = f.attempts*decay + float64(load.Attempts)
	f.busySeconds = f.busySeconds*decay + load.Busy.Seconds()
}

// workSeconds estimates the time that a server with the given slots works on one request. Reported
// times include queueing, but a server cannot have worked for longer than its slots were available.
func (f *decayingSum) workSeconds(slots float64) float64 {
	const tiny = 1e-6
	working := min(f.busySeconds, slots*f.covered)
	return max(working, tiny) / max(f.attempts, tiny)
}

// speed estimates a server's speed from its recent requests.
type speed struct {
	slots     float64
	longTerm  decayingSum
	recent    decayingSum
	updatedAt time.Time
}

func newSpeed(slots int) *speed {
	return &speed{
		slots:    float64(max(1, slots)),
		longTerm: decayingSum{window: speedWindow},
		recent:   decayingSum{window: changeWindow},
	}
}

func (s *speed) record(now time.Time, load ServerLoad) {
	elapsed := reportInterval
	if !s.updatedAt.IsZero() {
		elapsed = now.Sub(s.updatedAt)
	}
	s.updatedAt = now
	s.longTerm.record(elapsed, load)
	s.recent.record(elapsed, load)
	if s.recent.attempts < minChangeAttempts {
		return
	}
	change := s.recent.workSeconds(s.slots) / s.longTerm.workSeconds(s.slots)
	if change > changeFactor || change < 1/changeFactor {
		s.longTerm.attempts = s.recent.attempts
		s.longTerm.busySeconds = s.recent.busySeconds
		s.longTerm.covered = s.recent.covered
	}
}

// busySlots estimates how many of the server's slots are busy.
func (s *speed) busySlots() float64 {
	return min(s.slots, s.longTerm.busySeconds/max(s.longTerm.covered, reportInterval.Seconds()))
}

// workSeconds estimates the time that the server works on one request.
func (s *speed) workSeconds() float64 { return s.longTerm.workSeconds(s.slots) }

// speeds maps each server with reported requests to its speed estimate.
type speeds map[discovery.ServerID]*speed

// record adds a node's report of a server with the given slots.
func (known speeds) record(now time.Time, slots int, load ServerLoad) {
	estimate := known[load.Server]
	if estimate == nil {
		estimate = newSpeed(slots)
		known[load.Server] = estimate
	}
	estimate.record(now, load)
}

// meanWorkSeconds returns the mean over the service's servers of the time that they work on one
// request; false if too few requests have been reported.
func (known speeds) meanWorkSeconds() (float64, bool) {
	sum, count := 0.0, 0
	for _, judged := range known {
		if judged.longTerm.attempts >= minAttempts {
			sum += judged.workSeconds()
			count++
		}
	}
	return sum / float64(max(1, count)), count > 0
}

// plannedLimitUse is the fraction of its rate limit that a server is assigned, because requests
// arrive unevenly.
const plannedLimitUse = 0.8

// capacityWithinLimit bounds the capacity of a server with a rate limit, so that its share of all
// requests stays below the limit. others is the total capacity of the service's other servers, and
// requestRate the service's requests per second.
func capacityWithinLimit(limit, capacity, others, requestRate float64) float64 {
	planned := plannedLimitUse * limit
	if planned >= requestRate {
		return capacity
	}
	return min(capacity, max(minRelativeSpeed, others*planned/(requestRate-planned)))
}

// capacity estimates how much load a server should get, from its slots and its speed. While slots
// are idle, fast servers get more than their share of the throughput, because they respond sooner.
func (known speeds) capacity(id discovery.ServerID, serverSlots int) float64 {
	slots := float64(max(1, serverSlots))
	estimate := known[id]
	if estimate == nil || estimate.longTerm.attempts < 1 {
		return slots
	}
	mean, enough := known.meanWorkSeconds()
	if !enough {
		return slots
	}
	busy, total := 0.0, 0.0
	for _, other := range known {
		total += other.slots
		busy += other.busySlots()
	}
	attempts := estimate.longTerm.attempts
	own := (estimate.workSeconds()*attempts + mean*priorAttempts) / (attempts + priorAttempts)
	relative := math.Pow(mean/own, speedExponent(busy/total))
	return slots * min(maxRelativeSpeed, max(minRelativeSpeed, relative))
}

// isReduced reports whether a server's capacity is so small, because of its rate limit or its
// speed, that balancing may leave it without requests.
func isReduced(capacity float64, slots int) bool {
	return capacity < reducedFraction*float64(max(1, slots))
}

// speedExponent is the exponent of a server's relative speed: 2 with most slots idle, 1 (in
// proportion to the throughput) when the servers are nearly full.
func speedExponent(utilization float64) float64 {
	const idle, full = 0.4, 0.75
	position := (utilization - idle) / (full - idle)
	return 2 - min(1, max(0, position))
}

func (t *term) recordLoad(keys []uint32, weight float64, servers []ServerLoad) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordLoad(t.now(), keys, weight)
	current := t.manager.config.Views.Current()
	for _, load := range servers {
		slots, known := t.slots[load.Server]
		if !known {
			slots = max(1, countedSlots(time.Now(), current.Services[t.manager.service])[load.Server])
		}
		t.speeds.record(time.Now(), slots, load)
		if load.answered(t.manager.config.Options.CallTimeout) {
			t.core.RecordServed(t.now(), load.Server)
		}
	}
}
