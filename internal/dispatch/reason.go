package dispatch

import (
	"fmt"
	"time"
)

// whyNone says why no server could be found for a request, for its client and
// the log.
func (d *Dispatcher) whyNone(request *Request) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reason := d.whyNoServer(request)
	if _, stops := d.ending.At(); !stops {
		return reason
	}
	return "the node stops; " + reason
}

// whyNoServer says why no server is free for a request. The caller holds the mutex.
func (d *Dispatcher) whyNoServer(request *Request) string {
	now := time.Now()
	current := d.views.Current()
	owners, divided := d.owners(current, request)
	if !divided {
		return d.whyNoneOf(now, request)
	}
	owner := d.ownerOf(request, owners)
	if owner == nil {
		return "the key has no owner"
	}
	s := d.servers[owner.Owner]
	switch {
	case s == nil:
		return fmt.Sprintf("owner %s is not registered", owner.Owner)
	case !s.reachable(now, d.options.LeaveGrace):
		return fmt.Sprintf("owner %s leaves or is gone", owner.Owner)
	case now.Before(s.blockedUntil):
		return fmt.Sprintf("owner %s failed %d times in a row", owner.Owner, s.failures)
	}
	if until, held := d.moving[movingRange{request.Service, owner.Fence, owner.Last}]; held && now.Before(until) {
		return fmt.Sprintf("key is moving from %s", owner.Owner)
	}
	return fmt.Sprintf("owner %s is busy: %d of %d, answers take %.0f ms", owner.Owner, s.outstanding, s.capacity(), s.expected()*millisPerSecond)
}

const millisPerSecond = 1000

// whyNoneOf says why none of a service's servers was free. The caller holds the
// mutex.
func (d *Dispatcher) whyNoneOf(now time.Time, request *Request) string {
	known, leaving, blocked, busy := 0, 0, 0, 0
	for _, candidate := range d.views.Current().Services[request.Service] {
		s := d.servers[candidate.ID]
		if s == nil {
			continue
		}
		known++
		switch {
		case !s.reachable(now, 0):
			leaving++
		case now.Before(s.blockedUntil):
			blocked++
		case s.outstanding >= s.capacity():
			busy++
		}
	}
	return fmt.Sprintf("of %d servers %d leave, %d failed lately, %d are busy", known, leaving, blocked, busy)
}
