package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/schedule"
	"github.com/micahaven/micahaven/internal/upstream"
)

// usualPart is the part of a route's answers that come before a second try is sent. A
// second try costs a server the same work again and a new connection for the one that is
// given up, so that few are to be sent; but after much more than nine in ten it would come
// too late to be in time.
const usualPart = 0.9

// secondPart is the part of its objective that a request must have used up before a second
// try is sent: until then even a slow server is expected to answer in time.
const secondPart = 0.5

// secondTry is a request that is sent to another server because the first one takes longer
// than answers of its route usually do.
type secondTry struct {
	// sent is set if there was a server and the budget for it; the rest is set then. All
	// of it may be read once done is closed.
	sent    bool
	server  *server
	answer  *upstream.Answer
	outcome attempt
	err     error
	done    chan struct{}
	cancel  context.CancelFunc
}

// sendTwice sends a request to a server, and to a second one too if the first is slow. The
// first answer wins; the other try is given up, and its server sees its connection closed.
// It returns the server whose result it is.
func (d *Dispatcher) sendTwice(ctx context.Context, request *Request, s *server, limit time.Time, trace *Trace, excluded map[discovery.ServerID]bool) (*server, *upstream.Answer, attempt, error) {
	delay, may := d.secondDelay(request, s, trace)
	if !may {
		answer, outcome, err := d.send(ctx, request, s, limit)
		return s, answer, outcome, err
	}
	firstContext, cancelFirst := context.WithCancel(ctx)
	secondContext, cancelSecond := context.WithCancel(ctx)
	second := &secondTry{done: make(chan struct{}), cancel: cancelSecond}
	// won is set by the first try that is answered: it alone may end the other one.
	var won atomic.Bool
	passed := map[discovery.ServerID]bool{s.id: true}
	for id := range excluded {
		passed[id] = true
	}
	timer := time.AfterFunc(delay, func() {
		defer close(second.done)
		if second.server = d.acquireSecond(request, passed); second.server == nil {
			return
		}
		second.sent = true
		request.tellAgain()
		second.answer, second.outcome, second.err = d.send(secondContext, request, second.server, limit)
		if second.outcome == answered && won.CompareAndSwap(false, true) {
			cancelFirst()
		}
	})
	answer, outcome, err := d.send(firstContext, request, s, limit)
	if timer.Stop() {
		cancelSecond()
		return s, keepOpen(answer, cancelFirst), outcome, err
	}
	if outcome == answered && won.CompareAndSwap(false, true) {
		go second.discard()
		return s, keepOpen(answer, cancelFirst), outcome, err
	}
	// The first try failed, or it was answered too late to win.
	discardRest(answer)
	cancelFirst()
	<-second.done
	if !second.sent {
		cancelSecond()
		return s, answer, outcome, err
	}
	excluded[s.id], excluded[second.server.id] = true, true
	trace.Attempts++
	switch second.outcome {
	case answered:
		secondTriesTotal.WithLabelValues(request.Service, "won").Inc()
		return second.server, keepOpen(second.answer, cancelSecond), second.outcome, second.err
	case failedOver:
		// It may have run at the second server, whatever is known of the first.
		cancelSecond()
		return second.server, second.answer, second.outcome, second.err
	default:
		cancelSecond()
		return s, answer, outcome, err
	}
}

// discard gives a second try up.
func (t *secondTry) discard() {
	t.cancel()
	<-t.done
	discardRest(t.answer)
}

// discardRest ends the connection of an answer that is not passed on.
func discardRest(answer *upstream.Answer) {
	if answer != nil && answer.Rest != nil {
		// Ending its connection is all there is to do.
		_ = answer.Rest.Close()
	}
}

// keepOpen ends the context of an answer that is whole at once, and that of another one
// with its rest.
func keepOpen(answer *upstream.Answer, cancel context.CancelFunc) *upstream.Answer {
	if answer == nil || answer.Rest == nil {
		cancel()
		return answer
	}
	answer.Rest = &cancelingReader{answer.Rest, cancel}
	return answer
}

// secondDelay returns after what time a request may be sent to a second server: if it may
// be repeated, any server of its service will do, and a usual answer of a second one would
// still be in time then.
func (d *Dispatcher) secondDelay(request *Request, first *server, trace *Trace) (time.Duration, bool) {
	if !request.Route.Repeatable || request.Rest != nil || trace.Attempts+2 > request.Route.MaxAttempts {
		return 0, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.divided(request) {
		return 0, false
	}
	usual := d.usual(request).Value()
	objective, used := request.Route.Objective, time.Since(request.ArrivedAt)
	delay := max(usual, time.Duration(secondPart*float64(objective))-used)
	return delay, usual > 0 && used+delay+seconds(first.expected()) < objective
}

// acquireSecond returns a free server for a second try, or nil. Nobody waits for one: what
// waits for a first server goes before.
func (d *Dispatcher) acquireSecond(request *Request, passed map[discovery.ServerID]bool) *server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if len(d.waiting[request.Service]) > 0 {
		return nil
	}
	s := d.choose(now, request, passed)
	if s == nil {
		return nil
	}
	if _, limited := d.limits.Observed(string(s.id)); limited || s.outstanding > 0 || !d.budget(request.Service).take() {
		return nil
	}
	d.occupy(now, s)
	secondTriesTotal.WithLabelValues(request.Service, "sent").Inc()
	return s
}

// usual returns within what time answers of a request's route usually come. The caller
// holds the mutex.
func (d *Dispatcher) usual(request *Request) *schedule.Quantile {
	known := d.usualTimes[request.Route.Name]
	if known == nil {
		known = &schedule.Quantile{Part: usualPart}
		d.usualTimes[request.Route.Name] = known
	}
	return known
}

// observeUsual takes in an attempt of a request. One that was given up says something only
// if it had taken longer than usual. The caller holds the mutex.
func (d *Dispatcher) observeUsual(request *Request, took time.Duration, ended result) {
	usual := d.usual(request)
	if ended == serverAnswered || took > usual.Value() {
		usual.Observe(took)
	}
}
