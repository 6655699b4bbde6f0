package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/poison"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Guard keeps requests that crash servers from being sent.
type Guard interface {
	// Refused reports whether a request must not be sent to any server, and when the client
	// should retry.
	Refused(request func() poison.Request) (after time.Duration, refused bool)
	// Admit decides about a request that is about to be sent.
	Admit(ctx context.Context, request func() poison.Request) poison.Decision
	// Ended records how a suspected request has ended.
	Ended(request poison.Request, decided poison.Decision, outcome poison.Outcome)
	// Lost records that a server instance crashed while it executed a request.
	Lost(instance string, request poison.Request, point poison.LossPoint)
}

// SetGuard sets the guard. It must be called before the first request. Without it, no
// request is suspected.
func (d *Dispatcher) SetGuard(guard Guard) { d.guard = guard }

// noGuard is the default guard, which suspects no request.
type noGuard struct{}

func (noGuard) Refused(func() poison.Request) (time.Duration, bool) { return 0, false }

func (noGuard) Admit(context.Context, func() poison.Request) poison.Decision {
	return poison.Decision{}
}

func (noGuard) Ended(poison.Request, poison.Decision, poison.Outcome) {}

func (noGuard) Lost(string, poison.Request, poison.LossPoint) {}

// identity describes a request for the guard.
func (d *Dispatcher) identity(request *Request) poison.Request {
	key := ""
	if request.HasKey {
		key = strconv.FormatUint(uint64(request.Key), 10)
	}
	return poison.Request{
		Service: request.Service, Method: request.Method, Host: request.Host, URI: request.URI,
		Tenant: request.field(d.headers.Tenant), Key: key, Body: request.Body, ClientAddress: request.Caller,
	}
}

// field returns the value of a header field; empty if there is none.
func (r *Request) field(name string) string {
	for _, field := range r.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// refusePoisoned returns the refusal of a request that is known to crash servers; nil if
// the request may be sent.
func (d *Dispatcher) refusePoisoned(request *Request) *Refusal {
	after, refused := d.guard.Refused(func() poison.Request { return d.identity(request) })
	if !refused {
		return nil
	}
	return poisonRefusal(after)
}

func poisonRefusal(after time.Duration) *Refusal {
	return &Refusal{Reason: ReasonCrashesServers, Detail: "servers crashed each time they ran this request", RetryAfter: after}
}

// sendGuarded sends a request like sendHedged unless it is suspected to crash servers. A
// suspected request is sent to one server only, or refused with an error.
func (d *Dispatcher) sendGuarded(ctx context.Context, request *Request, s *server, deadline time.Time, trace *Trace, excluded map[discovery.ServerID]bool) (*server, *upstream.Response, attemptOutcome, error) {
	decision := d.guard.Admit(ctx, func() poison.Request { return d.identity(request) })
	switch {
	case decision.Refused:
		d.limits.GiveBack(string(s.id))
		d.mutex.Lock()
		s.outstanding--
		d.serveWaiters(s.Service)
		d.mutex.Unlock()
		return s, nil, notSent, poisonRefusal(decision.RetryAfter)
	case !decision.Suspected:
		return d.sendHedged(ctx, request, s, deadline, trace, excluded)
	}
	answer, outcome, err := d.send(ctx, request, s, deadline)
	ended := func(complete bool, err error) { d.guard.Ended(d.identity(request), decision, outcomeOf(complete, err)) }
	if outcome == answered && answer.Rest != nil {
		answer.Rest = &observedBody{body: answer.Rest, onEnd: func(err error) { ended(err == nil, err) }}
		return s, answer, outcome, err
	}
	ended(outcome == answered || (outcome == failed && answer != nil), err)
	return s, answer, outcome, err
}

// outcomeOf returns how the run of a request ended, given whether its response is complete and the
// error that ended it.
func outcomeOf(complete bool, err error) poison.Outcome {
	if complete {
		return poison.Answered
	}
	if _, lost := lossPoint(err); lost {
		return poison.Lost
	}
	return poison.Inconclusive
}

// crashCheckDelay is how long after a lost request the server is checked. It gives a
// process that is exiting the time to close its sockets.
const crashCheckDelay = 20 * time.Millisecond

// lossPoint returns how far the response had come when an attempt was lost, and false if the
// error is no sign of a crash.
func lossPoint(cause error) (poison.LossPoint, bool) {
	switch {
	case errors.IsAny(cause, upstream.ErrUnacknowledged, upstream.ErrNotSent):
		return "", false
	case errors.Is(cause, upstream.ErrNoResponse):
		return poison.BeforeResponse, true
	default:
		return poison.DuringResponse, upstream.ConnectionEnded(cause)
	}
}

// detectCrash determines whether a server crashed while it executed a request that was lost
// with the given error, before its response or during it. A server that is slow, cut off or has
// reset a connection either accepts new connections or does not answer at all, whereas the machine
// of a crashed one refuses them. A draining server that exits did not crash.
func (d *Dispatcher) detectCrash(ctx context.Context, request *Request, s *server, cause error) {
	point, lost := lossPoint(cause)
	if ctx.Err() != nil || !lost {
		return
	}
	d.mutex.Lock()
	// An entry that lapsed while the store was unavailable says nothing about its server.
	leaves := !s.DrainingSince.IsZero() || (!s.GoneSince.IsZero() && s.LapsedUntil.IsZero())
	d.mutex.Unlock()
	if leaves {
		return
	}
	identity := d.identity(request)
	go func() {
		periodic.Pause(context.WithoutCancel(ctx), crashCheckDelay)
		if s.pool.Refuses(context.WithoutCancel(ctx)) {
			d.guard.Lost(string(s.id), identity, point)
		}
	}()
}
