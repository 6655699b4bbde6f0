package schedule

import "time"

const (
	// historySize is the number of recent requests whose timeouts are kept. minOccurrences
	// is how many of them must be equal to count as the timeout of a first attempt. The time
	// left at a retry is practically never the same twice.
	historySize    = 64
	minOccurrences = 4
)

// FirstAttempts estimates, for one route, when callers made their first attempt. The protocol
// does not carry that time. However, all callers of one kind start with the same timeout,
// so this value occurs often, and each retry carries what is left of it. It is not safe for
// concurrent use.
type FirstAttempts struct {
	// timeouts is a ring buffer of the latest observations, in milliseconds; next is the index
	// of the oldest one once the buffer is full. occurrences counts each value in it.
	timeouts    []int64
	next        int
	occurrences map[int64]int
}

// Observe records how much time a caller had left when its request arrived.
func (f *FirstAttempts) Observe(left time.Duration) {
	if f.occurrences == nil {
		f.occurrences = make(map[int64]int)
	}
	millis := left.Milliseconds()
	if len(f.timeouts) < historySize {
		f.timeouts = append(f.timeouts, millis)
	} else {
		f.forget(f.timeouts[f.next])
		f.timeouts[f.next] = millis
	}
	f.next = (f.next + 1) % historySize
	f.occurrences[millis]++
}

// forget removes one occurrence of a timeout.
func (f *FirstAttempts) forget(millis int64) {
	f.occurrences[millis]--
	if f.occurrences[millis] == 0 {
		delete(f.occurrences, millis)
	}
}

// EstimateAge returns how long ago a caller with some time left made its first attempt: the
// difference between that time and the smallest common timeout that is not below it. If
// callers use different timeouts, the age is underestimated rather than overestimated. It
// returns 0 while there are too few observations.
func (f *FirstAttempts) EstimateAge(left time.Duration) time.Duration {
	millis := left.Milliseconds()
	age := int64(-1)
	for timeout, occurrences := range f.occurrences {
		if occurrences >= minOccurrences && timeout >= millis && (age < 0 || timeout-millis < age) {
			age = timeout - millis
		}
	}
	return time.Duration(max(0, age)) * time.Millisecond
}
