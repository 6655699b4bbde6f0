package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// call is one simulated request with all its attempts until it is answered or given up.
type call struct {
	*Request
	kind  string
	tries int
	// disconnects is when the caller disconnects without a response; zero if it never does.
	disconnects time.Time
	// nextAttempt is the time of the next attempt.
	nextAttempt time.Time
	// inTime and late report how the call was answered; refused reports that its last attempt
	// was refused.
	inTime, late, refused bool
	// queuedFor is the longest queueing time of an attempt that was refused.
	queuedFor time.Duration
}

// simulation simulates a load on one server in steps of 10 ms. Each step adds new arrivals,
// starts queued requests in the order of Order while slots are free, and refuses requests
// according to Decide.
type simulation struct {
	slots   int
	work    func(now time.Time) time.Duration
	pending []*call
	waiting []*call
	until   map[*call]time.Time
	busy    []time.Time
	returns RetrySchedule
}

const (
	step      = 10 * time.Millisecond
	tries     = 3
	usualWork = 200 * time.Millisecond
)

// simulate runs the simulation until all calls have ended.
func simulate(slots int, work func(now time.Time) time.Duration, calls []*call) {
	s := &simulation{slots: slots, work: work, pending: slices.Clone(calls), until: make(map[*call]time.Time)}
	for now := start; len(s.pending)+len(s.waiting) > 0; now = now.Add(step) {
		s.busy = slices.DeleteFunc(s.busy, func(end time.Time) bool { return !end.After(now) })
		s.waiting = slices.DeleteFunc(s.waiting, func(c *call) bool { return !c.disconnects.IsZero() && now.After(c.disconnects) })
		s.startRequests(now)
		s.decide(now, s.arrivals(now))
		s.startRequests(now)
	}
}

func requestOf(c *call) *Request { return c.Request }

func (s *simulation) arrivals(now time.Time) []*call {
	var arrived []*call
	s.pending = slices.DeleteFunc(s.pending, func(c *call) bool {
		if c.nextAttempt.After(now) {
			return false
		}
		c.tries++
		c.Arrived = now
		c.ExecutionDeadline = earlier(c.Deadline, now.Add(3*time.Second))
		arrived = append(arrived, c)
		return true
	})
	return arrived
}

func (s *simulation) startRequests(now time.Time) {
	Order(now, s.waiting, requestOf)
	for len(s.waiting) > 0 && len(s.busy) < s.slots {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		end := now.Add(s.work(now))
		s.busy = append(s.busy, end)
		c.inTime = !end.After(c.FirstAttempt.Add(c.Objective))
		c.late = !c.inTime
	}
}

func (s *simulation) decide(now time.Time, arrived []*call) {
	for _, c := range arrived {
		s.until[c] = now
		s.waiting = append(s.waiting, c)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(c *call) bool {
		if now.Before(s.until[c]) || (now.Equal(c.Arrived) && len(s.busy) < s.slots) {
			return false
		}
		queue := Queue{Ahead: Ahead(now, c.Request, s.waiting, requestOf), Concurrency: float64(s.slots), ServiceTime: usualWork}
		decision := Decide(now, c.Request, queue)
		s.until[c] = decision.Until
		if decision.Verdict == Wait {
			return false
		}
		c.queuedFor = max(c.queuedFor, now.Sub(c.Arrived))
		if c.tries == tries || now.After(c.Deadline) {
			c.refused = true
			return true
		}
		c.nextAttempt = now.Add(s.returns.After(now, c.Request, queue, 0, 0.5))
		s.pending = append(s.pending, c)
		return true
	})
}

// calls returns one call per interval over the given length of time.
func calls(kind string, priority int, from, length, interval time.Duration) []*call {
	var all []*call
	for after := from; after < from+length; after += interval {
		request := requestAt(after, priority, fmt.Sprint(kind, len(all)))
		request.Class = kind
		all = append(all, &call{Request: request, kind: kind, nextAttempt: request.Arrived})
	}
	return all
}

// fraction returns the fraction of the calls of a kind for which a predicate holds.
func fraction(calls []*call, kind string, holds func(*call) bool) float64 {
	of, all := 0.0, 0.0
	for _, c := range calls {
		if c.kind != kind {
			continue
		}
		all++
		if holds(c) {
			of++
		}
	}
	return of / all
}

func inTime(c *call) bool   { return c.inTime }
func answered(c *call) bool { return c.inTime || c.late }

func constantWork(time.Time) time.Duration { return usualWork }

// The simulated servers have a capacity of 20 requests per second.
func TestLoads(t *testing.T) {
	const seconds = 6 * time.Second
	burst := append(calls("urgent", 0, 0, seconds, 200*time.Millisecond), calls("burst", 1, 0, seconds, 21*time.Millisecond)...)
	repeating := calls("modest", 1, 0, seconds, 75*time.Millisecond)
	for _, c := range calls("repeating", 1, 0, seconds, 150*time.Millisecond) {
		for range 3 {
			again := *c
			request := *c.Request
			again.Request = &request
			repeating = append(repeating, &again)
		}
	}
	leaving := append(calls("stays", 1, 0, seconds, 75*time.Millisecond), calls("leaves", 1, 0, seconds, 75*time.Millisecond)...)
	for _, c := range leaving {
		if c.kind == "leaves" {
			c.disconnects = c.Arrived.Add(300 * time.Millisecond)
		}
	}
	slow := func(now time.Time) time.Duration {
		if since := now.Sub(start); since > 2*time.Second && since < 2400*time.Millisecond {
			return 3 * usualWork
		}
		return usualWork
	}
	for _, load := range []struct {
		name  string
		work  func(time.Time) time.Duration
		calls []*call
		kind  string
		holds func(*call) bool
		least float64
	}{
		{"burst of 2.4 times the capacity: a route of higher priority is in time", constantWork, burst, "urgent", inTime, 1},
		{"the bursting route gets the remaining capacity in time, not late", constantWork, burst, "burst", inTime, 0.33},
		{"a third of the calls is sent three times at once: the others are served", constantWork, repeating, "modest", inTime, 0.95},
		{"callers that disconnect free capacity", constantWork, leaving, "stays", answered, 0.95},
		{"server three times slower for 0.4 s: nearly all are in time", slow, calls("usual", 1, 0, seconds, 55*time.Millisecond), "usual", inTime, 0.95},
		{"server three times slower for 0.4 s: all are answered", slow, calls("usual", 1, 0, seconds, 55*time.Millisecond), "usual", answered, 1},
	} {
		if load.calls[0].tries == 0 {
			simulate(4, load.work, load.calls)
		}
		got := fraction(load.calls, load.kind, load.holds)
		t.Logf("%s: %.3f", load.name, got)
		if got < load.least {
			t.Errorf("%s: got %.2f, want at least %.2f", load.name, got, load.least)
		}
		for _, c := range load.calls {
			ended := answered(c) || c.refused || !c.disconnects.IsZero()
			if half := c.Deadline.Sub(c.FirstAttempt) / 2; !ended || c.queuedFor > half+step {
				t.Errorf("%s: a call ended: %v; queued for %v before a refusal", load.name, ended, c.queuedFor)
				break
			}
		}
	}
	if modest, often := fraction(repeating, "modest", answered), fraction(repeating, "repeating", answered); often > modest {
		t.Errorf("callers that send duplicates get %.2f of their requests answered, the others %.2f", often, modest)
	}
	if urgent, lesser := fraction(burst, "urgent", answered), fraction(burst, "burst", answered); lesser > urgent {
		t.Errorf("the route of lower priority is answered more often: %.2f, higher priority %.2f", lesser, urgent)
	}
}
