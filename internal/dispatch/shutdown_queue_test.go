package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// waitQueued waits until the given number of requests wait for a server.
func waitQueued(t *testing.T, d *Dispatcher, want int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		d.mutex.Lock()
		count := d.countWaiting()
		d.mutex.Unlock()
		if count == want {
			return
		}
	}
	t.Fatalf("timed out waiting for %d queued requests", want)
}

// freeSlots releases all slots of a server and serves the waiting requests.
func freeSlots(d *Dispatcher, id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for known, s := range d.servers {
		if string(known) == id {
			s.outstanding = 0
			d.serveWaiters(s.Service)
		}
	}
}

// A request that was queued before the shutdown began, and gets a server afterwards, has no
// more time than a later one. Its server is sent the shortened deadline.
func TestServersOfQueuedRequestsAreToldWhenTheNodeEnds(t *testing.T) {
	serve, told := deadlineRecorder()
	d, _ := newSingleServerDispatcher(t, serve)
	d.server("a").outstanding = 100
	const left = 10 * time.Second
	time.AfterFunc(50*time.Millisecond, func() {
		d.ShutDownBy(time.Now().Add(left))
		freeSlots(d, "a")
	})
	request := longRequest()
	request.ID = ""
	if _, _, err := d.Do(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	if latest := (left - answerMargin).Milliseconds(); told.Load() <= 0 || told.Load() > latest {
		t.Errorf("server was told %d ms, want at most %d", told.Load(), latest)
	}
}

// A queued request is refused without reaching a server if its response would come too
// late.
func TestHopelessQueuedRequestOfAStoppingNodeReachesNoServer(t *testing.T) {
	d, arrived := newSingleServerDispatcher(t, blockUntilCanceled)
	d.server("a").outstanding, d.server("a").latency = 100, 40
	request := longRequest()
	time.AfterFunc(50*time.Millisecond, func() {
		d.ShutDownBy(time.Now().Add(time.Second))
		freeSlots(d, "a")
	})
	_, _, err := d.Do(context.Background(), request)
	var refusal *Refusal
	if !errors.As(err, &refusal) || arrived.Load() != 0 {
		t.Errorf("%v with %d requests at the server, want a refusal and none", err, arrived.Load())
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if outstanding := d.server("a").outstanding; outstanding != 0 {
		t.Errorf("%d slots at the server are still reserved", outstanding)
	}
}

// A slot that is released because the response would come too late goes to the next request
// at once.
func TestPlaceOfAHopelessRequestGoesToTheNext(t *testing.T) {
	d, arrived := newSingleServerDispatcher(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Signature", "signed")
	})
	a := d.server("a")
	a.limit, a.outstanding, a.latency = limit{value: 1}, 1, 0.001
	results := make(chan error, 2)
	queue := func(request *Request, waiting int) {
		request.ID = ""
		go func() {
			_, _, err := d.Do(context.Background(), request)
			results <- err
		}()
		waitQueued(t, d, waiting)
	}
	queue(longRequest(), 1)
	// The second request's own deadline is earlier than the node's end, so it may still be
	// served.
	brief := longRequest()
	brief.Deadline = time.Now().Add(5 * time.Second)
	queue(brief, 2)
	d.ShutDownBy(time.Now().Add(30 * time.Second))
	d.mutex.Lock()
	a.latency = 40
	d.mutex.Unlock()
	freeSlots(d, "a")
	served, refused := 0, 0
	for range 2 {
		switch err := <-results; {
		case err == nil:
			served++
		case errors.Is(err, ErrNotExecuted):
			refused++
		}
	}
	if served != 1 || refused != 1 || arrived.Load() != 1 {
		t.Errorf("%d served, %d refused, %d reached the server, want one each", served, refused, arrived.Load())
	}
}

// Guards against choosing servers for all of them again as each request at a server ends.
func TestQueuedRequestsAreRefusedBeforeTheShutdownDeadline(t *testing.T) {
	d, arrived := newSingleServerDispatcher(t, blockUntilCanceled)
	d.server("a").outstanding = 100
	ended := make(chan error, 1)
	go func() {
		_, _, err := d.Do(context.Background(), longRequest())
		ended <- err
	}()
	waiting := func() int {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		return d.countWaiting()
	}
	for waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	d.ShutDownBy(time.Now().Add(answerMargin - time.Millisecond))
	d.tick(false)
	if count := waiting(); count != 0 {
		t.Errorf("%d requests still wait", count)
	}
	var refusal *Refusal
	if err := <-ended; !errors.As(err, &refusal) || refusal.Reason != ReasonNodeStops || arrived.Load() != 0 {
		t.Errorf("%v with %d requests at the server, want a refusal because the node stops", err, arrived.Load())
	}
}

// countingLimits announces a limit for each server and counts how often one is examined.
type countingLimits struct {
	noLimits
	examined atomic.Int64
}

func (l *countingLimits) Observed(string) (float64, bool) {
	l.examined.Add(1)
	return 100, true
}

// limitedDispatcher returns a dispatcher with some servers, whose announced limits are used up.
func limitedDispatcher(servers int) (*Dispatcher, *countingLimits) {
	addresses := make(map[string]string)
	for number := range servers {
		addresses[fmt.Sprint(number)] = "127.0.0.1:1"
	}
	d, limits := dispatcherOf(addresses), &countingLimits{}
	d.SetServerLimits(limits)
	for _, s := range d.servers {
		s.limitedUntil = time.Now().Add(time.Hour)
	}
	return d, limits
}

// serversExaminedToRefuse returns how often servers are examined to refuse requests, of which some
// wait when a node with 20 servers stops and the others arrive afterwards.
func serversExaminedToRefuse(t *testing.T, queued, arriving int) int64 {
	t.Helper()
	d, limits := limitedDispatcher(20)
	results := make(chan error, queued+arriving)
	send := func(count int) {
		for range count {
			go func() {
				_, _, err := d.Do(context.Background(), longRequest())
				results <- err
			}()
		}
	}
	send(queued)
	waitQueued(t, d, queued)
	limits.examined.Store(0)
	d.ShutDownBy(time.Now().Add(answerMargin))
	time.Sleep(answerMargin)
	send(arriving)
	for range queued + arriving {
		var refusal *Refusal
		if err := <-results; !errors.As(err, &refusal) || refusal.Reason != ReasonNodeStops {
			t.Errorf("%v, want a refusal because the node stops", err)
		}
	}
	return limits.examined.Load()
}

// Guards against refusals at the shutdown deadline that take longer the more requests wait.
func TestStoppingNodeDoesNotExamineServersForEachRequestThatItRefuses(t *testing.T) {
	const few, many = 10, 200
	for _, c := range []struct {
		name    string
		examine func(count int) int64
	}{
		{"queued", func(count int) int64 { return serversExaminedToRefuse(t, count, 0) }},
		{"arriving after the queue was refused", func(count int) int64 { return serversExaminedToRefuse(t, few, count) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			if first, second := c.examine(few), c.examine(many); second > first {
				t.Errorf("servers examined %d times to refuse %d requests, %d times for %d", first, few, second, many)
			}
		})
	}
}

// Guards against a convoy at the mutex at the moment at which the queue is refused.
func TestQueueRefusedByAStoppingNodeDoesNotNeedTheMutex(t *testing.T) {
	d, _ := newSingleServerDispatcher(t, blockUntilCanceled)
	const requests, untilRefused = 50, 50 * time.Millisecond
	refusedAt := time.Now().Add(untilRefused)
	d.ShutDownBy(refusedAt.Add(answerMargin))
	results := make(chan assignment, requests)
	for range requests {
		w := enqueueWaiter(d, longRequest())
		go func() { results <- d.waitInQueue(context.Background(), w, refusedAt) }()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	time.Sleep(2 * untilRefused)
	d.refuseQueued(time.Now())
	for number := range requests {
		select {
		case result := <-results:
			if result.refusal == nil || result.refusal.Reason != ReasonNodeStops {
				t.Errorf("%+v, want a refusal because the node stops", result)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%d of %d requests have ended without the mutex", number, requests)
		}
	}
}
