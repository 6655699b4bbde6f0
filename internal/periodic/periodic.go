// Package periodic calls a function at an interval until a context ends.
package periodic

import (
	"context"
	"time"
)

// Run calls step immediately and then at every interval, until the context ends. A step that takes
// longer than the interval delays the next one. Run always returns nil; the result lets it be the
// execute function of a run.Group actor.
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

// Pause waits for a duration or until the context ends.
func Pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
