// Package periodic repeats a step until a context ends.
package periodic

import (
	"context"
	"time"
)

// Run calls step at once and then after every interval, until the context ends.
// A step that takes longer than the interval delays the next one. It returns nil,
// so that it can be an actor's loop.
func Run(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Pause waits for a length of time or until the context ends.
func Pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
