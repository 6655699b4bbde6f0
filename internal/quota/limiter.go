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
	// ReportInterval is the time between two reports to a home node while no request waits for
	// one. If demand rises within it, the prefetched tokens bound what is admitted.
	ReportInterval = 100 * time.Millisecond
	// reportTimeout is how long a home node may take to answer a report. It is longer than the
	// pauses of a node that has used up its CPU share for a tenth of a second, and short
	// because requests wait for the response.
	reportTimeout = 200 * time.Millisecond
	// unreachableRetryDelay is how long no reports are sent to a home node that did not answer.
	unreachableRetryDelay = 500 * time.Millisecond
	// maxWait is how long a request waits at most for tokens to become available. Requests
	// arrive unevenly, and a short wait is better for the client than a refusal.
	maxWait = 100 * time.Millisecond
)

// NamedReport is a report on one named limit: that of a tenant, or of a server that announced one.
type NamedReport struct {
	Name string
	Report
	// Observed is this node's latest observation of the limit; nil for a configured limit,
	// which every node reads from the configuration.
	Observed *Observation
}

// Answer is the home node's response to a report on one named limit.
type Answer struct {
	Grant
	// NotHome is true if the node that was asked is not the home node of the limit.
	NotHome bool
	// Observed is the home node's latest observation; nil for a configured limit.
	Observed *Observation
}

// Transport sends reports to other nodes.
type Transport interface {
	// Report returns one response per report. An error means that the home node may not have
	// processed the reports.
	Report(ctx context.Context, address string, uses []NamedReport) ([]Answer, error)
}

// Decision is the decision on one request.
type Decision struct {
	Admitted bool
	// RetryAfter is the delay after which the client should retry if the request is not
	// admitted.
	RetryAfter time.Duration
	// Detail gives the reason for a refusal.
	Detail string
}

// Limiter admits requests within limits that hold across all nodes. Each limit has a name. It
// is either configured, or observed from a server's responses until a newer observation
// replaces it. Limiter is safe for concurrent use.
type Limiter struct {
	kind         string
	self         string
	transport    Transport
	accountStore *AccountStore
	logger       *zap.Logger
	// clock keeps running while the machine is suspended, because prefetched tokens expire at
	// the home node during that time too.
	clock     clock.Clock
	startedAt time.Duration
	// inForce is the number of observed limits in force.
	inForce atomic.Int32

	mutex      sync.Mutex
	tolerance  Tolerance
	configured map[string]tenants.Limit
	observed   map[string]timedObservation
	nodes      []Node
	// homeCandidates are the nodes among which home nodes are selected.
	homeCandidates []Node
	homeByName     map[string]Node
	localQuotas    map[string]*LocalQuota
	homeClients    map[string]*homeClient
}

// NewLimiter returns a node's limiter for limits of one kind, which labels its metrics and
// logs. accountStore holds the accounts of the limits for which this node is the home node.
func NewLimiter(kind, self string, transport Transport, accountStore *AccountStore, tolerance Tolerance, logger *zap.Logger) *Limiter {
	return &Limiter{
		kind: kind, self: self, transport: transport, accountStore: accountStore, tolerance: tolerance, logger: logger, clock: clock.Boot, startedAt: clock.Boot(),
		observed:   make(map[string]timedObservation),
		homeByName: make(map[string]Node), localQuotas: make(map[string]*LocalQuota), homeClients: make(map[string]*homeClient),
	}
}

func (l *Limiter) now() time.Duration { return l.clock() - l.startedAt }

func (l *Limiter) SetTolerance(tolerance Tolerance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tolerance = tolerance
	l.updateAccounts()
}

// Update replaces the configured limits and the registered nodes. configured has no entries for
// names without a limit.
func (l *Limiter) Update(configured map[string]tenants.Limit, nodes []Node) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.configured, l.nodes, l.homeCandidates = configured, nodes, largestByCPUShare(nodes, maxHomes)
	for name, quota := range l.localQuotas {
		limit, known := l.limit(name)
		if !known {
			delete(l.localQuotas, name)
			continue
		}
		quota.SetLimit(limit)
	}
	previous := l.homeByName
	l.homeByName = make(map[string]Node, len(configured))
	for name := range l.limits() {
		home, found := homeOf(name, l.homeCandidates)
		if !found {
			continue
		}
		l.homeByName[name] = home
		if quota := l.localQuotas[name]; quota != nil && previous[name] != home {
			quota.HomeChanged()
		}
	}
	l.updateAccounts()
}

// limits iterates over all limits in force. The caller holds the mutex.
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

// Unused reports whether no limits are configured.
func (l *Limiter) Unused() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.configured) == 0
}

// updateAccounts passes the limits for which this node is the home node to the account store.
// The caller holds the mutex.
func (l *Limiter) updateAccounts() {
	limits := make(map[string]tenants.Limit)
	for name, limit := range l.limits() {
		if l.homeByName[name].Name == l.self {
			limits[name] = limit
		}
	}
	l.accountStore.SetLimits(limits, l.tolerance)
}

// Admit decides whether a request that counts against a limit may be sent. Without prefetched
// tokens it waits for the limit's home node. A request whose client has disconnected is not
// admitted and uses no token.
func (l *Limiter) Admit(ctx context.Context, name string, limit tenants.Limit) Decision {
	if limit.Unlimited() {
		return Decision{Admitted: true}
	}
	decision := l.decide(ctx, name, limit)
	// A select between a decision and the end of ctx picks either if both are ready.
	if decision.Admitted && ctx.Err() != nil {
		l.GiveBack(name)
		return clientLeft
	}
	return decision
}

// clientLeft is the decision on a request whose client has disconnected.
var clientLeft = Decision{Detail: "the caller left", RetryAfter: MaxRetryAfter}

func (l *Limiter) decide(ctx context.Context, name string, limit tenants.Limit) Decision {
	l.mutex.Lock()
	now := l.now()
	localQuota := l.localQuota(now, name, limit)
	home, found := l.homeByName[name]
	if localQuota.TakePrefetched(now) {
		if found {
			l.homeClient(home).markUnreported(name)
		}
		l.mutex.Unlock()
		l.countDecisions("ahead", 1)
		return Decision{Admitted: true}
	}
	if !found || now < l.homeClient(home).unreachableUntil {
		decision := l.decideWithoutHome(now, localQuota, home)
		l.mutex.Unlock()
		return decision
	}
	w := &waiter{name: name, enqueuedAt: now, result: make(chan Decision, 1)}
	l.homeClient(home).enqueue(w)
	l.mutex.Unlock()
	select {
	case decision := <-w.result:
		return decision
	case <-ctx.Done():
		return l.abandon(w)
	}
}

// abandon withdraws a waiting request whose client has disconnected. If it has been admitted in
// the meantime, its token is given back.
func (l *Limiter) abandon(w *waiter) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w.abandoned = true
	select {
	case decision := <-w.result:
		if decision.Admitted {
			l.giveBack(w.name)
		}
	default:
	}
	return clientLeft
}

// GiveBack returns the token of an admitted request that did not run.
func (l *Limiter) GiveBack(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.giveBack(name)
}

// giveBack returns a token and schedules a report, without which the home node would keep the
// token from other nodes. The caller holds the mutex.
func (l *Limiter) giveBack(name string) {
	quota, home := l.localQuotas[name], l.homeByName[name]
	if quota == nil {
		return
	}
	quota.GiveBack()
	if home.Name != "" {
		l.homeClient(home).markUnreported(name)
	}
}

func (l *Limiter) countDecisions(decision string, number int) {
	decisionsTotal.WithLabelValues(l.kind, decision).Add(float64(number))
}

// decideWithoutHome decides on a request while the home node is unreachable or unknown. The
// caller holds the mutex.
func (l *Limiter) decideWithoutHome(now time.Duration, quota *LocalQuota, home Node) Decision {
	admitted, retryAfter := quota.TakeWithoutHome(now, len(l.nodes))
	if admitted {
		l.countDecisions("alone", 1)
		return Decision{Admitted: true}
	}
	l.countDecisions("refused alone", 1)
	return Decision{RetryAfter: retryAfter, Detail: fmt.Sprintf("node %q, which keeps the account, does not answer", home.Name)}
}

// localQuota returns this node's quota state for a name, creating it if necessary. The caller
// holds the mutex.
func (l *Limiter) localQuota(now time.Duration, name string, limit tenants.Limit) *LocalQuota {
	quota := l.localQuotas[name]
	if quota == nil {
		quota = NewLocalQuota(now, limit)
		l.localQuotas[name] = quota
	}
	return quota
}

// homeClient returns the client for a home node, creating it if the node is new or has changed.
// The caller holds the mutex.
func (l *Limiter) homeClient(home Node) *homeClient {
	client := l.homeClients[home.Name]
	if client == nil || client.home != home {
		client = newHomeClient(l, home)
		l.homeClients[home.Name] = client
	}
	return client
}

// sendReports sends reports to a home node, which may be this node.
func (l *Limiter) sendReports(home Node, reports []NamedReport) ([]Answer, error) {
	if home.Name == l.self {
		return l.Answer(l.self, reports), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return l.transport.Report(ctx, home.Address, reports)
}

// Answer processes another node's reports, as the home node of the limits.
func (l *Limiter) Answer(node string, reports []NamedReport) []Answer {
	answers := make([]Answer, 0, len(reports))
	for _, report := range reports {
		answers = append(answers, l.handleReport(node, report))
	}
	return answers
}

func (l *Limiter) handleReport(node string, report NamedReport) Answer {
	var observed *Observation
	if report.Observed != nil {
		known := l.mergeObservation(report.Name, *report.Observed)
		if !known.Limited {
			return Answer{Grant: Grant{Granted: report.Waiting, Calm: true}, Observed: &known}
		}
		observed = &known
	}
	grant, isHome := l.accountStore.HandleReport(report.Name, node, report.Report)
	return Answer{Grant: grant, NotHome: !isHome, Observed: observed}
}
