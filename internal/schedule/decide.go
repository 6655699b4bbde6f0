package schedule

import "time"

const (
	// inTimeFraction is the fraction of the objective within which a response must be expected
	// for the request to count as in time. Response times vary, and a response expected exactly
	// at the objective is late half of the time.
	inTimeFraction = 0.8
	// minWaitFraction is the fraction of its objective that a request may always wait for a
	// server. Most causes of having none, such as keys moving to another owner, end within
	// that time, and a caller that is refused after it can still be served in time elsewhere.
	minWaitFraction = 0.24
	// lateWaitFraction is the largest fraction of the caller's timeout for which a late request
	// is queued. If it is refused then, the caller can use the remaining time for a retry; a
	// later refusal would come too late to be of use.
	lateWaitFraction = 0.5
)

// Decide returns whether a request for which no server is free waits, and until when. The
// caller must call it again at that time.
//
// A request that is expected to meet its objective waits until its latest start. One that
// is not waits for spare capacity if it is expected to be served within lateWaitFraction of
// its caller's timeout, because a late response is still of some use to a caller that waits
// long. All others are refused immediately, while most of the caller's time is left for a
// retry.
func Decide(now time.Time, request *Request, queue Queue) Decision {
	minWaitEnd := request.Arrived.Add(time.Duration(minWaitFraction * float64(request.Objective)))
	if queue.Concurrency <= 0 {
		return waitUntil(now, earlier(request.ExecutionDeadline, minWaitEnd))
	}
	latestSafeStart := request.FirstAttempt.Add(time.Duration(inTimeFraction*float64(request.Objective)) - queue.ServiceTime)
	expectedStart := now.Add(queue.expectedWait())
	if !expectedStart.After(latestSafeStart) || queue.headMayStart(latestSafeStart.Sub(now)) {
		decision := waitUntil(now, earlier(request.ExecutionDeadline, later(minWaitEnd, latestSafeStart)))
		if decision.Verdict == Wait {
			return decision
		}
	}
	if queue.Unavailable {
		return Decision{Verdict: Refuse}
	}
	lateWaitEnd := request.Arrived.Add(time.Duration(lateWaitFraction * float64(request.Deadline.Sub(request.Arrived))))
	until := earlier(request.ExecutionDeadline, lateWaitEnd).Add(-queue.ServiceTime)
	if expectedStart.After(until) {
		return Decision{Verdict: Refuse}
	}
	return waitUntil(now, until)
}

// headMayStart reports whether a request is at the head of the queue and the servers may
// accept one within the given time. The expected wait does not decide then, because a slot
// may be freed at any moment.
func (l Queue) headMayStart(within time.Duration) bool { return l.Ahead == 0 && l.BlockedFor < within }

// waitUntil returns the decision to wait until a time, or to refuse if that time has passed.
func waitUntil(now, until time.Time) Decision {
	if !until.After(now) {
		return Decision{Verdict: Refuse}
	}
	return Decision{Until: until}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
