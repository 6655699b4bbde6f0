package schedule

import "time"

const (
	// soonest is the least time after which a refused caller comes back: sooner, it finds
	// the same line, and a caller has few tries.
	soonest = 60 * time.Millisecond
	// spread is the range over which callers that could come back at the same moment are
	// spread.
	spread = 140 * time.Millisecond
	// longestPart is the part of its remaining time that a caller waits at most because a
	// refusal says so; told more, it comes back when it likes.
	longestPart = 1.0 / 3
	// longestSpread is the part of that time over which those are spread that would have to
	// come back later.
	longestSpread = 0.3
)

// LongestReturn is the longest time to come back that a caller keeps to which has some time
// left.
func LongestReturn(left time.Duration) time.Duration {
	return time.Duration(longestPart * float64(left))
}

// Returns hands out times to come back to the servers of one line. Each caller that is
// refused gets the next place in a line of those who return, so that callers who were
// refused together do not return together. It must not be used concurrently.
type Returns struct {
	// next is when there is room for the next caller.
	next time.Time
}

// After returns after what time a refused request should come back: when those that wait
// now leave room for its answer to be in time, behind all callers that were told so
// before. known is how long the cause of the refusal is known to last; sooner it would be
// refused again, so that this is told however long it is. random, from 0 to 1, spreads
// callers.
func (r *Returns) After(now time.Time, request *Request, line Line, known time.Duration, random float64) time.Duration {
	longest := LongestReturn(request.Deadline.Sub(now))
	if known > longest {
		return known + time.Duration(random*float64(spread))
	}
	room := line.wait() + line.Work - time.Duration(safePart*float64(request.Objective))
	at := later(now.Add(max(soonest, known, room)), r.next)
	after := at.Sub(now) + time.Duration(random*float64(spread))
	if after > longest {
		return max(0, time.Duration((1-longestSpread*random)*float64(longest)))
	}
	r.next = at.Add(line.interval())
	return after
}
