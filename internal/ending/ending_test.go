package ending_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/ending"
)

const (
	soon  = 20 * time.Millisecond
	later = time.Minute
)

// Contexts must end on shutdown whether they were created before the shutdown began, during it, or
// after its deadline.
func TestContextsEndWithTheNode(t *testing.T) {
	end := ending.New()
	limit := time.Now().Add(later)
	before, beforeBounds := end.Bound(context.Background(), limit)
	defer beforeBounds.Release()
	end.Set(time.Now().Add(soon))
	between, betweenBounds := end.Bound(context.Background(), limit)
	defer betweenBounds.Release()
	<-before.Done()
	<-between.Done()
	after, afterBounds := end.Bound(context.Background(), limit)
	defer afterBounds.Release()
	<-after.Done()
	for name, ctx := range map[string]context.Context{"before": before, "between": between, "after": after} {
		if !ending.EndedByShutdown(ctx) || !errors.Is(ctx.Err(), context.Canceled) {
			t.Errorf("%s: ended with %v because of %v", name, ctx.Err(), context.Cause(ctx))
		}
	}
}

// Contexts that end because of their own deadline or a client that disconnected must not be
// reported as ended by the shutdown.
func TestOtherEndsAreNotTheNodes(t *testing.T) {
	end := ending.New()
	timed, timedBounds := end.Bound(context.Background(), time.Now().Add(soon))
	defer timedBounds.Release()
	parent, leave := context.WithCancel(context.Background())
	left, leftBounds := end.Bound(parent, time.Now().Add(later))
	defer leftBounds.Release()
	leave()
	<-timed.Done()
	<-left.Done()
	if ending.EndedByShutdown(timed) || !errors.Is(timed.Err(), context.DeadlineExceeded) {
		t.Errorf("limit: %v", context.Cause(timed))
	}
	if ending.EndedByShutdown(left) || !errors.Is(left.Err(), context.Canceled) {
		t.Errorf("disconnected client: %v", context.Cause(left))
	}
}

func TestContextMayOutliveTheNode(t *testing.T) {
	end := ending.New()
	ctx, bounds := end.Bound(context.Background(), time.Now().Add(later))
	defer bounds.Release()
	other, otherBounds := end.Bound(context.Background(), time.Now().Add(later))
	defer otherBounds.Release()
	bounds.Detach()
	end.Set(time.Now())
	<-other.Done()
	if ctx.Err() != nil {
		t.Errorf("ended with %v", ctx.Err())
	}
	if at, stops := end.Deadline(); !stops || at.IsZero() {
		t.Errorf("shutting down %v at %v", stops, at)
	}
}

func TestDeadlineIsOnlyBroughtForward(t *testing.T) {
	end := ending.New()
	ctx, bounds := end.Bound(context.Background(), time.Now().Add(later))
	defer bounds.Release()
	end.Set(time.Now().Add(later))
	sooner := time.Now().Add(soon)
	end.Set(sooner)
	end.Set(time.Now().Add(later))
	if deadline, _ := end.Deadline(); !deadline.Equal(sooner) {
		t.Errorf("deadline %v, want the earliest one, %v", deadline, sooner)
	}
	<-ctx.Done()
}
