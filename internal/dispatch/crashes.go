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

// Guard keeps requests that crash servers from them.
type Guard interface {
	// Refused reports whether a request may be sent to no server, and when to come back.
	Refused(request func() poison.Request) (after time.Duration, refused bool)
	// Admit decides on a request that is about to be sent.
	Admit(ctx context.Context, request func() poison.Request) poison.Decision
	// Ended takes in that a suspected request has ended, and whether a server answered it.
	Ended(request poison.Request, decided poison.Decision, answered bool)
	// Lost takes in that a life of a server crashed while it ran a request.
	Lost(life string, request poison.Request)
}

// SetGuard sets what keeps requests that crash servers from them. It must be called before
// the first request; without it none is suspected.
func (d *Dispatcher) SetGuard(guard Guard) { d.guard = guard }

// noGuard suspects nothing.
type noGuard struct{}

func (noGuard) Refused(func() poison.Request) (time.Duration, bool) { return 0, false }

func (noGuard) Admit(context.Context, func() poison.Request) poison.Decision {
	return poison.Decision{}
}

func (noGuard) Ended(poison.Request, poison.Decision, bool) {}

func (noGuard) Lost(string, poison.Request) {}

// identity is what makes two tries the same request.
func (r *Request) identity() poison.Request {
	return poison.Request{Service: r.Service, Method: r.Method, Host: r.Host, URI: r.URI, Caller: r.Caller, Body: r.Body}
}

// refuseCrashing returns the refusal of a request that crashes servers; nil if it may be sent.
func (d *Dispatcher) refuseCrashing(request *Request) *Refusal {
	after, refused := d.guard.Refused(request.identity)
	if !refused {
		return nil
	}
	return crashingRefusal(after)
}

func crashingRefusal(after time.Duration) *Refusal {
	return &Refusal{Reason: ReasonCrashesServers, Detail: "servers crashed each time they ran this request", RetryAfter: after}
}

// sendGuarded sends a request to a server like sendTwice, unless it is suspected to crash
// servers: then it is sent to one at most, or refused with an error.
func (d *Dispatcher) sendGuarded(ctx context.Context, request *Request, s *server, limit time.Time, trace *Trace, excluded map[discovery.ServerID]bool) (*server, *upstream.Answer, attempt, error) {
	decision := d.guard.Admit(ctx, request.identity)
	switch {
	case decision.Refused:
		d.limits.GiveBack(string(s.id))
		d.mutex.Lock()
		s.outstanding--
		d.pump(s.Service)
		d.mutex.Unlock()
		return s, nil, notSent, crashingRefusal(decision.RetryAfter)
	case !decision.Suspected:
		return d.sendTwice(ctx, request, s, limit, trace, excluded)
	}
	answer, outcome, err := d.send(ctx, request, s, limit)
	d.guard.Ended(request.identity(), decision, outcome == answered || (outcome == failedOver && answer != nil))
	return s, answer, outcome, err
}

// crashPause is how long after a lost request it is asked whether its server is still there,
// which is a moment in which a process that ends has closed everything.
const crashPause = 20 * time.Millisecond

// lookForCrash finds out whether a server crashed while it ran a request, which was lost with
// an error. One that is slow, cut off or resets a connection takes new ones, or does not
// answer; one that leaves ends on purpose.
func (d *Dispatcher) lookForCrash(ctx context.Context, request *Request, s *server, cause error) {
	if ctx.Err() != nil || !errors.Is(cause, upstream.ErrNoAnswer) || errors.Is(cause, upstream.ErrSilent) {
		return
	}
	d.mutex.Lock()
	leaves := !s.DrainingSince.IsZero() || !s.GoneSince.IsZero()
	d.mutex.Unlock()
	if leaves {
		return
	}
	identity := request.identity()
	go func() {
		periodic.Pause(context.WithoutCancel(ctx), crashPause)
		if s.pool.Refuses(context.WithoutCancel(ctx)) {
			d.guard.Lost(string(s.id), identity)
		}
	}()
}
