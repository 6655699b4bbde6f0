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
	// minAttemptTime is the least time that must be left for an attempt.
	minAttemptTime = 10 * time.Millisecond
)

// attempt is how sending a request to one server ended.
type attempt int

const (
	// answered means that the server's answer is final.
	answered attempt = iota
	// notSent means that nothing of the request reached the server.
	notSent
	// rejected means that the server has surely not run the request.
	rejected
	// failedOver means that the request may have run.
	failedOver
)

// Do sends a request to servers until one answers, or it must be given up.
func (d *Dispatcher) Do(ctx context.Context, request *Request) (*upstream.Answer, Trace, error) {
	ctx, bounds := d.ending.Bound(ctx, request.limit())
	answer, trace, err := d.unlessCrashing(ctx, request)
	var refusal *Refusal
	if errors.As(err, &refusal) {
		refusalSeconds.WithLabelValues(refusal.Reason.String()).Observe(time.Since(request.ArrivedAt).Seconds())
		comeBackSeconds.WithLabelValues(refusal.Reason.String()).Observe(refusal.RetryAfter.Seconds())
	}
	if answer != nil && answer.Rest != nil {
		// An answer that has begun is passed on as long as there is a connection for it.
		bounds.Outlive()
		answer.Rest = &cancelingReader{answer.Rest, bounds.Release}
		return answer, trace, nil
	}
	bounds.Release()
	return answer, trace, err
}

// unlessCrashing sends a request if it is not known to crash servers.
func (d *Dispatcher) unlessCrashing(ctx context.Context, request *Request) (*upstream.Answer, Trace, error) {
	if refusal := d.refuseCrashing(request); refusal != nil {
		return nil, Trace{}, refusal
	}
	return d.throughHome(ctx, request)
}

func (d *Dispatcher) attempts(ctx context.Context, request *Request) (*upstream.Answer, Trace, error) {
	var trace Trace
	var lastAnswer *upstream.Answer
	mayHaveRun := false
	var cause error
	excluded := make(map[discovery.ServerID]bool)
	for {
		queuedAt := time.Now()
		s := d.acquire(ctx, request, excluded)
		trace.Queued += time.Since(queuedAt)
		queueSeconds.WithLabelValues(request.Service).Observe(time.Since(queuedAt).Seconds())
		if s == nil {
			return lastAnswer, trace, d.giveUp(ctx, request, mayHaveRun, lastAnswer, cause)
		}
		if !d.withinLimit(ctx, request, s) {
			if ctx.Err() != nil {
				return lastAnswer, trace, d.giveUp(ctx, request, mayHaveRun, lastAnswer, cause)
			}
			continue
		}
		if err := d.begin(ctx, request, s, trace); err != nil {
			d.limits.GiveBack(string(s.id))
			return nil, trace, err
		}
		trace.MapRevision = d.views.Current().Owners[request.Service].Revision
		limit := d.limit(request)
		sentAt := time.Now()
		s, answer, outcome, err := d.sendGuarded(ctx, request, s, limit, &trace, excluded)
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
		mayHaveRun = mayHaveRun || outcome == failedOver
		cause = err
		if outcome == failedOver {
			lastAnswer = answer
		}
		excluded[s.id] = true
		if ctx.Err() != nil || !d.mayRepeat(request, trace, outcome, limit) {
			if outcome != failedOver && !mayHaveRun {
				return nil, trace, d.refusalBy(request, outcome, err)
			}
			return lastAnswer, trace, d.giveUp(ctx, request, mayHaveRun, lastAnswer, cause)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxNotSent bounds how often a request goes on to another server because nothing of
// it reached the one before. Servers are not loaded by that, so neither the route's
// attempts nor the budget of repeats bound it.
const maxNotSent = 3

// mayRepeat decides whether a request goes to another server.
func (d *Dispatcher) mayRepeat(request *Request, trace Trace, outcome attempt, limit time.Time) bool {
	if outcome == failedOver && !request.Route.Repeatable {
		return false
	}
	if trace.Attempts >= request.Route.MaxAttempts || request.Rest != nil {
		return false
	}
	if time.Until(limit) < minAttemptTime {
		return false
	}
	if outcome == notSent {
		return trace.NotSent <= maxNotSent
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.budget(request.Service).take() {
		return true
	}
	repeatsDeniedTotal.WithLabelValues(request.Service).Inc()
	return false
}

// giveUp returns the error for a request that no server answered, or nil if a
// server's failure is the answer. cause is why the last attempt failed.
func (d *Dispatcher) giveUp(ctx context.Context, request *Request, mayHaveRun bool, last *upstream.Answer, cause error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && !ending.Ended(ctx):
		return ErrCanceled
	case last != nil:
		return nil
	case !mayHaveRun:
		return d.refusal(request)
	case ending.Ended(ctx):
		return errors.Wrapf(ErrNodeEnds, "%v", cause)
	case ctx.Err() != nil:
		return errors.Wrapf(ErrTimeout, "%v", cause)
	default:
		return errors.Wrapf(ErrUnknown, "%v", cause)
	}
}

// send sends a request to one server.
func (d *Dispatcher) send(ctx context.Context, request *Request, s *server, limit time.Time) (*upstream.Answer, attempt, error) {
	startedAt := time.Now()
	cold := d.toColdRange(startedAt, request)
	outgoing := d.outgoing(request, s, limit)
	answer, err := s.pool.Exchange(ctx, outgoing)
	took := time.Since(startedAt)
	if err != nil {
		d.lookForCrash(ctx, request, s, err)
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.fault(s, err)
		}
		left := errors.Is(ctx.Err(), context.Canceled)
		d.finish(time.Now(), request, s, sending{took: took, cold: cold, left: left}, noResult)
		if errors.Is(err, upstream.ErrNotSent) {
			d.limits.GiveBack(string(s.id))
			return nil, notSent, err
		}
		return nil, failedOver, err
	}
	d.observeSignals(s, answer)
	outcome, err := d.judge(request, answer)
	d.finish(time.Now(), request, s, sending{took: took, cold: cold, load: d.loadIn(answer)}, resultOf(outcome, answer))
	if outcome == rejected {
		d.rejected(request, s, answer)
	}
	if outcome == failedOver && answer.Rest != nil {
		// It is not kept for the case that no other server answers; ending its connection
		// is all there is to do.
		_ = answer.Rest.Close()
		return nil, outcome, errors.Newf("server failed with %d and a long answer", answer.Status)
	}
	if outcome == failedOver && err != nil {
		return nil, outcome, err
	}
	return answer, outcome, err
}

func (d *Dispatcher) outgoing(request *Request, s *server, limit time.Time) *upstream.Request {
	fields := make([]upstream.Field, 0, len(request.Fields)+2)
	fields = append(fields, request.Fields...)
	left := max(1, time.Until(earlier(limit, request.Deadline)).Milliseconds())
	fields = append(fields,
		upstream.Field{Name: d.headers.Deadline, Value: strconv.FormatInt(left, 10)},
		upstream.Field{Name: d.headers.Target, Value: s.id.Instance()})
	return &upstream.Request{
		Method: request.Method, URI: request.URI, Host: request.Host, Fields: fields,
		Body: request.Body, Rest: request.Rest, Silence: silence(request),
		IDHeader: d.headers.RequestID, ID: request.ID,
	}
}

const (
	// silencePart is the part of its objective for which a request that may be repeated
	// stays unacknowledged on a kept connection before another server is asked.
	silencePart = 0.2
	// unsafeSilence is that time for other requests: they get no second server, so that
	// TCP has the time to send a lost packet again, which it does after 0.2 s.
	unsafeSilence = 300 * time.Millisecond
)

func silence(request *Request) time.Duration {
	if request.Route.Repeatable {
		return time.Duration(silencePart * float64(request.Route.Objective))
	}
	return unsafeSilence
}

const (
	statusMisdirected    = 421
	statusGatewayTimeout = 504
)

// judge says what a server's answer means.
func (d *Dispatcher) judge(request *Request, answer *upstream.Answer) (attempt, error) {
	if answer.Header.Get(d.headers.NotExecuted) != "" || answer.Status == statusMisdirected {
		return rejected, errors.Newf("server refused with %d", answer.Status)
	}
	signed := answer.Header.Get(d.headers.Signature) != ""
	if answer.Header.Get("Content-Encoding") != "" {
		return failedOver, errors.New("answer is encoded")
	}
	if answer.Status < 300 && !signed {
		return failedOver, errors.New("answer is not signed")
	}
	switch answer.Status {
	case 408, 429, 503:
		return failedOver, errors.Newf("server failed with %d", answer.Status)
	}
	if answer.Status >= 500 && request.Route.Repeatable {
		return failedOver, nil
	}
	return answered, nil
}

// rejected takes in that a server did not take a request: a key it does not hold
// is on its way to another owner.
func (d *Dispatcher) rejected(request *Request, s *server, answer *upstream.Answer) {
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

// cancelingReader ends the request's context with its body.
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
