package dispatch

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const limitSlots = 3

// A hundred independent nodes with far more requests than one server can handle keep its
// queue short and its slots busy.
func TestNodesShareAServerThatTellsItsLoad(t *testing.T) {
	const nodes, work, tick = 100, 150 * time.Millisecond, 5 * time.Millisecond
	const length, settled = 20 * time.Second, 8 * time.Second
	type sent struct{ at, due time.Time }
	limits := make([]limit, nodes)
	inFlight := make([][]*sent, nodes)
	var queue, running []*sent
	owner := make(map[*sent]int)
	start := time.Unix(1000, 0)
	served, waitingSum, ticks, late := 0, 0, 0, 0
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		kept := running[:0]
		for _, r := range running {
			if now.Before(r.due) {
				kept = append(kept, r)
				continue
			}
			node := owner[r]
			load := discovery.Load{Running: len(running), Waiting: len(queue), Slots: limitSlots, Slowness: 1}
			took := now.Sub(r.at)
			limits[node].observeLoad(now, took, load)
			for index, other := range inFlight[node] {
				if other == r {
					inFlight[node] = append(inFlight[node][:index], inFlight[node][index+1:]...)
					break
				}
			}
			delete(owner, r)
			if now.Sub(start) > settled {
				served++
				if took > 4*work {
					late++
				}
			}
		}
		running = kept
		for len(running) < limitSlots && len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			next.due = now.Add(work)
			running = append(running, next)
		}
		for node := range limits {
			if len(inFlight[node]) < limits[node].requests(now, limitSlots) {
				r := &sent{at: now}
				owner[r] = node
				inFlight[node] = append(inFlight[node], r)
				queue = append(queue, r)
			}
		}
		if now.Sub(start) > settled {
			waitingSum += len(queue)
			ticks++
		}
	}
	possible := int((length - settled) / work * limitSlots)
	mean := float64(waitingSum) / float64(ticks)
	t.Logf("served %d of %d, %d late, mean queue length %.1f", served, possible, late, mean)
	if served < possible*8/10 {
		t.Errorf("%d requests served of %d possible: slots were idle", served, possible)
	}
	if mean > 4*limitSlots {
		t.Errorf("mean queue length %.1f at a server with %d slots", mean, limitSlots)
	}
}

func TestLimitOfAServerThatDoesNotTellItsLoadStaysAboveOne(t *testing.T) {
	now := time.Unix(1000, 0)
	var l limit
	for range 20 {
		l.observeLatency(now, limitSlots, true)
	}
	if got := l.requests(now, limitSlots); got != 1 {
		t.Errorf("%d requests, want 1", got)
	}
	for range 50 {
		l.observeLatency(now, limitSlots, false)
	}
	if got := l.requests(now, limitSlots); got != limitSlots {
		t.Errorf("%d requests, want one per slot", got)
	}
}

func TestLimitGrowsAgainWithoutAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	var l limit
	for range 10 {
		l.decrease(now, 150*time.Millisecond, limitSlots, minDecreaseFactor)
	}
	if l.now(now, limitSlots) > 0.1 || l.requests(now, limitSlots) != 0 {
		t.Errorf("limit %.2f and %d requests right after overload, want at most 0.1 and 0", l.now(now, limitSlots), l.requests(now, limitSlots))
	}
	later := now.Add(10 * time.Second)
	if got := l.now(later, limitSlots); got != 1 {
		t.Errorf("limit %.2f after 10 s, want 1", got)
	}
	if l.requests(later, limitSlots) != 1 {
		t.Error("no request after 10 s")
	}
}
