package dispatch

import (
	"time"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/view"
)

const (
	// coldGain is the weight of one request in the mean of how much longer requests for
	// cold ranges take.
	coldGain = 0.25
	// coldLook, times the number of nodes, is the pause between two requests for cold
	// ranges that a node sends although they are expected to be late, so that it notices
	// when they are not any more. All nodes together send 16 of them a second.
	coldLook = 60 * time.Millisecond
	// aliveTime is for how long after an answer a server counts as alive: only then is a
	// request that it did not answer in time a sign that its range is slow.
	aliveTime = time.Second
)

// coldRanges knows which ranges of one service are cold, because their owner got them
// without a handover, and learns how much longer requests for them take. How much that is
// differs between deployments: with twice the time they are answered in time, and with
// eight times they only keep their server from answering others.
type coldRanges struct {
	// owners is the map that until belongs to, by fence.
	owners *shards.Owners
	until  map[uint64]time.Time
	// warmSeconds is how long requests for warm ranges take, in seconds, and factor how
	// many times longer those for cold ones do. 0 means that nothing is known.
	warmSeconds float64
	factor      float64
	lookedAt    time.Time
}

// follow takes in a newer map. The first one that a node sees tells nothing about when
// owners got their ranges.
func (c *coldRanges) follow(now time.Time, owners *shards.Owners, warmUp time.Duration) {
	if owners == nil || c.owners == owners {
		return
	}
	before, known := c.owners, c.until
	c.owners, c.until = owners, make(map[uint64]time.Time)
	if before == nil || warmUp <= 0 {
		return
	}
	beside := 0
	for position := range owners.Len() {
		r := owners.At(position)
		for before.At(beside).Last < r.First {
			beside++
		}
		earlier := before.At(beside)
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

// coldUntil returns until when a range is cold; false if it is not.
func (c *coldRanges) coldUntil(now time.Time, fence uint64) (time.Time, bool) {
	until, cold := c.until[fence]
	return until, cold && now.Before(until)
}

// observe takes in how long a request took that was answered, or given up although its
// server answered others.
func (c *coldRanges) observe(took time.Duration, cold, answered bool) {
	seconds := took.Seconds()
	if !cold {
		if !answered {
			return
		}
		if c.warmSeconds == 0 {
			c.warmSeconds = seconds
		}
		c.warmSeconds += coldGain / 4 * (seconds - c.warmSeconds)
		return
	}
	if c.warmSeconds == 0 {
		return
	}
	ratio := max(1, seconds/c.warmSeconds)
	if !answered && ratio < c.factor {
		// It would have taken longer; by how much is not known.
		return
	}
	if c.factor == 0 {
		c.factor = 1
	}
	c.factor += coldGain * (ratio - c.factor)
}

// hopeless reports whether a request for a cold range is expected to be late.
func (c *coldRanges) hopeless(objective time.Duration) bool {
	return c.warmSeconds*c.factor > objective.Seconds()
}

// look reports whether a request is to be sent although it is hopeless.
func (c *coldRanges) look(now time.Time, nodes int) bool {
	if now.Sub(c.lookedAt) < coldLook*time.Duration(nodes) {
		return false
	}
	c.lookedAt = now
	return true
}

// coldOf returns what is known of the cold ranges of a service. The caller holds the
// mutex.
func (d *Dispatcher) coldOf(service string) *coldRanges {
	known := d.cold[service]
	if known == nil {
		known = &coldRanges{}
		d.cold[service] = known
	}
	return known
}

// followColdRanges takes in the owner maps of a view. The caller holds the mutex.
func (d *Dispatcher) followColdRanges(now time.Time, current *view.View) {
	if current.Table == nil {
		return
	}
	for name, owners := range current.Owners {
		if service, known := current.Table.Service(name); known && service.KeyDivided {
			d.coldOf(name).follow(now, owners.Owners, service.KeyWarmUp)
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
	return d.coldOf(request.Service).coldUntil(now, owner.Fence)
}

// keyHopeless reports whether a request is for a range that is cold and whose requests
// are expected to be late, and for how long the range is cold. The caller holds the mutex.
func (d *Dispatcher) keyHopeless(now time.Time, request *Request) (left time.Duration, hopeless bool) {
	until, cold := d.coldRange(now, request)
	if !cold || !d.coldOf(request.Service).hopeless(request.Route.Objective) {
		return 0, false
	}
	return until.Sub(now), true
}

// toColdRange reports whether a request that is about to be sent is for a cold range.
func (d *Dispatcher) toColdRange(now time.Time, request *Request) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, cold := d.coldRange(now, request)
	return cold
}
