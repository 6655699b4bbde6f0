package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shards"
)

const keyWarmUp = 3 * time.Second

// mapOf returns an owner map with a single range.
func mapOf(owner string, fence uint64, handover string) *shards.Owners {
	whole := &shards.Map{Service: "divided", Ranges: []shards.Range{{
		Last: shards.LastKey, Owner: discovery.ServerID(owner), Fence: fence, Handover: handover,
	}}}
	encoded, err := whole.Encode()
	if err != nil {
		panic(err)
	}
	owners, err := shards.DecodeOwners(encoded, nil)
	if err != nil {
		panic(err)
	}
	return owners
}

func TestRangesWithoutHandoverAreCold(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name          string
		before, after *shards.Owners
		cold          bool
	}{
		{"another owner without a handover", mapOf("a", 1, ""), mapOf("b", 2, ""), true},
		{"another owner with a handover", mapOf("a", 1, ""), mapOf("b", 2, "h"), false},
		{"an owner after none", mapOf("", 1, ""), mapOf("b", 2, ""), true},
		{"the same owner under another fence", mapOf("a", 1, ""), mapOf("a", 2, ""), false},
		{"the first map that is seen", nil, mapOf("a", 2, ""), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &coldRanges{}
			c.update(now, test.before, keyWarmUp)
			c.update(now, test.after, keyWarmUp)
			if _, cold := c.coldUntil(now, 2); cold != test.cold {
				t.Errorf("cold: %v, want %v", cold, test.cold)
			}
			if _, cold := c.coldUntil(now.Add(keyWarmUp), 2); cold {
				t.Error("cold for longer than the warm-up")
			}
		})
	}
}

// A cold range stays cold when a new manager gives it another fence.
func TestAnotherFenceDoesNotWarmARange(t *testing.T) {
	now := time.Now()
	c := &coldRanges{}
	c.update(now, mapOf("a", 1, ""), keyWarmUp)
	c.update(now, mapOf("b", 2, ""), keyWarmUp)
	c.update(now.Add(time.Second), mapOf("b", 3, ""), keyWarmUp)
	if until, cold := c.coldUntil(now.Add(2*time.Second), 3); !cold || !until.Equal(now.Add(keyWarmUp)) {
		t.Errorf("cold: %v until %v, want %v", cold, until, now.Add(keyWarmUp))
	}
}

// Whether requests for cold ranges can meet their objective is learned: at twice the
// latency they can, at eight times the latency they cannot.
func TestHopelessnessOfColdRangesIsLearned(t *testing.T) {
	const objective = 600 * time.Millisecond
	for _, test := range []struct {
		name string
		cold time.Duration
		// answered is false if the requests were given up.
		answered, tooSlow bool
	}{
		{"twice the time", 320 * time.Millisecond, true, false},
		{"eight times", 1280 * time.Millisecond, true, true},
		{"given up after the route's time", 1200 * time.Millisecond, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &coldRanges{}
			if c.tooSlow(objective) {
				t.Fatal("too slow before any request was observed")
			}
			for range 20 {
				c.observe(160*time.Millisecond, false, true)
			}
			for range 4 {
				c.observe(test.cold, true, test.answered)
			}
			if got := c.tooSlow(objective); got != test.tooSlow {
				t.Errorf("too slow: %v, want %v (slowdown %.1f)", got, test.tooSlow, c.slowdown)
			}
			for range 20 {
				c.observe(200*time.Millisecond, true, true)
			}
			if c.tooSlow(objective) {
				t.Error("still too slow after requests that took little longer")
			}
		})
	}
}

// Guards against requests for keys that are expected to be late. On the shifted deployment,
// scenario trouble-1, 1,300 requests for keys that were transferred without a handover each
// held a slot until the route's timeout, which delayed the other keys of their servers.
func TestRequestForAHopelessKeyIsRefusedAtOnce(t *testing.T) {
	w := newTestNode(t, 1, "divided z 0s", "divided z 0s")
	w.setOwner(t, "s0")
	w.setOwner(t, "s1")
	c := w.coldRangesOf("divided")
	c.warmSeconds, c.slowdown, c.lastTrialAt = 0.16, 8, time.Now()
	now := time.Now()
	route := &routing.Route{Objective: 600 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2}
	request := &Request{Service: "divided", HasKey: true, ArrivedAt: now, Deadline: now.Add(2 * time.Second), Route: route}
	_, trace, err := w.Do(t.Context(), request)
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonKeyWarming {
		t.Fatalf("error %v, want a refusal because the key is cold", err)
	}
	if trace.Queued > 100*time.Millisecond || refusal.RetryAfter < keyWarmUp/2 {
		t.Errorf("refused after %v, with a retry after %v", trace.Queued, refusal.RetryAfter)
	}
	c.slowdown = 2
	if got := w.chooseID(now, "divided"); got != "s1" {
		t.Errorf("chose %q for a request that can be answered in time, want the owner", got)
	}
}

// Guards against counting the silence of a dead owner as slowness of its cold ranges. On
// tintamezcla-gw, scenario trouble-1, the fraction of requests in time fell from 0.91 to
// 0.87 once nodes tracked cold ranges: keys were refused although requests took only twice
// the time.
func TestSilentOwnersDoNotMakeColdRangesHopeless(t *testing.T) {
	for _, alive := range []bool{false, true} {
		w := newTestNode(t, 1, "divided z 0s")
		w.setOwner(t, "s0")
		c := w.coldRangesOf("divided")
		c.warmSeconds = 0.16
		now := time.Now()
		s := w.server("s0")
		if alive {
			s.answeredAt = now
		}
		request := &Request{Service: "divided", HasKey: true, Route: plainRoute()}
		for range 5 {
			s.outstanding++
			w.finish(now, request, s, sentAttempt{elapsed: 1200 * time.Millisecond, cold: true}, noResult)
		}
		if got := c.tooSlow(plainRoute().Objective); got != alive {
			t.Errorf("server alive: %v, range too slow: %v, want equal", alive, got)
		}
	}
}

// Each node's interval between trial requests grows with the number of nodes.
func TestNodesLookAtHopelessRangesInTurn(t *testing.T) {
	now := time.Now()
	c := &coldRanges{lastTrialAt: now}
	if c.admitTrial(now.Add(time.Second), 79) {
		t.Error("one of 79 nodes sends another trial request after a second")
	}
	if !c.admitTrial(now.Add(time.Second), 8) {
		t.Error("one of 8 nodes sends no trial request after a second")
	}
}
