// Package quota enforces rate limits across all nodes: limits configured for tenants, and
// limits that servers announce in their responses. The account of each limit is kept by one
// node, its home node. The other nodes report to the home node how many requests they admitted,
// ask it to admit the requests that are waiting, and prefetch a few tokens to admit further
// requests before the next report. docs/design/quotas.md and docs/design/backpressure.md
// compare the alternatives.
//
// Account and LocalQuota do no I/O and read no clock. Callers pass in the time as a duration
// since an arbitrary origin, measured by a clock that keeps running while the machine is
// suspended.
package quota

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/tenants"
)

// Tolerance is by how much the use of a limit may exceed it within a window.
type Tolerance struct {
	// Window is the length of the window over which use is counted.
	Window time.Duration
	// Over is a fraction of what the limit allows in a window, and Slack a number of requests;
	// the sum of both may be admitted on top of the limit.
	Over, Slack float64
}

const (
	// prefetchFraction is the fraction of the tolerance that nodes together may prefetch. The
	// same amount again is reserved for prefetched tokens that are outstanding when a home node
	// is lost, since the node that replaces it has no record of them.
	prefetchFraction = 0.25
	// burstFraction is the fraction of the tolerance that is added to the burst, because the
	// requests of a small tenant arrive several at a time even if it stays below its rate.
	burstFraction = 0.25
)

// excess is the number of requests above the limit that the tolerance allows in a window.
func (t Tolerance) excess(limit tenants.Limit) float64 {
	return t.Over*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
}

// maxPrefetched is the maximum number of prefetched tokens of all nodes together.
func (t Tolerance) maxPrefetched(limit tenants.Limit) float64 {
	return prefetchFraction * t.excess(limit)
}

const (
	// prefetchTTL is how long prefetched tokens are valid. It is longer than the gaps between a
	// busy client's requests at one node, and short because tokens that a node holds unused are
	// not available to the others.
	prefetchTTL = 2 * time.Second
	// MaxRetryAfter bounds the delay after which a refused client is asked to retry. The demand
	// of the other clients cannot be predicted any further ahead.
	MaxRetryAfter = 2 * time.Second
)

// Report is a node's report to the home node on one limit, and its request for tokens.
type Report struct {
	// Used is how many requests the node admitted since the last report that the home node
	// processed. It is negative if more requests were given back because they did not run.
	Used int
	// Waiting is how many requests wait for the response to this report.
	Waiting int
	// Wish is how many tokens the node would like to prefetch.
	Wish int
}

// Grant is the home node's response to a report.
type Grant struct {
	// Granted is how many of the waiting requests are admitted.
	Granted int
	// Ahead is how many tokens the node prefetches with this response. They are valid for
	// prefetchTTL, and requests admitted with them are included in the next report.
	Ahead int
	// Calm is true if the demand does not exceed the limit.
	Calm bool
	// RetryAfter is the delay after which the first waiting request that was not granted should
	// ask again.
	RetryAfter time.Duration
}

// Account is the token bucket of one limit, kept by its home node. In any window it admits at
// most what the limit allows plus prefetchFraction and burstFraction of the tolerance.
type Account struct {
	limit     tenants.Limit
	tolerance Tolerance
	// tokens is how many requests may be admitted now. It is negative after reports of
	// prefetched tokens that were used.
	tokens    float64
	updatedAt time.Duration
	// prefetched holds the outstanding prefetched tokens by node. Their sum is at most
	// maxPrefetched, so the map stays small however many nodes there are.
	prefetched      map[string]prefetchGrant
	prefetchedTotal int
	// nextRetryAt is the time at which the next refused client is asked to retry.
	nextRetryAt time.Duration
}

// prefetchGrant is a number of tokens that a node prefetched.
type prefetchGrant struct {
	count     int
	expiresAt time.Duration
}

// NewAccount returns an account with one token. What a previous home node granted is unknown
// here but still counts against the limit, so the bucket does not start full.
func NewAccount(now time.Duration, limit tenants.Limit, tolerance Tolerance) *Account {
	return &Account{limit: limit, tolerance: tolerance, tokens: 1, updatedAt: now, prefetched: make(map[string]prefetchGrant)}
}

// SetLimit changes the limit. Tokens beyond the new capacity are discarded.
func (a *Account) SetLimit(now time.Duration, limit tenants.Limit, tolerance Tolerance) {
	a.refill(now)
	a.limit, a.tolerance = limit, tolerance
	a.tokens = min(a.tokens, a.capacity())
}

// capacity is the maximum number of tokens: the burst plus burstFraction of the tolerance, but
// at least one.
func (a *Account) capacity() float64 {
	return max(1, a.limit.Burst+burstFraction*a.tolerance.excess(a.limit))
}

func (a *Account) refill(now time.Duration) {
	if now > a.updatedAt {
		a.tokens = min(a.capacity(), a.tokens+a.limit.Rate*(now-a.updatedAt).Seconds())
		a.updatedAt = now
	}
}

// HandleReport debits what a node reports as used and grants tokens in return.
func (a *Account) HandleReport(now time.Duration, node string, report Report) Grant {
	a.refill(now)
	a.reclaimPrefetched(now, node)
	a.tokens = min(a.capacity(), a.tokens-float64(report.Used))
	grant := Grant{Granted: min(report.Waiting, a.available())}
	a.tokens -= float64(grant.Granted)
	if grant.Granted == report.Waiting {
		grant.Ahead = a.prefetch(now, node, report.Wish)
	} else {
		grant.RetryAfter = a.retryAfter(now, report.Waiting-grant.Granted)
	}
	grant.Calm = a.tokens >= a.capacity()/2
	return grant
}

// available is the number of requests that may be admitted now.
func (a *Account) available() int { return max(0, int(math.Floor(a.tokens))) }

// reclaimPrefetched releases the prefetched tokens of the reporting node, whose report accounts
// for them, and those of other nodes that have expired.
func (a *Account) reclaimPrefetched(now time.Duration, node string) {
	for name, grant := range a.prefetched {
		if name == node || now >= grant.expiresAt {
			a.prefetchedTotal -= grant.count
			delete(a.prefetched, name)
		}
	}
}

// prefetch returns the number of tokens that a node may prefetch, and records them. They are
// debited only once the node reports them as used.
func (a *Account) prefetch(now time.Duration, node string, wanted int) int {
	room := int(a.tolerance.maxPrefetched(a.limit)) - a.prefetchedTotal
	count := max(0, min(wanted, room, a.available()))
	if count > 0 {
		a.prefetched[node] = prefetchGrant{count: count, expiresAt: now + prefetchTTL}
		a.prefetchedTotal += count
	}
	return count
}

// retryAfter returns the delay after which refused clients should retry. The times are spaced
// by the interval at which the rate allows one request, so that the clients do not all return
// at once.
func (a *Account) retryAfter(now time.Duration, count int) time.Duration {
	interval := time.Duration(float64(time.Second) / a.limit.Rate)
	deficit := time.Duration(max(0, 1-a.tokens) * float64(interval))
	first := max(now+deficit, a.nextRetryAt)
	a.nextRetryAt = min(first+time.Duration(count)*interval, now+MaxRetryAfter)
	return min(first-now, MaxRetryAfter)
}
