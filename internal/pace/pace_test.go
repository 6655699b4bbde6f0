package pace_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/pace"
)

const (
	// At this rate, a segment takes 10 ms.
	rate    = 100_000
	segment = 1000
	burst   = 20 * time.Millisecond
)

func TestReserve(t *testing.T) {
	type ask struct{ at, wait time.Duration }
	millis := func(count int) time.Duration { return time.Duration(count) * time.Millisecond }
	for name, asks := range map[string][]ask{
		"what fits the burst goes at once": {{0, 0}, {0, 0}, {0, 0}},
		"the rest waits for its turn":      {{0, 0}, {0, 0}, {0, 0}, {0, millis(10)}, {0, millis(20)}},
		"a link that was idle is free":     {{0, 0}, {0, 0}, {0, 0}, {0, millis(10)}, {time.Second, 0}},
		"idle time is not saved up":        {{time.Second, 0}, {time.Second, 0}, {time.Second, 0}, {time.Second, millis(10)}},
		"a slow writer never waits":        {{0, 0}, {millis(15), 0}, {millis(30), 0}, {millis(45), 0}, {millis(60), 0}},
	} {
		pacer := pace.New(rate, burst)
		for index, ask := range asks {
			if wait := pacer.Reserve(ask.at, segment); wait != ask.wait {
				t.Errorf("%s: segment %d waits %v, want %v", name, index, wait, ask.wait)
			}
		}
	}
}

// However many writers send large responses, a small response waits for at most the burst
// and one segment on the link.
func TestLinkIsNeverBusyForLongerThanTheBurstAndAPiece(t *testing.T) {
	pacer := pace.New(rate, burst)
	const writers = 40
	// ready holds the time at which each writer may write the segment that it has reserved.
	ready := make([]time.Duration, writers)
	for writer := range ready {
		ready[writer] = pacer.Reserve(0, segment)
	}
	busyUntil, sent := time.Duration(0), 0
	const length = 10 * time.Second
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for writer := range ready {
			if ready[writer] > now {
				continue
			}
			busyUntil = max(busyUntil, now) + segment*time.Second/rate
			sent += segment
			ready[writer] = now + pacer.Reserve(now, segment)
		}
		if most := burst + segment*time.Second/rate + time.Millisecond; busyUntil-now > most {
			t.Fatalf("at %v the link is busy for %v with large responses, allowed: %v", now, busyUntil-now, most)
		}
	}
	if want := int(rate * length.Seconds()); sent < want {
		t.Errorf("%d bytes were sent although the link has capacity for %d", sent, want)
	}
}
