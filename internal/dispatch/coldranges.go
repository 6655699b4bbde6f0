package dispatch

import (
	"time"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/view"
)

const (
	// slowdownGain is the weight of one request in the mean slowdown of requests for cold
	// ranges.
	slowdownGain = 0.25
	// trialInterval, times the number of nodes, is the pause between two requests for cold
	// ranges that a node sends although they are expected to be late, to notice when they
	// no longer are. All nodes together send 16 of them per second.
	trialInterval = 60 * time.Millisecond
	// livenessWindow is how long after a response a server counts as alive. Only then does a
	// request that it did not answer in time indicate that the range is slow.
	livenessWindow = time.Second
)

// coldRanges tracks which key ranges of a service are cold, because their owner received
// them without a handover, and learns how much longer requests for them take. That differs
// between deployments: at twice the latency they are still answered in time, while at eight
// times the latency they only keep their server from answering others.
type coldRanges struct {
	// owners is the owner map that until refers to. until holds, by fence, the time at
	// which a cold range counts as warm.
	owners *shards.Owners
	until  map[uint64]time.Time
	// warmSeconds is the mean latency of requests for warm ranges, in seconds, and slowdown
	// the factor by which requests for cold ranges take longer. 0 means unknown.
	warmSeconds float64
	slowdown    float64
	lastTrialAt time.Time
}

// update applies a newer owner map. The first map that a node sees does not indicate when
// owners received their ranges.
func (c *coldRanges) update(now time.Time, owners *shards.Owners, warmUp time.Duration) {
	if owners == nil || c.owners == owners {
		return
	}
	previous, known := c.owners, c.until
	c.owners, c.until = owners, make(map[uint64]time.Time)
	if previous == nil || warmUp <= 0 {
		return
	}
	previousIndex := 0
	for position := range owners.Len() {
		r := owners.At(position)
		for previous.At(previousIndex).Last < r.First {
			previousIndex++
		}
		earlier := previous.At(previousIndex)
		switch {
		case r.Owner == "":
		case earlier.Owner == r.Owner:
			if until, cold := known[earlier.Fence]; cold && now.Before(until) {
				c.until[r.Fence] = until
			}
		case !r.HandedOver:
			c.until[r.Fence] = now.Add(warmUp)
		}
	}
}

// coldUntil returns until when a range is cold; false if it is not cold.
func (c *coldRanges) coldUntil(now time.Time, fence uint64) (time.Time, bool) {
	until, cold := c.until[fence]
	return until, cold && now.Before(until)
}

// observe records the latency of a request that was answered, or that was given up although
// its server answered others.
func (c *coldRanges) observe(elapsed time.Duration, cold, answered bool) {
	seconds := elapsed.Seconds()
	if !cold {
		if !answered {
			return
		}
		if c.warmSeconds == 0 {
			c.warmSeconds = seconds
		}
		c.warmSeconds += slowdownGain / 4 * (seconds - c.warmSeconds)
		return
	}
	if c.warmSeconds == 0 {
		return
	}
	ratio := max(1, seconds/c.warmSeconds)
	if !answered && ratio < c.slowdown {
		// The request would have taken longer, by an unknown amount.
		return
	}
	if c.slowdown == 0 {
		c.slowdown = 1
	}
	c.slowdown += slowdownGain * (ratio - c.slowdown)
}

// tooSlow reports whether a request for a cold range is expected to exceed its objective.
func (c *coldRanges) tooSlow(objective time.Duration) bool {
	return c.warmSeconds*c.slowdown > objective.Seconds()
}

// admitTrial reports whether a request is to be sent although it is expected to be late.
func (c *coldRanges) admitTrial(now time.Time, nodes int) bool {
	if now.Sub(c.lastTrialAt) < trialInterval*time.Duration(nodes) {
		return false
	}
	c.lastTrialAt = now
	return true
}

// coldRangesOf returns the state of a service's cold ranges. The caller holds the mutex.
func (d *Dispatcher) coldRangesOf(service string) *coldRanges {
	known := d.cold[service]
	if known == nil {
		known = &coldRanges{}
		d.cold[service] = known
	}
	return known
}

// updateColdRanges applies the owner maps of a view. The caller holds the mutex.
func (d *Dispatcher) updateColdRanges(now time.Time, current *view.View) {
	if current.Table == nil {
		return
	}
	for name, owners := range current.Owners {
		if service, known := current.Table.Service(name); known && service.ShardedByKey {
			d.coldRangesOf(name).update(now, owners.Owners, service.KeyWarmUp)
		}
	}
}

// coldRange returns until when the range of a request's key is cold. The caller holds the
// mutex.
func (d *Dispatcher) coldRange(now time.Time, request *Request) (time.Time, bool) {
	owners, divided := d.owners(d.views.Current(), request)
	if !divided {
		return time.Time{}, false
	}
	owner, owned := d.ownerOf(request, owners)
	if !owned {
		return time.Time{}, false
	}
	return d.coldRangesOf(request.Service).coldUntil(now, owner.Fence)
}

// coldKeyTooSlow reports whether a request is for a cold range whose requests are expected
// to be late, and for how long the range stays cold. The caller holds the mutex.
func (d *Dispatcher) coldKeyTooSlow(now time.Time, request *Request) (left time.Duration, tooSlow bool) {
	until, cold := d.coldRange(now, request)
	if !cold || !d.coldRangesOf(request.Service).tooSlow(request.Route.Objective) {
		return 0, false
	}
	return until.Sub(now), true
}

// targetsColdRange reports whether a request that is about to be sent is for a cold range.
func (d *Dispatcher) targetsColdRange(now time.Time, request *Request) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, cold := d.coldRange(now, request)
	return cold
}
