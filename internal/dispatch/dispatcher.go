package dispatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/ending"
	"github.com/micahaven/micahaven/internal/homes"
	"github.com/micahaven/micahaven/internal/schedule"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/warmup"
)

// Options are the operator's settings.
type Options struct {
	// Node is this node's name.
	Node string
	// Zone is this node's zone. Servers of this zone are preferred.
	Zone string
	// LeaveGrace is how long the owner of a key still gets requests, and a server probes,
	// after it was seen draining or deregistered.
	LeaveGrace time.Duration
	// EvacuationGrace is how long the owner of a key still gets requests after its zone was
	// seen evacuated. LeaveGrace applies if it is longer.
	EvacuationGrace time.Duration
	// WarmUpOver and WarmUpSlack bound the requests per second to a server that is warming
	// up: the service's warm-up rate times WarmUpOver, plus WarmUpSlack.
	WarmUpOver  float64
	WarmUpSlack float64
	// RetryRatio and RetrySlack bound the retries of all nodes together within RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Headers are the header names used in requests to servers and in their responses.
	Headers Headers
}

// Headers are the names of the headers that the dispatcher reads and writes, and the
// functions that parse the responses' headers.
type Headers struct {
	RequestID   string
	Deadline    string
	Signature   string
	Target      string
	NotExecuted string
	// Tenant names the tenant of a request; empty if there are no tenants.
	Tenant string
	// Load parses the load that a server reports in a response; nil if servers do not report
	// it.
	Load func(answer http.Header) (discovery.Load, bool)
	// Health parses the response to a health check: which server sent it, and how long that
	// server is still warming up. It is nil if servers do not report this.
	Health func(answer http.Header) (instance string, warmUp time.Duration)
	// Signals parses the backpressure signals in a response with the given status; nil if
	// servers send none.
	Signals func(status int, answer http.Header) backpressure.Signals
}

// Dispatcher sends requests to the servers of the current view. It is safe for concurrent
// use.
type Dispatcher struct {
	headers Headers
	views   *view.Builder
	logger  *zap.Logger
	// link is this machine's network link, shared by all requests to servers.
	link *upstream.Link

	mutex   sync.Mutex
	options Options
	// servers holds the servers of the view, except those of sharded services that have
	// had no request yet. services holds the state per service. pooled holds the servers
	// with a connection pool. lapsed holds the servers whose registration is missing but
	// may return.
	servers  map[discovery.ServerID]*server
	services map[string]*service
	pooled   map[discovery.ServerID]*server
	lapsed   map[discovery.ServerID]*server
	waiting  map[string][]*waiter
	budgets  map[string]*budget
	// returns holds, by service, when refused callers are expected to retry. For
	// sharded services that is kept with each server.
	returns map[string]*schedule.RetrySchedule
	// firstTries holds, by route, the estimate of when callers sent their first attempt.
	firstTries map[string]*schedule.FirstAttempts
	// latencyQuantiles holds, by route, the latency after which a hedged attempt is
	// considered.
	latencyQuantiles map[string]*schedule.Quantile
	// moving holds the key ranges that are being transferred to another owner, with the
	// time until which their requests are held back.
	moving  map[movingRange]time.Time
	samples map[string]*samples
	nodes   int
	// zone lists the nodes of this node's zone.
	zone []homes.Node
	// permits decides whether this node may send to a server that is warming up. copyAge
	// reports the age of this node's copy of the store.
	permits *warmup.Permits
	copyAge CopyAge
	// onColdFound notifies the other nodes that a probe found a server warming up.
	onColdFound ColdServerFunc
	// guard blocks requests that crash servers.
	guard Guard
	// limits enforces the rate limits that servers announce. onSignal notifies the other
	// nodes of signals that concern all of them.
	limits   ServerLimits
	onSignal SignalFunc
	// probeSlots is a semaphore that bounds the probes in flight.
	probeSlots chan struct{}
	// cold holds, by service, the state of key ranges whose owner received them without a
	// handover.
	cold   map[string]*coldRanges
	ending *ending.Ending
	// refuseFrom is when requests are no longer begun; nil if they are. It needs no mutex.
	refuseFrom atomic.Pointer[time.Time]
	// finalStates holds, by service, the state that refusals are based on once this node sends
	// nothing more.
	finalStates map[string]*finalState
	// contact concerns all servers. nextContactProbe is when the next connections of probeContact
	// are due.
	contact          contact
	nextContactProbe time.Time
	// progress needs no mutex.
	progress progress
	// handoffSender hands requests off to the home nodes of their servers; nil if this node
	// sends all requests itself.
	handoffSender HandoffSender
	// sizes holds, by route, the moving mean of response sizes in bytes.
	sizes map[string]float64
}

// CopyAge returns the time since this node's copy of the store was last confirmed to be
// current; known is false if it never was. It is called with the dispatcher's mutex held.
type CopyAge func() (age time.Duration, known bool)

// movingRange identifies a key range that its owner no longer serves.
type movingRange struct {
	service string
	fence   uint64
	last    uint32
}

// New returns a dispatcher that subscribes to the given views.
func New(options Options, views *view.Builder, logger *zap.Logger) *Dispatcher {
	d := &Dispatcher{
		headers:          options.Headers,
		options:          options,
		views:            views,
		logger:           logger,
		link:             upstream.NewLink(),
		servers:          make(map[discovery.ServerID]*server),
		services:         make(map[string]*service),
		pooled:           make(map[discovery.ServerID]*server),
		lapsed:           make(map[discovery.ServerID]*server),
		waiting:          make(map[string][]*waiter),
		budgets:          make(map[string]*budget),
		returns:          make(map[string]*schedule.RetrySchedule),
		latencyQuantiles: make(map[string]*schedule.Quantile),
		firstTries:       make(map[string]*schedule.FirstAttempts),
		moving:           make(map[movingRange]time.Time),
		samples:          make(map[string]*samples),
		cold:             make(map[string]*coldRanges),
		sizes:            make(map[string]float64),
		finalStates:      make(map[string]*finalState),
		nodes:            1,
		permits:          warmup.NewPermits(options.Node),
		copyAge:          func() (time.Duration, bool) { return 0, true },
		ending:           ending.New(),

		guard:       noGuard{},
		limits:      noLimits{},
		onSignal:    func(discovery.ServerID, Signal) {},
		onColdFound: func(discovery.ServerID, time.Duration) {},
		probeSlots:  make(chan struct{}, maxProbes),
	}
	views.Subscribe(d.update)
	return d
}

// SetCopyAge sets the source of the copy's age. It must be called before the first request.
// Without it the copy always counts as current.
func (d *Dispatcher) SetCopyAge(copyAge CopyAge) { d.copyAge = copyAge }

// SetOptions replaces the options. Retry budgets are recreated when the next request needs
// them.
func (d *Dispatcher) SetOptions(options Options) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.options = options
	d.budgets = make(map[string]*budget)
}

// update applies a new view and then serves waiting requests. Views may arrive out of
// order, so the state is always read from the newest view and the published one only says
// what changed.
func (d *Dispatcher) update(published *view.View) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, current := time.Now(), d.views.Current()
	if !published.Unchanged.Nodes {
		d.nodes = max(1, current.Nodes.Len())
		d.updateZoneNodes(current)
		for _, b := range d.budgets {
			b.share(d.options, d.nodes)
		}
		d.permits.SetNodes(now, registeredNodes(current))
	}
	if !published.Unchanged.Nodes || !published.Unchanged.Table {
		d.updateServiceConfig(now, current)
	}
	if !published.Unchanged.Evacuations {
		d.updateEvacuations(now, current)
	}
	d.updateServers(now, current, published.Changed)
	d.updateColdRanges(now, current)
	for service := range d.waiting {
		d.serveWaiters(service)
	}
}

// connectionFraction is the fraction of a server's connections that nodes use for requests.
// The rest is left for orders (grants and releases of keys) and health checks.
const connectionFraction = 0.8

// connectionShares returns this node's share of the connections that each server of a
// service accepts from all nodes, and its share at servers whose home it is. 0 means
// unbounded.
func (d *Dispatcher) connectionShares(current *view.View, name string) (share, homeShare int) {
	if current.Table == nil {
		return 0, 0
	}
	service, known := current.Table.Service(name)
	if !known || service.MaxConnections <= 0 {
		return 0, 0
	}
	all := connectionFraction * float64(service.MaxConnections)
	if d.handoffSender == nil {
		return max(1, int(all/float64(d.nodes))), 0
	}
	return max(1, int((1-homeConnectionFraction)*all/float64(d.nodes))), max(1, int(homeConnectionFraction*all))
}

// Run performs the periodic work until the context ends: it probes servers, refills the
// retry budgets, serves waiting requests and drops expired state.
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
		d.probeColdServers(ctx)
		d.probeContact(ctx)
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
		d.serveWaiters(service)
	}
	if !prune {
		return
	}
	for _, s := range d.pooled {
		s.pool.Prune(now)
	}
	d.reopenLapsed(now)
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
