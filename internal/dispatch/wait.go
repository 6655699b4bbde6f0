package dispatch

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/schedule"
)

// scheduled returns the attributes of a request that determine its position in the queue.
// The caller holds the mutex.
func (d *Dispatcher) scheduled(request *Request, deadline time.Time) *schedule.Request {
	_, work := d.capacity(time.Now(), request, nil)
	since := d.firstTriesOf(request).EstimateAge(request.callerDeadline().Sub(request.ArrivedAt))
	return &schedule.Request{
		Class: request.Route.Name, Priority: request.Priority,
		Arrived: request.ArrivedAt, FirstAttempt: request.ArrivedAt.Add(-since), Caller: request.Caller,
		Objective: request.Route.Objective, ExecutionDeadline: deadline, Deadline: request.callerDeadline(), ServiceTime: work,
	}
}

// firstTriesOf returns the estimate, for a request's route, of when callers sent their
// first attempt. The caller holds the mutex.
func (d *Dispatcher) firstTriesOf(request *Request) *schedule.FirstAttempts {
	known := d.firstTries[request.Route.Name]
	if known == nil {
		known = &schedule.FirstAttempts{}
		d.firstTries[request.Route.Name] = known
	}
	return known
}

// decideWait decides whether a request waits for a server, and until when. The caller holds
// the mutex.
func (d *Dispatcher) decideWait(w *waiter) schedule.Decision {
	now := time.Now()
	if _, warmingUp := d.ownerWarmingUp(now, w.request); warmingUp {
		return schedule.Decision{Verdict: schedule.Refuse}
	}
	if _, tooSlow := d.coldKeyTooSlow(now, w.request); tooSlow {
		return schedule.Decision{Verdict: schedule.Refuse}
	}
	return schedule.Decide(now, w.scheduled, d.queueState(now, w.request, w.scheduled, w.excluded))
}

// queueState returns the queue ahead of a request and the capacity of the servers that may
// serve it. Servers in excluded do not count. The caller holds the mutex.
func (d *Dispatcher) queueState(now time.Time, request *Request, scheduled *schedule.Request, excluded map[discovery.ServerID]bool) schedule.Queue {
	capacity, work := d.capacity(now, request, excluded)
	return schedule.Queue{
		Ahead:       schedule.Ahead(now, scheduled, d.competing(request), scheduledOf),
		Concurrency: capacity, ServiceTime: work,
		BlockedFor: d.ownerBlockedFor(now, request), Unavailable: d.ownerUnavailable(now, request),
	}
}

// ownerBlockedFor returns for how long this node will certainly send nothing to the owner
// of a request's key: its concurrency limit requires a pause, it asked for a backoff, or
// its announced limit is used up. The caller holds the mutex.
func (d *Dispatcher) ownerBlockedFor(now time.Time, request *Request) time.Duration {
	s := d.keyServer(request)
	if s == nil {
		return 0
	}
	return max(0, s.limit.pausedUntil.Sub(now), s.requestedBackoffUntil.Sub(now), d.limitLeft(now, s))
}

// keyServer returns the server that owns a request's key; nil if there is none or the
// service is unsharded. The caller holds the mutex.
func (d *Dispatcher) keyServer(request *Request) *server {
	owners, divided := d.owners(d.views.Current(), request)
	if !divided {
		return nil
	}
	owner, owned := d.ownerOf(request, owners)
	if !owned {
		return nil
	}
	return d.server(owner.Owner)
}

// ownerUnavailable reports whether the owner of a request's key accepts no requests now: it
// is draining, gone, evacuated or failed recently. The caller holds the mutex.
func (d *Dispatcher) ownerUnavailable(now time.Time, request *Request) bool {
	if !d.divided(request) {
		return false
	}
	s := d.keyServer(request)
	return s == nil || (s.failures > 0 && now.Before(s.blockedUntil)) || !s.reachable(now, d.ownerGrace(s))
}

// competing returns the waiting requests that compete with a request for the same servers.
// The caller holds the mutex.
func (d *Dispatcher) competing(request *Request) []*waiter {
	queue := d.waiting[request.Service]
	owners, divided := d.owners(d.views.Current(), request)
	if !divided {
		return queue
	}
	owner, owned := d.ownerOf(request, owners)
	if !owned {
		return nil
	}
	var competing []*waiter
	for _, w := range queue {
		if other, has := d.ownerOf(w.request, owners); has && other.Owner == owner.Owner {
			competing = append(competing, w)
		}
	}
	return competing
}

// capacity returns how many concurrent requests this node may have at the servers that may
// serve a request, and the mean latency of those servers. For an unsharded service, the
// servers in excluded do not count: if no others are left, waiting is pointless. The caller
// holds the mutex.
func (d *Dispatcher) capacity(now time.Time, request *Request, excluded map[discovery.ServerID]bool) (capacity float64, work time.Duration) {
	if d.divided(request) {
		s := d.keyServer(request)
		if s == nil {
			return 0, 0
		}
		return d.throughput(now, s), seconds(s.expected())
	}
	if d.tooLateForAll(now) {
		final := d.finalStateOf(now, request.Service)
		return final.capacity, final.work
	}
	return d.serviceCapacity(now, request.Service, excluded)
}

// serviceCapacity is capacity for all requests of an unsharded service. The caller holds the mutex.
func (d *Dispatcher) serviceCapacity(now time.Time, service string, excluded map[discovery.ServerID]bool) (capacity float64, work time.Duration) {
	current := d.views.Current()
	sum, count := 0.0, 0
	for _, s := range d.candidates(now, current, service) {
		if excluded[s.id] || !s.reachable(now, 0) || s.inBackoff(now) {
			continue
		}
		if _, bounded := d.warming(now, current, s); bounded {
			continue
		}
		capacity += d.throughput(now, s)
		sum += s.expected()
		count++
	}
	return capacity, seconds(sum / float64(max(1, count)))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
