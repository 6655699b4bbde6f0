package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
)

// enqueueWaiter adds a request to the queue as Do does, and returns its waiter.
func enqueueWaiter(d *Dispatcher, request *Request) *waiter {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	w := &waiter{request: request, scheduled: d.scheduled(request, request.deadline()), chosen: make(chan assignment, 1)}
	d.enqueue(w)
	return w
}

// A free slot goes to a request that can still meet its objective, even if a late one has
// waited longer.
func TestFreePlaceGoesToARequestInTime(t *testing.T) {
	d, _ := newSingleServerDispatcher(t, blockUntilCanceled)
	a := d.server("a")
	a.outstanding, a.limit = 1, limit{value: 1}
	late, inTime := longRequest(), longRequest()
	late.Route.Objective = time.Second
	late.ArrivedAt = late.ArrivedAt.Add(-2 * time.Second)
	lateOne, other := enqueueWaiter(d, late), enqueueWaiter(d, inTime)
	freeSlots(d, "a")
	if len(other.chosen) != 1 || len(lateOne.chosen) != 0 {
		t.Errorf("%d slots for the request in time, %d for the late one", len(other.chosen), len(lateOne.chosen))
	}
	freeSlots(d, "a")
	if len(lateOne.chosen) != 1 {
		t.Error("the late request did not get the remaining slot")
	}
}

// A client's retry counts as late if its first attempt was long ago.
func TestSecondTryOfACallerIsAsOldAsItsFirst(t *testing.T) {
	d, _ := newSingleServerDispatcher(t, blockUntilCanceled)
	for range 8 {
		d.sample(longRequest())
	}
	again := longRequest()
	again.Route.Objective = 10 * time.Second
	again.Deadline = again.ArrivedAt.Add(45 * time.Second)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	scheduled := d.scheduled(again, again.deadline())
	if age := again.ArrivedAt.Sub(scheduled.FirstAttempt); age != 15*time.Second {
		t.Errorf("first attempt %v before, want 15 s", age)
	}
	if !scheduled.Late(again.ArrivedAt) {
		t.Error("the request does not count as late")
	}
}

// A request that would be refused later anyway is refused at once, and its client is told
// to retry within a third of its remaining time.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	d, arrived := newSingleServerDispatcher(t, blockUntilCanceled)
	a := d.server("a")
	a.outstanding, a.latency, a.limit = 1, 5, limit{value: 1}
	first := longRequest()
	first.Route.Timeout, first.Deadline = 3*time.Second, first.ArrivedAt.Add(3*time.Second)
	enqueueWaiter(d, first)
	request := unsafeRequest()
	request.Deadline = request.ArrivedAt.Add(900 * time.Millisecond)
	_, trace, err := d.Do(context.Background(), request)
	var refusal *Refusal
	if !errors.As(err, &refusal) || arrived.Load() != 0 {
		t.Fatalf("error %v with %d requests at the server, want a refusal and none", err, arrived.Load())
	}
	if trace.Queued > 100*time.Millisecond || refusal.RetryAfter <= 0 || refusal.RetryAfter > 300*time.Millisecond {
		t.Errorf("refused after %v, with a retry after %v", trace.Queued, refusal.RetryAfter)
	}
}

// The latency of a full server does not indicate when it will have room. Clients are asked
// to retry within a third of their time; beyond that they would retry on their own.
func TestCallersOfAFullServerComeBackWithinAThird(t *testing.T) {
	w := newTestNode(t, 1, "divided z 0s")
	w.setOwner(t, "s0")
	request := unsafeRequest()
	request.Service, request.HasKey = "divided", true
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.server("s0").latency = 5
	if after := w.retryAfter(ReasonServerRefused, request); after > time.Second/3 {
		t.Errorf("told to retry after %v with 1 s left, want at most a third", after)
	}
}

// Requests that are already late do not wait for a lost owner of their key.
func TestNobodyWaitsLateForALostOwner(t *testing.T) {
	w := newTestNode(t, 1, "divided z 0s")
	w.setOwner(t, "s0")
	request := unsafeRequest()
	request.Service, request.HasKey = "divided", true
	if w.ownerUnavailable(time.Now(), request) {
		t.Error("a working owner counts as unavailable")
	}
	w.server(discovery.ServerID("s0")).failures = 1
	w.server(discovery.ServerID("s0")).blockedUntil = time.Now().Add(time.Minute)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.ownerUnavailable(time.Now(), request) {
		t.Error("a failing owner counts as available")
	}
}

// Guards against ticks that hold the mutex longer the more requests wait for busy servers.
func TestServersAreNotExaminedForEachRequestThatWaitsForThem(t *testing.T) {
	examined := func(waiting int) int64 {
		d, limits := limitedDispatcher(20)
		for range waiting {
			enqueueWaiter(d, longRequest())
		}
		limits.examined.Store(0)
		d.tick(false)
		return limits.examined.Load()
	}
	const few, many = 10, 200
	if first, second := examined(few), examined(many); second > first {
		t.Errorf("servers examined %d times in a tick with %d waiting requests, %d times with %d", first, few, second, many)
	}
}
