package quota

import (
	"context"
	"time"

	"github.com/micahaven/micahaven/internal/tenants"
)

// A limit may be observed instead of configured: whom it protects tells it to any node, at
// any time, and may take it back. Nodes agree by the age of what they observed: each report
// to the home carries the newest that the node knows, each answer the newest that the home
// knows, and the newer one counts.

// observedMemory is for how long an observation counts that nothing has confirmed. Whoever
// is not asked in that time may have changed its mind, and says so with its next answer.
const observedMemory = 2 * time.Minute

// leastObservedRate is the least rate of an observed limit, in requests a second. Who wants
// nothing at all is asked now and then all the same, because nothing but an answer tells
// that it wants more.
const leastObservedRate = 0.1

// Observation is an observed limit.
type Observation struct {
	// Limited is false if there is no limit any more.
	Limited bool
	// Rate is in requests a second.
	Rate float64
	// Age is how long ago that was observed.
	Age time.Duration
}

// observation is what a node knows of an observed limit, by its own clock.
type observation struct {
	Limited bool
	Rate    float64
	at      time.Duration
}

func (o observation) limit() tenants.Limit {
	return tenants.Limit{Rate: max(o.Rate, leastObservedRate)}
}

func (o observation) aged(now time.Duration) Observation {
	return Observation{Limited: o.Limited, Rate: o.Rate, Age: now - o.at}
}

// Observe takes in an observed limit, and reports whether it differs from what was known.
func (l *Limiter) Observe(name string, told Observation) bool {
	if !told.Limited && l.limited.Load() == 0 {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.observe(l.now(), name, told)
}

// Observed returns the observed limit of a name, in requests a second; false if it has none.
func (l *Limiter) Observed(name string) (rate float64, limited bool) {
	if l.limited.Load() == 0 {
		return 0, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.observed[name]
	if !known.Limited || l.now()-known.at > observedMemory {
		return 0, false
	}
	return known.limit().Rate, true
}

// AdmitObserved decides whether a request may go that counts for a name with an observed
// limit, like Admit.
func (l *Limiter) AdmitObserved(ctx context.Context, name string) Decision {
	rate, limited := l.Observed(name)
	if !limited {
		return Decision{Admitted: true}
	}
	return l.Admit(ctx, name, tenants.Limit{Rate: rate})
}

// compare takes in what another node observed and returns the newest that is known.
func (l *Limiter) compare(name string, told Observation) Observation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.observe(now, name, told)
	known, present := l.observed[name]
	if !present {
		return told
	}
	return known.aged(now)
}

// observation returns what is known of the observed limit of a name; nil if it was never
// observed. The caller holds the mutex.
func (l *Limiter) observation(now time.Duration, name string) *Observation {
	known, present := l.observed[name]
	if !present {
		return nil
	}
	told := known.aged(now)
	return &told
}

// observe takes in an observed limit unless a newer one is known, and reports whether it
// differs from what was known. The caller holds the mutex.
func (l *Limiter) observe(now time.Duration, name string, told Observation) bool {
	known, present := l.observed[name]
	at := now - told.Age
	if present && at <= known.at {
		return false
	}
	if !present && !told.Limited {
		return false
	}
	newest := observation{Limited: told.Limited, Rate: told.Rate, at: at}
	l.observed[name] = newest
	if present && known.Limited == told.Limited && known.Rate == told.Rate {
		return false
	}
	l.forgetOld(now)
	if share := l.shares[name]; share != nil && told.Limited {
		share.SetLimit(newest.limit())
	}
	l.settleObserved(name, told.Limited)
	return true
}

// forgetOld drops observations that count no more. The caller holds the mutex.
func (l *Limiter) forgetOld(now time.Duration) {
	for name, known := range l.observed {
		if now-known.at <= observedMemory {
			continue
		}
		delete(l.observed, name)
		delete(l.shares, name)
		delete(l.homes, name)
	}
}

// settleObserved finds the home of a name whose limit has changed, and counts the limits in
// force. The caller holds the mutex.
func (l *Limiter) settleObserved(name string, limited bool) {
	delete(l.homes, name)
	if home, found := homeOf(name, l.candidates); found && limited {
		l.homes[name] = home
	}
	count := int32(0)
	for _, known := range l.observed {
		if known.Limited {
			count++
		}
	}
	l.limited.Store(count)
	l.own()
}
