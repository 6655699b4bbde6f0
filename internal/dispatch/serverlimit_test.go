package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/quota"
)

// usedUp is a limit of every server that has no room for some time; asked is called with each
// request that asks for room.
type usedUp struct {
	noLimits
	calls atomic.Int32
	asked func()
	after time.Duration
}

func (u *usedUp) Observed(string) (float64, bool) { return 1, true }

func (u *usedUp) AdmitObserved(context.Context, string) quota.Decision {
	u.calls.Add(1)
	u.asked()
	return quota.Decision{RetryAfter: u.after}
}

// A request whose caller leaves while it waits for room must not ask again and again.
func TestRequestWhoseCallerLeftAsksForNoMoreRoom(t *testing.T) {
	w := newWarmUpWorld(t, 0, warmDivided)
	w.own(t, "s0")
	ctx, cancel := context.WithCancel(t.Context())
	limits := &usedUp{asked: cancel, after: time.Second}
	w.SetServerLimits(limits)
	ended := make(chan error, 1)
	go func() {
		_, _, err := w.Do(ctx, requestFor("divided", true))
		ended <- err
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, ErrCanceled) {
			t.Errorf("error %v, want that the client left", err)
		}
	case <-time.After(3 * time.Second):
		t.Error("the request goes on")
	}
	if got := limits.calls.Load(); got > 1 {
		t.Errorf("it asked %d times", got)
	}
	if s := w.server("s0"); s.outstanding != 0 {
		t.Errorf("%d requests count as being at the server", s.outstanding)
	}
}

// What a server's limit has no room for is refused at once, and told when to come back.
func TestCallersOfAServerWithoutRoomAreRefused(t *testing.T) {
	w := newWarmUpWorld(t, 0, warmDivided)
	w.own(t, "s0")
	limits := &usedUp{asked: func() {}, after: time.Minute}
	w.SetServerLimits(limits)
	for range 2 {
		_, trace, err := w.Do(t.Context(), requestFor("divided", true))
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Reason != ReasonOwnerLimited || refusal.RetryAfter < limits.after/2 {
			t.Errorf("error %v, want a refusal until there is room", err)
		}
		if trace.Attempts != 0 {
			t.Error("it was sent")
		}
	}
	if got := limits.calls.Load(); got != 1 {
		t.Errorf("room was asked for %d times, want once: until then there is none", got)
	}
}
