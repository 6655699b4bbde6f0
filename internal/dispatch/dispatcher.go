package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/ending"
	"github.com/micahaven/micahaven/internal/rendezvous"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/warmup"
)

// Options are the bounds that the operators set.
type Options struct {
	// Node is this node's name.
	Node string
	// Zone is this node's zone; servers there are preferred.
	Zone string
	// LeaveGrace is how long after a server was seen leaving or gone it still
	// gets requests.
	LeaveGrace time.Duration
	// EvacuationGrace is how long after its zone was seen evacuated the owner of a key
	// still gets requests for it; LeaveGrace if that is longer.
	EvacuationGrace time.Duration
	// WarmUpOver and WarmUpSlack bound what reaches a server that warms up within a
	// second: its rate times the one, and the other.
	WarmUpOver  float64
	WarmUpSlack float64
	// RetryRatio and RetrySlack bound repeats within RetryWindow over all nodes.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Names of headers of servers' requests and answers.
	Headers Headers
}

// Headers are the names of the headers that the dispatcher reads and writes.
type Headers struct {
	RequestID   string
	Deadline    string
	Signature   string
	Target      string
	NotExecuted string
	// Load reads what a server tells of its load in an answer, if it does; nil if no
	// server does.
	Load func(answer http.Header) (discovery.Load, bool)
}

// Dispatcher sends requests to the servers of the current view. It is safe for
// concurrent use.
type Dispatcher struct {
	headers Headers
	views   *view.Builder
	logger  *zap.Logger

	mutex   sync.Mutex
	options Options
	servers map[discovery.ServerID]*server
	waiting map[string][]*waiter
	budgets map[string]*budget
	// moving holds, by service and fence, ranges that are changing hands.
	moving  map[movingRange]time.Time
	samples map[string]*samples
	nodes   int
	// rights are those to send to servers that warm up; copyAge says how new this node's
	// copy of the store is.
	rights  *warmup.Rights
	copyAge CopyAge
	// cold holds what is known of ranges that came without a handover, by service.
	cold   map[string]*coldRanges
	ending *ending.Ending
}

// CopyAge returns how long ago the store surely had nothing newer than this node's copy;
// false if that was never known. It is called with the dispatcher's mutex held.
type CopyAge func() (age time.Duration, known bool)

// movingRange names a range that its owner does not serve any more.
type movingRange struct {
	service string
	fence   uint64
	last    uint32
}

// waiter is a request that waits for a server.
type waiter struct {
	request  *Request
	excluded map[discovery.ServerID]bool
	// chosen receives the server, which is already counted as busy with it, or nil if
	// there is no use in waiting any more.
	chosen chan *server
}

// New returns a dispatcher that follows views.
func New(options Options, views *view.Builder, logger *zap.Logger) *Dispatcher {
	d := &Dispatcher{
		headers: options.Headers,
		options: options,
		views:   views,
		logger:  logger,
		servers: make(map[discovery.ServerID]*server),
		waiting: make(map[string][]*waiter),
		budgets: make(map[string]*budget),
		moving:  make(map[movingRange]time.Time),
		samples: make(map[string]*samples),
		cold:    make(map[string]*coldRanges),
		nodes:   1,
		rights:  warmup.NewRights(options.Node),
		copyAge: func() (time.Duration, bool) { return 0, true },
		ending:  ending.New(),
	}
	views.Subscribe(d.update)
	return d
}

// SetCopyAge sets how the dispatcher learns how new the node's copy of the store is. It
// must be called before the first request; without it the copy counts as new.
func (d *Dispatcher) SetCopyAge(copyAge CopyAge) { d.copyAge = copyAge }

// SetOptions replaces the bounds. Budgets follow with their next request.
func (d *Dispatcher) SetOptions(options Options) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.options = options
	d.budgets = make(map[string]*budget)
}

// update takes in a new view and lets waiting requests go on.
func (d *Dispatcher) update(current *view.View) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !current.Same.Nodes {
		d.nodes = max(1, len(current.Nodes))
		for _, b := range d.budgets {
			b.share(d.options, d.nodes)
		}
		d.rights.SetNodes(time.Now(), registeredNodes(current))
	}
	if current.Same != (view.Parts{Table: true, Servers: true, Nodes: true, Evacuations: true}) {
		d.updateServers(current)
	}
	if !current.Same.Servers || !current.Same.Nodes || !current.Same.Evacuations {
		d.chooseSubsets(time.Now(), current)
	}
	d.followColdRanges(time.Now(), current)
	for service := range d.waiting {
		d.pump(service)
	}
}

// updateServers takes in the servers of a view. The caller holds the mutex.
func (d *Dispatcher) updateServers(current *view.View) {
	for _, servers := range current.Services {
		places := d.placesAt(current, servers[0].Service)
		for _, seen := range servers {
			known := d.servers[seen.ID]
			if known == nil {
				known = &server{
					id: seen.ID, pool: upstream.NewPool(seen.Address), rank: rendezvous.Score(d.options.Node, string(seen.ID)),
				}
				d.servers[seen.ID] = known
			}
			known.Server = seen
			known.places = places
			known.evacuatedSince, known.evacuated = current.Evacuated(seen.Zone)
		}
	}
	if len(d.servers) == len(current.Servers) {
		return
	}
	for id, known := range d.servers {
		if current.Servers[id] == nil {
			known.pool.Close()
			d.rights.Forget(string(id))
			delete(d.servers, id)
		}
	}
}

// connectionPart is the part of a server's connections that nodes use for
// requests; orders and health checks need some too.
const connectionPart = 0.8

// placesAt returns this node's part of the connections that a server of a service
// takes from all nodes together; 0 means that there is no bound.
func (d *Dispatcher) placesAt(current *view.View, name string) int {
	if current.Table == nil {
		return 0
	}
	service, known := current.Table.Service(name)
	if !known || service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(connectionPart*float64(service.MaxConnections)/float64(d.nodes)))
}

// Run lets waiting requests go on as time passes, until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / ticksPerSecond)
	defer ticker.Stop()
	ticks := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		ticks++
		d.tick(ticks%ticksPerSecond == 0)
	}
}

func (d *Dispatcher) tick(prune bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	for _, b := range d.budgets {
		b.tokens = min(b.burst, b.tokens+b.perTick)
	}
	for service := range d.waiting {
		d.pump(service)
	}
	if !prune {
		return
	}
	for _, s := range d.servers {
		s.pool.Prune(now)
	}
	for moved, until := range d.moving {
		if now.After(until) {
			delete(d.moving, moved)
		}
	}
}

// budget returns the retry budget of a service. The caller holds the mutex.
func (d *Dispatcher) budget(service string) *budget {
	known := d.budgets[service]
	if known == nil {
		known = newBudget(d.options, d.nodes)
		d.budgets[service] = known
	}
	return known
}

// pump gives free servers to waiting requests, the most urgent first. The caller
// holds the mutex.
func (d *Dispatcher) pump(service string) {
	queue := d.waiting[service]
	if len(queue) == 0 {
		return
	}
	now := time.Now()
	kept := queue[:0]
	for _, w := range queue {
		if _, hopeless := d.keyHopeless(now, w.request); hopeless {
			w.chosen <- nil
			continue
		}
		chosen := d.choose(now, w.request, w.excluded)
		if chosen == nil {
			kept = append(kept, w)
			continue
		}
		d.occupy(now, chosen)
		w.chosen <- chosen
	}
	if len(kept) == 0 {
		delete(d.waiting, service)
		return
	}
	d.waiting[service] = kept
}

// enqueue adds a waiter behind those that are as urgent. The caller holds the
// mutex.
func (d *Dispatcher) enqueue(w *waiter) {
	queue := d.waiting[w.request.Service]
	at := len(queue)
	for at > 0 && queue[at-1].request.Route.Priority > w.request.Route.Priority {
		at--
	}
	queue = append(queue, nil)
	copy(queue[at+1:], queue[at:])
	queue[at] = w
	d.waiting[w.request.Service] = queue
}

// abandon removes a waiter. It returns the server that the waiter was given in
// the meantime, if any.
func (d *Dispatcher) abandon(w *waiter) *server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	queue := d.waiting[w.request.Service]
	for index, other := range queue {
		if other == w {
			d.waiting[w.request.Service] = append(queue[:index], queue[index+1:]...)
			return nil
		}
	}
	select {
	case given := <-w.chosen:
		return given
	default:
		return nil
	}
}

// acquire returns a server for the request, waiting until its limit. It returns nil
// if there is none by then, if its answer would come too late for a node that stops,
// or if the context ends.
func (d *Dispatcher) acquire(ctx context.Context, request *Request, excluded map[discovery.ServerID]bool) *server {
	chosen := d.await(ctx, request, excluded, d.limit(request))
	if chosen == nil {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	// The node may have been told to stop while the request waited.
	now, limit := time.Now(), d.limit(request)
	for chosen != nil && d.tooLate(now, request, chosen, limit) {
		chosen.outstanding--
		d.pump(chosen.Service)
		if excluded[chosen.id] {
			// It is the only one for the request's key.
			return nil
		}
		excluded[chosen.id] = true
		if chosen = d.choose(now, request, excluded); chosen != nil {
			d.occupy(now, chosen)
		}
	}
	return chosen
}

// await waits for a server until limit or the end of the context.
func (d *Dispatcher) await(ctx context.Context, request *Request, excluded map[discovery.ServerID]bool, limit time.Time) *server {
	d.mutex.Lock()
	now := time.Now()
	if chosen := d.choose(now, request, excluded); chosen != nil {
		d.occupy(now, chosen)
		d.mutex.Unlock()
		return chosen
	}
	limit, worthwhile := d.patience(request, limit)
	if !worthwhile {
		d.mutex.Unlock()
		return nil
	}
	w := &waiter{request: request, excluded: excluded, chosen: make(chan *server, 1)}
	d.enqueue(w)
	d.mutex.Unlock()
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case chosen := <-w.chosen:
		return chosen
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.abandon(w)
}

// result is what an attempt tells about its server.
type result int

const (
	// noResult: the server did not answer in time, or did not take the request.
	noResult result = iota
	// serverFailed: it answered with a failure of its own, or not properly.
	serverFailed
	// serverAnswered: it served the request.
	serverAnswered
)

// sending is one attempt: how long it took, whether its range was cold, and what the
// server told of its load, if it did.
type sending struct {
	took time.Duration
	cold bool
	load *discovery.Load
}

// finish takes in how an attempt ended and lets the next request have its place.
func (d *Dispatcher) finish(now time.Time, request *Request, s *server, sent sending, ended result) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.outstanding--
	defer d.pump(s.Service)
	d.coldOf(request.Service).observe(sent.took, sent.cold, ended == serverAnswered)
	if sent.cold {
		// How long it took says nothing about the server.
		return
	}
	s.failing.observe(now, ended != serverAnswered)
	switch {
	case ended == serverAnswered, ended == serverFailed && d.divided(request):
		s.succeeded(now, sent.took, request.Route.Objective, sent.load)
	case ended == serverFailed:
		s.failed(now)
	default:
		s.gaveUp(now, sent)
	}
}

// divided reports whether a request's keys are divided among servers. The caller holds
// the mutex.
func (d *Dispatcher) divided(request *Request) bool {
	_, divided := d.owners(d.views.Current(), request)
	return divided
}

// fault takes in that a server did not answer or could not be reached.
func (d *Dispatcher) fault(request *Request, s *server, cause error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if errors.Is(cause, upstream.ErrTurnedAway) {
		s.turnedAway(time.Now())
		return
	}
	if errors.Is(cause, upstream.ErrSilent) {
		// The connection was lost, not the server.
		return
	}
	if s.limit.told && !errors.Is(cause, upstream.ErrNotSent) && d.divided(request) {
		// The server is there, and nobody can stand in for it. If it has too many requests,
		// the limit follows.
		return
	}
	s.failed(time.Now())
}
