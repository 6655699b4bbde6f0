package shards

import "time"

// Options are the durations of the ownership protocol.
type Options struct {
	// Hold is how long a grant is valid, by the server's clock.
	Hold time.Duration
	// Renew is the pause between two renewals of a grant.
	Renew time.Duration
	// CallTimeout is after how long an order counts as unanswered.
	CallTimeout time.Duration
	// LateOrder is how long after it was sent an unanswered order may still be
	// carried out.
	LateOrder time.Duration
	// ReleaseRetry is the pause before a release is sent once more.
	ReleaseRetry time.Duration
	// PreviousAuthority is how long an earlier manager that lost the store may
	// have gone on renewing.
	PreviousAuthority time.Duration
	// Drift is how much longer a server's clock may count, as a factor.
	Drift float64
	// MaxMoves bounds how many ranges are released at a time for balance, as long
	// as there are few servers.
	MaxMoves int
}

// DefaultOptions returns the durations that the design was measured with.
func DefaultOptions() Options {
	return Options{
		Hold:              5 * time.Second,
		Renew:             1200 * time.Millisecond,
		CallTimeout:       time.Second,
		LateOrder:         13 * time.Second,
		ReleaseRetry:      700 * time.Millisecond,
		PreviousAuthority: 61 * time.Second,
		Drift:             1.03,
		MaxMoves:          8,
	}
}
