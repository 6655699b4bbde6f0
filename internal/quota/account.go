// Package quota holds what all nodes together let through to limits: those that are
// configured for tenants, and those that servers in need name. Each limit has one home among
// the nodes, which keeps its account; the other nodes report what they used, ask for requests
// that wait, and may use a few ahead of the next report. docs/design/quotas.md and
// backpressure.md have the ways that were weighed.
//
// Account and Share are pure: time comes in as an argument, as the time since any moment
// by a clock that runs while the machine is suspended.
package quota

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/tenants"
)

// Tolerance is by how much a tenant's use may exceed its limit within a window.
type Tolerance struct {
	// Window is the length of the windows in which use is counted.
	Window time.Duration
	// Over is the part of what the limit allows in a window, and Slack a number of
	// requests, that may come on top.
	Over, Slack float64
}

const (
	// aheadPart is the part of the tolerance that nodes may use before they report it. As
	// much again is left for what is out when a home is lost and another one takes its
	// place, which does not know of it.
	aheadPart = 0.25
	// burstPart is the part of the tolerance that is added to the burst: the requests of a
	// small tenant that asks for less than its rate still come several at a time.
	burstPart = 0.25
)

// whole is the tolerance in requests.
func (t Tolerance) whole(limit tenants.Limit) float64 {
	return t.Over*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
}

// mostAhead is how many requests nodes may let through that the account does not know of.
func (t Tolerance) mostAhead(limit tenants.Limit) float64 { return aheadPart * t.whole(limit) }

const (
	// aheadFor is how long a node may use what it was given ahead: longer than the pauses
	// between a busy caller's requests at one node, and short, because what a node does not
	// use others lack.
	aheadFor = 2 * time.Second
	// LongestReturn bounds when a refused caller is told to come back. Later than that
	// nobody knows what the others ask.
	LongestReturn = 2 * time.Second
)

// Report is what a node tells of a tenant, and asks for.
type Report struct {
	// Used is how many requests it let through since its last report that the home took
	// in; negative if more were given back because they did not run.
	Used int
	// Waiting is how many requests wait for the answer.
	Waiting int
	// Wish is how many requests the node would like to use ahead.
	Wish int
}

// Grant is the answer to a report.
type Grant struct {
	// Granted is how many of the requests that wait may go.
	Granted int
	// Ahead is how many more the node may let through within aheadFor before it reports.
	Ahead int
	// Calm is true if the tenant asks for no more than its limit.
	Calm bool
	// RetryAfter is when the first of those that were not granted should ask again.
	RetryAfter time.Duration
}

// Account is a tenant's use at its home. Over any window it lets through at most what the
// limit allows and aheadPart and burstPart of the tolerance more.
type Account struct {
	limit     tenants.Limit
	tolerance Tolerance
	// level is how many requests may go now; negative by what nodes used ahead.
	level     float64
	updatedAt time.Duration
	// ahead holds, by node, what it may use that the account does not know of yet; all
	// nodes together at most mostAhead, so that it has few entries whatever their number.
	ahead    map[string]given
	aheadSum int
	// returnAt is when the next refused caller is told to come back.
	returnAt time.Duration
}

// given is what a node may use ahead.
type given struct {
	count int
	until time.Duration
}

// NewAccount returns an account with room for one request: what another home granted before
// is not known, and counts.
func NewAccount(now time.Duration, limit tenants.Limit, tolerance Tolerance) *Account {
	return &Account{limit: limit, tolerance: tolerance, level: 1, updatedAt: now, ahead: make(map[string]given)}
}

// SetLimit changes the limit. What is left of a larger burst lapses.
func (a *Account) SetLimit(now time.Duration, limit tenants.Limit, tolerance Tolerance) {
	a.refill(now)
	a.limit, a.tolerance = limit, tolerance
	a.level = min(a.level, a.most())
}

// most is the largest level: the burst and a part of the tolerance, and one request at least.
func (a *Account) most() float64 {
	return max(1, a.limit.Burst+burstPart*a.tolerance.whole(a.limit))
}

func (a *Account) refill(now time.Duration) {
	if now > a.updatedAt {
		a.level = min(a.most(), a.level+a.limit.Rate*(now-a.updatedAt).Seconds())
		a.updatedAt = now
	}
}

// Take takes a node's report in and answers it.
func (a *Account) Take(now time.Duration, node string, report Report) Grant {
	a.refill(now)
	a.forget(now, node)
	a.level = min(a.most(), a.level-float64(report.Used))
	grant := Grant{Granted: min(report.Waiting, a.whole())}
	a.level -= float64(grant.Granted)
	if grant.Granted == report.Waiting {
		grant.Ahead = a.give(now, node, report.Wish)
	} else {
		grant.RetryAfter = a.returnAfter(now, report.Waiting-grant.Granted)
	}
	grant.Calm = a.level >= a.most()/2
	return grant
}

// whole is how many requests may go now.
func (a *Account) whole() int { return max(0, int(math.Floor(a.level))) }

// forget takes back what a node that reports had ahead, and what lapsed at others.
func (a *Account) forget(now time.Duration, node string) {
	for name, g := range a.ahead {
		if name == node || now >= g.until {
			a.aheadSum -= g.count
			delete(a.ahead, name)
		}
	}
}

// give returns how many requests a node may use ahead.
func (a *Account) give(now time.Duration, node string, wish int) int {
	room := int(a.tolerance.mostAhead(a.limit)) - a.aheadSum
	count := max(0, min(wish, room, a.whole()))
	if count > 0 {
		a.ahead[node] = given{count: count, until: now + aheadFor}
		a.aheadSum += count
	}
	return count
}

// returnAfter returns when refused callers should come back: each a request's time after
// the one before, so that they do not come together.
func (a *Account) returnAfter(now time.Duration, count int) time.Duration {
	each := time.Duration(float64(time.Second) / a.limit.Rate)
	deficit := time.Duration(max(0, 1-a.level) * float64(each))
	first := max(now+deficit, a.returnAt)
	a.returnAt = min(first+time.Duration(count)*each, now+LongestReturn)
	return min(first-now, LongestReturn)
}
