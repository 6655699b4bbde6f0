package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
)

// newServerPair returns a dispatcher with two servers, of which "slow" is chosen first, and
// the numbers of requests that reached them.
func newServerPair(t *testing.T, slow, other http.HandlerFunc) (d *Dispatcher, atSlow, atOther *atomic.Int64) {
	t.Helper()
	atSlow, atOther = &atomic.Int64{}, &atomic.Int64{}
	serve := func(count *atomic.Int64, handler http.HandlerFunc) string {
		backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
			count.Add(1)
			writer.Header().Set("Id", incoming.Header.Get("Id"))
			handler(writer, incoming)
		}))
		t.Cleanup(backend.Close)
		return strings.TrimPrefix(backend.URL, "http://")
	}
	d = dispatcherOf(map[string]string{"slow": serve(atSlow, slow), "other": serve(atOther, other)})
	d.server("slow").latency, d.server("other").latency = 0.001, 0.1
	return d, atSlow, atOther
}

// hedgeableRequest returns a repeatable request that has used up half of its objective, on
// a route that is usually answered within 30 ms.
func hedgeableRequest(d *Dispatcher) *Request {
	request := longRequest()
	request.ID = ""
	request.ArrivedAt = request.ArrivedAt.Add(-request.Route.Objective / 2)
	request.Route.Repeatable, request.Route.MaxAttempts = true, 2
	d.latencyQuantile(request).Observe(30 * time.Millisecond)
	return request
}

func sign(writer http.ResponseWriter, _ *http.Request) { writer.Header().Set("Signature", "signed") }

func TestSecondServerAnswersForASlowOne(t *testing.T) {
	left := make(chan struct{})
	d, atSlow, _ := newServerPair(t, func(_ http.ResponseWriter, incoming *http.Request) {
		<-incoming.Context().Done()
		close(left)
	}, sign)
	_, trace, err := d.Do(context.Background(), hedgeableRequest(d))
	if err != nil || trace.Server != "other" || trace.Attempts != 2 || atSlow.Load() != 1 {
		t.Fatalf("error %v, server %q after %d attempts, %d at the slow server", err, trace.Server, trace.Attempts, atSlow.Load())
	}
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Error("the request to the slow server was not canceled")
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if slow, other := d.server("slow").outstanding, d.server("other").outstanding; slow != 0 || other != 0 {
		t.Errorf("%d and %d slots are still reserved", slow, other)
	}
}

func TestFirstServerMayStillAnswer(t *testing.T) {
	left := make(chan struct{})
	var d *Dispatcher
	var atOther *atomic.Int64
	d, _, atOther = newServerPair(t, func(writer http.ResponseWriter, incoming *http.Request) {
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			d.mutex.Lock()
			sent := d.server("other").outstanding
			d.mutex.Unlock()
			if sent > 0 {
				break
			}
		}
		sign(writer, incoming)
	}, func(_ http.ResponseWriter, incoming *http.Request) {
		<-incoming.Context().Done()
		close(left)
	})
	_, trace, err := d.Do(context.Background(), hedgeableRequest(d))
	if err != nil || trace.Server != "slow" {
		t.Fatalf("%v by %q", err, trace.Server)
	}
	if atOther.Load() > 0 {
		<-left
	}
}

// Canceling the hedged attempt because the first server answered does not count as a
// failure of the second server.
func TestSecondTryGivenUpIsNoFailure(t *testing.T) {
	arrived := make(chan struct{})
	d, _, _ := newServerPair(t, func(writer http.ResponseWriter, incoming *http.Request) {
		<-arrived
		sign(writer, incoming)
	}, func(_ http.ResponseWriter, incoming *http.Request) {
		close(arrived)
		<-incoming.Context().Done()
	})
	d.server("other").latency = 10
	request := hedgeableRequest(d)
	request.Route.Objective = time.Hour
	request.ArrivedAt = time.Now().Add(-request.Route.Objective / 2)
	request.Route.Timeout = 2 * request.Route.Objective
	if _, trace, err := d.Do(context.Background(), request); err != nil || trace.Server != "slow" {
		t.Fatalf("%v by %q", err, trace.Server)
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		d.mutex.Lock()
		busy := d.server("other").outstanding
		d.mutex.Unlock()
		if busy == 0 {
			break
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if errorRate := d.server("other").errorRate.now(time.Now()); errorRate > 0 {
		t.Errorf("failure rate of the second server is %.0f %%, want 0", 100*errorRate)
	}
}

// If the hedged attempt may have been executed, the request is not reported as not
// executed.
func TestSecondTryThatMayHaveRunIsNotDenied(t *testing.T) {
	var d *Dispatcher
	var atOther *atomic.Int64
	d, _, atOther = newServerPair(t, func(writer http.ResponseWriter, _ *http.Request) {
		for deadline := time.Now().Add(5 * time.Second); atOther.Load() == 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		writer.Header().Set("Not-Executed", "full")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if _, _, err := d.Do(context.Background(), hedgeableRequest(d)); err == nil || errors.Is(err, ErrNotExecuted) {
		t.Errorf("error %v, want an unknown outcome", err)
	}
}

// A request that failed at both servers is not sent to either again, and its client is told
// so without a wait.
func TestBothServersOfASecondTryArePassedOver(t *testing.T) {
	arrived := make(chan struct{})
	late := func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusGatewayTimeout) }
	d, atSlow, atOther := newServerPair(t, func(writer http.ResponseWriter, incoming *http.Request) {
		<-arrived
		late(writer, incoming)
	}, func(writer http.ResponseWriter, incoming *http.Request) {
		select {
		case <-arrived:
		default:
			close(arrived)
		}
		late(writer, incoming)
	})
	request := hedgeableRequest(d)
	request.Route.MaxAttempts = 3
	d.budget(request.Service).tokens, d.budget(request.Service).burst = 5, 5
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, trace, _ := d.Do(ctx, request); trace.Attempts != 2 {
		t.Errorf("%d attempts, want two", trace.Attempts)
	}
	if ctx.Err() != nil {
		t.Error("the request kept waiting although no server was left to try")
	}
	if slow, other := atSlow.Load(), atOther.Load(); slow != 1 || other != 1 {
		t.Errorf("%d and %d requests at the servers, want one each", slow, other)
	}
}

func TestNoSecondTry(t *testing.T) {
	for _, check := range []struct {
		name   string
		change func(d *Dispatcher, request *Request)
	}{
		{"of what may not be repeated", func(_ *Dispatcher, r *Request) { r.Route.Repeatable = false }},
		{"beyond the route's attempts", func(_ *Dispatcher, r *Request) { r.Route.MaxAttempts = 1 }},
		{"without budget", func(d *Dispatcher, r *Request) { d.budget(r.Service).tokens = 0 }},
		{"that would be early", func(_ *Dispatcher, r *Request) { r.ArrivedAt, r.Route.Objective = time.Now(), time.Hour }},
		{"that would be late", func(_ *Dispatcher, r *Request) { r.Route.Objective = 25 * time.Millisecond }},
		{"at a busy server", func(d *Dispatcher, _ *Request) { d.server("other").outstanding = 1 }},
		{"while others wait", func(d *Dispatcher, r *Request) { d.waiting[r.Service] = append(d.waiting[r.Service], nil) }},
	} {
		t.Run(check.name, func(t *testing.T) {
			d, _, _ := newServerPair(t, sign, sign)
			request := hedgeableRequest(d)
			check.change(d, request)
			delay, may := d.hedgeDelay(request, d.server("slow"), &Trace{})
			if may && delay < time.Minute && d.acquireHedge(request, map[discovery.ServerID]bool{"slow": true}) != nil {
				t.Error("a hedged attempt was sent")
			}
		})
	}
}

// A streamed error response is not kept as a fallback, and no part of it is returned as a
// complete response.
func TestLongFailureIsNoAnswerInPart(t *testing.T) {
	fail := func(writer http.ResponseWriter, incoming *http.Request) {
		sign(writer, incoming)
		writer.WriteHeader(http.StatusInternalServerError)
		_, _ = writer.Write(make([]byte, 1<<20))
	}
	d, _, _ := newServerPair(t, fail, fail)
	answer, _, err := d.Do(context.Background(), hedgeableRequest(d))
	if answer != nil || !errors.Is(err, ErrUnknown) {
		t.Errorf("response %v, error %v, wanted an unknown outcome", answer != nil, err)
	}
}
