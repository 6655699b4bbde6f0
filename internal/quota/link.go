package quota

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// waiter is a request that waits for the home's answer.
type waiter struct {
	name  string
	since time.Duration
	// askAt is when it is asked for again; 0 at once.
	askAt time.Duration
	// left is true once its caller does not wait any more.
	left    bool
	decided chan Decision
}

// link reports to one home: one call at a time, with all that has come up since the last.
// It is guarded by Limiter.mutex.
type link struct {
	limiter *Limiter
	home    Node
	// waiting are the requests that wait, and unreported the names of which something is to
	// be told.
	waiting    []*waiter
	unreported map[string]bool
	// running is true while a goroutine works on the link; wake tells it that a request
	// waits.
	running bool
	wake    chan struct{}
	// calledAt is when the home was last called, and lostUntil until when it is not
	// called because it did not answer.
	calledAt, lostUntil time.Duration
}

func newLink(limiter *Limiter, home Node) *link {
	return &link{limiter: limiter, home: home, unreported: make(map[string]bool), wake: make(chan struct{}, 1), calledAt: -ReportPause}
}

// ask adds a request that waits. The caller holds the mutex.
func (k *link) ask(w *waiter) {
	k.waiting = append(k.waiting, w)
	k.start()
	select {
	case k.wake <- struct{}{}:
	default:
		// It is awake already.
	}
}

// report notes that there is something to tell of a name. The caller holds the mutex.
func (k *link) report(name string) {
	k.unreported[name] = true
	k.start()
}

// start makes a goroutine work on the link. The caller holds the mutex.
func (k *link) start() {
	if !k.running {
		k.running = true
		go k.run()
	}
}

// run reports until there is nothing to tell.
func (k *link) run() {
	for {
		pause, more := k.due()
		if !more {
			return
		}
		if pause > 0 {
			timer := time.NewTimer(pause)
			select {
			case <-k.wake:
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		uses, asked, sentAt := k.collect()
		answers, err := k.limiter.call(k.home, uses)
		k.settle(uses, asked, sentAt, answers, err)
	}
}

// due returns how long it is until the next report; false if there is nothing to tell.
func (k *link) due() (time.Duration, bool) {
	k.limiter.mutex.Lock()
	defer k.limiter.mutex.Unlock()
	now := k.limiter.now()
	if len(k.waiting) == 0 && len(k.unreported) == 0 {
		k.running = false
		return 0, false
	}
	at := k.calledAt + ReportPause
	for _, w := range k.waiting {
		at = min(at, w.askAt)
	}
	return max(at, k.lostUntil) - now, true
}

// collect returns what is to be reported, and the requests that wait for the answer.
func (k *link) collect() ([]Use, map[string][]*waiter, time.Duration) {
	k.limiter.mutex.Lock()
	defer k.limiter.mutex.Unlock()
	now := k.limiter.now()
	k.calledAt = now
	asked := make(map[string][]*waiter)
	k.waiting = slices.DeleteFunc(k.waiting, func(w *waiter) bool {
		if w.askAt > now {
			return false
		}
		if !w.left {
			asked[w.name] = append(asked[w.name], w)
		}
		return true
	})
	names := k.unreported
	k.unreported = make(map[string]bool)
	for name := range asked {
		names[name] = true
	}
	uses := make([]Use, 0, len(names))
	for name := range names {
		share := k.limiter.shares[name]
		if share == nil {
			decide(asked[name], limitGone)
			continue
		}
		uses = append(uses, Use{Name: name, Report: share.Report(now, len(asked[name])), Observed: k.limiter.observation(now, name)})
	}
	return uses, asked, now
}

// settle takes the home's answers in and decides on the requests that waited.
func (k *link) settle(uses []Use, asked map[string][]*waiter, sentAt time.Duration, answers []Answer, err error) {
	l := k.limiter
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	if err == nil && len(answers) != len(uses) {
		err = errors.Newf("%d answers to %d reports", len(answers), len(uses))
	}
	if err != nil {
		k.lost(now, err)
	}
	for index, use := range uses {
		share := l.shares[use.Name]
		switch {
		case share == nil:
			decide(asked[use.Name], limitGone)
		case err != nil || answers[index].NotHome:
			// What was used is told later, to whoever is home then.
			if !share.Idle() && l.homes[use.Name].Name == k.home.Name {
				k.unreported[use.Name] = true
			}
			decide(asked[use.Name], func(*waiter) Decision { return l.alone(now, share, k.home) })
		default:
			if told := answers[index].Observed; told != nil {
				// By the moment of the report, so that what the node itself told does not
				// come back as something newer.
				l.observe(sentAt, use.Name, *told)
			}
			share.Answered(sentAt, now, use.Report, answers[index].Grant)
			k.divide(now, share, asked[use.Name], answers[index].Grant)
		}
	}
}

// limitGone decides on a request for a name that has no limit any more.
func limitGone(*waiter) Decision { return Decision{Admitted: true} }

// lost notes that the home did not answer. Requests that wait for room there wait no more.
// The caller holds the mutex.
func (k *link) lost(now time.Duration, cause error) {
	if k.lostUntil == 0 {
		k.limiter.logger.Warn("home of limits not reached", zap.String("of", k.limiter.kind), zap.String("home", k.home.Name), zap.Error(cause))
	}
	k.lostUntil = now + lostFor
	homesLostTotal.Inc()
	decide(k.waiting, func(w *waiter) Decision {
		if share := k.limiter.shares[w.name]; share != nil {
			return k.limiter.alone(now, share, k.home)
		}
		return limitGone(w)
	})
	k.waiting = nil
}

// divide lets as many go as were granted, the oldest first. One that has not waited for
// long waits on if there will be room in a moment. The caller holds the mutex.
func (k *link) divide(now time.Duration, share *Share, asked []*waiter, grant Grant) {
	if k.lostUntil != 0 {
		k.limiter.logger.Info("home of limits reached again", zap.String("of", k.limiter.kind), zap.String("home", k.home.Name))
		k.lostUntil = 0
	}
	granted := min(grant.Granted, len(asked))
	decide(asked[:granted], func(w *waiter) Decision {
		if w.left {
			share.GiveBack()
		}
		return Decision{Admitted: true}
	})
	k.limiter.count("granted", granted)
	each := time.Duration(float64(time.Second) / share.limit.Rate)
	for index, w := range asked[granted:] {
		after := grant.RetryAfter + time.Duration(index)*each
		if now+after <= w.since+holdFor {
			w.askAt = now + after
			k.waiting = append(k.waiting, w)
			continue
		}
		k.limiter.count("refused", 1)
		w.decided <- Decision{
			RetryAfter: min(after, LongestReturn),
			Detail:     fmt.Sprintf("the limit of %g requests a second is used up", share.limit.Rate),
		}
	}
}

// decide decides on requests that waited. The caller holds the mutex.
func decide(waiters []*waiter, decision func(*waiter) Decision) {
	for _, w := range waiters {
		w.decided <- decision(w)
	}
}
