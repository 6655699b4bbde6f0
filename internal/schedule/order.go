package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Order sorts waiting requests into the order in which they get servers. Those whose
// answer can still be in time go first: one that is late loses little more by waiting,
// while each one that it displaces turns late as well. Among these the more urgent go
// first; within one priority each caller's first request goes before any caller's second,
// so that one that asks often does not take the others' room; then the one that must start
// earliest. That is the order of the callers' first tries where routes are alike, and lets
// a request that was refused once go before those that have come since. It cannot fill
// the line with requests that just miss their time, because those count as late.
func Order[T any](now time.Time, waiting []T, request func(T) *Request) {
	if len(waiting) < 2 {
		return
	}
	slices.SortStableFunc(waiting, func(a, b T) int {
		first, second := request(a), request(b)
		return cmp.Or(first.rank(now).compare(second.rank(now)), first.latestStart().Compare(second.latestStart()))
	})
	turns := takeTurns(now, waiting, request)
	slices.SortStableFunc(waiting, func(a, b T) int {
		first, second := request(a), request(b)
		return cmp.Or(first.rank(now).compare(second.rank(now)), cmp.Compare(turns[first], turns[second]))
	})
}

// Ahead counts the waiting requests that go before a request or are on a par with it.
// Turns of callers don't count: they change as requests come.
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

// rank is what decides first.
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

// takeTurns numbers each caller's requests of a class in one rank, in the order of waiting.
func takeTurns[T any](now time.Time, waiting []T, request func(T) *Request) map[*Request]int {
	type share struct {
		rank
		class, caller string
	}
	taken := make(map[share]int)
	turns := make(map[*Request]int, len(waiting))
	for _, w := range waiting {
		r := request(w)
		if r.Caller == "" {
			continue
		}
		of := share{r.rank(now), r.Class, r.Caller}
		turns[r] = taken[of]
		taken[of]++
	}
	return turns
}
