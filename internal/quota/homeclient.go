package quota

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// waiter is a request that waits for the home node's response.
type waiter struct {
	name       string
	enqueuedAt time.Duration
	// notBefore is the earliest time at which the request is reported again; 0 for at once.
	notBefore time.Duration
	// abandoned is true once the request's client has disconnected.
	abandoned bool
	result    chan Decision
}

// homeClient sends reports to one home node, with at most one call in flight. Each call carries
// everything that has accumulated since the previous one. It is guarded by Limiter.mutex.
type homeClient struct {
	limiter *Limiter
	home    Node
	// waiting holds the waiting requests, and unreported the names of the limits to report on.
	waiting    []*waiter
	unreported map[string]bool
	// running is true while a goroutine executes run; wake signals to it that a request has
	// been enqueued.
	running bool
	wake    chan struct{}
	// lastReportAt is the time of the last call to the home node. Until unreachableUntil the
	// home node is not called because it did not answer; 0 while it is reachable.
	lastReportAt, unreachableUntil time.Duration
}

func newHomeClient(limiter *Limiter, home Node) *homeClient {
	return &homeClient{limiter: limiter, home: home, unreported: make(map[string]bool), wake: make(chan struct{}, 1), lastReportAt: -ReportInterval}
}

// enqueue adds a waiting request. The caller holds the mutex.
func (c *homeClient) enqueue(w *waiter) {
	c.waiting = append(c.waiting, w)
	c.ensureRunning()
	select {
	case c.wake <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// markUnreported schedules a report on a limit. The caller holds the mutex.
func (c *homeClient) markUnreported(name string) {
	c.unreported[name] = true
	c.ensureRunning()
}

// ensureRunning starts run in a goroutine unless it is running already. The caller holds the
// mutex.
func (c *homeClient) ensureRunning() {
	if !c.running {
		c.running = true
		go c.run()
	}
}

// run sends reports until there is nothing left to report.
func (c *homeClient) run() {
	for {
		delay, pending := c.untilNextReport()
		if !pending {
			return
		}
		if delay > 0 {
			timer := time.NewTimer(delay)
			select {
			case <-c.wake:
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		reports, waiters, sentAt := c.collectReports()
		answers, err := c.limiter.sendReports(c.home, reports)
		c.handleAnswers(reports, waiters, sentAt, answers, err)
	}
}

// untilNextReport returns the delay until the next report; false if there is nothing to report,
// in which case run must return.
func (c *homeClient) untilNextReport() (time.Duration, bool) {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	now := c.limiter.now()
	if len(c.waiting) == 0 && len(c.unreported) == 0 {
		c.running = false
		return 0, false
	}
	next := c.lastReportAt + ReportInterval
	for _, w := range c.waiting {
		next = min(next, w.notBefore)
	}
	return max(next, c.unreachableUntil) - now, true
}

// collectReports returns the reports to send, the requests that wait for their responses by
// name of the limit, and the current time.
func (c *homeClient) collectReports() ([]NamedReport, map[string][]*waiter, time.Duration) {
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	now := c.limiter.now()
	c.lastReportAt = now
	waiters := make(map[string][]*waiter)
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waiter) bool {
		if w.notBefore > now {
			return false
		}
		if !w.abandoned {
			waiters[w.name] = append(waiters[w.name], w)
		}
		return true
	})
	names := c.unreported
	c.unreported = make(map[string]bool)
	for name := range waiters {
		names[name] = true
	}
	reports := make([]NamedReport, 0, len(names))
	for name := range names {
		quota := c.limiter.localQuotas[name]
		if quota == nil {
			resolve(waiters[name], admitUnlimited)
			continue
		}
		reports = append(reports, NamedReport{Name: name, Report: quota.Report(now, len(waiters[name])), Observed: c.limiter.currentObservation(now, name)})
	}
	return reports, waiters, now
}

// handleAnswers applies the home node's responses and decides on the requests that waited
// for them.
func (c *homeClient) handleAnswers(reports []NamedReport, waiters map[string][]*waiter, sentAt time.Duration, answers []Answer, err error) {
	l := c.limiter
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	if err == nil && len(answers) != len(reports) {
		err = errors.Newf("home node sent %d responses to %d reports", len(answers), len(reports))
	}
	if err != nil {
		c.markUnreachable(now, err)
	}
	for index, report := range reports {
		quota := l.localQuotas[report.Name]
		switch {
		case quota == nil:
			resolve(waiters[report.Name], admitUnlimited)
		case err != nil || answers[index].NotHome:
			// The unreported use stays counted and is reported later, to the node that is the
			// home node then.
			if !quota.FullyReported() && l.homeByName[report.Name].Name == c.home.Name {
				c.unreported[report.Name] = true
			}
			resolve(waiters[report.Name], func(*waiter) Decision { return l.decideWithoutHome(now, quota, c.home) })
		default:
			if observed := answers[index].Observed; observed != nil {
				// The age is taken relative to the time at which the report was sent. Relative
				// to the current time, an observation of this node that the home node echoes
				// would seem newer than it is.
				l.observe(sentAt, report.Name, *observed)
			}
			quota.ApplyGrant(sentAt, now, report.Report, answers[index].Grant)
			c.distribute(now, report.Name, quota, waiters[report.Name], answers[index].Grant)
		}
	}
}

// admitUnlimited admits a request whose limit has been removed in the meantime.
func admitUnlimited(*waiter) Decision { return Decision{Admitted: true} }

// markUnreachable records that the home node did not answer, and decides at once on the
// requests that are still waiting for it. The caller holds the mutex.
func (c *homeClient) markUnreachable(now time.Duration, cause error) {
	if c.unreachableUntil == 0 {
		c.limiter.logger.Warn("quota home node unreachable", zap.String("of", c.limiter.kind), zap.String("home", c.home.Name), zap.Error(cause))
	}
	c.unreachableUntil = now + unreachableRetryDelay
	homesLostTotal.Inc()
	resolve(c.waiting, func(w *waiter) Decision {
		if quota := c.limiter.localQuotas[w.name]; quota != nil {
			return c.limiter.decideWithoutHome(now, quota, c.home)
		}
		return admitUnlimited(w)
	})
	c.waiting = nil
}

// distribute admits as many requests as were granted, the oldest first. Requests whose clients
// left in the meantime are passed over, and tokens that no other request needs are given back. A
// request that would not exceed maxWait goes on waiting if tokens are expected in time; the others
// are refused. The caller holds the mutex.
func (c *homeClient) distribute(now time.Duration, name string, quota *LocalQuota, waiters []*waiter, grant Grant) {
	if c.unreachableUntil != 0 {
		c.limiter.logger.Info("quota home node reachable again", zap.String("of", c.limiter.kind), zap.String("home", c.home.Name))
		c.unreachableUntil = 0
	}
	granted := min(grant.Granted, len(waiters))
	waiters = slices.DeleteFunc(waiters, func(w *waiter) bool { return w.abandoned })
	for range granted - len(waiters) {
		c.limiter.giveBack(name)
	}
	granted = min(granted, len(waiters))
	resolve(waiters[:granted], admitGranted)
	c.limiter.countDecisions("granted", granted)
	interval := time.Duration(float64(time.Second) / quota.limit.Rate)
	for index, w := range waiters[granted:] {
		retryAfter := grant.RetryAfter + time.Duration(index)*interval
		if now+retryAfter <= w.enqueuedAt+maxWait {
			w.notBefore = now + retryAfter
			c.waiting = append(c.waiting, w)
			continue
		}
		c.limiter.countDecisions("refused", 1)
		w.result <- Decision{
			RetryAfter: min(retryAfter, MaxRetryAfter),
			Detail:     fmt.Sprintf("the limit of %g requests a second is used up", quota.limit.Rate),
		}
	}
}

// admitGranted admits a request that the home node granted.
func admitGranted(*waiter) Decision { return Decision{Admitted: true} }

// resolve delivers a decision to each waiting request whose client is still connected. For the
// others decide is not called, so that they use nothing. The caller holds the mutex.
func resolve(waiters []*waiter, decide func(*waiter) Decision) {
	for _, w := range waiters {
		if !w.abandoned {
			w.result <- decide(w)
		}
	}
}
