package ending

import (
	"context"
	"testing"
	"time"
)

// counted is a context that counts what waits for its end.
type counted struct {
	context.Context
	done    chan struct{}
	waiting int
}

// Done implements context.Context.
func (c *counted) Done() <-chan struct{} { return c.done }

// AfterFunc is what package context uses to wait for a context that is not its own.
func (c *counted) AfterFunc(func()) func() bool {
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

// A node serves for weeks: nothing of a request may stay with the node's end.
func TestReleasedBoundsLeaveNothingBehind(t *testing.T) {
	end := New()
	end.reach()
	waits := &counted{Context: context.Background(), done: make(chan struct{})}
	end.reached = waits
	const requests = 100
	for range requests {
		ctx, bounds := end.Bound(context.Background(), time.Now().Add(time.Minute))
		if waits.waiting != 1 {
			t.Fatalf("%d wait for the end, want the request", waits.waiting)
		}
		bounds.Release()
		if ctx.Err() == nil {
			t.Fatal("the context goes on")
		}
	}
	if waits.waiting != 0 {
		t.Errorf("%d requests of %d still wait for the end", waits.waiting, requests)
	}
}
