// Package pace schedules large writes on a shared link so that small writes find the link
// idle. It only computes delays: it has no clock and does no I/O.
package pace

import "time"

// Pacer schedules the segments of large writes for all writers of a link together. Segments
// are scheduled in the order in which they are reserved, so that writers take turns. It is
// not safe for concurrent use.
type Pacer struct {
	// rate is the permitted throughput in bytes per second.
	rate float64
	// burst is how long the link may be kept busy by segments that were sent without delay.
	burst time.Duration
	// freeAt is when the link has transmitted all reserved segments.
	freeAt time.Duration
}

// New returns a pacer with a rate in bytes per second. The backlog of large writes on the
// link, which delays small writes, takes at most about burst to drain.
func New(rate float64, burst time.Duration) *Pacer {
	return &Pacer{rate: rate, burst: burst}
}

// Reserve schedules the next segment, of the given size, and returns how long after now its
// writer must wait before writing it. now is the time since any fixed moment.
func (p *Pacer) Reserve(now time.Duration, bytes int) time.Duration {
	start := max(p.freeAt, now)
	p.freeAt = start + time.Duration(float64(bytes)/p.rate*float64(time.Second))
	return max(0, start-now-p.burst)
}
