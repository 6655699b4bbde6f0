package schedule

import "time"

// Quantile follows a quantile of times that come one by one: each time above it raises it
// by a step and each below lowers it, in the proportion in which they should come. Steps
// are a part of the value, so that it follows servers that turn slow within some ten
// times. It must not be used concurrently.
type Quantile struct {
	// Part is the part of the times that are to be below.
	Part  float64
	value float64
}

// quantileStep is the part of the value by which one time changes it at most.
const quantileStep = 0.05

// Observe takes in a time.
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

// Value returns the quantile; 0 as long as no time has come.
func (q *Quantile) Value() time.Duration {
	return time.Duration(q.value * float64(time.Second))
}
