package pace_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/pace"
)

const (
	// At rate, a piece takes 10 ms.
	rate  = 100_000
	piece = 1000
	burst = 20 * time.Millisecond
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
			if wait := pacer.Reserve(ask.at, piece); wait != ask.wait {
				t.Errorf("%s: piece %d waits %v, want %v", name, index, wait, ask.wait)
			}
		}
	}
}

// Whoever writes large answers, and however many do, a small one finds less than the burst
// and one piece before it on the link.
func TestLinkIsNeverBusyForLongerThanTheBurstAndAPiece(t *testing.T) {
	pacer := pace.New(rate, burst)
	const writers = 40
	// ready holds when each writer may write the piece that it has reserved.
	ready := make([]time.Duration, writers)
	for writer := range ready {
		ready[writer] = pacer.Reserve(0, piece)
	}
	busyUntil, sent := time.Duration(0), 0
	const length = 10 * time.Second
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for writer := range ready {
			if ready[writer] > now {
				continue
			}
			busyUntil = max(busyUntil, now) + piece*time.Second/rate
			sent += piece
			ready[writer] = now + pacer.Reserve(now, piece)
		}
		if most := burst + piece*time.Second/rate + time.Millisecond; busyUntil-now > most {
			t.Fatalf("at %v the link is busy for %v with large answers, allowed: %v", now, busyUntil-now, most)
		}
	}
	if want := int(rate * length.Seconds()); sent < want {
		t.Errorf("%d bytes went out although the link carries %d", sent, want)
	}
}
