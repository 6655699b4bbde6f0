package main

import (
	"fmt"
	"sync"
	"time"
)

// thawTime is the bound ThawMs.
const thawTime = 300 * time.Millisecond

// span is a time during which a server holds keys.
type span struct {
	server   string
	from, to int
	fence    uint64
	begin    time.Time
	end      time.Time
}

type run struct {
	server, request string
	key             int
	sharded         bool
	at              time.Time
}

// ledger notes who held which keys and when, and who ran which request.
type ledger struct {
	mutex sync.Mutex
	// healedAt is when a cut ended last. Grants that come within thawTime of it are not counted.
	healedAt time.Time
	// staleFences are grants that a server took under a fence that was not above all those under which
	// other servers had held the keys.
	staleFences []string
	// counting is true while orders are counted.
	counting              bool
	unanswered, allOrders int
	spans                 []span
	runs                  []run
}

// granted notes a grant that a server took. A renewal lengthens what the server holds.
func (l *ledger) granted(server string, order grant, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if now.Sub(l.healedAt) < thawTime {
		return
	}
	for _, held := range l.spans {
		if held.server != server && held.from <= order.TargetVersion && order.From <= held.to && held.fence >= order.Fence {
			l.staleFences = append(l.staleFences, fmt.Sprintf("%s took keys %d-%d under fence %d, although %s held keys %d-%d under fence %d",
				server, order.From, order.TargetVersion, order.Fence, held.server, held.from, held.to, held.fence))
		}
	}
	l.cut(server, order.From, order.TargetVersion, now)
	l.spans = append(l.spans, span{server: server, from: order.From, to: order.TargetVersion, fence: order.Fence, begin: now, end: until})
}

// countOrders starts or ends the counting of orders.
func (l *ledger) countOrders(counting bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counting = counting
}

// order notes an order that reached a server.
func (l *ledger) order(unanswered bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.counting {
		return
	}
	l.allOrders++
	if unanswered {
		l.unanswered++
	}
}

// orderCounts returns how many of the counted orders were left unanswered, and how many there were.
func (l *ledger) orderCounts() (unanswered, all int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unanswered, l.allOrders
}

// healed notes that a cut has ended.
func (l *ledger) healed() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.healedAt = time.Now()
}

func (l *ledger) released(server string, order grant, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut(server, order.From, order.TargetVersion, at)
}

// ended notes that a server's process has ended: it holds nothing any more.
func (l *ledger) ended(server string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut(server, 0, keyCount-1, time.Now())
}

// cut ends what a server holds of the keys from..to at the given time, and keeps the rest.
func (l *ledger) cut(server string, from, to int, at time.Time) {
	var rest []span
	for index := range l.spans {
		held := &l.spans[index]
		if held.server != server || held.to < from || held.from > to || !held.end.After(at) {
			continue
		}
		if held.from < from {
			left := *held
			left.to = from - 1
			rest = append(rest, left)
		}
		if held.to > to {
			right := *held
			right.from = to + 1
			rest = append(rest, right)
		}
		held.from, held.to = max(held.from, from), min(held.to, to)
		held.end = at
	}
	l.spans = append(l.spans, rest...)
}

func (l *ledger) ran(server, request string, key int, sharded bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, run{server: server, request: request, key: key, sharded: sharded, at: time.Now()})
}

func (l *ledger) runsOf(request string) []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []run
	for _, r := range l.runs {
		if r.request == request {
			found = append(found, r)
		}
	}
	return found
}

// overlap is a stretch of time during which two servers held the same keys.
type overlap struct {
	first, second span
	begin, end    time.Time
}

func (o overlap) length() time.Duration { return o.end.Sub(o.begin) }

// overlaps returns the stretches of time, longer than the limit, during which two servers held the
// same keys. What a server held by consecutive grants counts as one stretch.
func (l *ledger) overlaps(limit time.Duration) []overlap {
	l.mutex.Lock()
	spans := append([]span(nil), l.spans...)
	l.mutex.Unlock()
	type pair struct {
		a, b     string
		from, to int
	}
	found := make(map[pair]overlap)
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			if a.server == b.server || a.to < b.from || b.to < a.from {
				continue
			}
			begin, end := later(a.begin, b.begin), earlier(a.end, b.end)
			if !end.After(begin) {
				continue
			}
			key := pair{min(a.server, b.server), max(a.server, b.server), max(a.from, b.from), min(a.to, b.to)}
			known, present := found[key]
			if present && !begin.After(known.end.Add(time.Millisecond)) && !end.Before(known.begin) {
				known.begin, known.end = earlier(known.begin, begin), later(known.end, end)
				found[key] = known
				continue
			}
			if !present || end.Sub(begin) > known.length() {
				found[key] = overlap{first: a, second: b, begin: begin, end: end}
			}
		}
	}
	var long []overlap
	for _, o := range found {
		if o.length() > limit {
			long = append(long, o)
		}
	}
	return long
}

func (o overlap) describe(start time.Time) string {
	return fmt.Sprintf("keys %d-%d: held by %s (fence %d) and %s (fence %d) from %.3f s to %.3f s, for %d ms",
		max(o.first.from, o.second.from), min(o.first.to, o.second.to), o.first.server, o.first.fence, o.second.server, o.second.fence,
		o.begin.Sub(start).Seconds(), o.end.Sub(start).Seconds(), o.length().Milliseconds())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// heldKeys returns how many keys are held at the moment.
func (l *ledger) heldKeys() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now, count := time.Now(), 0
	heldNow := make([]bool, keyCount)
	for _, s := range l.spans {
		if !s.end.After(now) {
			continue
		}
		for key := s.from; key <= s.to; key++ {
			heldNow[key] = true
		}
	}
	for _, is := range heldNow {
		if is {
			count++
		}
	}
	return count
}
