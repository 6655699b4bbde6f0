package ending

import (
	"context"
	"testing"
	"time"
)

// countingContext is a context that counts the functions waiting for its end.
type countingContext struct {
	context.Context
	done    chan struct{}
	waiting int
}

// Done implements context.Context.
func (c *countingContext) Done() <-chan struct{} { return c.done }

// AfterFunc is called by package context to wait for a context that it did not create.
func (c *countingContext) AfterFunc(func()) func() bool {
	c.waiting++
	stopped := false
	return func() bool {
		first := !stopped
		if first {
			c.waiting--
		}
		stopped = true
		return first
	}
}

// A node runs for weeks, so a released request must leave nothing registered with the shutdown
// context.
func TestReleasedBoundsLeaveNothingBehind(t *testing.T) {
	end := New()
	end.expire()
	waits := &countingContext{Context: context.Background(), done: make(chan struct{})}
	end.expired = waits
	const requests = 100
	for range requests {
		ctx, bounds := end.Bound(context.Background(), time.Now().Add(time.Minute))
		if waits.waiting != 1 {
			t.Fatalf("%d waiters for the shutdown, want only the request", waits.waiting)
		}
		bounds.Release()
		if ctx.Err() == nil {
			t.Fatal("the context is still active after Release")
		}
	}
	if waits.waiting != 0 {
		t.Errorf("%d requests of %d still wait for the shutdown", waits.waiting, requests)
	}
}
