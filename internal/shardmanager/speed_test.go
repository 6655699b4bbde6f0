package shardmanager

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// Guards against slow servers that keep their keys because only answered requests are counted. Seen
// in the incident inc-da7f, with servers many times slower than the others.
func TestSlowServerIsJudgedByRequestsItDidNotAnswer(t *testing.T) {
	judged := newSpeed(2)
	now := time.Now()
	report := func(attempts uint32, busy time.Duration) {
		now = now.Add(500 * time.Millisecond)
		judged.record(now, ServerLoad{Server: "s", Attempts: attempts, Busy: busy})
	}
	for range 40 {
		report(1, 120*time.Millisecond)
	}
	if work := judged.workSeconds(); work < 0.1 || work > 0.14 {
		t.Fatalf("work takes %.3f s, want 0.12", work)
	}
	for range 5 {
		report(1, time.Second)
	}
	const threeTimes = 0.36
	if work := judged.workSeconds(); work < threeTimes {
		t.Fatalf("after five requests that were abandoned after 1 s, work takes %.3f s, want %.2f", work, threeTimes)
	}
}

// Guards against judging a server as slow because its requests queue.
func TestQueueingIsNotSlowness(t *testing.T) {
	judged := newSpeed(4)
	now := time.Now()
	for range 60 {
		now = now.Add(200 * time.Millisecond)
		// 15 requests in 0.2 s at 4 slots: 53 ms of work each, 300 ms including the queue.
		judged.record(now, ServerLoad{Server: "s", Attempts: 15, Busy: 15 * 300 * time.Millisecond})
	}
	if work := judged.workSeconds(); work > 0.08 {
		t.Fatalf("work takes %.3f s, want about 0.053", work)
	}
}

// Guards against a speed estimate that is too noisy at low request rates. A third of the servers is
// 2.3 times faster than the others; each server gets one or two requests a second, the work varies
// by half, and each server is three times slower for 0.4 s now and then. With a window of 6 s and
// changes detected from 3 requests, the fast third got 0.54 of the load.
func TestLastingSpeedIsLearnedFromFewRequests(t *testing.T) {
	const (
		servers, slots = 66, 3
		fastWork       = 0.344
		slowWork       = 0.785
		interval       = 200 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	work := func(index int) float64 {
		usual := slowWork
		if index%3 == 0 {
			usual = fastWork
		}
		if random.Float64() < 0.2 {
			usual *= 3
		}
		const spread = 0.5
		return usual * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	}
	known := make(speeds)
	var previous [servers]float64
	changes, shares, rounds := 0.0, 0.0, 0
	now := time.Now()
	for tick := range 200 {
		now = now.Add(interval)
		for index := range servers {
			load := ServerLoad{Server: discovery.ServerID(fmt.Sprint(index))}
			if random.Float64() < 1.5*interval.Seconds() {
				load.Attempts, load.Busy = 1, time.Duration(work(index)*float64(time.Second))
				known.record(now, slots, load)
			}
		}
		if tick < 100 {
			continue
		}
		rounds++
		fast, all := 0.0, 0.0
		for index := range servers {
			capacity := known.capacity(discovery.ServerID(fmt.Sprint(index)), slots)
			all += capacity
			if index%3 == 0 {
				fast += capacity
			}
			changes += math.Abs(capacity - previous[index])
			previous[index] = capacity
		}
		shares += fast / all
	}
	share, change := shares/float64(rounds), changes/float64(rounds)/servers/slots
	t.Logf("share of the fast third %.2f, change of a capacity in 0.2 s %.3f", share, change)
	if share < 0.55 {
		t.Errorf("the fast third gets %.2f of the load, want 0.55 or more", share)
	}
	if change > 0.04 {
		t.Errorf("capacities change by %.3f of themselves in 0.2 s, want 0.04 at most", change)
	}
}

// Guards against servers that lose their last requests without counting as reduced, because of a
// small rate limit or because they are many times slower than the others.
func TestLimitedAndSlowServersAreReduced(t *testing.T) {
	const slots = 4
	known := make(speeds)
	now := time.Now()
	for range 100 {
		now = now.Add(reportInterval)
		for _, id := range []discovery.ServerID{"usual 1", "usual 2", "usual 3"} {
			known.record(now, slots, ServerLoad{Server: id, Attempts: 4, Busy: 4 * 20 * time.Millisecond})
		}
		known.record(now, slots, ServerLoad{Server: "slow", Attempts: 1, Busy: time.Second})
	}
	usual := known.capacity("usual 1", slots)
	const requestRate = 65.0
	cases := map[string]struct {
		capacity float64
		reduced  bool
	}{
		"usual":                  {usual, false},
		"limited to 0.2/s":       {capacityWithinLimit(0.2, usual, 3*usual, requestRate), true},
		"limited to 40/s":        {capacityWithinLimit(40, usual, 3*usual, requestRate), false},
		"many times slower":      {known.capacity("slow", slots), true},
		"nothing is known of it": {known.capacity("new", slots), false},
	}
	for name, c := range cases {
		if reduced := isReduced(c.capacity, slots); reduced != c.reduced {
			t.Errorf("%s: capacity %.3f of %d slots, reduced %v", name, c.capacity, slots, reduced)
		}
	}
}

func TestServerWithARateLimitGetsAPartThatTheLimitAllows(t *testing.T) {
	const usual, others, requestRate = 2.0, 4.0, 40.0
	for limit, want := range map[float64]float64{1: 1, 12: 12, 16: 13.4, 1000: 13.4} {
		capacity := capacityWithinLimit(limit, usual, others, requestRate)
		part := requestRate * capacity / (others + capacity)
		if part > want || part < 0.7*want {
			t.Errorf("limit of %v requests a second: %.2f planned of %v, want %.2f to %.2f", limit, part, requestRate, 0.7*want, want)
		}
	}
}

// Guards against abandoned requests that are taken for answers, so that a hung server seems to serve.
func TestAbandonedRequestsAreNoSignThatAServerServes(t *testing.T) {
	const timeout = time.Second
	cases := map[string]struct {
		load     ServerLoad
		answered bool
	}{
		"no requests":        {ServerLoad{}, false},
		"answered requests":  {ServerLoad{Attempts: 3, Busy: 120 * time.Millisecond}, true},
		"abandoned requests": {ServerLoad{Attempts: 2, Busy: 4 * time.Second}, false},
	}
	for name, c := range cases {
		if answered := c.load.answered(timeout); answered != c.answered {
			t.Errorf("%s: answered is %v, want %v", name, answered, c.answered)
		}
	}
}
