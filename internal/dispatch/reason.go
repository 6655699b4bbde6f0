package dispatch

import (
	"fmt"
	"time"
)

// Reason is why a request was refused. docs/CALLERS.md lists all of them for callers.
type Reason int

// The reasons.
const (
	// ReasonNoOwner: no server owns the key.
	ReasonNoOwner Reason = iota
	// ReasonOwnerGone: the key's owner leaves, is gone or is not registered.
	ReasonOwnerGone
	// ReasonOwnerFailing: requests to the key's owner failed lately.
	ReasonOwnerFailing
	// ReasonMoving: the key is on its way to another owner.
	ReasonMoving
	// ReasonOwnerBusy: the key's owner has all the requests that it takes.
	ReasonOwnerBusy
	// ReasonNoServer: no server of the service is free.
	ReasonNoServer
	// ReasonServerRefused: the last server that was asked refused.
	ReasonServerRefused
	// ReasonUnreachable: nothing of the request reached the last server.
	ReasonUnreachable
	// ReasonNodeStops: this node stops before an answer can be expected.
	ReasonNodeStops
	// ReasonOwnerWarming: the key's owner warms up and bears only a few requests.
	ReasonOwnerWarming
	// ReasonKeyWarming: the key's owner got it without a handover, and its answers would
	// be late.
	ReasonKeyWarming
	// ReasonOwnerLimited: the key's owner names a limit, and it is used up.
	ReasonOwnerLimited
	// ReasonOwnerResting: the key's owner has asked this node for rest.
	ReasonOwnerResting
	// ReasonCrashesServers: servers crashed each time they ran the request.
	ReasonCrashesServers
	reasonCount
)

// String names the reason in metrics and in docs/CALLERS.md.
func (r Reason) String() string {
	names := [reasonCount]string{
		"no owner", "owner gone", "owner failing", "moving", "owner busy",
		"no server", "server refused", "unreachable", "node stops", "owner warming", "key warming", "owner limited", "owner resting", "crashes servers",
	}
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return names[r]
}

// refusal returns the refusal of a request for which there is no server.
func (d *Dispatcher) refusal(request *Request) *Refusal {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reason, detail := d.whyNoServer(request)
	if _, stops := d.ending.At(); stops {
		reason, detail = ReasonNodeStops, "the node stops; "+detail
	}
	return &Refusal{Reason: reason, Detail: detail, RetryAfter: d.comeBack(reason, request)}
}

// refusalBy returns the refusal of a request whose last attempt surely did not run it.
func (d *Dispatcher) refusalBy(request *Request, outcome attempt, cause error) *Refusal {
	reason := ReasonServerRefused
	if outcome == notSent {
		reason = ReasonUnreachable
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return &Refusal{Reason: reason, Detail: cause.Error(), RetryAfter: d.comeBack(reason, request)}
}

// whyNoServer says why no server is free for a request. The caller holds the mutex.
func (d *Dispatcher) whyNoServer(request *Request) (Reason, string) {
	now := time.Now()
	current := d.views.Current()
	owners, divided := d.owners(current, request)
	if !divided {
		return ReasonNoServer, d.whyNoneOf(now, request)
	}
	owner, owned := d.ownerOf(request, owners)
	if !owned {
		return ReasonNoOwner, "the key has no owner"
	}
	s := d.server(owner.Owner)
	switch {
	case s == nil:
		return ReasonOwnerGone, fmt.Sprintf("owner %s is not registered", owner.Owner)
	case !s.reachable(now, d.ownerGrace(s)):
		return ReasonOwnerGone, fmt.Sprintf("owner %s leaves or is gone", owner.Owner)
	case now.Before(s.restUntil):
		return ReasonOwnerResting, fmt.Sprintf("owner %s asked for %v more without requests", owner.Owner, s.restUntil.Sub(now).Round(time.Millisecond))
	case now.Before(s.blockedUntil):
		return ReasonOwnerFailing, fmt.Sprintf("owner %s failed %d times in a row", owner.Owner, s.failures)
	}
	if left, warms := d.ownerWarms(now, request); warms {
		return ReasonOwnerWarming, fmt.Sprintf("owner %s warms up for %v", owner.Owner, left.Round(time.Millisecond))
	}
	if left, hopeless := d.keyHopeless(now, request); hopeless {
		return ReasonKeyWarming, fmt.Sprintf("key came to owner %s without a handover, slow for %v", owner.Owner, left.Round(time.Millisecond))
	}
	if left := d.limitLeft(now, s); left > 0 {
		rate, _ := d.limits.Observed(string(s.id))
		return ReasonOwnerLimited, fmt.Sprintf("owner %s takes %g requests a second from all nodes, which are used up for %v",
			owner.Owner, rate, left.Round(time.Millisecond))
	}
	if until, held := d.moving[movingRange{request.Service, owner.Fence, owner.Last}]; held && now.Before(until) {
		return ReasonMoving, fmt.Sprintf("key is moving from %s", owner.Owner)
	}
	return ReasonOwnerBusy, fmt.Sprintf("owner %s is busy: %d of %d, answers take %.0f ms",
		owner.Owner, s.outstanding, s.capacity(now), s.expected()*millisPerSecond)
}

const millisPerSecond = 1000

// whyNoneOf says why none of a service's servers was free. The caller holds the
// mutex.
func (d *Dispatcher) whyNoneOf(now time.Time, request *Request) string {
	known, leaving, resting, blocked, limited, warmingUp, busy := 0, 0, 0, 0, 0, 0, 0
	current := d.views.Current()
	of := d.services[request.Service]
	if of == nil {
		return "no servers are known"
	}
	for _, s := range of.members {
		known++
		may, _ := d.maySend(now, current, s)
		switch {
		case !s.reachable(now, 0):
			leaving++
		case now.Before(s.restUntil):
			resting++
		case now.Before(s.blockedUntil):
			blocked++
		case d.limitLeft(now, s) > 0:
			limited++
		case !may:
			warmingUp++
		case s.outstanding >= s.capacity(now):
			busy++
		}
	}
	return fmt.Sprintf("of %d servers %d leave, %d asked for rest, %d failed lately, the limits of %d are used up, %d warm up, %d are busy",
		known, leaving, resting, blocked, limited, warmingUp, busy)
}
