package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/quota"
)

// exhaustedLimit is a limit for every server that never admits a request. It calls asked
// for each request for admission.
type exhaustedLimit struct {
	noLimits
	calls atomic.Int32
	asked func()
	after time.Duration
}

func (u *exhaustedLimit) Observed(string) (float64, bool) { return 1, true }

func (u *exhaustedLimit) AdmitObserved(context.Context, string) quota.Decision {
	u.calls.Add(1)
	u.asked()
	return quota.Decision{RetryAfter: u.after}
}

// Guards against a loop: a request whose client disconnects while it waits for admission
// must not ask for it again and again.
func TestRequestWhoseCallerLeftAsksForNoMoreRoom(t *testing.T) {
	w := newTestNode(t, 0, warmDivided)
	w.setOwner(t, "s0")
	ctx, cancel := context.WithCancel(t.Context())
	limits := &exhaustedLimit{asked: cancel, after: time.Second}
	w.SetServerLimits(limits)
	ended := make(chan error, 1)
	go func() {
		_, _, err := w.Do(ctx, requestFor("divided", true))
		ended <- err
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, ErrCanceled) {
			t.Errorf("error %v, want ErrCanceled", err)
		}
	case <-time.After(3 * time.Second):
		t.Error("the request did not end")
	}
	if got := limits.calls.Load(); got > 1 {
		t.Errorf("asked for admission %d times, want at most once", got)
	}
	if s := w.server("s0"); s.outstanding != 0 {
		t.Errorf("%d slots are still reserved", s.outstanding)
	}
}

// Requests beyond a server's limit are refused at once, and clients are told when to retry.
func TestCallersOfAServerWithoutRoomAreRefused(t *testing.T) {
	w := newTestNode(t, 0, warmDivided)
	w.setOwner(t, "s0")
	limits := &exhaustedLimit{asked: func() {}, after: time.Minute}
	w.SetServerLimits(limits)
	for range 2 {
		_, trace, err := w.Do(t.Context(), requestFor("divided", true))
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Reason != ReasonOwnerLimited || refusal.RetryAfter < limits.after/2 {
			t.Errorf("error %v, want a refusal until the limit admits requests", err)
		}
		if trace.Attempts != 0 {
			t.Error("the request was sent")
		}
	}
	if got := limits.calls.Load(); got != 1 {
		t.Errorf("asked for admission %d times, want once: the limit is used up for a minute", got)
	}
}
