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

// mapOf returns a map with one range.
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
			c.follow(now, test.before, keyWarmUp)
			c.follow(now, test.after, keyWarmUp)
			if _, cold := c.coldUntil(now, 2); cold != test.cold {
				t.Errorf("cold: %v, want %v", cold, test.cold)
			}
			if _, cold := c.coldUntil(now.Add(keyWarmUp), 2); cold {
				t.Error("cold for longer than the warm-up")
			}
		})
	}
}

// A range stays cold when a new manager gives it another fence.
func TestAnotherFenceDoesNotWarmARange(t *testing.T) {
	now := time.Now()
	c := &coldRanges{}
	c.follow(now, mapOf("a", 1, ""), keyWarmUp)
	c.follow(now, mapOf("b", 2, ""), keyWarmUp)
	c.follow(now.Add(time.Second), mapOf("b", 3, ""), keyWarmUp)
	if until, cold := c.coldUntil(now.Add(2*time.Second), 3); !cold || !until.Equal(now.Add(keyWarmUp)) {
		t.Errorf("cold: %v until %v, want %v", cold, until, now.Add(keyWarmUp))
	}
}

// Whether cold ranges are worth a request is learned: with twice the time they are, with
// eight times they are not.
func TestHopelessnessOfColdRangesIsLearned(t *testing.T) {
	const objective = 600 * time.Millisecond
	for _, test := range []struct {
		name string
		cold time.Duration
		// answered is false if the requests were given up.
		answered, hopeless bool
	}{
		{"twice the time", 320 * time.Millisecond, true, false},
		{"eight times", 1280 * time.Millisecond, true, true},
		{"given up after the route's time", 1200 * time.Millisecond, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &coldRanges{}
			if c.hopeless(objective) {
				t.Fatal("hopeless before anything is known")
			}
			for range 20 {
				c.observe(160*time.Millisecond, false, true)
			}
			for range 4 {
				c.observe(test.cold, true, test.answered)
			}
			if got := c.hopeless(objective); got != test.hopeless {
				t.Errorf("hopeless: %v, want %v (factor %.1f)", got, test.hopeless, c.factor)
			}
			for range 20 {
				c.observe(200*time.Millisecond, true, true)
			}
			if c.hopeless(objective) {
				t.Error("still hopeless after requests that took little longer")
			}
		})
	}
}

// Seen on the users' shifted deployment, trouble-1: 1,300 requests for keys that came
// without a handover each held a slot for the whole of the route's time, and the other
// keys of their servers were served late.
func TestRequestForAHopelessKeyIsRefusedAtOnce(t *testing.T) {
	w := newWarmUpWorld(t, 1, "divided z 0s", "divided z 0s")
	w.own(t, "s0")
	w.own(t, "s1")
	c := w.coldOf("divided")
	c.warmSeconds, c.factor, c.lookedAt = 0.16, 8, time.Now()
	now := time.Now()
	route := &routing.Route{Objective: 600 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2}
	request := &Request{Service: "divided", HasKey: true, ArrivedAt: now, Deadline: now.Add(2 * time.Second), Route: route}
	_, trace, err := w.Do(t.Context(), request)
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonKeyWarming {
		t.Fatalf("ended with %v, want a refusal because the key is slow", err)
	}
	if trace.Queued > 100*time.Millisecond || refusal.RetryAfter < keyWarmUp/2 {
		t.Errorf("refused after %v, to come back after %v", trace.Queued, refusal.RetryAfter)
	}
	c.factor = 2
	if got := w.chooses(now, "divided"); got != "s1" {
		t.Errorf("%q gets a request that can be answered in time, want the owner", got)
	}
}

// Seen on tintamezcla-gw, trouble-1, 0.91 of the requests in time before and 0.87 after
// nodes learned of cold ranges: owners that had fallen silent made them look slow, and
// their keys were refused though requests took only twice the time.
func TestSilentOwnersDoNotMakeColdRangesHopeless(t *testing.T) {
	for _, alive := range []bool{false, true} {
		w := newWarmUpWorld(t, 1, "divided z 0s")
		w.own(t, "s0")
		c := w.coldOf("divided")
		c.warmSeconds = 0.16
		now := time.Now()
		s := w.server("s0")
		if alive {
			s.answeredAt = now
		}
		request := &Request{Service: "divided", HasKey: true, Route: plainRoute()}
		for range 5 {
			s.outstanding++
			w.finish(now, request, s, sending{took: 1200 * time.Millisecond, cold: true}, noResult)
		}
		if got := c.hopeless(plainRoute().Objective); got != alive {
			t.Errorf("alive: %v, hopeless: %v", alive, got)
		}
	}
}

// The more nodes there are, the more seldom each of them looks again.
func TestNodesLookAtHopelessRangesInTurn(t *testing.T) {
	now := time.Now()
	c := &coldRanges{lookedAt: now}
	if c.look(now.Add(time.Second), 79) {
		t.Error("one of 79 nodes looks again after a second")
	}
	if !c.look(now.Add(time.Second), 8) {
		t.Error("one of 8 nodes does not look again after a second")
	}
}
