package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// call is a caller's request: its tries until it is answered or gives up.
type call struct {
	*Request
	kind  string
	tries int
	// leaves is when the caller leaves without an answer; zero if it stays.
	leaves time.Time
	// back is when it comes (back).
	back time.Time
	// inTime and late tell how it was answered, refused that its last try was refused.
	inTime, late, refused bool
	// held is how long a try was held at most that was refused then.
	held time.Duration
}

// line plays a load against one server: every 10 ms it takes in who comes, lets the
// server take whom the order says, and refuses whom Decide says.
type line struct {
	slots   int
	work    func(now time.Time) time.Duration
	coming  []*call
	waiting []*call
	until   map[*call]time.Time
	busy    []time.Time
	returns Returns
}

const (
	step  = 10 * time.Millisecond
	tries = 3
	usual = 200 * time.Millisecond
)

// play runs a load until all calls have ended.
func play(slots int, work func(now time.Time) time.Duration, calls []*call) {
	l := &line{slots: slots, work: work, coming: slices.Clone(calls), until: make(map[*call]time.Time)}
	for now := start; len(l.coming)+len(l.waiting) > 0; now = now.Add(step) {
		l.busy = slices.DeleteFunc(l.busy, func(end time.Time) bool { return !end.After(now) })
		l.waiting = slices.DeleteFunc(l.waiting, func(c *call) bool { return !c.leaves.IsZero() && now.After(c.leaves) })
		l.take(now)
		l.decide(now, l.arrivals(now))
		l.take(now)
	}
}

func requestOf(c *call) *Request { return c.Request }

func (l *line) arrivals(now time.Time) []*call {
	var arrived []*call
	l.coming = slices.DeleteFunc(l.coming, func(c *call) bool {
		if c.back.After(now) {
			return false
		}
		c.tries++
		c.Arrived = now
		c.Limit = earlier(c.Deadline, now.Add(3*time.Second))
		arrived = append(arrived, c)
		return true
	})
	return arrived
}

func (l *line) take(now time.Time) {
	Order(now, l.waiting, requestOf)
	for len(l.waiting) > 0 && len(l.busy) < l.slots {
		c := l.waiting[0]
		l.waiting = l.waiting[1:]
		end := now.Add(l.work(now))
		l.busy = append(l.busy, end)
		c.inTime = !end.After(c.FirstTry.Add(c.Objective))
		c.late = !c.inTime
	}
}

func (l *line) decide(now time.Time, arrived []*call) {
	for _, c := range arrived {
		l.until[c] = now
		l.waiting = append(l.waiting, c)
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(c *call) bool {
		if now.Before(l.until[c]) || (now.Equal(c.Arrived) && len(l.busy) < l.slots) {
			return false
		}
		place := Line{Ahead: Ahead(now, c.Request, l.waiting, requestOf), Places: float64(l.slots), Work: usual}
		decision := Decide(now, c.Request, place)
		l.until[c] = decision.Until
		if decision.Verdict == Wait {
			return false
		}
		c.held = max(c.held, now.Sub(c.Arrived))
		if c.tries == tries || now.After(c.Deadline) {
			c.refused = true
			return true
		}
		c.back = now.Add(l.returns.After(now, c.Request, place, 0, 0.5))
		l.coming = append(l.coming, c)
		return true
	})
}

// calls returns a call each interval, for some time.
func calls(kind string, priority int, from, length, interval time.Duration) []*call {
	var all []*call
	for after := from; after < from+length; after += interval {
		request := asked(after, priority, fmt.Sprint(kind, len(all)))
		request.Class = kind
		all = append(all, &call{Request: request, kind: kind, back: request.Arrived})
	}
	return all
}

// share is the part of the calls of a kind for which something holds.
func share(calls []*call, kind string, holds func(*call) bool) float64 {
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

func steady(time.Time) time.Duration { return usual }

// The servers of these loads bear 20 requests a second.
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
			c.leaves = c.Arrived.Add(300 * time.Millisecond)
		}
	}
	slow := func(now time.Time) time.Duration {
		if since := now.Sub(start); since > 2*time.Second && since < 2400*time.Millisecond {
			return 3 * usual
		}
		return usual
	}
	for _, load := range []struct {
		name  string
		work  func(time.Time) time.Duration
		calls []*call
		kind  string
		holds func(*call) bool
		least float64
	}{
		{"a burst of 2.4 on one kind: a more urgent one is in time", steady, burst, "urgent", inTime, 1},
		{"the kind of the burst gets the rest in time, not late", steady, burst, "burst", inTime, 0.33},
		{"a third repeats three times at once: the others are served", steady, repeating, "modest", inTime, 0.95},
		{"callers who leave make room", steady, leaving, "stays", answered, 0.95},
		{"three times slower for 0.4 s: nearly all are in time", slow, calls("usual", 1, 0, seconds, 55*time.Millisecond), "usual", inTime, 0.95},
		{"and all are answered", slow, calls("usual", 1, 0, seconds, 55*time.Millisecond), "usual", answered, 1},
	} {
		if load.calls[0].tries == 0 {
			play(4, load.work, load.calls)
		}
		got := share(load.calls, load.kind, load.holds)
		t.Logf("%s: %.3f", load.name, got)
		if got < load.least {
			t.Errorf("%s: %.2f, want %.2f", load.name, got, load.least)
		}
		for _, c := range load.calls {
			ended := answered(c) || c.refused || !c.leaves.IsZero()
			if half := c.Deadline.Sub(c.FirstTry) / 2; !ended || c.held > half+step {
				t.Errorf("%s: a call ended: %v, held %v in vain", load.name, ended, c.held)
				break
			}
		}
	}
	if modest, often := share(repeating, "modest", answered), share(repeating, "repeating", answered); often > modest {
		t.Errorf("callers who repeat get %.2f of their requests answered, the others %.2f", often, modest)
	}
	if urgent, lesser := share(burst, "urgent", answered), share(burst, "burst", answered); lesser > urgent {
		t.Errorf("the lesser kind is answered more often: %.2f, %.2f", lesser, urgent)
	}
}
