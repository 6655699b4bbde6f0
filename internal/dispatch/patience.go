package dispatch

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/schedule"
)

// scheduled returns what the order of waiting requests needs to know of a request. The
// caller holds the mutex.
func (d *Dispatcher) scheduled(request *Request, limit time.Time) *schedule.Request {
	_, work := d.places(time.Now(), request, nil)
	since := d.firstTriesOf(request).Since(request.callerDeadline().Sub(request.ArrivedAt))
	return &schedule.Request{
		Class: request.Route.Name, Priority: request.Priority,
		Arrived: request.ArrivedAt, FirstTry: request.ArrivedAt.Add(-since), Caller: request.Caller,
		Objective: request.Route.Objective, Limit: limit, Deadline: request.callerDeadline(), Work: work,
	}
}

// firstTriesOf returns what is known of when the callers of a request's route first ask.
// The caller holds the mutex.
func (d *Dispatcher) firstTriesOf(request *Request) *schedule.FirstTries {
	known := d.firstTries[request.Route.Name]
	if known == nil {
		known = &schedule.FirstTries{}
		d.firstTries[request.Route.Name] = known
	}
	return known
}

// patience decides whether a request waits for a server, and until when. The caller holds
// the mutex.
func (d *Dispatcher) patience(w *waiter) schedule.Decision {
	now := time.Now()
	if _, warms := d.ownerWarms(now, w.request); warms {
		return schedule.Decision{Verdict: schedule.Refuse}
	}
	if _, hopeless := d.keyHopeless(now, w.request); hopeless {
		return schedule.Decision{Verdict: schedule.Refuse}
	}
	return schedule.Decide(now, w.scheduled, d.line(now, w.request, w.scheduled, w.excluded))
}

// line returns what stands before a request at the servers that may serve it, which are
// not those that it is not sent to again. The caller holds the mutex.
func (d *Dispatcher) line(now time.Time, request *Request, scheduled *schedule.Request, excluded map[discovery.ServerID]bool) schedule.Line {
	places, work := d.places(now, request, excluded)
	return schedule.Line{
		Ahead:  schedule.Ahead(now, scheduled, d.rivals(request), scheduledOf),
		Places: places, Work: work,
		Opens: d.opens(now, request), Closed: d.closed(now, request),
	}
}

// opens returns for how long this node surely sends nothing to the owner of a request's
// key, because the owner asked for that, or all that it bears has been sent. The caller holds the mutex.
func (d *Dispatcher) opens(now time.Time, request *Request) time.Duration {
	s := d.keyServer(request)
	if s == nil {
		return 0
	}
	return max(0, s.limit.pausedUntil.Sub(now), s.restUntil.Sub(now), d.limitLeft(now, s))
}

// keyServer returns the server that owns a request's key; nil if there is none or keys
// are not divided. The caller holds the mutex.
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

// closed reports whether the owner of a request's key takes none now: it leaves, is gone
// or failed lately. The caller holds the mutex.
func (d *Dispatcher) closed(now time.Time, request *Request) bool {
	if !d.divided(request) {
		return false
	}
	s := d.keyServer(request)
	return s == nil || (s.failures > 0 && now.Before(s.blockedUntil)) || !s.reachable(now, d.ownerGrace(s))
}

// rivals returns the requests that wait for the same servers as a request. The caller
// holds the mutex.
func (d *Dispatcher) rivals(request *Request) []*waiter {
	queue := d.waiting[request.Service]
	owners, divided := d.owners(d.views.Current(), request)
	if !divided {
		return queue
	}
	owner, owned := d.ownerOf(request, owners)
	if !owned {
		return nil
	}
	var rivals []*waiter
	for _, w := range queue {
		if other, has := d.ownerOf(w.request, owners); has && other.Owner == owner.Owner {
			rivals = append(rivals, w)
		}
	}
	return rivals
}

// places returns how many requests this node may have at the servers that may serve a
// request at a time, and how long their answers take. Where keys are not divided, servers
// that the request is not sent to again don't count: with none left, waiting is in vain.
// The caller holds the mutex.
func (d *Dispatcher) places(now time.Time, request *Request, excluded map[discovery.ServerID]bool) (places float64, work time.Duration) {
	if d.divided(request) {
		s := d.keyServer(request)
		if s == nil {
			return 0, 0
		}
		return d.throughput(now, s), seconds(s.expected())
	}
	current := d.views.Current()
	sum, count := 0.0, 0
	for _, s := range d.candidates(now, current, request.Service) {
		if excluded[s.id] || !s.reachable(now, 0) || s.passedOver(now) {
			continue
		}
		if _, bounded := d.warming(now, current, s); bounded {
			continue
		}
		places += d.throughput(now, s)
		sum += s.expected()
		count++
	}
	return places, seconds(sum / float64(max(1, count)))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
