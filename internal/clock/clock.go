// Package clock measures elapsed time including the time while the machine is suspended. Leases
// need that: after a suspension a process must find them expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time elapsed since a fixed but unspecified point in time.
type Clock func() time.Duration

// Boot reads CLOCK_BOOTTIME, which includes suspension and is not set by operators or by time
// synchronisation.
func Boot() time.Duration {
	var spec unix.Timespec
	// The call fails only for an unknown clock; Linux has supported this one since 2.6.39.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec)
	return time.Duration(spec.Nano())
}

// driftPermille is the greatest difference in rate allowed between two clocks, in thousandths. It
// is well above the 200 ppm within which common oscillators stay.
const driftPermille = 10

// Shorten returns a duration that is no longer than d on any clock within the allowed drift. The
// holder of a lease uses it.
func Shorten(d time.Duration) time.Duration {
	return d * (1000 - driftPermille) / 1000
}

// Stretch returns a duration that is no shorter than d on any clock within the allowed drift. The
// side that waits for a lease to expire uses it.
func Stretch(d time.Duration) time.Duration {
	return d * (1000 + driftPermille) / 1000
}
