package shards

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// phase is the state of a shard in the ownership protocol.
type phase int

const (
	// vacant ranges can be held by no server and wait for an owner.
	vacant phase = iota
	// committing ranges have a new owner that is being written to the store.
	committing
	// owned ranges are granted to their owner, and the grant is renewed.
	owned
	// releasing ranges are being taken from their owner.
	releasing
)

// shard is a range with its state in the ownership protocol.
type shard struct {
	Range
	phase phase
	// leaseUntil is the latest time at which the owner's lease can end, not counting grants
	// that are in flight.
	leaseUntil time.Duration
	// acceptedAt is when the owner last accepted a grant; 0 if it never did.
	acceptedAt time.Duration
	// grantsInFlight counts grants that have neither been answered nor timed out.
	grantsInFlight int
	renewAt        time.Duration
	// releaseFence is the fence of the release if the range is being released.
	releaseFence uint64
	releaseAt    time.Duration
	// move is the reason for the release.
	move Move
	// target is the planned next owner; empty means any server.
	target discovery.ServerID
	// committedOwner is the owner in the last committed map, and inFlightOwner the owner in the
	// map whose commit was requested last.
	committedOwner, inFlightOwner discovery.ServerID
	// grantFence is the fence of the grants that are sent if it is above Fence, the one in the map.
	// An owner that accepts it rejects unanswered grants sent before. 0 means Fence.
	grantFence uint64
	// lateFence is the fence of the last unanswered grant; 0 if there is none.
	lateFence uint64
	// delayedGrantUntil is when the lease of the last unanswered grant ends at the latest, even
	// if the server executes the grant late; 0 if no grant was unanswered.
	delayedGrantUntil time.Duration
	// previousFence is the fence of the grant made before the store was restored, which is
	// renewed while the map is unverified; 0 if there is none.
	previousFence uint64
	// anyEarlierGrant is true if the owner may hold the range by a grant of any earlier manager
	// that is not known to have stopped, and not only by one of the last map's author.
	anyEarlierGrant bool
}

// currentFence returns the fence of the grants that are sent.
func (s *shard) currentFence() uint64 { return max(s.Fence, s.grantFence) }
