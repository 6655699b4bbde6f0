package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
)

// waiting puts a request into the line as Do does, and returns where its server comes.
func waiting(d *Dispatcher, request *Request) *waiter {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	w := &waiter{request: request, scheduled: d.scheduled(request, request.limit()), chosen: make(chan *server, 1)}
	d.enqueue(w)
	return w
}

// A place that gets free goes to a request that can still be in time, although another one
// has waited for longer.
func TestFreePlaceGoesToARequestInTime(t *testing.T) {
	d, _ := stopping(t, untilLeft)
	a := d.server("a")
	a.outstanding, a.limit = 1, limit{value: 1}
	late, inTime := patient(), patient()
	late.Route.Objective = time.Second
	late.ArrivedAt = late.ArrivedAt.Add(-2 * time.Second)
	lateOne, other := waiting(d, late), waiting(d, inTime)
	freePlaces(d, "a")
	if len(other.chosen) != 1 || len(lateOne.chosen) != 0 {
		t.Errorf("%d places for the request in time, %d for the late one", len(other.chosen), len(lateOne.chosen))
	}
	freePlaces(d, "a")
	if len(lateOne.chosen) != 1 {
		t.Error("the late one does not get the room that is left")
	}
}

// A caller whose first try is long ago counts as late, though this try has just come.
func TestSecondTryOfACallerIsAsOldAsItsFirst(t *testing.T) {
	d, _ := stopping(t, untilLeft)
	for range 8 {
		d.sample(patient())
	}
	again := patient()
	again.Route.Objective = 10 * time.Second
	again.Deadline = again.ArrivedAt.Add(45 * time.Second)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	scheduled := d.scheduled(again, again.limit())
	if age := again.ArrivedAt.Sub(scheduled.FirstTry); age != 15*time.Second {
		t.Errorf("first asked %v before, want 15 s", age)
	}
	if !scheduled.Late(again.ArrivedAt) {
		t.Error("counts as in time")
	}
}

// What is known to be refused again within a part of the caller's time is refused at once,
// and told to come back within a third of that time.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	d, arrived := stopping(t, untilLeft)
	a := d.server("a")
	a.outstanding, a.latency, a.limit = 1, 5, limit{value: 1}
	first := patient()
	first.Route.Timeout, first.Deadline = 3*time.Second, first.ArrivedAt.Add(3*time.Second)
	waiting(d, first)
	request := order()
	request.Deadline = request.ArrivedAt.Add(900 * time.Millisecond)
	_, trace, err := d.Do(context.Background(), request)
	var refusal *Refusal
	if !errors.As(err, &refusal) || arrived.Load() != 0 {
		t.Fatalf("%v with %d requests at the server, want a refusal and none", err, arrived.Load())
	}
	if trace.Queued > 100*time.Millisecond || refusal.RetryAfter <= 0 || refusal.RetryAfter > 300*time.Millisecond {
		t.Errorf("refused after %v, to come back after %v", trace.Queued, refusal.RetryAfter)
	}
}

// How long a full server's answers take is no known end of its being full: callers are told
// to come back within a third of their time, beyond which they come back when they like.
func TestCallersOfAFullServerComeBackWithinAThird(t *testing.T) {
	w := newWarmUpWorld(t, 1, "divided z 0s")
	w.own(t, "s0")
	request := order()
	request.Service, request.HasKey = "divided", true
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.server("s0").latency = 5
	if after := w.comeBack(ReasonServerRefused, request); after > time.Second/3 {
		t.Errorf("told to come back after %v of 1 s", after)
	}
}

// The owner of a key that is lost is not waited for by requests that are late already.
func TestNobodyWaitsLateForALostOwner(t *testing.T) {
	w := newWarmUpWorld(t, 1, "divided z 0s")
	w.own(t, "s0")
	request := order()
	request.Service, request.HasKey = "divided", true
	if w.closed(time.Now(), request) {
		t.Error("a good owner counts as closed")
	}
	w.server(discovery.ServerID("s0")).failures = 1
	w.server(discovery.ServerID("s0")).blockedUntil = time.Now().Add(time.Minute)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.closed(time.Now(), request) {
		t.Error("a failing owner counts as open")
	}
}
