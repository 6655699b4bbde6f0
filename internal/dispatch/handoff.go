package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/homes"
	"github.com/micahaven/micahaven/internal/sentinel"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Errors of a handoff.
var (
	// ErrAtHome means that this node is the server's home.
	ErrAtHome error = sentinel.Error("this node is the server's home")
	// ErrNoHome means that no home accepted the request, and that it was not executed.
	ErrNoHome error = sentinel.Error("no home took the request")
	// ErrHomeLost means that the home may have sent the request to a server and that its
	// outcome is not known.
	ErrHomeLost error = sentinel.Error("home was lost")
)

// Destination is where a request is handed off to, according to this node's view.
type Destination struct {
	// Server is the owner of the request's key; empty if the service is unsharded.
	Server discovery.ServerID
	Zone   string
	// Homes are the nodes that may take the request if the service is unsharded, in the
	// order in which they are asked. Each sends it to one of its own servers.
	Homes        []homes.Node
	MapRevision  int64
	TableVersion int64
	// Substitute is true if the request goes to a node that need not be a home.
	Substitute bool
}

// HandoffSender hands requests off to the home nodes of their servers. A home keeps one queue
// for the requests of all nodes to a server. Without homes, nodes that each send two
// requests a second or fewer to a server would neither have current load data nor keep
// connections to it.
type HandoffSender interface {
	// Do returns the home's response. Its error is one of this package's errors, or matches
	// one of the errors above. limit is when the request must be answered.
	Do(ctx context.Context, request *Request, limit time.Time, to Destination) (*upstream.Response, Trace, error)
	// DoElsewhere hands a request off to nodes of any zone, because neither this node nor the
	// homes reach the server. Its error matches ErrNoHome if none of them took the request.
	DoElsewhere(ctx context.Context, request *Request, limit time.Time, to Destination) (*upstream.Response, Trace, error)
}

// IncomingHandoff describes a request that another node handed off to this one, its home. The
// home never hands it off again.
type IncomingHandoff struct {
	// From is the node that handed the request off.
	From string
	// Confirm is called once, when a slot at a server is reserved and before any part of the
	// request is sent. If it returns an error, the request is never sent.
	Confirm func(ctx context.Context) error
	// AnnounceRetry is called before the request, which may have reached a server, is sent to
	// another one. The sender uses it to count that attempt against the route's maximum in
	// case the home is lost. It may be nil.
	AnnounceRetry func()
}

const (
	// maxHandoffBody is the largest body, in bytes, of a request that is handed off.
	// Passing a longer body through a second node costs more than a shared queue saves.
	maxHandoffBody = 64 << 10
	// maxHandoffAnswer is the mean response size, in bytes, above which a route is not handed
	// off. On a node's link of 10 Mbit/s a response of this size delays all others by 13 ms.
	// With responses of 90 KB (72 ms), the latency of all routes rose by 60 ms.
	maxHandoffAnswer = 16 << 10
	// sizeGain is the weight of one response in the moving mean of a route's response sizes.
	sizeGain = 0.1
	// homeConnectionFraction is the home's fraction of the connections that nodes use for a
	// server. The other nodes share the rest, for requests that they send themselves.
	homeConnectionFraction = 0.6
	// homeRequestsPerSlot is the number of concurrent requests per slot that a home sends
	// to a server. It is slightly above one, so that no slot is idle until the next request
	// arrives.
	homeRequestsPerSlot = 1.25
	// homeRetention is how long a node still counts as the home of a server after another
	// node has started to take the server's requests. Other nodes may avoid a home that
	// does not answer them for that long; a shorter time would change the concurrency limit
	// with each request.
	homeRetention = 5 * time.Second
)

// SetHandoffSender enables handing requests off. It must be called before the first request and
// the first view.
func (d *Dispatcher) SetHandoffSender(handoffSender HandoffSender) { d.handoffSender = handoffSender }

// sendViaHome hands a request off to the home of its server, or sends it from this node if
// it has none or no home accepts it.
func (d *Dispatcher) sendViaHome(ctx context.Context, request *Request) (*upstream.Response, Trace, error) {
	to, handOff := d.destination(request)
	if !handOff {
		return d.sendDirect(ctx, request)
	}
	answer, trace, err := d.handoffSender.Do(ctx, request, d.deadline(request), to)
	d.recordAnswerSize(request, answer)
	d.observeHandoffSignals(trace, answer)
	switch {
	case errors.Is(err, ErrHomeLost):
		d.noteHomeElsewhere(to.Server)
		return d.retryAfterHomeLoss(ctx, request, trace, err)
	case errors.Is(err, ErrAtHome), errors.Is(err, ErrNoHome), PathFailed(err):
		if to.Server != "" {
			d.setHome(to.Server, errors.Is(err, ErrAtHome))
		}
		if ctx.Err() != nil {
			return nil, trace, d.finalError(ctx, request, false, nil, err)
		}
		return d.sendDirectOrElsewhere(ctx, request, to)
	default:
		d.noteHomeElsewhere(to.Server)
		return answer, trace, err
	}
}

// sendDirectOrElsewhere sends a request from this node, or through another one if this node does not
// reach the server.
func (d *Dispatcher) sendDirectOrElsewhere(ctx context.Context, request *Request, to Destination) (*upstream.Response, Trace, error) {
	answer, trace, err := d.sendDirect(ctx, request)
	if !PathFailed(err) || ctx.Err() != nil || time.Until(d.deadline(request)) < minAttemptTime {
		return answer, trace, err
	}
	elsewhere, elsewhereTrace, elsewhereErr := d.handoffSender.DoElsewhere(ctx, request, d.deadline(request), to)
	switch {
	case errors.Is(elsewhereErr, ErrNoHome):
		return answer, trace, err
	case errors.Is(elsewhereErr, ErrHomeLost):
		return d.retryAfterHomeLoss(ctx, request, elsewhereTrace, elsewhereErr)
	default:
		elsewhereTrace.NotSent += trace.NotSent
		return elsewhere, elsewhereTrace, elsewhereErr
	}
}

// sendDirect sends a request from this node.
func (d *Dispatcher) sendDirect(ctx context.Context, request *Request) (*upstream.Response, Trace, error) {
	d.sample(request)
	answer, trace, err := d.sendWithRetries(ctx, request)
	d.recordAnswerSize(request, answer)
	return answer, trace, err
}

// recordAnswerSize updates the mean response size of the request's route.
func (d *Dispatcher) recordAnswerSize(request *Request, answer *upstream.Response) {
	if d.handoffSender == nil || answer == nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	size := float64(len(answer.Body))
	mean, known := d.sizes[request.Route.Name]
	if !known {
		mean = size
	}
	d.sizes[request.Route.Name] = mean + sizeGain*(size-mean)
}

// answersTooLarge reports whether the responses of a request's route are too large to be
// passed through a second node. The caller holds the mutex.
func (d *Dispatcher) answersTooLarge(request *Request) bool {
	return d.sizes[request.Route.Name] > maxHandoffAnswer
}

// retryAfterHomeLoss continues with a request that a lost home may have sent. If the home
// had announced the attempt, sending the request again is an ordinary retry. Otherwise the
// home most likely never sent it. However, a request that was queued behind large responses
// on the home's link was once sent 0.3 s after its sender had given it up. It is therefore
// counted as one of the route's attempts, and the final outcome is reported as unknown
// rather than not executed.
func (d *Dispatcher) retryAfterHomeLoss(ctx context.Context, request *Request, trace Trace, cause error) (*upstream.Response, Trace, error) {
	sent := max(1, trace.Attempts)
	repeatable := request.Route.Repeatable && sent < request.Route.MaxAttempts && time.Until(d.deadline(request)) >= minAttemptTime
	if trace.Attempts > 0 {
		repeatable = d.mayRetry(request, trace, failed, d.deadline(request))
	}
	if ctx.Err() != nil || !repeatable {
		return nil, trace, d.finalError(ctx, request, true, nil, cause)
	}
	rest, route := *request, *request.Route
	route.MaxAttempts -= sent
	rest.Route = &route
	answer, later, err := d.sendDirect(ctx, &rest)
	later.Attempts += trace.Attempts
	// This node did not send it again, but the lost home may have sent it.
	switch {
	case errors.Is(err, ErrCanceled):
		err = ErrCanceled
	case errors.Is(err, ErrNotExecuted):
		err = errors.Wrapf(ErrUnknown, "%v, then %v", cause, err)
	}
	return answer, later, err
}

// destination returns where a request goes, and whether it is to be handed off to a home.
// Servers that are warming up get requests only from the nodes with send permits for them,
// not through homes.
func (d *Dispatcher) destination(request *Request) (Destination, bool) {
	if d.handoffSender == nil || request.IncomingHandoff != nil || request.Rest != nil || len(request.Body) > maxHandoffBody {
		return Destination{}, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.answersTooLarge(request) {
		return Destination{}, false
	}
	now, current := time.Now(), d.views.Current()
	owners, divided := d.owners(current, request)
	if !divided {
		asked := d.homesFor(now, current, request.Service)
		return Destination{Homes: asked, TableVersion: tableVersion(current)}, len(asked) > 0
	}
	owner, owned := d.ownerOf(request, owners)
	if !owned || d.server(owner.Owner) == nil {
		return Destination{}, false
	}
	s := d.server(owner.Owner)
	if _, warmingUp := d.warming(now, current, s); warmingUp || !s.reachable(now, d.ownerGrace(s)) {
		return Destination{}, false
	}
	return Destination{Server: s.id, Zone: s.Zone, MapRevision: owners.Revision, TableVersion: current.Table.Version()}, true
}

// Takes reports whether this node, as a home, accepts a request that another node hands
// off. It must not be shutting down. For a sharded service, its owner map must be at
// least as new as the sender's and name an owner that is not warming up.
func (d *Dispatcher) Takes(request *Request, to Destination) bool {
	if _, stopping := d.ending.Deadline(); stopping {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, current := time.Now(), d.views.Current()
	owners, divided := d.owners(current, request)
	if !divided {
		return to.Substitute || len(d.homeGroup(current, request.Service)) > 0
	}
	if owners.Revision < to.MapRevision {
		return false
	}
	owner, owned := d.ownerOf(request, owners)
	if !owned || d.server(owner.Owner) == nil {
		return false
	}
	s := d.server(owner.Owner)
	_, warmingUp := d.warming(now, current, s)
	return !warmingUp
}

// setHome records whether this node is a server's home.
func (d *Dispatcher) setHome(id discovery.ServerID, home bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s := d.server(id); s != nil {
		s.setHome(time.Now(), home)
	}
}

// TakeHome records that this node is the home of a server of a sharded service. An
// empty id is ignored: the homes of unsharded services are computed locally.
func (d *Dispatcher) TakeHome(id discovery.ServerID) {
	if id != "" {
		d.setHome(id, true)
	}
}

// noteHomeElsewhere records that another node is a server's home. This node stays a home
// for homeRetention after it last was one, for the nodes that cannot reach the other home.
func (d *Dispatcher) noteHomeElsewhere(id discovery.ServerID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if s := d.server(id); s != nil && s.isHome && now.Sub(s.lastHomeAt) > homeRetention {
		s.setHome(now, false)
	}
}

func (s *server) setHome(now time.Time, isHome bool) {
	if isHome {
		s.lastHomeAt = now
	}
	if s.isHome == isHome {
		return
	}
	s.isHome, s.limit.atHome = isHome, isHome
	if isHome && s.limit.now(now, s.Slots) < float64(s.Slots) {
		s.limit.set(now, float64(s.Slots))
	}
}

// connectionBound is this node's share of the server's connections; 0 means unbounded.
func (s *server) connectionBound() int {
	switch {
	case s.svc == nil:
		return 0
	case s.isHome:
		return s.svc.homeConnectionShare
	default:
		return s.svc.connectionShare
	}
}

// notifyRetry notifies the node that handed a request off that it is about to be sent again.
func (r *Request) notifyRetry() {
	if r.IncomingHandoff != nil && r.IncomingHandoff.AnnounceRetry != nil {
		r.IncomingHandoff.AnnounceRetry()
	}
}

// confirmHandoff asks the sender of a handed-off request, before the first attempt, whether
// it is still to be sent. If not, the reserved slot is released and the request is refused.
func (d *Dispatcher) confirmHandoff(ctx context.Context, request *Request, s *server, trace Trace) error {
	if trace.Attempts > 0 {
		request.notifyRetry()
	}
	if request.IncomingHandoff == nil || trace.Attempts+trace.NotSent > 0 {
		return nil
	}
	err := request.IncomingHandoff.Confirm(ctx)
	if err == nil {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.outstanding--
	d.serveWaiters(s.Service)
	return &Refusal{Reason: ReasonNoServer, Detail: err.Error(), RetryAfter: d.retryAfter(ReasonNoServer, request)}
}
