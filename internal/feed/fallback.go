package feed

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fallbackGroup is the mean number of nodes, heads aside, that fall back to watching the
	// store without a delay.
	fallbackGroup = 16
	// fallbackStep is the delay after which twice as many nodes may have turned to the store.
	fallbackStep = 300 * time.Millisecond
)

// computeFallbackDelay returns how much longer than a head this node waits for other nodes before it
// watches the store. If all nodes of a large system watched the store at the same time, its link
// would be saturated and no change would arrive. The delay grows with the logarithm of a node's
// position in a random order, so that few nodes go first.
func (f *Feed) computeFallbackDelay(members int) time.Duration {
	if f.head || members <= fallbackGroup {
		return 0
	}
	steps := func(position float64) float64 { return math.Log2(max(1, position/fallbackGroup)) }
	position := float64(xxhash.Sum64String(f.self.Name)) / math.MaxUint64 * float64(members)
	longest := min(fallbackStep.Seconds()*steps(float64(members)), (f.maxCopyAge - maxConfirmationAge).Seconds())
	return time.Duration(max(0, longest) * steps(position) / steps(float64(members)) * float64(time.Second))
}

// outageThreshold returns the confirmation age from which the store counts as unavailable.
func (f *Feed) outageThreshold() time.Duration { return minOutageThreshold + f.fallbackDelay }

// Lateness returns the additional propagation delay, at most the fallback delay, of a change that
// arrives now.
func (f *Feed) Lateness(now time.Duration) time.Duration {
	return min(max(0, f.confirmedAge(now)-maxConfirmationAge), f.fallbackDelay)
}
