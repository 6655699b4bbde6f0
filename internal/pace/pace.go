// Package pace shares out a link by time: large writes are spread so that what is small
// finds the link free. It has no clock and writes nothing itself.
package pace

import "time"

// Pacer says when the next piece of a large write may go out, for all writers of a link
// together. Pieces are given out in the order in which they are asked for, so that
// writers take turns. It is not safe for concurrent use.
type Pacer struct {
	// rate is how many bytes a second may go out.
	rate float64
	// burst is for how long the link may be busy with pieces that went out at once.
	burst time.Duration
	// freeAt is when the link is done with all pieces that were given out.
	freeAt time.Duration
}

// New returns a pacer of a rate in bytes per second. What waits on the link because of
// large writes, and so delays small ones, takes at most about burst.
func New(rate float64, burst time.Duration) *Pacer {
	return &Pacer{rate: rate, burst: burst}
}

// Reserve takes the next piece, of some bytes, and returns how long after now its writer
// must wait before it writes it. Times count from any fixed moment.
func (p *Pacer) Reserve(now time.Duration, bytes int) time.Duration {
	start := max(p.freeAt, now)
	p.freeAt = start + time.Duration(float64(bytes)/p.rate*float64(time.Second))
	return max(0, start-now-p.burst)
}
