package quota

import (
	"context"
	"time"

	"github.com/micahaven/micahaven/internal/tenants"
)

// A limit may be observed instead of configured: the server that it protects announces it in
// its responses to any node at any time, and may withdraw it. Nodes converge on the newest
// observation by its age: each report to the home node carries the newest observation of the
// reporting node, each response the newest one of the home node, and both sides keep the
// newer one.

// observationTTL is how long an observation holds without being confirmed. A server that
// receives no requests for that long may have changed its limit, and announces the new one in
// its next response.
const observationTTL = 2 * time.Minute

// minObservedRate is the lowest rate of an observed limit, in requests per second. A server
// that announces a limit of zero still gets an occasional request, because only a response can
// show that it accepts more again.
const minObservedRate = 0.1

// Observation is an observed limit, as it is sent between nodes.
type Observation struct {
	// Limited is false if the server has withdrawn its limit.
	Limited bool
	// Rate is in requests per second.
	Rate float64
	// Age is the time since the observation.
	Age time.Duration
}

// timedObservation is an observed limit with the time of the observation by this node's clock.
type timedObservation struct {
	Limited    bool
	Rate       float64
	observedAt time.Duration
}

func (o timedObservation) limit() tenants.Limit {
	return tenants.Limit{Rate: max(o.Rate, minObservedRate)}
}

func (o timedObservation) withAge(now time.Duration) Observation {
	return Observation{Limited: o.Limited, Rate: o.Rate, Age: now - o.observedAt}
}

// Observe records an observed limit, and reports whether it differs from the one known before.
func (l *Limiter) Observe(name string, reported Observation) bool {
	if !reported.Limited && l.inForce.Load() == 0 {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.observe(l.now(), name, reported)
}

// Observed returns the observed limit of a name in requests per second; false if it has none.
func (l *Limiter) Observed(name string) (rate float64, inForce bool) {
	if l.inForce.Load() == 0 {
		return 0, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.observed[name]
	if !known.Limited || l.now()-known.observedAt > observationTTL {
		return 0, false
	}
	return known.limit().Rate, true
}

// AdmitObserved decides like Admit on a request that counts against an observed limit.
func (l *Limiter) AdmitObserved(ctx context.Context, name string) Decision {
	rate, limited := l.Observed(name)
	if !limited {
		return Decision{Admitted: true}
	}
	return l.Admit(ctx, name, tenants.Limit{Rate: rate})
}

// mergeObservation records another node's observation and returns the newest one known.
func (l *Limiter) mergeObservation(name string, reported Observation) Observation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.observe(now, name, reported)
	known, present := l.observed[name]
	if !present {
		return reported
	}
	return known.withAge(now)
}

// currentObservation returns what is known of the observed limit of a name; nil if it was never
// observed. The caller holds the mutex.
func (l *Limiter) currentObservation(now time.Duration, name string) *Observation {
	known, present := l.observed[name]
	if !present {
		return nil
	}
	current := known.withAge(now)
	return &current
}

// observe records an observed limit unless a newer observation is known, and reports whether
// the limit differs from the one known before. The caller holds the mutex.
func (l *Limiter) observe(now time.Duration, name string, reported Observation) bool {
	known, present := l.observed[name]
	observedAt := now - reported.Age
	if present && observedAt <= known.observedAt {
		return false
	}
	if !present && !reported.Limited {
		return false
	}
	latest := timedObservation{Limited: reported.Limited, Rate: reported.Rate, observedAt: observedAt}
	l.observed[name] = latest
	if present && known.Limited == reported.Limited && known.Rate == reported.Rate {
		return false
	}
	l.dropExpiredObservations(now)
	if quota := l.localQuotas[name]; quota != nil && reported.Limited {
		quota.SetLimit(latest.limit())
	}
	l.applyObservedLimit(name, reported.Limited)
	return true
}

// dropExpiredObservations drops observations older than observationTTL. The caller holds the
// mutex.
func (l *Limiter) dropExpiredObservations(now time.Duration) {
	for name, known := range l.observed {
		if now-known.observedAt <= observationTTL {
			continue
		}
		delete(l.observed, name)
		delete(l.localQuotas, name)
		delete(l.homeByName, name)
	}
}

// applyObservedLimit selects the home node of a name whose limit has changed, and counts the
// observed limits in force. The caller holds the mutex.
func (l *Limiter) applyObservedLimit(name string, inForce bool) {
	delete(l.homeByName, name)
	if home, found := homeOf(name, l.homeCandidates); found && inForce {
		l.homeByName[name] = home
	}
	count := int32(0)
	for _, known := range l.observed {
		if known.Limited {
			count++
		}
	}
	l.inForce.Store(count)
	l.updateAccounts()
}
