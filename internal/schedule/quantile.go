package schedule

import "time"

// Quantile estimates a quantile of a stream of durations. Each duration above the estimate
// raises it by a step and each one below lowers it, with step sizes in the ratio that keeps
// the estimate at the quantile. Steps are proportional to the value, so that the estimate
// follows a server that becomes slow within some ten observations. It is not safe for
// concurrent use.
type Quantile struct {
	// Part is the quantile to estimate, between 0 and 1.
	Part  float64
	value float64
}

// quantileStep is the largest relative change of the estimate by one observation.
const quantileStep = 0.05

// Observe updates the estimate with a duration.
func (q *Quantile) Observe(took time.Duration) {
	seconds := took.Seconds()
	switch {
	case q.value == 0:
		q.value = seconds
	case seconds > q.value:
		q.value += q.value * quantileStep * q.Part
	default:
		q.value -= q.value * quantileStep * (1 - q.Part)
	}
}

// Value returns the estimate; 0 before the first observation.
func (q *Quantile) Value() time.Duration {
	return time.Duration(q.value * float64(time.Second))
}
