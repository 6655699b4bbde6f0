package dispatch

import (
	"context"
	"net/http"
	"sync"
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
	// Health reads which server gave a health answer, and for how long it warms up; nil
	// if no server tells.
	Health func(answer http.Header) (instance string, warmUp time.Duration)
	// Signals reads what a server asks of the nodes that send to it in an answer with a
	// status; nil if no server asks anything.
	Signals func(status int, answer http.Header) backpressure.Signals
}

// Dispatcher sends requests to the servers of the current view. It is safe for
// concurrent use.
type Dispatcher struct {
	headers Headers
	views   *view.Builder
	logger  *zap.Logger
	// link is this machine's, over which all requests to servers go.
	link *upstream.Link

	mutex   sync.Mutex
	options Options
	// servers are those of the view, and services what is known of those of each service
	// together; pooled are the servers to which there may be connections, and lapsed those
	// whose missing entry may come back.
	servers  map[discovery.ServerID]*server
	services map[string]*service
	pooled   map[discovery.ServerID]*server
	lapsed   map[discovery.ServerID]*server
	waiting  map[string][]*waiter
	budgets  map[string]*budget
	// returns holds, by service, when refused callers of undivided services come back;
	// those of owners of keys are with their servers.
	returns map[string]*schedule.Returns
	// firstTries holds, by route, what is known of when callers first asked.
	firstTries map[string]*schedule.FirstTries
	// usualTimes holds, by route, within what time answers usually come.
	usualTimes map[string]*schedule.Quantile
	// moving holds, by service and fence, ranges that are changing hands.
	moving  map[movingRange]time.Time
	samples map[string]*samples
	nodes   int
	// zone are the nodes of this node's zone.
	zone []homes.Node
	// rights are those to send to servers that warm up; copyAge says how new this node's
	// copy of the store is.
	rights  *warmup.Rights
	copyAge CopyAge
	// coldFound tells the other nodes of a server that a probe found cold.
	coldFound ColdFound
	// guard keeps requests that crash servers from them.
	guard Guard
	// limits keeps what servers get within the limits that they name, and signalled tells
	// the other nodes what servers ask of all of them.
	limits    ServerLimits
	signalled Signalled
	// probes bounds the probes that are on their way.
	probes chan struct{}
	// cold holds what is known of ranges that came without a handover, by service.
	cold   map[string]*coldRanges
	ending *ending.Ending
	// handover hands requests over to the homes of their servers; nil if this node sends
	// all of them itself.
	handover Handover
	// sizes are the mean sizes of answers, in bytes, by route.
	sizes map[string]float64
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

// New returns a dispatcher that follows views.
func New(options Options, views *view.Builder, logger *zap.Logger) *Dispatcher {
	d := &Dispatcher{
		headers:    options.Headers,
		options:    options,
		views:      views,
		logger:     logger,
		link:       upstream.NewLink(),
		servers:    make(map[discovery.ServerID]*server),
		services:   make(map[string]*service),
		pooled:     make(map[discovery.ServerID]*server),
		lapsed:     make(map[discovery.ServerID]*server),
		waiting:    make(map[string][]*waiter),
		budgets:    make(map[string]*budget),
		returns:    make(map[string]*schedule.Returns),
		usualTimes: make(map[string]*schedule.Quantile),
		firstTries: make(map[string]*schedule.FirstTries),
		moving:     make(map[movingRange]time.Time),
		samples:    make(map[string]*samples),
		cold:       make(map[string]*coldRanges),
		sizes:      make(map[string]float64),
		nodes:      1,
		rights:     warmup.NewRights(options.Node),
		copyAge:    func() (time.Duration, bool) { return 0, true },
		ending:     ending.New(),

		guard:     noGuard{},
		limits:    noLimits{},
		signalled: func(discovery.ServerID, Signal) {},
		coldFound: func(discovery.ServerID, time.Duration) {},
		probes:    make(chan struct{}, maxProbes),
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

// update takes in what a new view changes and lets waiting requests go on. Views may come
// in another order than they were published in, so that what is true now is taken from the
// newest one.
func (d *Dispatcher) update(published *view.View) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, current := time.Now(), d.views.Current()
	if !published.Unchanged.Nodes {
		d.nodes = max(1, current.Nodes.Len())
		d.followZone(current)
		for _, b := range d.budgets {
			b.share(d.options, d.nodes)
		}
		d.rights.SetNodes(now, registeredNodes(current))
	}
	if !published.Unchanged.Nodes || !published.Unchanged.Table {
		d.followServices(now, current)
	}
	if !published.Unchanged.Evacuations {
		d.followEvacuations(now, current)
	}
	d.updateServers(now, current, published.Changed)
	d.followColdRanges(now, current)
	for service := range d.waiting {
		d.pump(service)
	}
}

// connectionPart is the part of a server's connections that nodes use for
// requests; orders and health checks need some too.
const connectionPart = 0.8

// placesAt returns this node's part of the connections that a server of a service
// takes from all nodes together, and its part if it is the server's home; 0 means that
// there is no bound.
func (d *Dispatcher) placesAt(current *view.View, name string) (places, atHome int) {
	if current.Table == nil {
		return 0, 0
	}
	service, known := current.Table.Service(name)
	if !known || service.MaxConnections <= 0 {
		return 0, 0
	}
	all := connectionPart * float64(service.MaxConnections)
	if d.handover == nil {
		return max(1, int(all/float64(d.nodes))), 0
	}
	return max(1, int((1-homePart)*all/float64(d.nodes))), max(1, int(homePart*all))
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
		d.probeColdServers(ctx)
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
