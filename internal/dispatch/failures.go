package dispatch

import (
	"math"
	"time"
)

const (
	// failureGain is the weight of one request in the share of those that failed.
	failureGain = 0.25
	// failureMemory is after how long without requests that share has fallen to a third,
	// so that a server that was avoided is tried again.
	failureMemory = 4 * time.Second
	// failureCost is how many times worse a server counts that fails everything. A server
	// that fails at once looks like the fastest of all.
	failureCost = 12
)

// failureShare is the share of a server's last requests that it failed.
type failureShare struct {
	value float64
	at    time.Time
}

// observe takes in whether a request failed.
func (f *failureShare) observe(now time.Time, failed bool) {
	value := f.now(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.value, f.at = value+failureGain*(outcome-value), now
}

// now returns the share as it counts at a moment.
func (f *failureShare) now(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/failureMemory.Seconds())
}
