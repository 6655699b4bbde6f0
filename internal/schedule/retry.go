package schedule

import "time"

const (
	// minRetryDelay is the minimum retry delay. An earlier retry would meet the same queue and
	// waste one of the caller's few attempts.
	minRetryDelay = 60 * time.Millisecond
	// retryJitter is the range of the random delay added for callers that could retry at the
	// same time.
	retryJitter = 140 * time.Millisecond
	// maxRetryFraction is the largest fraction of its remaining time that a caller waits when a
	// refusal asks it to. Callers ignore longer delays and retry at a time of their choice.
	maxRetryFraction = 1.0 / 3
	// cappedJitterFraction is the fraction of the longest respected delay over which retries
	// are spread for callers whose computed delay would exceed it.
	cappedJitterFraction = 0.3
)

// MaxRetryDelay returns the longest retry delay that a caller with some remaining time
// respects.
func MaxRetryDelay(remaining time.Duration) time.Duration {
	return time.Duration(maxRetryFraction * float64(remaining))
}

// RetrySchedule assigns retry delays to refused callers of one queue. Each refused caller gets
// the next slot in a sequence of expected retries, so that callers that were refused
// together do not retry together. It is not safe for concurrent use.
type RetrySchedule struct {
	// nextRetry is the time from which there is capacity for the next retry.
	nextRetry time.Time
}

// After returns the delay after which a refused request should be retried: once the queue
// has drained enough for its response to meet the objective, and after the retries of all
// callers refused before it. blockedFor is the time for which the cause of the refusal is
// known to last. An earlier retry would be refused again, so a blockedFor beyond the longest
// delay that callers respect is returned unchanged; any other delay is limited to that
// longest one. random, from 0 to 1, spreads the retries.
func (r *RetrySchedule) After(now time.Time, request *Request, queue Queue, blockedFor time.Duration, random float64) time.Duration {
	maxDelay := MaxRetryDelay(request.Deadline.Sub(now))
	if blockedFor > maxDelay {
		return blockedFor + time.Duration(random*float64(retryJitter))
	}
	untilCapacity := queue.expectedWait() + queue.ServiceTime - time.Duration(inTimeFraction*float64(request.Objective))
	retryAt := later(now.Add(max(minRetryDelay, blockedFor, untilCapacity)), r.nextRetry)
	delay := retryAt.Sub(now) + time.Duration(random*float64(retryJitter))
	if delay > maxDelay {
		return max(0, time.Duration((1-cappedJitterFraction*random)*float64(maxDelay)))
	}
	r.nextRetry = retryAt.Add(queue.serviceInterval())
	return delay
}
