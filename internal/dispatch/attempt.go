package dispatch

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/ending"
	"github.com/micahaven/micahaven/internal/upstream"
)

const (
	// minAttemptTime is the minimum time that must remain for another attempt.
	minAttemptTime = 10 * time.Millisecond
)

// attemptOutcome is the outcome of sending a request to one server.
type attemptOutcome int

const (
	// answered means that the server's response is final.
	answered attemptOutcome = iota
	// notSent means that no part of the request reached the server.
	notSent
	// rejected means that the server certainly did not execute the request.
	rejected
	// failed means that the attempt failed and the server may have executed the request.
	failed
)

// Do sends a request to servers until one answers or the request has to be given up.
func (d *Dispatcher) Do(ctx context.Context, request *Request) (*upstream.Response, Trace, error) {
	d.progress.active.Add(1)
	defer d.progress.active.Add(-1)
	ctx, bounds := d.ending.Bound(ctx, request.deadline())
	request.attempts = &upstream.Attempts{}
	answer, trace, err := d.sendUnlessPoisoned(ctx, request)
	var refusal *Refusal
	if errors.As(err, &refusal) {
		refusalSeconds.WithLabelValues(refusal.Reason.String()).Observe(time.Since(request.ArrivedAt).Seconds())
		comeBackSeconds.WithLabelValues(refusal.Reason.String()).Observe(refusal.RetryAfter.Seconds())
	}
	if answer != nil && answer.Rest != nil {
		// A response that has begun is streamed for as long as its connection lasts.
		bounds.Detach()
		answer.Rest = &cancelingReader{answer.Rest, bounds.Release}
		return answer, trace, nil
	}
	bounds.Release()
	return answer, trace, err
}

// sendUnlessPoisoned sends a request unless it comes too late in the shutdown or is known to crash servers.
func (d *Dispatcher) sendUnlessPoisoned(ctx context.Context, request *Request) (*upstream.Response, Trace, error) {
	if refusal := d.refuseLate(request); refusal != nil {
		return nil, Trace{}, refusal
	}
	if refusal := d.refusePoisoned(request); refusal != nil {
		return nil, Trace{}, refusal
	}
	return d.sendViaHome(ctx, request)
}

// sendWithRetries sends a request from this node and retries at other servers as far as the
// route and the retry budget allow.
func (d *Dispatcher) sendWithRetries(ctx context.Context, request *Request) (*upstream.Response, Trace, error) {
	var trace Trace
	var lastAnswer *upstream.Response
	mayHaveRun := false
	var cause error
	excluded := make(map[discovery.ServerID]bool)
	for {
		queuedAt := time.Now()
		assigned := d.acquire(ctx, request, excluded)
		trace.Queued += time.Since(queuedAt)
		queueSeconds.WithLabelValues(request.Service).Observe(time.Since(queuedAt).Seconds())
		if assigned.refusal != nil && !mayHaveRun {
			return nil, trace, assigned.refusal
		}
		s := assigned.server
		if s == nil {
			return lastAnswer, trace, d.finalError(ctx, request, mayHaveRun, lastAnswer, cause)
		}
		if !d.withinLimit(ctx, request, s) {
			if ctx.Err() != nil {
				return lastAnswer, trace, d.finalError(ctx, request, mayHaveRun, lastAnswer, cause)
			}
			continue
		}
		if err := d.confirmHandoff(ctx, request, s, trace); err != nil {
			d.limits.GiveBack(string(s.id))
			return nil, trace, err
		}
		trace.MapRevision = d.views.Current().Owners[request.Service].Revision
		deadline := d.deadline(request)
		sentAt := time.Now()
		s, answer, outcome, err := d.sendGuarded(ctx, request, s, deadline, &trace, excluded)
		var refused *Refusal
		if errors.As(err, &refused) && !mayHaveRun {
			return nil, trace, refused
		}
		trace.Server = string(s.id)
		trace.AtServers += time.Since(sentAt)
		if outcome == notSent {
			trace.NotSent++
		} else {
			trace.Attempts++
		}
		attemptsTotal.WithLabelValues(request.Service, outcome.String()).Inc()
		if outcome == answered {
			return answer, trace, nil
		}
		mayHaveRun = mayHaveRun || outcome == failed
		cause = err
		if outcome == failed {
			lastAnswer = answer
		}
		excluded[s.id] = true
		if ctx.Err() != nil || !d.mayRetry(request, trace, outcome, deadline) {
			if outcome != failed && !mayHaveRun {
				return nil, trace, d.refusalBy(request, outcome, err)
			}
			return lastAnswer, trace, d.finalError(ctx, request, mayHaveRun, lastAnswer, cause)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxNotSent bounds the retries at another server after no part of the request reached the
// previous one. Such attempts put no load on servers, so neither the route's maximum of
// attempts nor the retry budget applies to them.
const maxNotSent = 3

// mayRetry reports whether a request may be sent to another server.
func (d *Dispatcher) mayRetry(request *Request, trace Trace, outcome attemptOutcome, deadline time.Time) bool {
	if outcome == failed && !request.Route.Repeatable {
		return false
	}
	if trace.Attempts >= request.Route.MaxAttempts || request.Rest != nil {
		return false
	}
	if time.Until(deadline) < minAttemptTime {
		return false
	}
	if outcome == notSent {
		return trace.NotSent <= maxNotSent && !d.ReachesNoServer(request.Service)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.budget(request.Service).take() {
		return true
	}
	repeatsDeniedTotal.WithLabelValues(request.Service).Inc()
	return false
}

// errCanceledUnsent means that the client disconnected before the request was sent.
var errCanceledUnsent = errors.Mark(ErrCanceled, ErrNotExecuted)

// finalError returns the error for a request that no server answered, or nil if a server's
// error response is passed on. cause is why the last attempt failed.
func (d *Dispatcher) finalError(ctx context.Context, request *Request, mayHaveRun bool, last *upstream.Response, cause error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && !ending.EndedByShutdown(ctx):
		if !mayHaveRun {
			return errCanceledUnsent
		}
		return ErrCanceled
	case last != nil:
		return nil
	case !mayHaveRun:
		return d.refuse(request)
	case ending.EndedByShutdown(ctx):
		return errors.Wrapf(ErrNodeStopping, "%v", cause)
	case ctx.Err() != nil:
		return errors.Wrapf(ErrTimeout, "%v", cause)
	default:
		return errors.Wrapf(ErrUnknown, "%v", cause)
	}
}

// send sends a request to one server.
func (d *Dispatcher) send(ctx context.Context, request *Request, s *server, deadline time.Time) (*upstream.Response, attemptOutcome, error) {
	startedAt := time.Now()
	cold := d.targetsColdRange(startedAt, request)
	outgoing := d.outgoing(request, s, deadline)
	d.progress.atServers.Add(1)
	answer, err := s.pool.Exchange(ctx, outgoing)
	d.progress.atServers.Add(-1)
	elapsed := time.Since(startedAt)
	if err != nil {
		d.detectCrash(ctx, request, s, err)
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.recordTransportError(s, err)
		}
		abandoned := errors.Is(ctx.Err(), context.Canceled)
		d.finish(time.Now(), request, s, sentAttempt{elapsed: elapsed, cold: cold, abandoned: abandoned}, noResult)
		if errors.Is(err, upstream.ErrNotSent) {
			d.limits.GiveBack(string(s.id))
			return nil, notSent, err
		}
		return nil, failed, err
	}
	d.observeSignals(s, answer)
	outcome, err := d.classify(request, answer)
	d.finish(time.Now(), request, s, sentAttempt{elapsed: elapsed, cold: cold, load: d.loadIn(answer), responded: true}, resultOf(outcome, answer))
	if outcome == rejected {
		d.rejected(request, s, answer)
	}
	if outcome == failed && answer.Rest != nil {
		// A streamed error response is not kept as the fallback for the case that no other
		// server answers, so its connection is closed. An error from Close changes nothing.
		_ = answer.Rest.Close()
		return nil, outcome, errors.Newf("server failed with %d and a long answer", answer.Status)
	}
	if outcome == failed && err != nil {
		return nil, outcome, err
	}
	if outcome == answered && answer.Rest != nil {
		answer.Rest = &observedBody{body: answer.Rest, onEnd: func(err error) { d.detectCrash(ctx, request, s, err) }}
	}
	return answer, outcome, err
}

// outgoing builds the request to a server, with the remaining time and the target instance
// in its headers.
func (d *Dispatcher) outgoing(request *Request, s *server, deadline time.Time) *upstream.Request {
	fields := make([]upstream.Field, 0, len(request.Fields)+2)
	fields = append(fields, request.Fields...)
	left := max(1, time.Until(earlier(deadline, request.Deadline)).Milliseconds())
	fields = append(fields,
		upstream.Field{Name: d.headers.Deadline, Value: strconv.FormatInt(left, 10)},
		upstream.Field{Name: d.headers.Target, Value: s.id.Instance()})
	return &upstream.Request{
		Method: request.Method, URI: request.URI, Host: request.Host, Fields: fields,
		Body: request.Body, Rest: request.Rest, AckTimeout: ackTimeout(request),
		IDHeader: d.headers.RequestID, ID: request.ID, Attempts: request.attempts,
	}
}

const (
	// ackTimeoutFraction is the fraction of its objective for which a repeatable request
	// may stay unacknowledged on a reused connection before another server is tried.
	ackTimeoutFraction = 0.2
	// unsafeAckTimeout is that time for requests that must not be repeated. They get no
	// second server, so TCP must have time to retransmit a lost packet, which it does after
	// 0.2 s.
	unsafeAckTimeout = 300 * time.Millisecond
)

// ackTimeout returns how long a request may stay unacknowledged on a reused connection.
func ackTimeout(request *Request) time.Duration {
	if request.Route.Repeatable {
		return time.Duration(ackTimeoutFraction * float64(request.Route.Objective))
	}
	return unsafeAckTimeout
}

const (
	statusMisdirected    = 421
	statusGatewayTimeout = 504
)

// classify determines the outcome of an attempt from the server's response.
func (d *Dispatcher) classify(request *Request, answer *upstream.Response) (attemptOutcome, error) {
	if answer.Header.Get(d.headers.NotExecuted) != "" || answer.Status == statusMisdirected {
		return rejected, errors.Newf("server refused with %d", answer.Status)
	}
	signed := answer.Header.Get(d.headers.Signature) != ""
	if answer.Header.Get("Content-Encoding") != "" {
		return failed, errors.New("answer is encoded")
	}
	if answer.Status < 300 && !signed {
		return failed, errors.New("answer is not signed")
	}
	switch answer.Status {
	case 408, 429, 503:
		return failed, errors.Newf("server failed with %d", answer.Status)
	}
	if answer.Status >= 500 && request.Route.Repeatable {
		return failed, nil
	}
	return answered, nil
}

// rejected records that a server did not accept a request. An owner that answers 421 no
// longer holds the key, so requests for its range are held back until a newer owner map
// arrives or the hold expires. Any other rejection means that the server is full, so it
// gets no requests for a moment.
func (d *Dispatcher) rejected(request *Request, s *server, answer *upstream.Response) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current := d.views.Current()
	owners, divided := d.owners(current, request)
	if divided && answer.Status == statusMisdirected {
		owner, owned := d.ownerOf(request, owners)
		if owned && owner.Owner == s.ID {
			const hold = 300 * time.Millisecond
			d.moving[movingRange{request.Service, owner.Fence, owner.Last}] = time.Now().Add(hold)
		}
		return
	}
	s.pause(time.Now())
}

// cancelingReader cancels the request's context when the body is closed.
type cancelingReader struct {
	body   io.ReadCloser
	cancel context.CancelFunc
}

func (r *cancelingReader) Read(into []byte) (int, error) { return r.body.Read(into) }

// Close implements io.Closer.
func (r *cancelingReader) Close() error {
	r.cancel()
	return r.body.Close()
}
