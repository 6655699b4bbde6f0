package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Order sorts queued requests into the order in which they are served. The sort keys are:
//
//  1. Requests that can still meet their objective precede late ones. A late request loses
//     little by waiting longer, while each request that it displaces becomes late as well.
//  2. Higher priority.
//  3. The caller's turn: within one priority, the first request of each caller precedes the
//     second of any caller, so that a caller with many requests does not starve the others.
//  4. The earliest latest-start time. Where routes are alike, this is the order of the
//     callers' first attempts, so a request that was refused once precedes requests that
//     arrived after its first attempt.
//
// Ordering by latest start does not fill the queue with requests that only just miss their
// objective, because those count as late.
func Order[T any](now time.Time, waiting []T, request func(T) *Request) {
	if len(waiting) < 2 {
		return
	}
	slices.SortStableFunc(waiting, func(a, b T) int {
		first, second := request(a), request(b)
		return cmp.Or(first.rank(now).compare(second.rank(now)), first.latestStart().Compare(second.latestStart()))
	})
	turns := assignTurns(now, waiting, request)
	slices.SortStableFunc(waiting, func(a, b T) int {
		first, second := request(a), request(b)
		return cmp.Or(first.rank(now).compare(second.rank(now)), cmp.Compare(turns[first], turns[second]))
	})
}

// Ahead counts the queued requests that precede a request or rank equally with it. Turns
// of callers are ignored, because they change as requests arrive.
func Ahead[T any](now time.Time, candidate *Request, waiting []T, request func(T) *Request) int {
	ahead := 0
	for _, w := range waiting {
		other := request(w)
		if other == candidate {
			continue
		}
		order := other.rank(now).compare(candidate.rank(now))
		if order < 0 || order == 0 && !other.latestStart().After(candidate.latestStart()) {
			ahead++
		}
	}
	return ahead
}

// rank holds the most significant sort keys of a request.
type rank struct {
	late     bool
	priority int
}

func (r *Request) rank(now time.Time) rank {
	return rank{late: r.Late(now), priority: r.Priority}
}

func (r rank) compare(other rank) int {
	switch {
	case !r.late && other.late:
		return -1
	case r.late && !other.late:
		return 1
	default:
		return cmp.Compare(r.priority, other.priority)
	}
}

// assignTurns numbers the requests of each caller within one class and rank, in queue order.
func assignTurns[T any](now time.Time, waiting []T, request func(T) *Request) map[*Request]int {
	type turnKey struct {
		rank
		class, caller string
	}
	counts := make(map[turnKey]int)
	turns := make(map[*Request]int, len(waiting))
	for _, item := range waiting {
		r := request(item)
		if r.Caller == "" {
			continue
		}
		key := turnKey{r.rank(now), r.Class, r.Caller}
		turns[r] = counts[key]
		counts[key]++
	}
	return turns
}
