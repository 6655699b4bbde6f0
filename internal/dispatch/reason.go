package dispatch

import (
	"fmt"
	"time"
)

// Reason is why a request was refused. docs/CALLERS.md documents all reasons for callers.
type Reason int

const (
	// ReasonNoOwner: no server owns the key.
	ReasonNoOwner Reason = iota
	// ReasonOwnerGone: the key's owner is draining, gone or not registered.
	ReasonOwnerGone
	// ReasonOwnerFailing: requests to the key's owner failed recently.
	ReasonOwnerFailing
	// ReasonMoving: the key is being transferred to another owner.
	ReasonMoving
	// ReasonOwnerBusy: the concurrency limit of the key's owner is reached.
	ReasonOwnerBusy
	// ReasonNoServer: no server of the service is available.
	ReasonNoServer
	// ReasonServerRefused: the last server that was tried refused the request.
	ReasonServerRefused
	// ReasonUnreachable: no part of the request reached the last server.
	ReasonUnreachable
	// ReasonNodeStops: this node shuts down before a response can be expected.
	ReasonNodeStops
	// ReasonOwnerWarming: the key's owner is warming up and can take only a few requests.
	ReasonOwnerWarming
	// ReasonKeyWarming: the key's owner received it without a handover, and its responses are
	// expected to be late.
	ReasonKeyWarming
	// ReasonOwnerLimited: the rate limit that the key's owner announced is used up.
	ReasonOwnerLimited
	// ReasonOwnerResting: the key's owner asked this node to back off.
	ReasonOwnerResting
	// ReasonCrashesServers: servers crashed each time they executed the request.
	ReasonCrashesServers
	// ReasonNoPath: this node reaches no server of the service, and no other node took the request.
	ReasonNoPath
	reasonCount
)

// String returns the reason's name in metrics and in docs/CALLERS.md.
func (r Reason) String() string {
	names := [reasonCount]string{
		"no owner", "owner gone", "owner failing", "moving", "owner busy",
		"no server", "server refused", "unreachable", "node stops", "owner warming", "key warming", "owner limited", "owner resting", "crashes servers", "no path",
	}
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return names[r]
}

// refuse returns the refusal of a request for which no server is available.
func (d *Dispatcher) refuse(request *Request) *Refusal {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.refusal(request)
}

// refusal is refuse for callers that hold the mutex.
func (d *Dispatcher) refusal(request *Request) *Refusal {
	reason, detail := d.whyNoServer(request)
	if _, stopping := d.ending.Deadline(); stopping {
		reason, detail = ReasonNodeStops, "the node stops; "+detail
	}
	return &Refusal{Reason: reason, Detail: detail, RetryAfter: d.retryAfter(reason, request)}
}

// refusalBy returns the refusal of a request whose last attempt certainly did not execute
// it.
func (d *Dispatcher) refusalBy(request *Request, outcome attemptOutcome, cause error) *Refusal {
	reason := ReasonServerRefused
	if outcome == notSent {
		reason = ReasonUnreachable
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if outcome == notSent && d.lostContact(time.Now(), request.Service) {
		reason = ReasonNoPath
	}
	return &Refusal{Reason: reason, Detail: cause.Error(), RetryAfter: d.retryAfter(reason, request)}
}

// whyNoServer explains why no server is available for a request. The caller holds the
// mutex.
func (d *Dispatcher) whyNoServer(request *Request) (Reason, string) {
	now := time.Now()
	current := d.views.Current()
	owners, divided := d.owners(current, request)
	if d.lostContact(now, request.Service) {
		return ReasonNoPath, "no server of the service answers this node"
	}
	if !divided {
		if d.tooLateForAll(now) {
			return ReasonNoServer, d.finalStateOf(now, request.Service).whyNone
		}
		return ReasonNoServer, d.whyNoneOf(now, request.Service)
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
	case now.Before(s.requestedBackoffUntil):
		return ReasonOwnerResting, fmt.Sprintf("owner %s asked for %v more without requests", owner.Owner, s.requestedBackoffUntil.Sub(now).Round(time.Millisecond))
	case now.Before(s.blockedUntil):
		return ReasonOwnerFailing, fmt.Sprintf("owner %s failed %d times in a row", owner.Owner, s.failures)
	}
	if left, isWarmingUp := d.ownerWarmingUp(now, request); isWarmingUp {
		return ReasonOwnerWarming, fmt.Sprintf("owner %s warms up for %v", owner.Owner, left.Round(time.Millisecond))
	}
	if left, tooSlow := d.coldKeyTooSlow(now, request); tooSlow {
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

// whyNoneOf explains why none of the servers of an unsharded service is available. The
// caller holds the mutex.
func (d *Dispatcher) whyNoneOf(now time.Time, service string) string {
	known, leaving, resting, blocked, limited, warmingUp, busy := 0, 0, 0, 0, 0, 0, 0
	current := d.views.Current()
	svc := d.services[service]
	if svc == nil {
		return "no servers are known"
	}
	for _, s := range svc.members {
		known++
		may, _ := d.maySend(now, current, s)
		switch {
		case !s.reachable(now, 0):
			leaving++
		case now.Before(s.requestedBackoffUntil):
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
