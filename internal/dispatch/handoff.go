package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/homes"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Errors of a handover.
var (
	// ErrAtHome means that this node is the server's home.
	ErrAtHome = errors.New("this node is the server's home")
	// ErrNoHome means that no home took the request, and that it has not run.
	ErrNoHome = errors.New("no home took the request")
	// ErrHomeLost means that a home may have sent the request and does not say more.
	ErrHomeLost = errors.New("home was lost")
)

// Destination is where a request that is handed over goes, as this node knows it.
type Destination struct {
	// Server owns the request's key; empty if the service is undivided.
	Server discovery.ServerID
	Zone   string
	// Homes may each send the request to servers of theirs, if the service is undivided;
	// they are in the order in which they are asked.
	Homes        []homes.Node
	MapRevision  int64
	TableVersion int64
}

// Handover hands requests over to the nodes that are home to their servers. A home has
// one queue for all nodes' requests to a server; nodes that send two requests a second or
// fewer to it each neither know its load nor keep connections to it.
type Handover interface {
	// Do returns what the home answered. Its error is one of this package's, or matches
	// one of the errors above. limit is when the request must be answered.
	Do(ctx context.Context, request *Request, limit time.Time, to Destination) (*upstream.Answer, Trace, error)
}

// TakenOver says that another node handed a request over to this one, the home, which
// hands it over to none.
type TakenOver struct {
	// From is the node that did.
	From string
	// Begin is called once, when there is a place at a server and before anything of the
	// request is sent. After an error the request is never sent.
	Begin func(ctx context.Context) error
	// Again is called before the request, which may have reached a server, is sent to one
	// more; it may be nil. Should the home be lost, the sender counts that among the
	// route's attempts.
	Again func()
}

const (
	// maxHandedBody is the largest body that is handed over, in bytes: longer ones cost
	// more by passing through a second node than a queue of one's own.
	maxHandedBody = 64 << 10
	// maxHandedAnswer is the mean size in bytes from which a route's answers are not passed
	// through a second node: on its link of 10 Mbit/s each holds up all others for 13 ms,
	// and with answers of 90 KB (72 ms) all routes were seen to take 60 ms longer.
	maxHandedAnswer = 16 << 10
	// sizeGain is the weight of one answer in the moving mean of a route's answers.
	sizeGain = 0.1
	// homePart is the home's part of the connections that nodes use for a server; the
	// others share the rest, for what they send themselves.
	homePart = 0.6
	// homeQueue is how many requests for each slot a home has at a server: a few more than
	// the slots, so that none runs empty until the next request comes.
	homeQueue = 1.25
	// homeMemory is how long a node counts as home to a server after it last was, once
	// another node takes its requests: as long as others may pass over a home that does not
	// answer them, so that the limit does not change with each request.
	homeMemory = 5 * time.Second
)

// SetHandover makes the dispatcher hand requests over. It must be called before the first
// request and the first view.
func (d *Dispatcher) SetHandover(handover Handover) { d.handover = handover }

// throughHome sends a request through the home of its server, or itself if there is none.
func (d *Dispatcher) throughHome(ctx context.Context, request *Request) (*upstream.Answer, Trace, error) {
	to, handed := d.destination(request)
	if !handed {
		return d.direct(ctx, request)
	}
	answer, trace, err := d.handover.Do(ctx, request, d.limit(request), to)
	d.noteSize(request, answer)
	d.observeHanded(trace, answer)
	switch {
	case errors.Is(err, ErrHomeLost):
		d.otherHome(to.Server)
		return d.afterLoss(ctx, request, trace, err)
	case errors.Is(err, ErrAtHome), errors.Is(err, ErrNoHome):
		if to.Server != "" {
			d.setHome(to.Server, errors.Is(err, ErrAtHome))
		}
		if ctx.Err() != nil {
			return nil, trace, d.giveUp(ctx, request, false, nil, err)
		}
		return d.direct(ctx, request)
	default:
		d.otherHome(to.Server)
		return answer, trace, err
	}
}

// direct sends a request from this node.
func (d *Dispatcher) direct(ctx context.Context, request *Request) (*upstream.Answer, Trace, error) {
	d.sample(request)
	answer, trace, err := d.attempts(ctx, request)
	d.noteSize(request, answer)
	return answer, trace, err
}

// noteSize takes in the size of an answer.
func (d *Dispatcher) noteSize(request *Request, answer *upstream.Answer) {
	if d.handover == nil || answer == nil {
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

// tooLarge reports whether the answers of a request's route are better not passed through
// a second node. The caller holds the mutex.
func (d *Dispatcher) tooLarge(request *Request) bool {
	return d.sizes[request.Route.Name] > maxHandedAnswer
}

// afterLoss goes on with a request that a lost home may have sent. If the home had said
// that it sends it, sending it again is a repeat like any other; otherwise it most likely
// never did. But a request that stood behind large answers on the home's link was seen to
// be sent 0.3 s after its sender had given it up, so that it counts as sent to one of the
// servers that the route allows, and what is said of it in the end reckons with that.
func (d *Dispatcher) afterLoss(ctx context.Context, request *Request, trace Trace, cause error) (*upstream.Answer, Trace, error) {
	sent := max(1, trace.Attempts)
	repeatable := request.Route.Repeatable && sent < request.Route.MaxAttempts && time.Until(d.limit(request)) >= minAttemptTime
	if trace.Attempts > 0 {
		repeatable = d.mayRepeat(request, trace, failedOver, d.limit(request))
	}
	if ctx.Err() != nil || !repeatable {
		return nil, trace, d.giveUp(ctx, request, true, nil, cause)
	}
	rest, route := *request, *request.Route
	route.MaxAttempts -= sent
	rest.Route = &route
	answer, later, err := d.direct(ctx, &rest)
	later.Attempts += trace.Attempts
	if errors.Is(err, ErrNotExecuted) {
		// It was not sent again, but the lost home may have sent it.
		err = errors.Wrapf(ErrUnknown, "%v, then %v", cause, err)
	}
	return answer, later, err
}

// destination returns the server that a request is for, and whether the request is to be
// handed over to its home. Servers that warm up get their few requests from the nodes that
// have the rights to them, and not through homes.
func (d *Dispatcher) destination(request *Request) (Destination, bool) {
	if d.handover == nil || request.TakenOver != nil || request.Rest != nil || len(request.Body) > maxHandedBody {
		return Destination{}, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.tooLarge(request) {
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
	if _, warms := d.warming(now, current, s); warms || !s.reachable(now, d.ownerGrace(s)) {
		return Destination{}, false
	}
	return Destination{Server: s.id, Zone: s.Zone, MapRevision: owners.Revision, TableVersion: current.Table.Version()}, true
}

// Takes reports whether this node, as a home, takes a request for a server over: it knows
// the server as the owner of the request's key, by the same map or a later one, and does
// not stop.
func (d *Dispatcher) Takes(request *Request, to Destination) bool {
	if _, stops := d.ending.At(); stops {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, current := time.Now(), d.views.Current()
	owners, divided := d.owners(current, request)
	if !divided {
		return len(d.homeGroup(current, request.Service)) > 0
	}
	if owners.Revision < to.MapRevision {
		return false
	}
	owner, owned := d.ownerOf(request, owners)
	if !owned || d.server(owner.Owner) == nil {
		return false
	}
	s := d.server(owner.Owner)
	_, warms := d.warming(now, current, s)
	return !warms
}

// setHome notes whether this node is a server's home.
func (d *Dispatcher) setHome(id discovery.ServerID, home bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s := d.server(id); s != nil {
		s.setHome(time.Now(), home)
	}
}

// TakeHome notes that this node is the home of a server; of an undivided service it knows
// that by itself.
func (d *Dispatcher) TakeHome(id discovery.ServerID) {
	if id != "" {
		d.setHome(id, true)
	}
}

// otherHome notes that another node is a server's home. This one may be home as well for a
// while, to nodes that do not reach the other.
func (d *Dispatcher) otherHome(id discovery.ServerID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if s := d.server(id); s != nil && s.home && now.Sub(s.homeAt) > homeMemory {
		s.setHome(now, false)
	}
}

func (s *server) setHome(now time.Time, home bool) {
	if home {
		s.homeAt = now
	}
	if s.home == home {
		return
	}
	s.home, s.limit.sole = home, home
	if home && s.limit.now(now, s.Slots) < float64(s.Slots) {
		s.limit.set(now, float64(s.Slots))
	}
}

// connections is this node's part of the server's connections; 0 means no bound.
func (s *server) connections() int {
	switch {
	case s.of == nil:
		return 0
	case s.home:
		return s.of.homePlaces
	default:
		return s.of.places
	}
}

// tellAgain tells the node that handed a request over that it is sent once more.
func (r *Request) tellAgain() {
	if r.TakenOver != nil && r.TakenOver.Again != nil {
		r.TakenOver.Again()
	}
}

// begin lets the sender of a request that was taken over decide whether it is sent at
// all. Otherwise the server's place is free again.
func (d *Dispatcher) begin(ctx context.Context, request *Request, s *server, trace Trace) error {
	if trace.Attempts > 0 {
		request.tellAgain()
	}
	if request.TakenOver == nil || trace.Attempts+trace.NotSent > 0 {
		return nil
	}
	err := request.TakenOver.Begin(ctx)
	if err == nil {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.outstanding--
	d.pump(s.Service)
	return &Refusal{Reason: ReasonNoServer, Detail: err.Error(), RetryAfter: d.comeBack(ReasonNoServer, request)}
}
