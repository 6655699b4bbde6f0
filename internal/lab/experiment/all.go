package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/micahaven/micahaven/internal/lab/cluster"
)

// RunAll carries runs out, a number at a time, and tells progress line by line.
func RunAll(ctx context.Context, programs cluster.Programs, all []Options, parallel int, say func(string)) ([]*Result, []error) {
	var mutex sync.Mutex
	var results []*Result
	var failures []error
	next := make(chan Options)
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for options := range next {
				result, err := Run(ctx, programs, options)
				mutex.Lock()
				if err != nil {
					failures = append(failures, err)
					say(fmt.Sprintf("%s seed %d: FAILED: %v", faultNames(options.Faults), options.Seed, err))
				} else {
					results = append(results, result)
					say(Line(result))
				}
				mutex.Unlock()
			}
		})
	}
	for _, options := range all {
		if ctx.Err() != nil {
			break
		}
		next <- options
	}
	close(next)
	workers.Wait()
	return results, failures
}

// Line describes a result on one line, and its violations on further ones.
func Line(result *Result) string {
	const unit = time.Millisecond
	text := fmt.Sprintf("%s %s seed %d: done %d, not run %d, unknown %d, p50 %v, p99 %v, node CPU %.0f us a request, away p99 %v max %v of %d slices, in force max %v, violations %d",
		result.Deployment, result.Faults, result.Seed, result.Done, result.NotRun, result.Unknown,
		result.P50.Round(unit/10), result.P99.Round(unit/10),
		result.NodeCPUMicros, Quantile(result.Away, 0.99).Round(unit), Quantile(result.Away, 1).Round(unit), len(result.Away),
		Quantile(result.InForce, 1).Round(unit), len(result.Violations))
	if len(result.Drained) > 0 {
		text += fmt.Sprintf("\n  drained after %v", Quantile(result.Drained, 1).Round(unit))
	}
	for reason, count := range result.Reasons {
		text += fmt.Sprintf("\n  %d times %s", count, reason)
	}
	for _, violation := range result.Violations {
		text += fmt.Sprintf("\n  VIOLATION %s: %s", violation.Promise, violation.What)
	}
	return text
}
