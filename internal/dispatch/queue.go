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
	// scheduled is what decides about its place.
	scheduled *schedule.Request
	excluded  map[discovery.ServerID]bool
	// chosen receives the server, which is already counted as busy with it, or nil if
	// there is no use in waiting any more.
	chosen chan *server
}

func scheduledOf(w *waiter) *schedule.Request { return w.scheduled }

// pump gives free servers to waiting requests, in the order of package schedule. The
// caller holds the mutex.
func (d *Dispatcher) pump(service string) {
	queue := d.waiting[service]
	if len(queue) == 0 {
		return
	}
	now := time.Now()
	schedule.Order(now, queue, scheduledOf)
	kept := queue[:0]
	for _, w := range queue {
		if _, hopeless := d.keyHopeless(now, w.request); hopeless {
			w.chosen <- nil
			continue
		}
		chosen := d.choose(now, w.request, w.excluded)
		if chosen == nil {
			kept = append(kept, w)
			continue
		}
		d.occupy(now, chosen)
		w.chosen <- chosen
	}
	if len(kept) == 0 {
		delete(d.waiting, service)
		return
	}
	d.waiting[service] = kept
}

// enqueue adds a waiter; pump puts it into its place. The caller holds the mutex.
func (d *Dispatcher) enqueue(w *waiter) {
	d.waiting[w.request.Service] = append(d.waiting[w.request.Service], w)
}

// abandon removes a waiter. It returns the server that the waiter was given in
// the meantime, if any.
func (d *Dispatcher) abandon(w *waiter) *server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	queue := d.waiting[w.request.Service]
	for index, other := range queue {
		if other == w {
			d.waiting[w.request.Service] = append(queue[:index], queue[index+1:]...)
			return nil
		}
	}
	select {
	case given := <-w.chosen:
		return given
	default:
		return nil
	}
}

// acquire returns a server for the request, waiting until its limit. It returns nil
// if there is none by then, if its answer would come too late for a node that stops,
// or if the context ends.
func (d *Dispatcher) acquire(ctx context.Context, request *Request, excluded map[discovery.ServerID]bool) *server {
	chosen := d.await(ctx, request, excluded, d.limit(request))
	if chosen == nil {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	// The node may have been told to stop while the request waited.
	now, limit := time.Now(), d.limit(request)
	for chosen != nil && d.tooLate(now, request, chosen, limit) {
		chosen.outstanding--
		d.pump(chosen.Service)
		if excluded[chosen.id] {
			// It is the only one for the request's key.
			return nil
		}
		excluded[chosen.id] = true
		if chosen = d.choose(now, request, excluded); chosen != nil {
			d.occupy(now, chosen)
		}
	}
	return chosen
}

// await waits for a server until limit or the end of the context.
func (d *Dispatcher) await(ctx context.Context, request *Request, excluded map[discovery.ServerID]bool, limit time.Time) *server {
	d.mutex.Lock()
	now := time.Now()
	if chosen := d.choose(now, request, excluded); chosen != nil {
		d.occupy(now, chosen)
		d.mutex.Unlock()
		return chosen
	}
	w := &waiter{request: request, scheduled: d.scheduled(request, limit), excluded: excluded, chosen: make(chan *server, 1)}
	decision := d.patience(w)
	if decision.Verdict == schedule.Refuse {
		d.mutex.Unlock()
		return nil
	}
	d.enqueue(w)
	d.mutex.Unlock()
	return d.waitInLine(ctx, w, decision.Until)
}

// waitInLine waits for a server until a moment, and goes on if it is decided then that
// the request may wait longer: as one that is late, for the room that others leave.
func (d *Dispatcher) waitInLine(ctx context.Context, w *waiter, until time.Time) *server {
	for {
		timer := time.NewTimer(time.Until(until))
		select {
		case chosen := <-w.chosen:
			timer.Stop()
			return chosen
		case <-ctx.Done():
			timer.Stop()
			return d.abandon(w)
		case <-timer.C:
		}
		decision := d.decideAgain(w)
		if decision.Verdict == schedule.Refuse {
			return d.abandon(w)
		}
		until = decision.Until
	}
}

func (d *Dispatcher) decideAgain(w *waiter) schedule.Decision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.patience(w)
}
