// Package clock reads elapsed time that also runs while the machine is
// suspended, which leases need: a process that slept must find them lapsed.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time elapsed since a fixed but unspecified moment.
type Clock func() time.Duration

// Boot reads CLOCK_BOOTTIME, which keeps running through suspension and is
// not set by operators or by time synchronisation.
func Boot() time.Duration {
	var spec unix.Timespec
	// The call fails only for an unknown clock; Linux has had this one since 2.6.39.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec)
	return time.Duration(spec.Nano())
}

// driftPermille is the greatest difference in rate allowed between two clocks,
// in thousandths: well above the 200 ppm that common oscillators keep.
const driftPermille = 10

// Shorten returns a duration that is no longer than d on any clock within the
// drift allowance. The side that acts under a lease uses it.
func Shorten(d time.Duration) time.Duration {
	return d * (1000 - driftPermille) / 1000
}

// Stretch returns a duration that is no shorter than d on any clock within the
// drift allowance. The side that waits for a lease to lapse uses it.
func Stretch(d time.Duration) time.Duration {
	return d * (1000 + driftPermille) / 1000
}
