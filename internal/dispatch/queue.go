package dispatch

import (
	"context"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/schedule"
)

// waiter is a request that waits for a server.
type waiter struct {
	request *Request
	// scheduled holds the attributes that determine the request's position in the queue.
	scheduled *schedule.Request
	excluded  map[discovery.ServerID]bool
	// chosen receives the result of the wait.
	chosen chan assignment
}

// assignment is the result of waiting for a server: a server on which a slot is reserved, or no
// server if waiting any longer is pointless.
type assignment struct {
	server *server
	// refusal is the request's refusal if it has been determined with that of other requests.
	refusal *Refusal
}

func scheduledOf(w *waiter) *schedule.Request { return w.scheduled }

// serveWaiters assigns available servers to the waiting requests of a service, in the order
// that package schedule defines. The caller holds the mutex.
func (d *Dispatcher) serveWaiters(service string) {
	queue := d.waiting[service]
	if len(queue) == 0 {
		return
	}
	now := time.Now()
	if d.tooLateForAll(now) {
		d.refuseQueued(now)
		return
	}
	free := d.hasFreeServer(now, service)
	if !free {
		return
	}
	schedule.Order(now, queue, scheduledOf)
	kept := queue[:0]
	for index, w := range queue {
		if !free {
			kept = append(kept, queue[index:]...)
			break
		}
		if _, tooSlow := d.coldKeyTooSlow(now, w.request); tooSlow {
			w.chosen <- assignment{}
			continue
		}
		chosen := d.choose(now, w.request, w.excluded)
		if chosen == nil {
			kept = append(kept, w)
			continue
		}
		d.reserve(now, chosen)
		w.chosen <- assignment{server: chosen}
		free = d.hasFreeServer(now, service)
	}
	if len(kept) == 0 {
		delete(d.waiting, service)
		return
	}
	d.waiting[service] = kept
}

// enqueue adds a waiter to the queue; serveWaiters sorts it. The caller holds the mutex.
func (d *Dispatcher) enqueue(w *waiter) {
	d.waiting[w.request.Service] = append(d.waiting[w.request.Service], w)
}

// removeWaiter removes a waiter from the queue. It returns what was assigned to the waiter in the
// meantime, if anything.
func (d *Dispatcher) removeWaiter(w *waiter) assignment {
	if given, assigned := w.assigned(); assigned {
		return given
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	queue := d.waiting[w.request.Service]
	for index, other := range queue {
		if other == w {
			d.waiting[w.request.Service] = append(queue[:index], queue[index+1:]...)
			return assignment{}
		}
	}
	given, _ := w.assigned()
	return given
}

// assigned returns the result of the wait if there is one already.
func (w *waiter) assigned() (given assignment, assigned bool) {
	select {
	case given = <-w.chosen:
		return given, true
	default:
		return assignment{}, false
	}
}

// acquire returns a server for the request with a slot reserved on it, waiting until the
// request's deadline. It returns no server if none becomes available by then, if the context
// ends, or if this node is shutting down and the response would come too late.
func (d *Dispatcher) acquire(ctx context.Context, request *Request, excluded map[discovery.ServerID]bool) assignment {
	assigned := d.waitForServer(ctx, request, excluded, d.deadline(request))
	chosen := assigned.server
	if chosen == nil {
		return assigned
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	// The context may have ended at the moment at which the server was chosen.
	if ctx.Err() != nil {
		chosen.outstanding--
		d.serveWaiters(chosen.Service)
		return assignment{}
	}
	// The node may have begun to shut down while the request waited.
	now, deadline := time.Now(), d.deadline(request)
	for chosen != nil && d.tooLate(now, request, chosen, deadline) {
		chosen.outstanding--
		d.serveWaiters(chosen.Service)
		if excluded[chosen.id] || d.tooLateForAll(now) {
			// No other server can serve the request.
			return assignment{}
		}
		excluded[chosen.id] = true
		if chosen = d.choose(now, request, excluded); chosen != nil {
			d.reserve(now, chosen)
		}
	}
	return assignment{server: chosen}
}

// waitForServer waits for a server until the deadline or the end of the context.
func (d *Dispatcher) waitForServer(ctx context.Context, request *Request, excluded map[discovery.ServerID]bool, deadline time.Time) assignment {
	d.mutex.Lock()
	now := time.Now()
	if d.tooLateForAll(now) || d.lostContact(now, request.Service) {
		d.mutex.Unlock()
		return assignment{}
	}
	if chosen := d.choose(now, request, excluded); chosen != nil {
		d.reserve(now, chosen)
		d.mutex.Unlock()
		return assignment{server: chosen}
	}
	w := &waiter{request: request, scheduled: d.scheduled(request, deadline), excluded: excluded, chosen: make(chan assignment, 1)}
	decision := d.decideWait(w)
	if decision.Verdict == schedule.Refuse {
		d.mutex.Unlock()
		return assignment{}
	}
	d.enqueue(w)
	d.mutex.Unlock()
	return d.waitInQueue(ctx, w, decision.Until)
}

// waitInQueue waits for a server until the given time. Then the request is either removed
// or allowed to wait longer: a late request may use capacity that requests in time leave
// over.
func (d *Dispatcher) waitInQueue(ctx context.Context, w *waiter, until time.Time) assignment {
	d.progress.queued.Add(1)
	defer d.progress.queued.Add(-1)
	for {
		expired, stop := d.waitTimer(until)
		select {
		case chosen := <-w.chosen:
			stop()
			return chosen
		case <-ctx.Done():
			stop()
			return d.removeWaiter(w)
		case <-expired:
		}
		decision := d.redecideWait(w)
		if decision.Verdict == schedule.Refuse {
			return d.removeWaiter(w)
		}
		until = decision.Until
	}
}

// waitTimer returns a channel that receives at the end of a wait, and the function that stops it. A
// wait that lasts until the queue is refused because of the shutdown gets no timer: all such timers
// would expire at the same moment, and each of their requests would need the mutex.
func (d *Dispatcher) waitTimer(until time.Time) (expired <-chan time.Time, stop func()) {
	if d.tooLateForAll(until) {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(until))
	return timer.C, func() { timer.Stop() }
}

// redecideWait decides again about a queued request. It acquires the mutex.
func (d *Dispatcher) redecideWait(w *waiter) schedule.Decision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now := time.Now(); d.tooLateForAll(now) {
		d.refuseQueued(now)
		return schedule.Decision{Verdict: schedule.Refuse}
	}
	return d.decideWait(w)
}
