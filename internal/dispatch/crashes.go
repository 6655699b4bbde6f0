package dispatch

import (
	"context"
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
	// Ended records that a suspected request has ended, and whether a server answered it.
	Ended(request poison.Request, decided poison.Decision, answered bool)
	// Lost records that a server instance crashed while it executed a request.
	Lost(instance string, request poison.Request)
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

func (noGuard) Ended(poison.Request, poison.Decision, bool) {}

func (noGuard) Lost(string, poison.Request) {}

// identity describes a request for the guard.
func (d *Dispatcher) identity(request *Request) poison.Request {
	return poison.Request{
		Service: request.Service, Method: request.Method, Host: request.Host, URI: request.URI,
		Tenant: request.field(d.headers.Tenant), Body: request.Body, ClientAddress: request.Caller,
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
	d.guard.Ended(d.identity(request), decision, outcome == answered || (outcome == failed && answer != nil))
	return s, answer, outcome, err
}

// crashCheckDelay is how long after a lost request the server is checked. It gives a
// process that is exiting the time to close its sockets.
const crashCheckDelay = 20 * time.Millisecond

// detectCrash determines whether a server crashed while it executed a request that was lost
// with the given error. A server that is slow, cut off or has reset a connection either
// accepts new connections or does not answer at all, whereas the machine of a crashed one
// refuses them. A draining server that exits did not crash.
func (d *Dispatcher) detectCrash(ctx context.Context, request *Request, s *server, cause error) {
	if ctx.Err() != nil || !errors.Is(cause, upstream.ErrNoResponse) || errors.Is(cause, upstream.ErrUnacknowledged) {
		return
	}
	d.mutex.Lock()
	leaves := !s.DrainingSince.IsZero() || !s.GoneSince.IsZero()
	d.mutex.Unlock()
	if leaves {
		return
	}
	identity := d.identity(request)
	go func() {
		periodic.Pause(context.WithoutCancel(ctx), crashCheckDelay)
		if s.pool.Refuses(context.WithoutCancel(ctx)) {
			d.guard.Lost(string(s.id), identity)
		}
	}()
}
