package quota

import (
	"context"
	"fmt"
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/clock"
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

// Use is a report on one name that has a limit: a tenant, or a server that named one.
type Use struct {
	Name string
	Report
	// Observed is the limit that the node knows of if it was observed; nil for one that is
	// configured, which every node knows.
	Observed *Observation
}

// Answer is the home's answer to it.
type Answer struct {
	Grant
	// NotHome is true if the node that was asked is not the home of the name.
	NotHome bool
	// Observed is what the home knows of an observed limit; nil for a configured one.
	Observed *Observation
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

// Limiter lets requests through as far as limits allow over all nodes. Each limit has a
// name; it is configured, or was observed and holds until something else is observed. It is
// safe for concurrent use.
type Limiter struct {
	kind   string
	self   string
	caller Caller
	keeper *Keeper
	logger *zap.Logger
	// clock runs while the machine is suspended: what was given ahead lapses for the home too.
	clock     clock.Clock
	startedAt time.Duration
	// limited is how many observed limits are in force.
	limited atomic.Int32

	mutex      sync.Mutex
	tolerance  Tolerance
	configured map[string]tenants.Limit
	observed   map[string]observation
	nodes      []Node
	// candidates are the nodes that may be homes.
	candidates []Node
	homes      map[string]Node
	shares     map[string]*Share
	links      map[string]*link
}

// NewLimiter returns the limiter of a node for a kind of names, which keeps the accounts of
// those whose home it is with keeper.
func NewLimiter(kind, self string, caller Caller, keeper *Keeper, tolerance Tolerance, logger *zap.Logger) *Limiter {
	return &Limiter{
		kind: kind, self: self, caller: caller, keeper: keeper, tolerance: tolerance, logger: logger, clock: clock.Boot, startedAt: clock.Boot(),
		observed: make(map[string]observation),
		homes:    make(map[string]Node), shares: make(map[string]*Share), links: make(map[string]*link),
	}
}

func (l *Limiter) now() time.Duration { return l.clock() - l.startedAt }

// SetTolerance replaces the tolerance.
func (l *Limiter) SetTolerance(tolerance Tolerance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tolerance = tolerance
	l.own()
}

// Follow takes in the configured limits and the registered nodes. Names without a limit are
// left out.
func (l *Limiter) Follow(configured map[string]tenants.Limit, nodes []Node) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.configured, l.nodes, l.candidates = configured, nodes, strongest(nodes, mostHomes)
	for name, share := range l.shares {
		limit, known := l.limit(name)
		if !known {
			delete(l.shares, name)
			continue
		}
		share.SetLimit(limit)
	}
	before := l.homes
	l.homes = make(map[string]Node, len(configured))
	for name := range l.limits() {
		home, found := homeOf(name, l.candidates)
		if !found {
			continue
		}
		l.homes[name] = home
		if share := l.shares[name]; share != nil && before[name] != home {
			share.HomeChanged()
		}
	}
	l.own()
}

// limits returns all limits in force. The caller holds the mutex.
func (l *Limiter) limits() iter.Seq2[string, tenants.Limit] {
	return func(yield func(string, tenants.Limit) bool) {
		for name, limit := range l.configured {
			if !yield(name, limit) {
				return
			}
		}
		for name, known := range l.observed {
			if known.Limited && !yield(name, known.limit()) {
				return
			}
		}
	}
}

// limit returns the limit of a name; false if it has none. The caller holds the mutex.
func (l *Limiter) limit(name string) (tenants.Limit, bool) {
	if limit, known := l.configured[name]; known {
		return limit, true
	}
	known := l.observed[name]
	return known.limit(), known.Limited
}

// Unused reports whether the limiter knows of no limits.
func (l *Limiter) Unused() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.configured) == 0
}

// own tells the keeper whose home this node is. The caller holds the mutex.
func (l *Limiter) own() {
	limits := make(map[string]tenants.Limit)
	for name, limit := range l.limits() {
		if l.homes[name].Name == l.self {
			limits[name] = limit
		}
	}
	l.keeper.Own(limits, l.tolerance)
}

// Admit decides whether a request that counts for a name with a limit may go. It waits for
// the home of the name if this node may let none through by itself.
func (l *Limiter) Admit(ctx context.Context, name string, limit tenants.Limit) Decision {
	if limit.Unlimited() {
		return Decision{Admitted: true}
	}
	l.mutex.Lock()
	now := l.now()
	share := l.share(now, name, limit)
	home, found := l.homes[name]
	if share.TakeAhead(now) {
		if found {
			l.link(home).report(name)
		}
		l.mutex.Unlock()
		l.count("ahead", 1)
		return Decision{Admitted: true}
	}
	if !found || now < l.link(home).lostUntil {
		decision := l.alone(now, share, home)
		l.mutex.Unlock()
		return decision
	}
	w := &waiter{name: name, since: now, decided: make(chan Decision, 1)}
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
		if share := l.shares[w.name]; decision.Admitted && share != nil {
			share.GiveBack()
		}
	default:
	}
	return Decision{Detail: "the caller left", RetryAfter: LongestReturn}
}

// GiveBack tells that a request that was let through did not run.
func (l *Limiter) GiveBack(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	share, home := l.shares[name], l.homes[name]
	if share == nil {
		return
	}
	share.GiveBack()
	if home.Name != "" {
		l.link(home).report(name)
	}
}

// count counts decisions.
func (l *Limiter) count(decision string, number int) {
	decisionsTotal.WithLabelValues(l.kind, decision).Add(float64(number))
}

// alone decides without the home. The caller holds the mutex.
func (l *Limiter) alone(now time.Duration, share *Share, home Node) Decision {
	admitted, after := share.TakeAlone(now, len(l.nodes))
	if admitted {
		l.count("alone", 1)
		return Decision{Admitted: true}
	}
	l.count("refused alone", 1)
	return Decision{RetryAfter: after, Detail: fmt.Sprintf("node %q, which keeps the account, does not answer", home.Name)}
}

// share returns what this node lets through for a name. The caller holds the mutex.
func (l *Limiter) share(now time.Duration, name string, limit tenants.Limit) *Share {
	known := l.shares[name]
	if known == nil {
		known = NewShare(now, limit)
		l.shares[name] = known
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

// Answer answers a node's reports, as the home of the names.
func (l *Limiter) Answer(node string, uses []Use) []Answer {
	answers := make([]Answer, 0, len(uses))
	for _, use := range uses {
		answers = append(answers, l.answer(node, use))
	}
	return answers
}

func (l *Limiter) answer(node string, use Use) Answer {
	var observed *Observation
	if use.Observed != nil {
		known := l.compare(use.Name, *use.Observed)
		if !known.Limited {
			return Answer{Grant: Grant{Granted: use.Waiting, Calm: true}, Observed: &known}
		}
		observed = &known
	}
	grant, isHome := l.keeper.Take(use.Name, node, use.Report)
	return Answer{Grant: grant, NotHome: !isHome, Observed: observed}
}
