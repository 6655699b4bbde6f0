package quota

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/tenants"
)

const (
	// ReportPause is the pause between two reports to a home if no request waits for one.
	// What a tenant that turns busy uses in it is bounded by what was given ahead.
	ReportPause = 100 * time.Millisecond
	// homeTimeout is how long a home may take to answer: above the pauses of a node whose
	// share of a processor is used up for a tenth of a second. Requests wait for it.
	homeTimeout = 200 * time.Millisecond
	// lostFor is for how long a home that did not answer is not asked again.
	lostFor = 500 * time.Millisecond
	// holdFor is how long a request waits at most for room that comes by itself: callers'
	// requests come unevenly, and one that a moment decides is better served than sent back.
	holdFor = 100 * time.Millisecond
)

// Use is a report of one tenant.
type Use struct {
	Tenant string
	Report
}

// Answer is the home's answer to it.
type Answer struct {
	Grant
	// NotHome is true if the node that was asked is not the tenant's home.
	NotHome bool
}

// Caller reports to other nodes.
type Caller interface {
	// Report returns an answer for each use, or an error if the home may not have taken
	// the reports in.
	Report(ctx context.Context, address string, uses []Use) ([]Answer, error)
}

// Decision is what is decided of a request.
type Decision struct {
	Admitted bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
	// Detail says what the decision rests on.
	Detail string
}

// Limiter lets requests through as far as their tenants' limits allow over all nodes. It
// is safe for concurrent use.
type Limiter struct {
	self      string
	caller    Caller
	keeper    *Keeper
	logger    *zap.Logger
	startedAt time.Time

	mutex     sync.Mutex
	tolerance Tolerance
	directory *tenants.Directory
	nodes     []Node
	homes     map[string]Node
	shares    map[string]*Share
	links     map[string]*link
}

// NewLimiter returns the limiter of a node, which keeps the accounts of the tenants whose
// home it is with keeper.
func NewLimiter(self string, caller Caller, keeper *Keeper, tolerance Tolerance, logger *zap.Logger) *Limiter {
	return &Limiter{
		self: self, caller: caller, keeper: keeper, tolerance: tolerance, logger: logger, startedAt: time.Now(),
		homes: make(map[string]Node), shares: make(map[string]*Share), links: make(map[string]*link),
	}
}

func (l *Limiter) now() time.Duration { return time.Since(l.startedAt) }

// SetTolerance replaces the tolerance.
func (l *Limiter) SetTolerance(tolerance Tolerance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tolerance = tolerance
	l.own()
}

// Follow takes in the tenants in force and the registered nodes.
func (l *Limiter) Follow(directory *tenants.Directory, nodes []Node) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.directory, l.nodes = directory, nodes
	for name := range l.shares {
		tenant := directory.ByName(name)
		if tenant == nil {
			delete(l.shares, name)
			continue
		}
		l.shares[name].SetLimit(tenant.Limit)
	}
	before, candidates := l.homes, strongest(nodes, mostHomes)
	l.homes = make(map[string]Node, len(directory.All()))
	for name, tenant := range directory.All() {
		home, found := homeOf(name, candidates)
		if !found || tenant.Limit.Unlimited() {
			continue
		}
		l.homes[name] = home
		if share := l.shares[name]; share != nil && before[name] != home {
			share.HomeChanged()
		}
	}
	l.own()
}

// Unused reports whether the limiter knows of no tenants.
func (l *Limiter) Unused() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.directory == nil || l.directory.Empty()
}

// own tells the keeper whose home this node is. The caller holds the mutex.
func (l *Limiter) own() {
	limits := make(map[string]tenants.Limit)
	for name, home := range l.homes {
		if home.Name == l.self {
			limits[name] = l.directory.ByName(name).Limit
		}
	}
	l.keeper.Own(limits, l.tolerance)
}

// Admit decides whether a tenant's request may go. It waits for the tenant's home if this
// node may let none through by itself.
func (l *Limiter) Admit(ctx context.Context, tenant *tenants.Tenant) Decision {
	if tenant.Limit.Unlimited() {
		return Decision{Admitted: true}
	}
	l.mutex.Lock()
	now := l.now()
	share := l.share(now, tenant)
	home, found := l.homes[tenant.Name]
	if share.TakeAhead(now) {
		if found {
			l.link(home).report(tenant.Name)
		}
		l.mutex.Unlock()
		decisionsTotal.WithLabelValues("ahead").Inc()
		return Decision{Admitted: true}
	}
	if !found || now < l.link(home).lostUntil {
		decision := l.alone(now, share, home)
		l.mutex.Unlock()
		return decision
	}
	w := &waiter{tenant: tenant.Name, since: now, decided: make(chan Decision, 1)}
	l.link(home).ask(w)
	l.mutex.Unlock()
	select {
	case decision := <-w.decided:
		return decision
	case <-ctx.Done():
		return l.leave(w)
	}
}

// leave gives up a request whose caller does not wait any more.
func (l *Limiter) leave(w *waiter) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w.left = true
	select {
	case decision := <-w.decided:
		if share := l.shares[w.tenant]; decision.Admitted && share != nil {
			share.GiveBack()
		}
	default:
	}
	return Decision{Detail: "the caller left", RetryAfter: LongestReturn}
}

// GiveBack tells that a request that was let through did not run.
func (l *Limiter) GiveBack(tenant *tenants.Tenant) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	share, home := l.shares[tenant.Name], l.homes[tenant.Name]
	if share == nil || tenant.Limit.Unlimited() {
		return
	}
	share.GiveBack()
	if home.Name != "" {
		l.link(home).report(tenant.Name)
	}
}

// alone decides without the tenant's home. The caller holds the mutex.
func (l *Limiter) alone(now time.Duration, share *Share, home Node) Decision {
	admitted, after := share.TakeAlone(now, len(l.nodes))
	if admitted {
		decisionsTotal.WithLabelValues("alone").Inc()
		return Decision{Admitted: true}
	}
	decisionsTotal.WithLabelValues("refused alone").Inc()
	return Decision{RetryAfter: after, Detail: fmt.Sprintf("node %q, which keeps the account, does not answer", home.Name)}
}

// share returns what this node lets through for a tenant. The caller holds the mutex.
func (l *Limiter) share(now time.Duration, tenant *tenants.Tenant) *Share {
	known := l.shares[tenant.Name]
	if known == nil {
		known = NewShare(now, tenant.Limit)
		l.shares[tenant.Name] = known
	}
	return known
}

// link returns what connects this node to a home. The caller holds the mutex.
func (l *Limiter) link(home Node) *link {
	known := l.links[home.Name]
	if known == nil || known.home != home {
		known = newLink(l, home)
		l.links[home.Name] = known
	}
	return known
}

// call reports to a home, which may be this node.
func (l *Limiter) call(home Node, uses []Use) ([]Answer, error) {
	if home.Name == l.self {
		return l.Answer(l.self, uses), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), homeTimeout)
	defer cancel()
	return l.caller.Report(ctx, home.Address, uses)
}

// Answer answers a node's reports, as the home of their tenants.
func (l *Limiter) Answer(node string, uses []Use) []Answer {
	answers := make([]Answer, 0, len(uses))
	for _, use := range uses {
		grant, isHome := l.keeper.Take(use.Tenant, node, use.Report)
		answers = append(answers, Answer{Grant: grant, NotHome: !isHome})
	}
	return answers
}
