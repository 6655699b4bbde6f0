package quota

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/tenants"
)

const (
	// rateAveragingTime is the time constant of the exponential mean of the rate at which a
	// node admits requests for a limit. It is long enough to cover several requests of most
	// tenants, and short compared with the time over which demand changes.
	rateAveragingTime = 5 * time.Second
	// prefetchHorizon is how much time, at its mean rate, a node wants to cover with prefetched
	// tokens: two report intervals.
	prefetchHorizon = 2 * ReportInterval
	// belowLimitFraction and atLimitFraction are the fractions of its mean rate at which a node
	// goes on admitting requests while the home node is unreachable. It is the full rate if the
	// demand was below the limit when the home node last answered. Otherwise the limit is used
	// up, and the nodes that still reach the home node use it too: with half of the nodes cut
	// off the sum stays within 1.3 times the rate, which the burst that a window allows can
	// absorb.
	belowLimitFraction = 1.0
	atLimitFraction    = 0.6
)

// LocalQuota is the state that one node keeps for a limit: its prefetched tokens, the use that
// it has yet to report, and the rate at which it may admit requests without the home node.
type LocalQuota struct {
	limit tenants.Limit
	// prefetched is the number of tokens that may be used until prefetchedUntil without asking
	// the home node.
	prefetched      int
	prefetchedUntil time.Duration
	// unreported is the number of requests admitted but not yet reported; negative if more were
	// given back.
	unreported int
	// belowLimit is whether the demand was below the limit according to the home node's last
	// response.
	belowLimit bool
	// meanRate is the mean rate at which this node admits requests, in requests per second, as
	// of meanRateAt.
	meanRate   float64
	meanRateAt time.Duration
	// fallbackTokens is the number of requests that may be admitted without the home node, as
	// of fallbackRefilledAt.
	fallbackTokens     float64
	fallbackRefilledAt time.Duration
}

// NewLocalQuota returns the state of a node that has not yet received a response from the home
// node.
func NewLocalQuota(now time.Duration, limit tenants.Limit) *LocalQuota {
	return &LocalQuota{limit: limit, meanRateAt: now, fallbackRefilledAt: now}
}

// SetLimit changes the limit. Tokens prefetched under a different limit are discarded.
func (q *LocalQuota) SetLimit(limit tenants.Limit) {
	if q.limit != limit {
		q.limit, q.prefetched = limit, 0
	}
}

// TakePrefetched admits a request with a prefetched token, if there is one.
func (q *LocalQuota) TakePrefetched(now time.Duration) bool {
	if q.prefetched <= 0 || now >= q.prefetchedUntil {
		return false
	}
	q.prefetched--
	q.unreported++
	q.countAdmitted(now)
	return true
}

// TakeWithoutHome reports whether a request is admitted while the home node is unreachable, and
// otherwise the delay until one can be. nodes is the number of nodes.
func (q *LocalQuota) TakeWithoutHome(now time.Duration, nodes int) (bool, time.Duration) {
	rate := q.fallbackRate(now, nodes)
	q.fallbackTokens = min(1, q.fallbackTokens+rate*(now-q.fallbackRefilledAt).Seconds())
	q.fallbackRefilledAt = now
	if q.fallbackTokens < 1 {
		wait := (1 - q.fallbackTokens) / rate
		return false, min(MaxRetryAfter, time.Duration(wait*float64(time.Second)))
	}
	q.fallbackTokens--
	q.unreported++
	q.countAdmitted(now)
	return true, 0
}

// fallbackRate is the rate at which requests are admitted without the home node, in requests
// per second: a fraction of the mean rate of this node, or atLimitFraction of an even share of
// the limit if that is more.
func (q *LocalQuota) fallbackRate(now time.Duration, nodes int) float64 {
	fraction := atLimitFraction
	if q.belowLimit {
		fraction = belowLimitFraction
	}
	evenShare := q.limit.Rate / float64(max(1, nodes))
	return max(fraction*q.rate(now), atLimitFraction*evenShare)
}

// HomeChanged discards the unreported use. The account at the new home node started when that
// of the old one ended, so it does not cover what was used before.
func (q *LocalQuota) HomeChanged() { q.unreported = 0 }

// GiveBack returns the token of a request that did not run. While the home node is unreachable,
// another request may be admitted instead.
func (q *LocalQuota) GiveBack() {
	q.unreported--
	q.fallbackTokens = min(1, q.fallbackTokens+1)
}

// FullyReported reports whether there is no use left to report.
func (q *LocalQuota) FullyReported() bool { return q.unreported == 0 }

// Report returns the report to send, on behalf of a number of waiting requests.
func (q *LocalQuota) Report(now time.Duration, waiting int) Report {
	prefetch := 1 + int(math.Ceil(q.rate(now)*prefetchHorizon.Seconds()))
	return Report{Used: q.unreported, Waiting: waiting, Wish: prefetch}
}

// ApplyGrant applies the response to a report that was sent at sentAt.
func (q *LocalQuota) ApplyGrant(sentAt, now time.Duration, report Report, grant Grant) {
	q.unreported -= report.Used
	q.belowLimit = grant.Calm
	// Requests admitted since the report was sent count against the tokens granted now.
	q.prefetched, q.prefetchedUntil = max(0, grant.Ahead-max(0, q.unreported)), sentAt+prefetchTTL
	for range grant.Granted {
		q.countAdmitted(now)
	}
}

// rate is the mean rate of admitted requests, in requests per second.
func (q *LocalQuota) rate(now time.Duration) float64 {
	return q.meanRate * math.Exp(-(now-q.meanRateAt).Seconds()/rateAveragingTime.Seconds())
}

func (q *LocalQuota) countAdmitted(now time.Duration) {
	q.meanRate = q.rate(now) + 1/rateAveragingTime.Seconds()
	q.meanRateAt = now
}
