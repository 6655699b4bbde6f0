package schedule

import "time"

const (
	// safePart is the part of its objective within which an answer must be expected for a
	// request to count as in time: answers' times spread, and one that is expected at the
	// very end comes late every second time.
	safePart = 0.8
	// leastPatience is the part of its objective that a request may wait for a server in
	// any case: most causes for which there is none, like keys that change hands, pass in
	// that time, and a caller that is refused after it can still be in time elsewhere.
	leastPatience = 0.24
	// latePart is the part of its caller's time for which a request that is late is held at
	// most. If it is refused then, the other part is left to ask again; held longer, it
	// would be refused too late to be of use to its caller.
	latePart = 0.5
)

// Decide says whether a request for which no server is free waits, and until when. It is
// asked again at that moment.
//
// One that is expected to be in time waits until it must start. One that cannot be waits
// for the room that those in time leave, if it is expected to get it within a part of the
// time that its caller has: late answers are of some use where callers wait long. All
// others are refused at once, while most of the caller's time is left to ask again.
func Decide(now time.Time, request *Request, line Line) Decision {
	least := request.Arrived.Add(time.Duration(leastPatience * float64(request.Objective)))
	if line.Places <= 0 {
		return waitUntil(now, earlier(request.Limit, least))
	}
	safe := request.FirstTry.Add(time.Duration(safePart*float64(request.Objective)) - line.Work)
	start := now.Add(line.wait())
	if !start.After(safe) || line.next(safe.Sub(now)) {
		decision := waitUntil(now, earlier(request.Limit, later(least, safe)))
		if decision.Verdict == Wait {
			return decision
		}
	}
	if line.Closed {
		return Decision{Verdict: Refuse}
	}
	held := request.Arrived.Add(time.Duration(latePart * float64(request.Deadline.Sub(request.Arrived))))
	until := earlier(request.Limit, held).Add(-line.Work)
	if start.After(until) {
		return Decision{Verdict: Refuse}
	}
	return waitUntil(now, until)
}

// next reports whether a request is the first of the line and the servers may take one
// within some time: how soon a place gets free is a matter of chance then.
func (l Line) next(within time.Duration) bool { return l.Ahead == 0 && l.Opens < within }

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
