package shards

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

type phase int

const (
	// vacant ranges have no possible holder and wait for an owner.
	vacant phase = iota
	// committing ranges have a new owner that is being written to the store.
	committing
	// owned ranges are granted to their owner and renewed.
	owned
	// releasing ranges are being taken from their owner.
	releasing
)

// shard is a range and what the manager does with it.
type shard struct {
	Range
	phase phase
	// heldUntil is the latest moment at which the owner's hold can end, as far
	// as it follows from grants that are not in flight.
	heldUntil time.Duration
	// inFlight counts grants that have neither been answered nor timed out.
	inFlight int
	renewAt  time.Duration
	// releaseFence is the fence of the release, if the range is releasing.
	releaseFence uint64
	releaseAt    time.Duration
	// move is why it is releasing.
	move Move
	// target is the planned next owner; empty means any.
	target discovery.ServerID
	// mapped is the owner that the last committed map names, and writing the one that the
	// map names whose commit is in flight.
	mapped, writing discovery.ServerID
	// lateUntil is when a late grant can no longer hold the range.
	lateUntil time.Duration
	// previousFence is that of the grant before the restore of the store, which is renewed while
	// the map is unverified; 0 if there is none.
	previousFence uint64
	// older is true if the owner may hold the range by a grant of any earlier manager
	// that is not known to be over, and not only by one of the last map's author.
	older bool
}
