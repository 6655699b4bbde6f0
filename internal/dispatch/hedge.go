package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/schedule"
	"github.com/micahaven/micahaven/internal/upstream"
)

// hedgeQuantile is the quantile of a route's latencies after which a hedged attempt is
// sent. A hedged attempt repeats the work at a second server and costs a new connection for
// the attempt that is given up, so only few should be sent. However, a quantile much above
// 0.9 would delay the hedged attempt until it is too late to meet the objective.
const hedgeQuantile = 0.9

// hedgeObjectiveFraction is the fraction of its objective that a request must have used up
// before a hedged attempt is sent. Until then even a slow server is expected to answer in
// time.
const hedgeObjectiveFraction = 0.5

// hedgedAttempt is a second attempt at another server, sent because the first one takes
// longer than usual for the route.
type hedgedAttempt struct {
	// sent is true if a server and a retry token were available; the other results are set
	// only then. All of them may be read once done is closed.
	sent    bool
	server  *server
	answer  *upstream.Response
	outcome attemptOutcome
	err     error
	done    chan struct{}
	cancel  context.CancelFunc
}

// sendHedged sends a request to a server and, if that is slow, to a second one. The first
// response wins. The other attempt is canceled, which closes its connection to the server.
// sendHedged returns the server that the result comes from.
func (d *Dispatcher) sendHedged(ctx context.Context, request *Request, s *server, deadline time.Time, trace *Trace, excluded map[discovery.ServerID]bool) (*server, *upstream.Response, attemptOutcome, error) {
	delay, may := d.hedgeDelay(request, s, trace)
	if !may {
		answer, outcome, err := d.send(ctx, request, s, deadline)
		return s, answer, outcome, err
	}
	firstContext, cancelFirst := context.WithCancel(ctx)
	secondContext, cancelSecond := context.WithCancel(ctx)
	hedge := &hedgedAttempt{done: make(chan struct{}), cancel: cancelSecond}
	// won is set by the first attempt that is answered. Only that attempt may cancel the
	// other one.
	var won atomic.Bool
	tried := map[discovery.ServerID]bool{s.id: true}
	for id := range excluded {
		tried[id] = true
	}
	timer := time.AfterFunc(delay, func() {
		defer close(hedge.done)
		if hedge.server = d.acquireHedge(request, tried); hedge.server == nil {
			return
		}
		hedge.sent = true
		request.notifyRetry()
		hedge.answer, hedge.outcome, hedge.err = d.send(secondContext, request, hedge.server, deadline)
		if hedge.outcome == answered && won.CompareAndSwap(false, true) {
			cancelFirst()
		}
	})
	answer, outcome, err := d.send(firstContext, request, s, deadline)
	if timer.Stop() {
		cancelSecond()
		return s, cancelWithAnswer(answer, cancelFirst), outcome, err
	}
	if outcome == answered && won.CompareAndSwap(false, true) {
		go hedge.discard()
		return s, cancelWithAnswer(answer, cancelFirst), outcome, err
	}
	// The first attempt failed, or was answered too late to win.
	discardRest(answer)
	cancelFirst()
	<-hedge.done
	if !hedge.sent {
		cancelSecond()
		return s, answer, outcome, err
	}
	excluded[s.id], excluded[hedge.server.id] = true, true
	trace.Attempts++
	switch hedge.outcome {
	case answered:
		hedgesTotal.WithLabelValues(request.Service, "won").Inc()
		return hedge.server, cancelWithAnswer(hedge.answer, cancelSecond), hedge.outcome, hedge.err
	case failed:
		// The second server may have executed the request, whatever is known of the first.
		cancelSecond()
		return hedge.server, hedge.answer, hedge.outcome, hedge.err
	default:
		cancelSecond()
		return s, answer, outcome, err
	}
}

// discard cancels a hedged attempt and closes its response.
func (t *hedgedAttempt) discard() {
	t.cancel()
	<-t.done
	discardRest(t.answer)
}

// discardRest closes the connection of a response that is not passed on.
func discardRest(answer *upstream.Response) {
	if answer != nil && answer.Rest != nil {
		// An error from Close changes nothing.
		_ = answer.Rest.Close()
	}
}

// cancelWithAnswer cancels an attempt's context at once if its response is complete, and
// otherwise when the rest of the response is closed.
func cancelWithAnswer(answer *upstream.Response, cancel context.CancelFunc) *upstream.Response {
	if answer == nil || answer.Rest == nil {
		cancel()
		return answer
	}
	answer.Rest = &cancelingReader{answer.Rest, cancel}
	return answer
}

// hedgeDelay returns the time after which a request may be sent to a second server; false
// if it may not. The request has to be repeatable, its service unsharded, and the second
// server's response has to be expected in time.
func (d *Dispatcher) hedgeDelay(request *Request, first *server, trace *Trace) (time.Duration, bool) {
	if !request.Route.Repeatable || request.Rest != nil || trace.Attempts+2 > request.Route.MaxAttempts {
		return 0, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.divided(request) {
		return 0, false
	}
	latencyQuantile := d.latencyQuantile(request).Value()
	objective, used := request.Route.Objective, time.Since(request.ArrivedAt)
	delay := max(latencyQuantile, time.Duration(hedgeObjectiveFraction*float64(objective))-used)
	return delay, latencyQuantile > 0 && used+delay+seconds(first.expected()) < objective
}

// acquireHedge reserves an idle server for a hedged attempt; nil if there is none. Hedged
// attempts never wait, and are not sent while other requests wait for a first server.
func (d *Dispatcher) acquireHedge(request *Request, tried map[discovery.ServerID]bool) *server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if len(d.waiting[request.Service]) > 0 {
		return nil
	}
	s := d.choose(now, request, tried)
	if s == nil {
		return nil
	}
	if _, limited := d.limits.Observed(string(s.id)); limited || s.outstanding > 0 || !d.budget(request.Service).take() {
		return nil
	}
	d.reserve(now, s)
	hedgesTotal.WithLabelValues(request.Service, "sent").Inc()
	return s
}

// latencyQuantile returns the latency quantile of a request's route. The caller holds the
// mutex.
func (d *Dispatcher) latencyQuantile(request *Request) *schedule.Quantile {
	quantile := d.latencyQuantiles[request.Route.Name]
	if quantile == nil {
		quantile = &schedule.Quantile{Part: hedgeQuantile}
		d.latencyQuantiles[request.Route.Name] = quantile
	}
	return quantile
}

// observeLatency records the latency of an attempt. An attempt that was given up counts
// only if it took longer than the quantile. The caller holds the mutex.
func (d *Dispatcher) observeLatency(request *Request, elapsed time.Duration, result serverResult) {
	latencyQuantile := d.latencyQuantile(request)
	if result == serverAnswered || elapsed > latencyQuantile.Value() {
		latencyQuantile.Observe(elapsed)
	}
}
