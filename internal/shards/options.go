package shards

import "time"

// Options are the parameters of the ownership protocol.
type Options struct {
	// Lease is the duration of a lease by the server's clock.
	Lease time.Duration
	// RenewInterval is the minimum interval between renewals of a grant.
	RenewInterval time.Duration
	// CallTimeout is the time after which a command counts as unanswered.
	CallTimeout time.Duration
	// MaxCommandDelay is the longest delay between sending an unanswered command and its
	// execution.
	MaxCommandDelay time.Duration
	// ReleaseRetryInterval is the interval after which a release is sent again.
	ReleaseRetryInterval time.Duration
	// PredecessorRenewal is how long an earlier manager may go on renewing grants after it lost
	// the store.
	PredecessorRenewal time.Duration
	// ClockDrift bounds the error of a server's clock: a lease lasts at most Lease times
	// ClockDrift by the manager's clock.
	ClockDrift float64
	// MaxMoves limits how many ranges are released concurrently for load balancing; the limit
	// grows with the number of servers.
	MaxMoves int
}

// DefaultOptions returns the values that the design was measured with.
func DefaultOptions() Options {
	return Options{
		Lease:                5 * time.Second,
		RenewInterval:        1200 * time.Millisecond,
		CallTimeout:          time.Second,
		MaxCommandDelay:      13 * time.Second,
		ReleaseRetryInterval: 700 * time.Millisecond,
		PredecessorRenewal:   61 * time.Second,
		ClockDrift:           1.03,
		MaxMoves:             8,
	}
}
