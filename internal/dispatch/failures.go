package dispatch

import (
	"math"
	"time"
)

const (
	// failureGain is the weight of one request in the failure rate.
	failureGain = 0.25
	// failureMemory is the time constant with which the failure rate decays (to about a
	// third) while no requests are sent, so that a server that was avoided is tried again.
	failureMemory = 4 * time.Second
	// failureCost sets how much failures raise a server's cost: a server that fails every
	// request costs 1 + failureCost times as much. Without it, a server that fails
	// immediately would look like the fastest one.
	failureCost = 12
)

// failureRate is the exponentially weighted fraction of a server's recent requests that it
// failed.
type failureRate struct {
	value float64
	at    time.Time
}

// observe records whether a request failed.
func (f *failureRate) observe(now time.Time, failed bool) {
	value := f.now(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.value, f.at = value+failureGain*(outcome-value), now
}

// now returns the decayed rate at a given time.
func (f *failureRate) now(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/failureMemory.Seconds())
}
